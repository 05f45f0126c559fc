//! This node's averages of failures over all servers.

use crate::api::Status;
use crate::server_health::{AVERAGING_SPAN, MIN_SILENT_FRACTION};

/// Moving averages over the requests and attempts that this node finished last, at all servers.
pub(crate) struct FailureFractions {
    /// Fraction of requests that failed or were answered after their latency objective.
    pub(crate) late: f64,
    /// Fraction of attempts that were not answered within their expected latency.
    pub(crate) silent: f64,
    /// Fraction of attempts whose connection broke, among those that ended with a response or a broken
    /// connection.
    pub(crate) reset: f64,
}

impl Default for FailureFractions {
    fn default() -> FailureFractions {
        FailureFractions {
            late: 0.0,
            silent: MIN_SILENT_FRACTION,
            reset: 0.0,
        }
    }
}

impl FailureFractions {
    /// Records the end of a request. `late`: it failed or was answered after its latency objective.
    pub(crate) fn record_request(&mut self, late: bool) {
        self.late += (f64::from(u8::from(late)) - self.late) / AVERAGING_SPAN;
    }

    pub(crate) fn record_connection(&mut self, status: Status) {
        if matches!(status, Status::Ok | Status::Error | Status::Reset) {
            let reset = f64::from(u8::from(status == Status::Reset));
            self.reset += (reset - self.reset) / AVERAGING_SPAN;
        }
    }

    pub(crate) fn record_answered(&mut self) {
        self.silent -= self.silent / AVERAGING_SPAN;
    }

    pub(crate) fn record_silent(&mut self) {
        self.silent += (1.0 - self.silent) / AVERAGING_SPAN;
    }
}
