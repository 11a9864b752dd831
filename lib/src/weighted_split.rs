//! Divides a route's requests over its destinations by their weights, without chance.

use crate::routing::Destination;

/// The turns of one route's destinations: smooth weighted round robin.
#[derive(Debug, Default)]
pub struct WeightedSplit {
    credits: Vec<i64>,
}

impl WeightedSplit {
    /// Returns the index of the destination whose turn it is.
    pub fn next(&mut self, destinations: &[Destination]) -> usize {
        if self.credits.len() != destinations.len() {
            self.credits = vec![0; destinations.len()];
        }
        let total: i64 = destinations.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(destinations) {
            *credit += i64::from(part.weight);
        }
        let turn = (0..destinations.len())
            .filter(|index| destinations[*index].weight > 0)
            .max_by_key(|index| self.credits[*index])
            .unwrap_or(0);
        if let Some(credit) = self.credits.get_mut(turn) {
            *credit -= total;
        }
        turn
    }
}
