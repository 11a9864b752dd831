//! What callers sent and saw, what targets ran, and which promises that breaks.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The window over which a customer's rate is counted, and what the platform bears beyond it.
const RATE_WINDOW: Duration = Duration::from_secs(5);
const RATE_EXCESS: f64 = 0.1;
const RATE_SLACK: f64 = 20.0;

/// A customer of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakCustomer {
    /// The customer's name.
    pub name: &'static str,
    /// The keys that some configuration of the soak holds.
    pub keys: &'static [&'static str],
    /// The highest limit that any configuration sets, in requests per second; zero for none.
    pub rate_per_s: f64,
}

/// What a caller saw at the end of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SeenEnd {
    /// A whole answer.
    Answer {
        /// The status.
        status: u16,
        /// Whether it carries the receipt of a target.
        has_receipt: bool,
        /// Whether the body is that of a target's answer to this request.
        is_own_body: bool,
    },
    /// The connection ended without a whole answer.
    Broken,
    /// The caller left when its time was over.
    Left,
    /// No connection was made.
    NotSent,
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The index of the customer; none if the key is one that nobody ever had.
    pub customer: Option<usize>,
    /// The service that the route sends to.
    pub service: &'static str,
    /// Whether it may run once at most.
    pub once: bool,
    /// The path.
    pub path: String,
    /// The index of the node that it was sent to.
    pub node: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// What the caller saw, and when; none while it waits.
    pub end: Option<(SeenEnd, Instant)>,
}

/// A request as a target ran it.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The request's id.
    pub id: String,
    /// When the target began.
    pub at: Instant,
    /// The target.
    pub target: String,
    /// The target's service.
    pub service: &'static str,
    /// The customer that the fleet named.
    pub customer: Option<String>,
    /// Whether the caller's key came along.
    pub has_key: bool,
    /// The path.
    pub path: String,
    /// Whether the body is the one that belongs to the id.
    pub is_own_body: bool,
}

/// The spans in which a node was not left alone.
#[derive(Clone, Copy, Debug)]
pub struct NodeTrouble {
    /// The node's index.
    pub node: usize,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SoakBreach {
    /// The promise.
    pub promise: &'static str,
    /// Both sides of what was seen.
    pub seen: String,
}

/// All that callers and targets tell.
#[derive(Debug, Default)]
pub struct SoakLedger {
    content: Mutex<LedgerContent>,
}

#[derive(Debug, Default)]
struct LedgerContent {
    sent: HashMap<String, SentRequest>,
    runs: Vec<RunRecord>,
    troubles: Vec<NodeTrouble>,
}

impl SoakLedger {
    fn lock(&self) -> MutexGuard<'_, LedgerContent> {
        self.content.lock().expect("no holder of the ledger panics")
    }

    /// Notes a request that is about to be sent.
    pub fn note_sent(&self, id: &str, request: SentRequest) {
        self.lock().sent.insert(id.to_owned(), request);
    }

    /// Notes what the caller saw at the end.
    pub fn note_end(&self, id: &str, end: SeenEnd) {
        if let Some(request) = self.lock().sent.get_mut(id) {
            request.end = Some((end, Instant::now()));
        }
    }

    /// Notes that a target begins to run a request.
    pub fn note_run(&self, run: RunRecord) {
        self.lock().runs.push(run);
    }

    /// Notes a span in which a node was killed or stood still.
    pub fn note_trouble(&self, trouble: NodeTrouble) {
        self.lock().troubles.push(trouble);
    }

    /// Returns how many requests were sent, answered with success, and run.
    pub fn counts(&self) -> (usize, usize, usize) {
        let content = self.lock();
        let served = content.sent.values().filter(|request| {
            matches!(&request.end, Some((SeenEnd::Answer { status: 200, .. }, _)))
        });
        (content.sent.len(), served.count(), content.runs.len())
    }

    /// Returns all promises that were broken.
    pub fn breaches(&self, customers: &[SoakCustomer]) -> Vec<SoakBreach> {
        let content = self.lock();
        let mut breaches = Vec::new();
        let mut runs: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
        for run in &content.runs {
            runs.entry(&run.id).or_default().push(run);
            content.check_run(run, customers, &mut breaches);
        }
        for (id, request) in &content.sent {
            let runs = runs.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            content.check_request(id, request, runs, &mut breaches);
        }
        for (index, customer) in customers.iter().enumerate() {
            content.check_rate(index, customer, &mut breaches);
        }
        breaches
    }
}

