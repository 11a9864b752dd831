//! Records what callers sent and received and what targets ran, and checks the promises against it.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::soak_notices::{NoticeBook, NoticeContext, ReceptionRecord, SaidNotice};
use crate::soak_plan::NAMED_LIMIT_PER_S;
use crate::soak_records::{
    NodeFaultPeriod, RunRecord, SeenEnd, SentRequest, SoakBreach, SoakCustomer,
};

/// The window over which a customer's rate is counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// The excess over the rate that the settings of the nodes tolerate, as a ratio.
const RATE_EXCESS: f64 = 0.1;
/// The requests in addition to the excess that the settings of the nodes tolerate.
const RATE_SLACK: f64 = 20.0;

/// The window in which the requests to a target with a limit are counted, as the platform states it.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// The factor by which a target's limit may be exceeded in a window, and the requests in addition.
const LIMIT_EXCESS: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// How long after a limit was first named, and after a fault or start of the sending node, requests
/// count against the limit.
const LIMIT_CONTACT: Duration = Duration::from_secs(3);

/// How long after the start of a cut the requests at cut nodes count, as the platform states it.
const CUT_CONTACT: Duration = Duration::from_secs(3);
/// The share at which cut nodes must serve in relation to the others, and the failures there that are
/// tolerated, as a number and as a fraction of all requests.
const CUT_SERVED_RATIO: f64 = 2.0 / 3.0;
const CUT_FAILURES: f64 = 10.0;
const CUT_FAILURE_RATIO: f64 = 0.02;

/// The id of the requests by which the soak itself waits until the fleet serves.
pub const PROBE_ID: &str = "probe";

/// The window of the budget of repeats, and what the settings of the nodes allow in it.
const REPEAT_WINDOW: Duration = Duration::from_secs(10);
const REPEAT_RATIO: f64 = 0.2;
const REPEAT_SLACK: f64 = 64.0;

/// The records of callers and targets.
#[derive(Debug, Default)]
pub struct SoakLedger {
    content: Mutex<LedgerContent>,
}

#[derive(Debug, Default)]
struct LedgerContent {
    sent: HashMap<String, SentRequest>,
    runs: Vec<RunRecord>,
    node_faults: Vec<NodeFaultPeriod>,
    node_starts: Vec<(usize, Instant)>,
    limits: Vec<LimitPeriod>,
    arrivals: Vec<(String, &'static str, Instant)>,
    cuts: Vec<CutPeriod>,
    notices: NoticeBook,
    /// The nodes that began with an earlier build, which may not know all promises.
    previous_builds: Vec<usize>,
}

/// The requests at cut nodes and at the others during a cut, and how many of them were served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CutCounts {
    /// The requests that the other nodes served.
    pub served: u32,
    /// The requests at the other nodes.
    pub sent: u32,
    /// The requests that the cut nodes served.
    pub cut_served: u32,
    /// The requests at the cut nodes.
    pub cut_sent: u32,
}

/// A period in which nodes were cut off from all targets.
#[derive(Debug)]
struct CutPeriod {
    nodes: Vec<usize>,
    from: Instant,
    to: Option<Instant>,
}

/// A period in which a target named a limit.
#[derive(Debug)]
struct LimitPeriod {
    target: String,
    from: Instant,
    to: Option<Instant>,
}

