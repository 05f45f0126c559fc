//! The identifier of an attempt, which the request table, the upstream pools and the timers share.

/// Identifies an attempt uniquely within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// Key of the request in the request table.
    pub(crate) request: usize,
    /// Serial number of the request, which tells whether the key still refers to the same request.
    pub(crate) serial: u64,
    /// Number of the attempt within the request, from 0.
    pub(crate) attempt: usize,
}
