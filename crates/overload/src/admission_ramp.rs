//! Limits the fraction of the requests that may need the origin while the origin is overloaded, and raises
//! the fraction again afterwards.
//!
//! The limit is a fraction of the requests because the fractions of all nodes add up to a fraction of the
//! fleet's load, for any number of nodes and any distribution of the traffic over them. Each node lowers and
//! raises its own fraction based on the outcomes that it observes itself, so the nodes do not all change
//! theirs at the same instant.
//!
//! Guarantees:
//!
//! - The fraction lies between `MIN_FRACTION` and 1.
//! - Without an overload it rises from the minimum to 1 within five seconds, or within two seconds if the
//!   last overload began while it was 1, provided that requests keep arriving.
//! - Between two requests it changes by at most the change of one second (`MAX_STEP`). A process that was
//!   suspended therefore resumes with its previous state and continues from there.
//! - While no time passes it does not change.

use crate::detector::Micros;

/// Minimum of the admitted fraction. The requests that it admits probe whether the overload has ended. At
/// this minimum all nodes together send one fiftieth of the usual requests.
const MIN_FRACTION: f64 = 0.02;
/// Fraction above which it falls fast. An origin that is eight times slower than usual, and usually runs at
/// less than half of its capacity, can still serve a quarter of the usual fetches. At one fifth its queue
/// drains, while caches hold popular keys.
const FAST_FALL_THRESHOLD: f64 = 0.2;
/// Time in which the fraction falls to 1/e above `FAST_FALL_THRESHOLD`, in microseconds: about the time that
/// detection takes.
const FAST_FALL_TIME: f64 = 1_000_000.0;
/// Time in which the fraction falls to 1/e at or below `FAST_FALL_THRESHOLD`, in microseconds. Only a
/// load that stays too high lowers the fraction that far.
const SLOW_FALL_TIME: f64 = 20_000_000.0;
/// Time in which the fraction rises by a factor of e below `fast_rise_threshold`, in microseconds.
const FAST_RISE_TIME: f64 = 500_000.0;
/// Time in which the fraction rises by a factor of e from `fast_rise_threshold` on, in microseconds. A new
/// overload would be detected within this second.
const SLOW_RISE_TIME: f64 = 1_000_000.0;
/// Maximum time between two requests that changes the fraction, in microseconds. Time beyond it is ignored.
const MAX_STEP: Micros = 1_000_000;

/// The fraction of requests that one node admits. The module documentation describes its guarantees.
#[derive(Clone, Debug)]
pub struct AdmissionRamp {
    fraction: f64,
    /// Fraction below which it rises fast: half of the fraction at which the last overload began, or 1 if
    /// that was 1.
    fast_rise_threshold: f64,
    /// Whether the origin was overloaded at the last update.
    overloaded: bool,
    /// Latest time of an update.
    updated_at: Micros,
}

impl AdmissionRamp {
    /// Creates a ramp that admits all requests.
    pub fn new(now: Micros) -> AdmissionRamp {
        AdmissionRamp {
            fraction: 1.0,
            fast_rise_threshold: 1.0,
            overloaded: false,
            updated_at: now,
        }
    }

    /// Updates the fraction to the time `now` and returns it. `overloaded` tells whether the origin is
    /// overloaded at that time.
    pub fn admitted_fraction(&mut self, now: Micros, overloaded: bool) -> f64 {
        let elapsed = (now - self.updated_at).clamp(0, MAX_STEP) as f64;
        self.updated_at = self.updated_at.max(now);
        if overloaded && !self.overloaded {
            // An overload that begins at full admission does not show that the usual load is too high. One
            // that begins during the rise does.
            self.fast_rise_threshold = if self.fraction >= 1.0 {
                1.0
            } else {
                self.fraction / 2.0
            };
        }
        self.overloaded = overloaded;
        let exponent = match overloaded {
            true if self.fraction > FAST_FALL_THRESHOLD => -elapsed / FAST_FALL_TIME,
            true => -elapsed / SLOW_FALL_TIME,
            false if self.fraction < self.fast_rise_threshold => elapsed / FAST_RISE_TIME,
            false => elapsed / SLOW_RISE_TIME,
        };
        self.fraction = (self.fraction * exponent.exp()).clamp(MIN_FRACTION, 1.0);
        self.fraction
    }
}

#[cfg(test)]
#[path = "admission_ramp_tests.rs"]
mod tests;
