//! What the checker requires of a site: how requests may be repeated, time limits, and what a cold server bears.
//!
//! These types hold no behaviour of a run. Emulators, checker and site all use them, and they use none of the three.

use sloewick_decision::api::Micros;

/// Time within which a misbehaving client has to get an error or a closed connection.
pub const MISBEHAVING_CLIENT_RESPONSE_LIMIT: Micros = 3_000_000;

/// How a class of requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    /// Any number of times.
    Free,
    /// Servers deduplicate by its idempotency key for this long.
    Keyed(Micros),
    /// Not once it may have run.
    Unsafe,
}

/// What the settings of a site promise.
#[derive(Clone, Debug)]
pub struct Figures {
    /// By class.
    pub classes: Vec<Repeat>,
    /// How long after the client's deadline an answer still counts.
    pub slack: Micros,
    /// Time after the announcement within which nodes may still send to a server that is draining or gone.
    pub grace: Micros,
    /// Longest delay of the network, one way.
    pub way: Micros,
    /// The time over which the work of a cold server is summed.
    pub fall: Micros,
    /// What a cold server can take.
    pub cold: Cold,
}

/// What a server that is warming up can take.
#[derive(Clone, Debug)]
pub struct Cold {
    /// Fraction of its capacity at its start.
    pub from: f64,
    /// How long it warms up.
    pub time: Micros,
    /// It fails at so many times its capacity over the time that work is summed.
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
