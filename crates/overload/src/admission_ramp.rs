//! How much of what may need the origin is let through while it jams, and how fast it is let in again.
//!
//! A share of the requests, and not a number of them: the shares of all nodes add up to a share of the fleet's load, however many nodes
//! there are and however uneven their traffic is. Each node closes and opens by its own evidence, so not all at one instant.
//!
//! Guarantees: the share lies between [`LEAST`] and 1. From the least it is whole within five seconds without a jam, and within two
//! where the last one began in calm, as long as requests come: it moves by a second's worth at most between two of them, so that a
//! process that was stopped wakes with what it believed, and opens from there. With no time passing it does not move.

use crate::detector::Micros;

/// The least share: what still goes to see whether it is over. All nodes together then ask for a fiftieth of the usual.
const LEAST: f64 = 0.02;
/// The share above which it falls fast. An origin that is eight times slower and usually does less than half of what it can still
/// bears a quarter of the usual fetches; a fifth lets its queue run empty, and caches keep what many ask for.
const FAST: f64 = 0.2;
/// The time in which the share falls to 1/e: about what it takes to be sure of a jam; and below `FAST`, where only a load that
/// stays too high leads.
const CLOSES: f64 = 1_000_000.0;
const CLOSES_ON: f64 = 20_000_000.0;
/// The time in which it rises by e, up to half of the share at which the last jam began, and beyond: a new jam would be seen
/// within the second.
const OPENS: f64 = 500_000.0;
const OPENS_ON: f64 = 1_000_000.0;
/// Longest pause that counts as time in which the belief was held.
const PAUSE_MOST: Micros = 1_000_000;

/// The share of one node.
#[derive(Clone, Debug)]
pub struct Opening {
    share: f64,
    /// Half of the share at which the last jam began.
    half: f64,
    jam: bool,
    at: Micros,
}

impl Opening {
    /// Wide open.
    pub fn new(now: Micros) -> Opening {
        Opening {
            share: 1.0,
            half: 1.0,
            jam: false,
            at: now,
        }
    }

    /// The share to let through now, while there is a jam or none.
    pub fn share(&mut self, now: Micros, jam: bool) -> f64 {
        let passed = (now - self.at).clamp(0, PAUSE_MOST) as f64;
        self.at = self.at.max(now);
        if jam && !self.jam {
            // One jam in calm says nothing of the load that is usual; one that begins while the share still rises does.
            self.half = if self.share >= 1.0 {
                1.0
            } else {
                self.share / 2.0
            };
        }
        self.jam = jam;
        let by = match jam {
            true if self.share > FAST => -passed / CLOSES,
            true => -passed / CLOSES_ON,
            false if self.share < self.half => passed / OPENS,
            false => passed / OPENS_ON,
        };
        self.share = (self.share * by.exp()).clamp(LEAST, 1.0);
        self.share
    }
}

#[cfg(test)]
#[path = "admission_ramp_tests.rs"]
mod tests;
