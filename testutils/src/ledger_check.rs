//! The call ledger: the records of callers and targets, merged and checked after a run.
//!
//! Requests are matched by their nonce, which all attempts of a request carry and targets record.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ledger_breach::LedgerBreach;
use crate::ledger_rate::{RateAllowance, find_excess};
use crate::ledger_record::CallRecord;
use crate::ledger_request::{RequestHistory, admission, check_answers, check_not_run, check_runs};
use crate::target_state::ExecutionRecord;

const MICROS_PER_MS: u64 = 1_000;
const PPM: u64 = 1_000_000;
/// The maximum number of breaches of one promise that are printed.
const SHOWN_BREACHES: usize = 5;
/// The tokens that must remain in the bucket for a refusal to be certainly wrong.
const REFUSAL_TOKENS: f64 = 1.0;

/// The bounds of a run, which depend on the faults injected into the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct LedgerBounds {
    /// The share of a customer's requests that may be wrongly refused because of its rate, in parts
    /// per million; if none, they are only counted.
    pub wrong_refusals_ppm: Option<u64>,
    /// The time after a key's withdrawal from which its requests must not run, in milliseconds.
    pub withdrawal_ms: u64,
}

impl Default for LedgerBounds {
    fn default() -> Self {
        Self {
            wrong_refusals_ppm: None,
            withdrawal_ms: 7_000,
        }
    }
}

/// The terms of a customer that the ledger checks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerTerms {
    /// The customer's key, which no target may see.
    pub key: Option<String>,
    /// The customer's rate and burst.
    pub allowance: Option<RateAllowance>,
    /// When the key was withdrawn, in Unix microseconds.
    pub withdrawn_micros: Option<u64>,
}

/// The outcome of a ledger's checks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct LedgerVerdict {
    /// The number of requests, without resends.
    pub requests: u64,
    /// The number of attempts, with resends.
    #[serde(rename = "sendings")]
    pub attempts: u64,
    /// The number of executions that belong to a recorded request.
    pub executions: u64,
    /// The number of requests refused because of the rate though within it, by customer.
    pub wrong_refusals: BTreeMap<String, u64>,
    /// The promises that were broken.
    pub breaches: Vec<LedgerBreach>,
}

impl LedgerVerdict {
    /// Returns whether every promise held.
    pub fn holds(&self) -> bool {
        self.breaches.is_empty()
    }

    fn by_promise(&self) -> BTreeMap<&'static str, Vec<&LedgerBreach>> {
        let mut promises: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for breach in &self.breaches {
            promises.entry(breach.promise()).or_default().push(breach);
        }
        promises
    }

    /// Returns the exit code for a process that ends with this verdict.
    pub fn exit_code(&self) -> u8 {
        u8::from(!self.holds())
    }
}

impl fmt::Display for LedgerVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "ledger: {} requests, {} sendings, {} executions, {} wrong refusals",
            self.requests,
            self.attempts,
            self.executions,
            self.wrong_refusals.values().sum::<u64>()
        )?;
        for (promise, breaches) in self.by_promise() {
            writeln!(f, "  BROKEN {} times: {promise}", breaches.len())?;
            for breach in breaches.iter().take(SHOWN_BREACHES) {
                writeln!(f, "    {breach}")?;
            }
        }
        match self.breaches.len() {
            0 => writeln!(f, "every promise held"),
            count => writeln!(f, "{count} times a promise was broken"),
        }
    }
}

/// The records of one run.
#[derive(Clone, Debug, Default)]
pub struct CallLedger {
    /// The attempts that callers recorded.
    pub calls: Vec<CallRecord>,
    /// The executions that targets recorded.
    pub executions: Vec<ExecutionRecord>,
    /// The terms of each customer.
    pub terms: BTreeMap<String, CustomerTerms>,
    /// The bounds of the run.
    pub bounds: LedgerBounds,
}

impl CallLedger {
    /// Checks every promise and returns the result.
    pub fn check(&self) -> LedgerVerdict {
        let histories = self.histories();
        let mut verdict = LedgerVerdict {
            requests: histories.len() as u64,
            attempts: self.calls.len() as u64,
            ..LedgerVerdict::default()
        };
        for history in histories.values() {
            verdict.executions += history.executions.len() as u64;
            self.check_history(history, &mut verdict.breaches);
        }
        self.check_keys(&mut verdict.breaches);
        self.check_rates(&histories, &mut verdict);
        verdict
    }

