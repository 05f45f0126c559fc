//! What is left of a request's time behind the link. There is no shared clock: what crosses is a span, counted by the
//! far side from arrival.

use std::collections::VecDeque;

use sloewick_decision::api::Micros;

/// Round trips that count.
const KEPT: usize = 10;

/// The measured delay of a link.
#[derive(Debug, Default)]
pub struct Delay {
    round_trips: VecDeque<Micros>,
}

impl Delay {
    /// A heartbeat came back.
    pub fn measured(&mut self, round_trip: Micros) {
        self.round_trips.push_back(round_trip.max(0));
        if self.round_trips.len() > KEPT {
            self.round_trips.pop_front();
        }
    }

    /// One way, on the safe side: half of the last round trip, and no less than half of the least of late. None before
    /// the first heartbeat.
    pub fn one_way(&self) -> Option<Micros> {
        let last = self.round_trips.back()?;
        let least = self.round_trips.iter().min()?;
        Some((*last).max(*least) / 2 + 1)
    }

    /// What the far side may use of a request's time, so that its answer is back `margin` before it is over; none if
    /// that is less than `least`.
    pub fn left(&self, remaining: Micros, margin: Micros, least: Micros) -> Option<Micros> {
        let left = remaining - 2 * self.one_way()? - margin;
        (left >= least.max(1)).then_some(left)
    }
}

#[cfg(test)]
#[path = "deadline_tests.rs"]
mod tests;
