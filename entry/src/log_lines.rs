//! The log lines of the process, limited in rate by kind and written without blocking.
//!
//! A thread writes the lines from a bounded queue: if the reader of the log is blocked, lines are
//! lost, but no request is delayed. See [docs/OPERATIONS.md](../../docs/OPERATIONS.md).

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

/// The tracing target of lines about successful requests, which every request writes.
pub const SUCCESS_TARGET: &str = "good";
/// The budget in lines a second of each kind about successful requests: enough for a sample.
const SUCCESS_LINES_PER_S: f64 = 2.0;
/// The budget in lines a second of each other kind: refusals, failures and changes of state. This
/// is similar to a node's requests a second, so that only floods are suppressed.
const OTHER_LINES_PER_S: f64 = 25.0;
/// The maximum number of lines that wait for the writing thread: a few seconds of all kinds.
const MAX_QUEUED_LINES: usize = 4_096;
/// The interval of reports about suppressed and lost lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// The filter unless `RUST_LOG` is set. The metrics library logs its own shutdown below level warn,
/// which does not concern operators.
const DEFAULT_FILTER: &str = "info,opentelemetry=warn,opentelemetry_sdk=warn";

#[derive(Debug)]
struct KindBudget {
    line: &'static str,
    budget: LineBudget,
}

/// The budgets of all kinds of lines; each callsite is a kind of its own.
#[derive(Debug)]
struct KindBudgets {
    clock: MonoClock,
    kinds: Mutex<IndexMap<Identifier, KindBudget>>,
}

impl KindBudgets {
    fn acquire(&self, metadata: &'static Metadata<'static>) -> bool {
        let now = self.clock.now();
        let lines_per_s = match metadata.target() {
            SUCCESS_TARGET => SUCCESS_LINES_PER_S,
            _ => OTHER_LINES_PER_S,
        };
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let kind = kinds.entry(metadata.callsite()).or_insert(KindBudget {
            line: metadata.name(),
            budget: LineBudget::new(now, lines_per_s),
        });
        kind.budget.try_take(now)
    }

    fn drain_suppressed(&self) -> Vec<(&'static str, u64)> {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = kinds
            .values_mut()
            .map(|kind| (kind.line, kind.budget.drain_suppressed()));
        counts.filter(|(_, count)| *count > 0).collect()
    }
}

/// Suppresses the lines that are over the budget of their kind.
#[derive(Clone, Debug)]
struct BudgetLayer(Arc<KindBudgets>);

impl<S: Subscriber> Layer<S> for BudgetLayer {
    fn register_callsite(&self, _metadata: &'static Metadata<'static>) -> Interest {
        Interest::sometimes()
    }

    fn event_enabled(&self, event: &Event<'_>, _context: Context<'_, S>) -> bool {
        event.metadata().is_span() || self.0.acquire(event.metadata())
    }
}

/// The log output of a process; dropping it writes the queued lines.
#[derive(Debug)]
pub struct LogLines {
    budgets: Arc<KindBudgets>,
    lost: ErrorCounter,
    _writer: WorkerGuard,
}

impl LogLines {
    /// Creates the log output and its subscriber, which writes JSON lines to `output` within the
    /// budgets.
    pub fn new(
        output: impl Write + Send + 'static,
        filter: EnvFilter,
    ) -> (Self, impl Subscriber + Send + Sync) {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_QUEUED_LINES)
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

    /// Starts logging of this process to standard output.
    pub fn start() -> Self {
        let filter = EnvFilter::try_from_default_env();
        let filter = filter.unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
        let (lines, subscriber) = Self::new(std::io::stdout(), filter);
        tracing::subscriber::set_global_default(subscriber)
            .expect("a process starts its log lines once");
        lines
    }

    /// Returns the number of lines of each kind that were suppressed since the last call.
    pub fn drain_suppressed(&self) -> Vec<(&'static str, u64)> {
        self.budgets.drain_suppressed()
    }

    /// Returns the number of lines that were lost because the queue was full.
    pub fn lost(&self) -> usize {
        self.lost.dropped_lines()
    }

    /// Logs how many lines were suppressed or lost, until the task is cancelled.
    pub async fn report_suppressed(&self) {
        let mut lost_before = 0;
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            for (line, count) in self.drain_suppressed() {
                tracing::warn!(line, count, "log lines suppressed over their budget");
            }
            let lost = self.lost();
            if lost > lost_before {
                let count = lost - lost_before;
                tracing::warn!(count, "log lines lost: the reader is too slow");
                lost_before = lost;
            }
        }
    }
}