    fn histories(&self) -> BTreeMap<&str, RequestHistory<'_>> {
        let mut histories: BTreeMap<&str, RequestHistory<'_>> = BTreeMap::new();
        for call in &self.calls {
            let history = histories.entry(&call.nonce).or_default();
            history.calls.push(call);
        }
        for execution in &self.executions {
            let nonce = execution.nonce.as_deref();
            if let Some(history) = nonce.and_then(|nonce| histories.get_mut(nonce)) {
                history.executions.push(execution);
            }
        }
        for history in histories.values_mut() {
            history.calls.sort_by_key(|call| call.sent_micros);
            history.executions.sort_by_key(|run| run.started_micros);
        }
        histories
    }

    fn check_history(&self, history: &RequestHistory<'_>, breaches: &mut Vec<LedgerBreach>) {
        check_runs(history, breaches);
        check_answers(history, breaches);
        check_not_run(history, breaches);
        self.check_customer(history, breaches);
    }

    fn check_customer(&self, history: &RequestHistory<'_>, breaches: &mut Vec<LedgerBreach>) {
        let (Some(call), Some(run)) = (history.calls.first(), history.executions.first()) else {
            return;
        };
        if let Some(run_as) = run
            .customer
            .as_ref()
            .filter(|run_as| **run_as != call.customer)
        {
            breaches.push(LedgerBreach::WrongCustomer {
                nonce: call.nonce.clone(),
                run_as: run_as.clone(),
                sent_as: call.customer.clone(),
            });
        }
        let terms = self.terms.get(&call.customer);
        let Some(withdrawn) = terms.and_then(|terms| terms.withdrawn_micros) else {
            return;
        };
        let after_ms = call.sent_micros.saturating_sub(withdrawn) / MICROS_PER_MS;
        if after_ms > self.bounds.withdrawal_ms {
            breaches.push(LedgerBreach::WithdrawnKeyRan {
                nonce: call.nonce.clone(),
                customer: call.customer.clone(),
                after_ms,
            });
        }
    }

    fn check_keys(&self, breaches: &mut Vec<LedgerBreach>) {
        for execution in &self.executions {
            let decoded = percent_decode(&execution.head);
            for (customer, terms) in &self.terms {
                let Some(key) = terms.key.as_deref().filter(|key| !key.is_empty()) else {
                    continue;
                };
                if execution.head.contains(key) || decoded.contains(key) {
                    breaches.push(LedgerBreach::KeyLeaked {
                        customer: customer.clone(),
                        target: execution.target.clone(),
                        path: execution.path.clone(),
                    });
                }
            }
        }
    }

    fn check_rates(
        &self,
        histories: &BTreeMap<&str, RequestHistory<'_>>,
        verdict: &mut LedgerVerdict,
    ) {
        let mut by_customer: HashMap<&str, Vec<&CallRecord>> = HashMap::new();
        for call in &self.calls {
            by_customer.entry(&call.customer).or_default().push(call);
        }
        for (customer, terms) in &self.terms {
            let calls = by_customer.remove(customer.as_str());
            let (Some(allowance), Some(mut calls)) = (terms.allowance, calls) else {
                continue;
            };
            let admitted = calls
                .iter()
                .filter_map(|call| admission(call, &histories[call.nonce.as_str()]));
            if let Some(excess) = find_excess(admitted, allowance) {
                verdict.breaches.push(LedgerBreach::OverAdmission {
                    customer: customer.clone(),
                    window_ms: excess.length_micros.div_ceil(MICROS_PER_MS),
                    admitted: excess.admitted,
                    allowed: excess.allowed,
                });
            }
            calls.sort_by_key(|call| call.sent_micros);
            let refused = count_wrong_refusals(&calls, allowance);
            verdict.wrong_refusals.insert(customer.clone(), refused);
            let sent = calls.len() as u64;
            let bound = self.bounds.wrong_refusals_ppm;
            if bound.is_some_and(|bound| refused * PPM > bound * sent) {
                verdict.breaches.push(LedgerBreach::WrongRefusals {
                    customer: customer.clone(),
                    refused,
                    sent,
                });
            }
        }
    }
}

/// Counts the refusals because of the rate at a time when the customer had a token left.
///
/// The token bucket is charged with the requests that were really admitted, at the time of sending.
/// So refusals count if the fleet limits the customer below its rate, and don't if it limits the
/// customer at its rate.
fn count_wrong_refusals(calls: &[&CallRecord], allowance: RateAllowance) -> u64 {
    let mut tokens = allowance.burst;
    let mut last = calls.first().map_or(0, |call| call.sent_micros);
    let mut wrong = 0;
    for call in calls {
        let elapsed = (call.sent_micros - last) as f64 / 1e6;
        tokens = (tokens + elapsed * allowance.rate).min(allowance.burst);
        last = call.sent_micros;
        if call.outcome.is_refused_for("rate-exceeded") {
            wrong += u64::from(tokens >= REFUSAL_TOKENS + allowance.rate * 1e-3);
        } else if !call.outcome.is_not_run() {
            tokens = (tokens - 1.0).max(0.0);
        }
    }
    wrong
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let digits = text.get(index + 1..index + 3);
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code.filter(|_| bytes[index] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
