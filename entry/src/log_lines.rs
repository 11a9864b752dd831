//! The log lines of the process: bounded in number by kind, written without ever waiting.
//!
//! Lines go through a bounded queue to a thread that writes them, so that a reader that stands still
//! costs lines and not requests. See [docs/OPERATIONS.md](../../docs/OPERATIONS.md).

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use damaskloom_gateway::clock::MonoClock;
use damaskloom_lib::line_budget::LineBudget;
use indexmap::IndexMap;
use tracing::callsite::Identifier;
use tracing::subscriber::Interest;
use tracing::{Event, Metadata, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::{Context, Layer};
use tracing_subscriber::prelude::*;
use tracing_subscriber::{EnvFilter, fmt};

/// The target of lines about requests that went well, which come with every request.
pub const GOOD: &str = "good";
/// The lines a second of one kind about requests that went well: enough for a sample.
const GOOD_LINES_PER_S: f64 = 2.0;
/// The lines a second of any other kind: refusals, failures and changes of what is believed. About the
/// requests a second of a node, so that only floods are cut.
const OTHER_LINES_PER_S: f64 = 25.0;
/// The lines that wait for the writing thread: some seconds of all kinds.
const QUEUED_LINES: usize = 4_096;
/// The interval at which left out lines are told of.
const LEFT_OUT_TELL: Duration = Duration::from_secs(5);
/// What is logged unless `RUST_LOG` says otherwise: the metrics library tells of its own end at a level
/// that says nothing to operators.
const DEFAULT_FILTER: &str = "info,opentelemetry=warn,opentelemetry_sdk=warn";

#[derive(Debug)]
struct KindBudget {
    line: &'static str,
    budget: LineBudget,
}

/// The budgets of all kinds of lines: one for each place in the code that writes lines.
#[derive(Debug)]
struct KindBudgets {
    clock: MonoClock,
    kinds: Mutex<IndexMap<Identifier, KindBudget>>,
}

impl KindBudgets {
    fn take(&self, metadata: &'static Metadata<'static>) -> bool {
        let now = self.clock.now();
        let lines_per_s = match metadata.target() {
            GOOD => GOOD_LINES_PER_S,
            _ => OTHER_LINES_PER_S,
        };
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let kind = kinds.entry(metadata.callsite()).or_insert(KindBudget {
            line: metadata.name(),
            budget: LineBudget::new(now, lines_per_s),
        });
        kind.budget.try_take(now)
    }

    fn take_left_out(&self) -> Vec<(&'static str, u64)> {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = kinds
            .values_mut()
            .map(|kind| (kind.line, kind.budget.drain_suppressed()));
        counts.filter(|(_, count)| *count > 0).collect()
    }
}

/// Leaves out the lines that are over the budget of their kind.
#[derive(Clone, Debug)]
struct BudgetLayer(Arc<KindBudgets>);

impl<S: Subscriber> Layer<S> for BudgetLayer {
    fn register_callsite(&self, _metadata: &'static Metadata<'static>) -> Interest {
        Interest::sometimes()
    }

    fn event_enabled(&self, event: &Event<'_>, _context: Context<'_, S>) -> bool {
        event.metadata().is_span() || self.0.take(event.metadata())
    }
}

/// The lines of a process; dropping it writes what is still queued.
#[derive(Debug)]
pub struct LogLines {
    budgets: Arc<KindBudgets>,
    lost: ErrorCounter,
    _writer: WorkerGuard,
}

impl LogLines {
    /// Makes the lines and what takes them in: JSON lines to `output`, within the budgets.
    pub fn new(
        output: impl Write + Send + 'static,
        filter: EnvFilter,
    ) -> (Self, impl Subscriber + Send + Sync) {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUED_LINES)
            .thread_name("log-lines")
            .finish(output);
        let budgets = Arc::new(KindBudgets {
            clock: MonoClock::start(),
            kinds: Mutex::default(),
        });
        let lines = Self {
            budgets: Arc::clone(&budgets),
            lost: writer.error_counter(),
            _writer: guard,
        };
        let format = fmt::layer()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_writer(writer);
        let subscriber = tracing_subscriber::registry()
            .with(filter)
            .with(BudgetLayer(budgets))
            .with(format);
        (lines, subscriber)
    }

    /// Starts the lines of this process on standard output.
    pub fn start() -> Self {
        let filter = EnvFilter::try_from_default_env();
        let filter = filter.unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
        let (lines, subscriber) = Self::new(std::io::stdout(), filter);
        tracing::subscriber::set_global_default(subscriber)
            .expect("a process starts its log lines once");
        lines
    }

    /// Returns how many lines of each kind were left out since this was asked last.
    pub fn take_left_out(&self) -> Vec<(&'static str, u64)> {
        self.budgets.take_left_out()
    }

    /// Returns how many lines were lost since nobody reads them.
    pub fn lost(&self) -> usize {
        self.lost.dropped_lines()
    }

    /// Tells of lines that were left out, until the task is ended.
    pub async fn tell_left_out(&self) {
        let mut lost_before = 0;
        loop {
            tokio::time::sleep(LEFT_OUT_TELL).await;
            for (line, count) in self.take_left_out() {
                tracing::warn!(line, count, "lines left out over their budget");
            }
            let lost = self.lost();
            if lost > lost_before {
                let count = lost - lost_before;
                tracing::warn!(count, "lines lost since nobody reads them");
                lost_before = lost;
            }
        }
    }
}
