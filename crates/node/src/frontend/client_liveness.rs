//! When a client was last known to have its connection open.
//!
//! The end of a connection stands behind all that the client sent before it. While the node's receive window is full, its kernel
//! does not know of the end. What the client's machine acknowledges shows that the connection was open when it arrived: a machine
//! whose client has closed the connection answers further bytes with a reset (RFC 9293, section 3.10.7; RFC 1122, section 4.2.2.13).

use std::collections::VecDeque;

use sloewick_decision::api::Micros;

/// Bytes that a client may have sent at once without filling the receive window.
const MAX_BYTES_IN_WINDOW: usize = 16 << 10;
/// How long nothing has to arrive on a connection, whose input has been read, before no input can be on its way.
const MAX_TRANSIT_TIME: Micros = 20_000;
/// How long ago a client must have been known to have its connection open for an attempt to start for it. Attempts may start until
/// 0.1 s after a close.
const MAX_AGE: Micros = 60_000;
/// Most writes that are remembered, the newest ones.
const MAX_WRITES: usize = 16;
/// Writes within this time count as one, at the time of the first.
const MIN_WRITE_INTERVAL: Micros = 4_000;

/// Bytes that were written to a client within [`MIN_WRITE_INTERVAL`].
#[derive(Clone, Copy, Debug)]
struct Write {
    /// When the first of them were written.
    at: Micros,
    /// Bytes that were written to the connection before.
    offset: u64,
}

/// What is known of the client's end of a connection. See the module documentation.
#[derive(Debug)]
pub(crate) struct ClientLiveness {
    /// When the connection was last known to be open.
    known_open: Micros,
    /// Bytes that have been read since no input was unread.
    burst: usize,
    /// When the input was last read to its end; None while there may be unread input.
    drained_at: Option<Micros>,
    written: u64,
    /// Writes of which no byte has been acknowledged, oldest first.
    writes: VecDeque<Write>,
}

impl ClientLiveness {
    /// The connection was accepted, and opened no earlier than `since`.
    pub(crate) fn new(since: Micros) -> ClientLiveness {
        ClientLiveness {
            known_open: since,
            burst: 0,
            drained_at: None,
            written: 0,
            writes: VecDeque::new(),
        }
    }

    /// Records that input arrived, `since` at the earliest.
    pub(crate) fn input_arrived(&mut self, since: Micros) {
        if !self.may_hide_end(since) {
            self.known_open = self.known_open.max(since);
            self.burst = 0;
        }
        self.drained_at = None;
    }

    /// Records bytes that were read.
    pub(crate) fn record_read(&mut self, bytes: usize) {
        self.burst += bytes;
    }

    /// Records that all input has been read. `ends_message`: nothing follows the last message. An end that was sent with the last
    /// bytes would have been read with them.
    pub(crate) fn input_drained(&mut self, now: Micros, ends_message: bool) {
        self.drained_at = Some(now);
        if ends_message || self.burst <= MAX_BYTES_IN_WINDOW {
            self.known_open = now;
            self.burst = 0;
        }
    }

    /// Records bytes that were written.
    pub(crate) fn record_write(&mut self, now: Micros, bytes: usize) {
        let offset = self.written;
        self.written += bytes as u64;
        let last = self.writes.back();
        if last.is_some_and(|last| now - last.at < MIN_WRITE_INTERVAL) {
            return;
        }
        self.writes.push_back(Write { at: now, offset });
        if self.writes.len() > MAX_WRITES {
            self.writes.pop_front();
        }
    }

    /// Whether the client may have closed the connection without the kernel knowing of it.
    fn may_hide_end(&self, now: Micros) -> bool {
        let is_idle = self
            .drained_at
            .is_some_and(|at| now - at >= MAX_TRANSIT_TIME);
        self.burst > MAX_BYTES_IN_WINDOW && !is_idle
    }

    /// Whether it is too long ago that the connection was known to be open. `unacknowledged`: returns the number of written bytes
    /// that the client's machine has not acknowledged. The first byte of a write shows it: a machine may acknowledge the last ones
    /// 0.2 s later (delayed acknowledgements, RFC 9293, section 3.8.6.3).
    pub(crate) fn is_uncertain(
        &mut self,
        now: Micros,
        unacknowledged: impl FnOnce() -> usize,
    ) -> bool {
        if !self.may_hide_end(now) {
            return false;
        }
        let acknowledged = self.written.saturating_sub(unacknowledged() as u64);
        while let Some(write) = self.writes.front().filter(|w| w.offset < acknowledged) {
            self.known_open = self.known_open.max(write.at);
            self.writes.pop_front();
        }
        now - self.known_open > MAX_AGE
    }
}

#[cfg(test)]
#[path = "client_liveness_tests.rs"]
mod tests;
