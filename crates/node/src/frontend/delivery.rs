//! What a client has not received yet of its responses: those to requests that are not complete, not written, or not acknowledged by the
//! client's machine. Replies to other commands, such as PING, do not count.
//!
//! Output that the system has accepted is not delivered yet: if the connection is closed and anything arrives on it, the system
//! answers with a reset and drops what it still holds (RFC 9293, section 3.10.7). So whoever closes a connection, or ends the
//! process, asks [`ClientConnection::has_undelivered_response`] first.
//!
//! No event reports that bytes were acknowledged, so the system is asked. It is asked about the connections that somebody waits to
//! close, and by the sweep until these have delivered their output or have stalled; if a new connection waits for it, more often.

use sloewick_decision::api::Micros;

use crate::frontend::acceptor::CLIENT_SEND_BUFFER;
use crate::frontend::connection::ClientConnection;
use crate::frontend::pending_response::PendingResponse;
use crate::transfer_progress::TransferProgress;
use crate::transport::Stream;

/// How often the system is asked about a connection that another one waits to replace. A machine may delay an acknowledgement by 40 ms.
pub(crate) const DELIVERY_CHECK_INTERVAL: Micros = 5_000;

/// How far the client's machine has acknowledged what was written to it.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    /// Bytes that were written to the connection.
    written: u64,
    /// Bytes of the connection's output up to the end of the last response to a request.
    response_end: u64,
    /// Bytes that were acknowledged when this was last observed.
    acknowledged: u64,
    /// When this was last observed.
    observed_at: Micros,
    /// Whether bytes are being acknowledged, since the first time that somebody waited for it.
    progress: TransferProgress,
}

impl Delivery {
    /// Records bytes that were written.
    pub(crate) fn record_write(&mut self, bytes: usize) {
        self.written += bytes as u64;
    }

    /// Records that the response to a request has been queued; `queued`: bytes that wait to be written up to its end.
    pub(crate) fn record_response(&mut self, queued: usize) {
        self.response_end = self.written + queued as u64;
    }

    /// Whether a response to a request has not been acknowledged completely.
    fn is_undelivered(&self, unacknowledged: usize) -> bool {
        self.response_end > self.written.saturating_sub(unacknowledged as u64)
    }

    /// Records how many bytes are not acknowledged now.
    fn observe(&mut self, now: Micros, unacknowledged: usize) {
        self.observed_at = now;
        if unacknowledged == 0 {
            return self.progress.end();
        }
        let acknowledged = self.written.saturating_sub(unacknowledged as u64);
        let moved = acknowledged.saturating_sub(self.acknowledged);
        self.acknowledged += moved;
        if self.progress.since().is_none() {
            self.progress.begin(now);
        } else {
            self.progress.record(now, moved as usize);
        }
    }

    /// Whether delivery is being observed and is not complete.
    fn is_awaited(&self) -> bool {
        self.progress.since().is_some()
    }

    /// Whether next to nothing has been acknowledged for `limit`.
    pub(crate) fn has_stalled(&self, now: Micros, limit: Micros) -> bool {
        self.progress.has_stalled(now, limit)
    }
}

impl<S: Stream> ClientConnection<S> {
    /// Whether the client has not received all responses to its requests: the end of this connection, or of the process, could
    /// destroy them.
    pub(crate) fn has_undelivered_response(&self) -> bool {
        let unacknowledged = self.stream.unacknowledged().unwrap_or(0);
        self.responses
            .iter()
            .any(PendingResponse::is_final_response)
            || self.delivery.is_undelivered(unacknowledged)
    }

    /// Whether the system holds output that the client's machine has not acknowledged. False if the system does not tell.
    pub(crate) fn is_output_in_transit(&self) -> bool {
        self.stream.unacknowledged().is_some_and(|bytes| bytes > 0)
    }

    /// Has the system take all output that waits here, which it delivers even if the process is killed. The output of a value that is
    /// still streamed stays bounded, since the system would take more of it than the process may use memory for.
    pub(crate) fn make_room_for_output(&mut self) {
        if !self.out.is_empty() && !self.is_streaming() {
            self.stream
                .limit_send_buffer(CLIENT_SEND_BUFFER + self.out.len());
        }
    }

    /// Observes how far the output has been delivered, for a connection that somebody waits to close.
    pub(crate) fn observe_delivery(&mut self, now: Micros) {
        let unacknowledged = self.stream.unacknowledged();
        self.delivery.observe(now, unacknowledged.unwrap_or(0));
    }

    /// Whether nothing would be lost if the connection were closed now: the client has received all output, and the kernel holds no
    /// input. While output is in transit the system is not asked again before [`DELIVERY_CHECK_INTERVAL`] is over.
    pub(crate) fn is_delivered_without_input(&mut self, now: Micros) -> bool {
        let is_known = now - self.delivery.observed_at < DELIVERY_CHECK_INTERVAL;
        if self.delivery.is_awaited() && is_known || !self.stream.has_no_input() {
            return false;
        }
        self.observe_delivery(now);
        !self.delivery.is_awaited()
    }

    /// Whether output was in transit when this was last observed.
    pub(crate) fn has_observed_output_in_transit(&self) -> bool {
        self.delivery.is_awaited()
    }

    /// Whether somebody waits for the output to be delivered.
    pub(crate) fn awaits_delivery(&self) -> bool {
        self.is_lingering() || self.delivery.is_awaited()
    }
}

#[cfg(test)]
#[path = "delivery_tests.rs"]
mod tests;
