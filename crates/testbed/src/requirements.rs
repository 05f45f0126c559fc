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
pub struct Requirements {
    /// By class.
    pub classes: Vec<Repeat>,
    /// How long after the client's deadline an answer still counts.
    pub slack: Micros,
    /// Time after the announcement within which nodes may still send to a server that is draining or gone.
    pub grace: Micros,
    /// Longest delay of the network, one way.
    pub network_delay: Micros,
    /// The time over which the work of a cold server is summed.
    pub overload_window: Micros,
    /// What a cold server can take.
    pub cold: ColdServerLimits,
}

/// What a server that is warming up can take.
#[derive(Clone, Debug)]
pub struct ColdServerLimits {
    /// Fraction of its capacity at its start.
    pub initial_fraction: f64,
    /// How long it warms up.
    pub warm_up_time: Micros,
    /// It fails at so many times its capacity over the time that work is summed.
    pub overload_multiple: f64,
    /// Mean work of a request, by class.
    pub mean_work: Vec<Micros>,
}

impl ColdServerLimits {
    /// Requests of the least mean work that a box of this speed and age bears in the time to a fall, with what is put
    /// down to chance.
    pub(crate) fn borne(&self, speed: f64, age: Micros, fall: Micros) -> f64 {
        let grown = (self.initial_fraction
            + (1.0 - self.initial_fraction) * age as f64 / self.warm_up_time.max(1) as f64)
            .min(1.0);
        let budget = self.overload_multiple * speed * grown * fall as f64 / self.unit();
        budget + 2.0 * budget.sqrt() + 2.0
    }

    pub(crate) fn unit(&self) -> f64 {
        self.mean_work.iter().copied().min().unwrap_or(1).max(1) as f64
    }
}
