//! Attempts: one copy of a request at one server, and the request that it belongs to while that is pending.

use sloewick_decision::api::{Micros, RequestId};

/// Index of an attempt in the model's list of attempts.
pub(crate) type AttemptIndex = usize;

/// Where an attempt is.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Stage {
    /// It waits at its server.
    Queued,
    /// The core of its server works on it.
    Working,
    /// Its server waits for the origin.
    AtOrigin,
    /// Its server has answered, or has dropped it.
    Done,
}

/// A copy of a request that was sent to a server.
pub(crate) struct Attempt {
    pub(crate) node: usize,
    pub(crate) request: RequestId,
    /// Number among the attempts of its request, from 0 on.
    pub(crate) number: usize,
    pub(crate) server: usize,
    pub(crate) key: usize,
    pub(crate) write: bool,
    pub(crate) sent_at: Micros,
    pub(crate) stage: Stage,
    /// Whether its node still waits for an answer.
    pub(crate) awaited: bool,
}

/// A request without a final response.
pub(crate) struct PendingRequest {
    pub(crate) node: usize,
    pub(crate) write: bool,
    pub(crate) key: usize,
    pub(crate) arrived_at: Micros,
    /// Whether it is the client's first request, not its retry.
    pub(crate) first: bool,
    pub(crate) attempts: Vec<AttemptIndex>,
}
