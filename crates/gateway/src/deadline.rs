//! How much of a request's remaining time the far site may use.
//!
//! The sites have no common clock. A request that crosses the link therefore carries a duration, which the far site
//! counts from the request's arrival. [`LinkDelay`] estimates the delay of the link itself from the last
//! [`MAX_ROUND_TRIPS`] heartbeats, which are its only state. The estimate tends to be too long rather than too short.

use std::collections::VecDeque;

use sloewick_decision::api::Micros;

/// The number of recent round trips that the estimate is based on.
pub const MAX_ROUND_TRIPS: usize = 10;

/// The measured delay of a link.
#[derive(Debug, Default)]
pub struct LinkDelay {
    round_trips: VecDeque<Micros>,
}

impl LinkDelay {
    /// Records the round trip of a heartbeat, in microseconds.
    pub fn record_round_trip(&mut self, round_trip: Micros) {
        self.round_trips.push_back(round_trip.max(0));
        if self.round_trips.len() > MAX_ROUND_TRIPS {
            self.round_trips.pop_front();
        }
    }

    /// Returns the delay of one direction, in microseconds: half of the last round trip, at least half of the
    /// shortest recent one, plus 1. `None` before the first heartbeat.
    pub fn one_way_delay(&self) -> Option<Micros> {
        let last = self.round_trips.back()?;
        let shortest = self.round_trips.iter().min()?;
        Some((*last).max(*shortest) / 2 + 1)
    }

    /// Returns how much of a request's `remaining` time the far site may use, so that the response arrives at the
    /// near site `margin` before the deadline. `None` if that is less than `minimum`, or the delay of the link is
    /// unknown. All times are in microseconds.
    pub fn far_site_budget(
        &self,
        remaining: Micros,
        margin: Micros,
        minimum: Micros,
    ) -> Option<Micros> {
        let budget = remaining - 2 * self.one_way_delay()? - margin;
        (budget >= minimum.max(1)).then_some(budget)
    }
}

#[cfg(test)]
#[path = "deadline_tests.rs"]
mod tests;
