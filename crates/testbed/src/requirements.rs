//! What the checker requires of a site: how requests may be repeated, time limits, and what a cold server bears.
//!
//! These types hold no behaviour of a run. Emulators, checker and site all use them, and they use none of the three.

use sloewick_decision::api::Micros;

/// Time within which a misbehaving client has to get an error or a closed connection.
pub const MISBEHAVING_CLIENT_RESPONSE_LIMIT: Micros = 3_000_000;

/// How a class of requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    Free,
    /// All boxes drop a repeat of the key for this long.
    Keyed(Micros),
    Unsafe,
}

/// The settings' figures.
#[derive(Clone, Debug)]
pub struct Figures {
    pub classes: Vec<Repeat>,
    /// How long after the client's time an answer still counts.
    pub slack: Micros,
    /// When sending to a draining or gone box must have ceased.
    pub grace: Micros,
    /// Longest way of anything over the network, one way.
    pub way: Micros,
    /// The time over which a cold box's work is summed.
    pub fall: Micros,
    pub cold: Cold,
}

/// What a cold box bears, as the settings have it.
#[derive(Clone, Debug)]
pub struct Cold {
    /// Part of its capacity at its start, and when it has all.
    pub from: f64,
    pub time: Micros,
    /// It bears so many times its capacity over the time to a fall.
    pub multiple: f64,
    /// Mean work of a request, by class.
    pub work: Vec<Micros>,
}

impl Cold {
    /// Requests of the least mean work that a box of this speed and age bears in the time to a fall, with what is put
    /// down to chance.
    pub(crate) fn borne(&self, speed: f64, age: Micros, fall: Micros) -> f64 {
        let grown = (self.from + (1.0 - self.from) * age as f64 / self.time.max(1) as f64).min(1.0);
        let budget = self.multiple * speed * grown * fall as f64 / self.unit();
        budget + 2.0 * budget.sqrt() + 2.0
    }

    pub(crate) fn unit(&self) -> f64 {
        self.work.iter().copied().min().unwrap_or(1).max(1) as f64
    }
}
