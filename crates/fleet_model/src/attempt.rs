//! Attempts to serve a request, each at one server, and the requests that have no final response yet.

use sloewick_decision::api::{Micros, RequestId};

/// Index of an attempt in the model's list of all attempts.
pub(crate) type AttemptIndex = usize;

/// How far an attempt has progressed at its server.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptStage {
    /// The attempt waits for the server's core.
    Queued,
    /// The server's core processes the attempt.
    Processing,
    /// The server waits for the origin's answer.
    AtOrigin,
    /// The server has answered the attempt, or the attempt was cancelled.
    Done,
}

/// A request as sent to one server.
pub(crate) struct Attempt {
    pub(crate) node: usize,
    pub(crate) request: RequestId,
    /// Position among the attempts of the same request, from 0.
    pub(crate) number: usize,
    pub(crate) server: usize,
    pub(crate) key: usize,
    pub(crate) write: bool,
    pub(crate) sent_at: Micros,
    pub(crate) stage: AttemptStage,
    /// Whether the node still waits for an answer to this attempt.
    pub(crate) awaited: bool,
}

/// A request without a final response.
pub(crate) struct PendingRequest {
    pub(crate) node: usize,
    pub(crate) write: bool,
    pub(crate) key: usize,
    pub(crate) arrived_at: Micros,
    /// True for a client's first request, false for the client's retry.
    pub(crate) first_try: bool,
    pub(crate) attempts: Vec<AttemptIndex>,
}
