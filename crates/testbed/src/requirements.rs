//! What the checker requires of the nodes of a site: how requests may be repeated, time limits, and the load that a cold
//! server can process.
//!
//! These types contain no logic of a run. Emulators, checker and site depend on them, and they depend on none of the three.

use sloewick_decision::api::Micros;

/// Time within which a node has to answer a misbehaving client with an error or close its connection.
pub const MISBEHAVING_CLIENT_RESPONSE_LIMIT: Micros = 3_000_000;

/// How a class of requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    /// Any number of times.
    Free,
    /// Any number of times within this deduplication window, for which servers recognize its idempotency key.
    Keyed(Micros),
    /// Not after an attempt of it may have run.
    Unsafe,
}

/// Limits that follow from the settings of a site.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// How requests may be repeated, by class.
    pub classes: Vec<Repeat>,
    /// Time after the client's deadline until which an answer still counts as in time.
    pub slack: Micros,
    /// Time after the announcement within which nodes may still send to a server that is draining or removed.
    pub grace: Micros,
    /// Longest delay of the network in one direction.
    pub network_delay: Micros,
    /// Time over which the work that a cold server receives is summed.
    pub overload_window: Micros,
    /// The load that a cold server can process.
    pub cold: ColdServerLimits,
}

/// The number of requests that a cold server bears if it can process `budget` requests of mean work: two standard deviations and
/// two requests more, since nodes that share a budget without coordination exceed it by chance.
pub(crate) fn with_allowance_for_chance(budget: f64) -> f64 {
    budget + 2.0 * budget.sqrt() + 2.0
}

/// The load that a server can process during its slow start.
#[derive(Clone, Debug)]
pub struct ColdServerLimits {
    /// Capacity at its start, as a fraction of its capacity when warm.
    pub initial_fraction: f64,
    /// Time from its start until it is warm.
    pub warm_up_time: Micros,
    /// The server fails if the work of the overload window exceeds this multiple of its capacity, with an allowance for chance.
    pub overload_multiple: f64,
    /// Mean processing time of a request on a standard core, by class.
    pub mean_work: Vec<Micros>,
}

impl ColdServerLimits {
    /// Number of requests of the least mean work that a server of this speed and age can process within the window, with an
    /// allowance of two standard deviations and two requests for chance.
    pub(crate) fn capacity(&self, speed: f64, age: Micros, window: Micros) -> f64 {
        let warm_fraction = (self.initial_fraction
            + (1.0 - self.initial_fraction) * age as f64 / self.warm_up_time.max(1) as f64)
            .min(1.0);
        let budget =
            self.overload_multiple * speed * warm_fraction * window as f64 / self.least_work();
        with_allowance_for_chance(budget)
    }

    /// The least mean work of all classes, in microseconds.
    pub(crate) fn least_work(&self) -> f64 {
        self.mean_work.iter().copied().min().unwrap_or(1).max(1) as f64
    }
}
