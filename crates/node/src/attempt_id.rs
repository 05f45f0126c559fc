//! Identifies attempts to all owners that carry them: request table, upstream pools, timers.

/// Identifies an attempt among all that this process has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// Key of the request.
    pub(crate) request: usize,
    /// Serial number of the request, which tells whether the key still stands for the same one.
    pub(crate) serial: u64,
    /// Number of the attempt within the request.
    pub(crate) attempt: usize,
}