impl LedgerContent {
    fn check_run(
        &self,
        run: &RunRecord,
        customers: &[SoakCustomer],
        breaches: &mut Vec<SoakBreach>,
    ) {
        let mut breach = |promise| {
            breaches.push(SoakBreach {
                promise,
                seen: format!("{run:?}, sent as {:?}", self.sent.get(&run.id)),
            });
        };
        let Some(request) = self.sent.get(&run.id) else {
            breach("only what a caller sent is run");
            return;
        };
        if run.path != request.path || !run.is_own_body {
            breach("requests reach targets unchanged");
        }
        if run.service != request.service {
            breach("a request runs at the service of its route");
        }
        if run.has_key {
            breach("no target sees a caller's key");
        }
        match request.customer {
            None => breach("a key that nobody had lets nothing run"),
            Some(index) if run.customer.as_deref() != Some(customers[index].name) => {
                breach("a request runs for the customer that holds its key");
            }
            Some(_) => {}
        }
    }

    fn check_request(
        &self,
        id: &str,
        request: &SentRequest,
        runs: &[&RunRecord],
        breaches: &mut Vec<SoakBreach>,
    ) {
        let mut breach = |promise| {
            breaches.push(SoakBreach {
                promise,
                seen: format!("{id}: {request:?}, run as {runs:?}"),
            });
        };
        if request.once && runs.len() > 1 {
            breach("a booking runs at most once");
        }
        match &request.end {
            Some((
                SeenEnd::Answer {
                    status,
                    has_receipt,
                    is_own_body,
                },
                _,
            )) => {
                let success = (200..300).contains(status);
                if success && !(*has_receipt && *is_own_body) {
                    breach("a success is the target's whole answer to this request");
                }
                if success && runs.is_empty() {
                    breach("a success was run");
                }
                let promised = matches!(status, 408 | 421 | 429 | 503);
                if promised && request.once && !runs.is_empty() {
                    breach("a refusal that says \"not run\" is true");
                }
            }
            Some((SeenEnd::Broken, ended_at)) if !runs.is_empty() => {
                let troubled = self.troubles.iter().any(|trouble| {
                    trouble.node == request.node
                        && trouble.from <= *ended_at
                        && trouble.to >= request.sent_at
                });
                if !troubled {
                    breach(
                        "a node that is left alone, or stopped as planned, answers what it read",
                    );
                }
            }
            _ => {}
        }
    }

    /// Checks the customer's requests that ran in each window against the highest limit.
    fn check_rate(&self, index: usize, customer: &SoakCustomer, breaches: &mut Vec<SoakBreach>) {
        if customer.rate_per_s == 0.0 {
            return;
        }
        let seconds = RATE_WINDOW.as_secs_f64();
        // The burst of these customers is a second of their rate.
        let allowed = customer.rate_per_s * (seconds + 1.0) * (1.0 + RATE_EXCESS) + RATE_SLACK;
        let mut first_runs: HashMap<&str, Instant> = HashMap::new();
        for run in &self.runs {
            first_runs.entry(&run.id).or_insert(run.at);
        }
        let mut spans: Vec<(Instant, Instant)> = self
            .sent
            .iter()
            .filter(|(_, request)| request.customer == Some(index))
            .filter_map(|(id, request)| Some((request.sent_at, *first_runs.get(id.as_str())?)))
            .collect();
        spans.sort_by_key(|(_, ran_at)| *ran_at);
        let mut worst = 0;
        for (start, _) in &spans {
            let inside = spans
                .iter()
                .filter(|(sent_at, ran_at)| sent_at >= start && *ran_at < *start + RATE_WINDOW);
            worst = worst.max(inside.count());
        }
        if worst as f64 > allowed {
            breaches.push(SoakBreach {
                promise: "no customer gets more than its rate over all nodes",
                seen: format!(
                    "{}: {worst} in a window, {allowed:.0} allowed",
                    customer.name
                ),
            });
        }
    }
}