impl SoakLedger {
    fn lock(&self) -> MutexGuard<'_, LedgerContent> {
        self.content.lock().expect("no holder of the ledger panics")
    }

    /// Records a request that is about to be sent.
    pub fn record_sent(&self, id: &str, request: SentRequest) {
        self.lock().sent.insert(id.to_owned(), request);
    }

    /// Records how a request ended at its caller.
    pub fn record_end(&self, id: &str, end: SeenEnd) {
        if let Some(request) = self.lock().sent.get_mut(id) {
            request.end = Some((end, Instant::now()));
        }
    }

    /// Records that a target starts to run a request.
    pub fn record_run(&self, run: RunRecord) {
        self.lock().runs.push(run);
    }

    /// Records a period in which a node was killed or paused.
    pub fn record_node_fault(&self, period: NodeFaultPeriod) {
        self.lock().node_faults.push(period);
    }

    /// Records that a node starts again after a planned stop.
    pub fn record_node_start(&self, node: usize) {
        self.lock().node_starts.push((node, Instant::now()));
    }

    /// Records that a target names its limit in an answer.
    pub fn record_limit_named(&self, target: &str) {
        let mut content = self.lock();
        let mut limits = content.limits.iter();
        if !limits.any(|limit| limit.target == target && limit.to.is_none()) {
            content.limits.push(LimitPeriod {
                target: target.to_owned(),
                from: Instant::now(),
                to: None,
            });
        }
    }

    /// Records that a target names no limit any more.
    pub fn record_limit_lifted(&self, target: &str) {
        let mut content = self.lock();
        let limits = content.limits.iter_mut();
        for limit in limits.filter(|limit| limit.target == target) {
            limit.to.get_or_insert_with(Instant::now);
        }
    }

    /// Returns the numbers of requests sent, of those answered with success, and of executions.
    pub fn counts(&self) -> (usize, usize, usize) {
        let content = self.lock();
        let served = content.sent.values().filter(|request| {
            matches!(&request.end, Some((SeenEnd::Answer { status: 200, .. }, _)))
        });
        (content.sent.len(), served.count(), content.runs.len())
    }

    /// Records that a request reached a target, whether or not it runs there.
    pub fn record_arrival(&self, id: &str, service: &'static str, at: Instant) {
        let arrival = (id.to_owned(), service, at);
        self.lock().arrivals.push(arrival);
    }

    /// Records that a request reached the target which it names, and what the answer will say of the
    /// target.
    pub fn record_reception(&self, reception: ReceptionRecord, said: Option<SaidNotice>) {
        self.lock().notices.record(reception, said);
    }

    /// Returns the number of answers in which targets said that they leave or want rest.
    pub fn said_count(&self) -> usize {
        self.lock().notices.said_count()
    }

    /// Records that a node runs an earlier build until it is started again.
    pub fn record_previous_build(&self, node: usize) {
        self.lock().previous_builds.push(node);
    }

    /// Records that nodes are cut off from all targets, in place of those that were.
    pub fn record_cut(&self, nodes: &[usize], at: Instant) {
        self.record_cut_end(at);
        self.lock().cuts.push(CutPeriod {
            nodes: nodes.to_vec(),
            from: at,
            to: None,
        });
    }

    /// Records that no node is cut off any more.
    pub fn record_cut_end(&self, at: Instant) {
        let mut content = self.lock();
        if let Some(last) = content.cuts.last_mut() {
            last.to.get_or_insert(at);
        }
    }

    /// Returns the counts of each cut that is checked.
    pub fn cut_counts(&self) -> Vec<CutCounts> {
        let content = self.lock();
        let cuts = content.cuts.iter();
        cuts.filter_map(|cut| content.cut_counts(cut)).collect()
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
        for limit in &content.limits {
            content.check_limit(limit, &mut breaches);
        }
        for cut in &content.cuts {
            content.check_cut(cut, &mut breaches);
        }
        content.check_notices(&mut breaches);
        for service in ["desk", "berth"] {
            content.check_repeats(service, &mut breaches);
        }
        breaches
    }
}

impl LedgerContent {
    /// Counts the requests at cut nodes and at the others, from some time after the start of the cut. Cuts during which a node had another fault or started are left out, since any node may be the
    /// helper, and so are cuts of all nodes.
    fn cut_counts(&self, cut: &CutPeriod) -> Option<CutCounts> {
        let from = cut.from + CUT_CONTACT;
        let to = cut.to.unwrap_or_else(Instant::now);
        let had_fault = self
            .node_faults
            .iter()
            .any(|period| period.from <= to && period.to >= cut.from)
            || self
                .node_starts
                .iter()
                .any(|(_, at)| (cut.from..to).contains(at));
        let mut counts = [(0_u32, 0_u32); 2];
        for request in self.sent.values() {
            let is_counted = (from..to).contains(&request.sent_at) && request.customer.is_some();
            let status = match &request.end {
                Some((
                    SeenEnd::Answer { status: 429, .. } | SeenEnd::Left | SeenEnd::NotSent,
                    _,
                )) => continue,
                Some((SeenEnd::Answer { status, .. }, _)) => *status,
                Some((SeenEnd::Broken, _)) => 0,
                None => continue,
            };
            if is_counted {
                let (served, sent) = &mut counts[usize::from(cut.nodes.contains(&request.node))];
                *sent += 1;
                *served += u32::from(status == 200);
            }
        }
        let [(served, sent), (cut_served, cut_sent)] = counts;
        (!had_fault && sent > 0 && cut_sent > 0).then_some(CutCounts {
            served,
            sent,
            cut_served,
            cut_sent,
        })
    }

