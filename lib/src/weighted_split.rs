//! Divides a route's requests over its destinations by weight, deterministically.

use crate::routing::Destination;

/// The smooth weighted round robin over one route's destinations.
#[derive(Debug, Default)]
pub struct WeightedSplit {
    credits: Vec<i64>,
}

impl WeightedSplit {
    /// Returns the index of the destination of the next request.
    pub fn next(&mut self, destinations: &[Destination]) -> usize {
        if self.credits.len() != destinations.len() {
            self.credits = vec![0; destinations.len()];
        }
        let total: i64 = destinations
            .iter()
            .map(|destination| i64::from(destination.weight))
            .sum();
        for (credit, destination) in self.credits.iter_mut().zip(destinations) {
            *credit += i64::from(destination.weight);
        }
        let next = (0..destinations.len())
            .filter(|index| destinations[*index].weight > 0)
            .max_by_key(|index| self.credits[*index])
            .unwrap_or(0);
        if let Some(credit) = self.credits.get_mut(next) {
            *credit -= total;
        }
        next
    }
}
