//! The check of a customer's rate and burst over every window of time.
//!
//! A request was admitted at an unknown time between the start and the end of its call. A window
//! therefore counts only calls that lie completely in it: an excess that is found is certain,
//! without assumptions on the clocks of gateways.

/// The granularity of a gateway's clock readings, in microseconds.
pub const TIME_QUANTUM_MICROS: u64 = 1_000;

const MICROS_PER_SECOND: f64 = 1e6;
const INACTIVE: f64 = f64::NEG_INFINITY;

/// A customer's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateAllowance {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may arrive at once.
    pub burst: f64,
}

/// A window in which more requests were admitted than allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExcessWindow {
    /// The window's length, in microseconds.
    pub length_micros: u64,
    /// The number of requests admitted in it.
    pub admitted: u64,
    /// The number of requests that the rate and the burst allow in it.
    pub allowed: u64,
}

/// A segment tree with the maximum of a sequence of numbers, under additions to all numbers up to
/// an index.
struct PrefixMaximum {
    width: usize,
    maximum: Vec<f64>,
    pending: Vec<f64>,
}

impl PrefixMaximum {
    fn new(length: usize) -> Self {
        let width = length.next_power_of_two();
        Self {
            width,
            maximum: vec![INACTIVE; 2 * width],
            pending: vec![0.0; 2 * width],
        }
    }

    fn refresh(&mut self, node: usize) {
        let best = self.maximum[2 * node].max(self.maximum[2 * node + 1]);
        self.maximum[node] = best + self.pending[node];
    }

    fn refresh_above(&mut self, leaf: usize) {
        let mut node = (leaf + self.width) / 2;
        while node > 0 {
            self.refresh(node);
            node /= 2;
        }
    }

    /// Sets the number at `index` to `value`; earlier additions do not change it.
    fn activate(&mut self, index: usize, value: f64) {
        let mut above = 0.0;
        let mut node = (index + self.width) / 2;
        while node > 0 {
            above += self.pending[node];
            node /= 2;
        }
        self.maximum[index + self.width] = value - above;
        self.refresh_above(index);
    }

    /// Adds one to all numbers at indices up to and including `last`.
    fn add_one_up_to(&mut self, last: usize) {
        let (mut low, mut high) = (self.width, last + self.width + 1);
        while low < high {
            if low % 2 == 1 {
                self.add_one_at(low);
                low += 1;
            }
            if high % 2 == 1 {
                high -= 1;
                self.add_one_at(high);
            }
            low /= 2;
            high /= 2;
        }
        self.refresh_above(0);
        self.refresh_above(last);
    }

    fn add_one_at(&mut self, node: usize) {
        self.maximum[node] += 1.0;
        self.pending[node] += 1.0;
    }

    /// Returns the index of the largest number.
    fn argmax(&self) -> usize {
        let mut node = 1;
        while node < self.width {
            node *= 2;
            if self.maximum[node + 1] > self.maximum[node] {
                node += 1;
            }
        }
        node - self.width
    }
}

/// Finds the window with the largest excess over the allowance, if there is any.
///
/// `calls` contains the start and the end of each admitted call, in microseconds.
pub fn find_excess(
    calls: impl IntoIterator<Item = (u64, u64)>,
    allowance: RateAllowance,
) -> Option<ExcessWindow> {
    let mut calls: Vec<(u64, u64)> = calls.into_iter().collect();
    calls.sort_unstable();
    let origin = calls.first()?.0;
    let rate = allowance.rate / MICROS_PER_SECOND;
    let tokens = |micros: u64| (micros - origin) as f64 * rate;
    let slack = allowance.burst + rate * TIME_QUANTUM_MICROS as f64;

    let mut by_end: Vec<usize> = (0..calls.len()).collect();
    by_end.sort_unstable_by_key(|index| calls[*index].1);
    let mut counts = PrefixMaximum::new(calls.len());
    let mut worst: Option<(f64, ExcessWindow)> = None;
    for (done, &index) in by_end.iter().enumerate() {
        let (sent, ended) = calls[index];
        let later = by_end[..done]
            .iter()
            .rev()
            .take_while(|other| calls[**other].1 >= sent)
            .filter(|other| **other > index)
            .count();
        counts.activate(index, tokens(sent) + later as f64);
        counts.add_one_up_to(index);
        let excess = counts.maximum[1] - tokens(ended) - slack;
        if excess > 1e-6 && worst.is_none_or(|(highest, _)| excess > highest) {
            let begin = calls[counts.argmax()].0;
            worst = Some((excess, window(begin, ended, &calls, allowance)));
        }
    }
    worst.map(|(_, window)| window)
}

fn window(begin: u64, end: u64, calls: &[(u64, u64)], allowance: RateAllowance) -> ExcessWindow {
    let admitted = calls
        .iter()
        .filter(|(sent, ended)| *sent >= begin && *ended <= end)
        .count() as u64;
    let length_micros = end - begin;
    let refill = allowance.rate * length_micros as f64 / MICROS_PER_SECOND;
    ExcessWindow {
        length_micros,
        admitted,
        allowed: (allowance.burst + refill).floor() as u64,
    }
}