    /// Checks that nodes do what targets say of themselves.
    fn check_notices(&self, breaches: &mut Vec<SoakBreach>) {
        let had_fault = |node: usize, from: Instant, to: Instant| {
            let mut faults = self.node_faults.iter();
            let mut starts = self.node_starts.iter();
            self.previous_builds.contains(&node)
                || faults
                    .any(|period| period.node == node && period.from <= to && period.to >= from)
                || starts.any(|(started, at)| *started == node && (from..to).contains(at))
        };
        // A node notices the end of a cut some time after it.
        let had_cut = |from: Instant, to: Instant| {
            let mut cuts = self.cuts.iter();
            cuts.any(|cut| cut.from <= to && cut.to.is_none_or(|end| end + CUT_CONTACT >= from))
        };
        let context = NoticeContext {
            sent: &self.sent,
            had_fault: &had_fault,
            had_cut: &had_cut,
        };
        self.notices.check(&context, breaches);
    }

    /// Checks that callers of cut nodes are served as well as the others.
    fn check_cut(&self, cut: &CutPeriod, breaches: &mut Vec<SoakBreach>) {
        let Some(counts) = self.cut_counts(cut) else {
            return;
        };
        let CutCounts {
            served,
            sent,
            cut_served,
            cut_sent,
        } = counts;
        let share = |served: u32, sent: u32| f64::from(served) / f64::from(sent);
        let is_far_worse = share(cut_served, cut_sent) < share(served, sent) * CUT_SERVED_RATIO;
        let failed = cut_sent - cut_served;
        let tolerated = CUT_FAILURES + f64::from(sent + cut_sent) * CUT_FAILURE_RATIO;
        if is_far_worse && f64::from(failed) > tolerated {
            breaches.push(SoakBreach {
                promise: "callers of nodes that are cut off from all targets are served like the others",
                seen: format!("cut nodes {:?}: {cut_served} of {cut_sent}, others {served} of {sent}", cut.nodes),
            });
        }
    }

    /// Checks that the arrivals beyond the first of each request stay within the budget in each window.
    fn check_repeats(&self, service: &str, breaches: &mut Vec<SoakBreach>) {
        let mut seen: HashMap<&str, ()> = HashMap::new();
        let arrivals = self
            .arrivals
            .iter()
            .filter(|(id, at_service, _)| *at_service == service && id != PROBE_ID);
        let repeats: Vec<Instant> = arrivals
            .filter(|(id, _, _)| seen.insert(id, ()).is_some())
            .map(|(_, _, at)| *at)
            .collect();
        let sent: Vec<Instant> = self
            .sent
            .values()
            .filter(|request| request.service == service)
            .map(|request| request.sent_at)
            .collect();
        let count = |times: &[Instant], from: Instant| {
            times
                .iter()
                .filter(|at| (from..from + REPEAT_WINDOW).contains(*at))
                .count()
        };
        for from in &repeats {
            let earlier = [
                Some(*from),
                from.checked_sub(REPEAT_WINDOW / 2),
                from.checked_sub(REPEAT_WINDOW),
            ];
            let requests = earlier
                .into_iter()
                .flatten()
                .map(|from| count(&sent, from))
                .max();
            let allowed = requests.unwrap_or(0) as f64 * REPEAT_RATIO + REPEAT_SLACK;
            let repeats = count(&repeats, *from);
            if repeats as f64 > allowed {
                breaches.push(SoakBreach {
                    promise: "no service gets more repeats than the budget, over all nodes",
                    seen: format!("{service}: {repeats} in a window, {allowed:.0} allowed"),
                });
                return;
            }
        }
    }

    /// Checks that the requests to a target stay within its limit in each window, counted over the
    /// nodes that were left alone from some time before the window.
    fn check_limit(&self, limit: &LimitPeriod, breaches: &mut Vec<SoakBreach>) {
        let allowed = NAMED_LIMIT_PER_S * LIMIT_WINDOW.as_secs_f64() * LIMIT_EXCESS + LIMIT_SLACK;
        let runs: Vec<(Instant, Option<usize>)> = self
            .runs
            .iter()
            .filter(|run| run.target == limit.target)
            .filter(|run| run.at >= limit.from + LIMIT_CONTACT)
            .filter(|run| limit.to.is_none_or(|to| run.at <= to))
            .map(|run| (run.at, self.sent.get(&run.id).map(|request| request.node)))
            .collect();
        let mut highest = 0;
        for (start, _) in &runs {
            let (from, to) = (*start - LIMIT_CONTACT, *start + LIMIT_WINDOW);
            let was_left_alone = |node: usize| {
                let mut faults = self.node_faults.iter();
                let mut starts = self.node_starts.iter();
                !faults.any(|period| period.node == node && period.from <= to && period.to >= from)
                    && !starts.any(|(started, at)| *started == node && (from..to).contains(at))
            };
            let counted = runs
                .iter()
                .filter(|(at, node)| (*start..to).contains(at) && node.is_some_and(was_left_alone));
            highest = highest.max(counted.count());
        }
        if highest as f64 > allowed {
            breaches.push(SoakBreach {
                promise: "no target gets more than the limit that it names, over all nodes",
                seen: format!("{}: {highest} in a window, {allowed} allowed", limit.target),
            });
        }
    }

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
                let is_refused_as_not_run = matches!(status, 408 | 421 | 429 | 503);
                if is_refused_as_not_run && request.once && !runs.is_empty() {
                    breach("a refusal that says \"not run\" is true");
                }
            }
            Some((SeenEnd::Broken, ended_at)) if !runs.is_empty() => {
                let had_fault = self.node_faults.iter().any(|period| {
                    period.node == request.node
                        && period.from <= *ended_at
                        && period.to >= request.sent_at
                });
                if !had_fault {
                    breach(
                        "a node that is left alone, or stopped as planned, answers what it read",
                    );
                }
            }
            _ => {}
        }
    }

    /// Checks that the customer's executions in each window stay within the highest limit.
    ///
    /// A request counts only if both its sending and its first execution lie in the window.
    fn check_rate(&self, index: usize, customer: &SoakCustomer, breaches: &mut Vec<SoakBreach>) {
        if customer.rate_per_s == 0.0 {
            return;
        }
        let seconds = RATE_WINDOW.as_secs_f64();
        // These customers' burst is one second of their rate.
        let allowed = customer.rate_per_s * (seconds + 1.0) * (1.0 + RATE_EXCESS) + RATE_SLACK;
        let mut first_runs: HashMap<&str, Instant> = HashMap::new();
        for run in &self.runs {
            first_runs.entry(&run.id).or_insert(run.at);
        }
        let mut times: Vec<(Instant, Instant)> = self
            .sent
            .iter()
            .filter(|(_, request)| request.customer == Some(index))
            .filter_map(|(id, request)| Some((request.sent_at, *first_runs.get(id.as_str())?)))
            .collect();
        times.sort_by_key(|(_, ran_at)| *ran_at);
        let mut highest = 0;
        for (start, _) in &times {
            let in_window = times
                .iter()
                .filter(|(sent_at, ran_at)| sent_at >= start && *ran_at < *start + RATE_WINDOW);
            highest = highest.max(in_window.count());
        }
        if highest as f64 > allowed {
            breaches.push(SoakBreach {
                promise: "no customer gets more than its rate over all nodes",
                seen: format!(
                    "{}: {highest} in a window, {allowed:.0} allowed",
                    customer.name
                ),
            });
        }
    }
}
