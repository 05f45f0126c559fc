//! What the owners of connections share: the transport, the events of its last poll, a read buffer, the log.

use sloewick_decision::api::Micros;

use crate::transport::{Log, ReadyEvent, Transport, MAX_READ};

/// The transport and what goes with it.
pub(crate) struct Io<N> {
    pub(crate) net: N,
    /// An empty buffer for the events of the next poll.
    pub(crate) ready: Vec<ReadyEvent>,
    /// Scratch space for reads.
    pub(crate) scratch: Vec<u8>,
    log: Log,
}

impl<N: Transport> Io<N> {
    pub(crate) fn new(net: N) -> Io<N> {
        Io {
            net,
            ready: Vec::new(),
            scratch: vec![0; MAX_READ],
            log: Log::default(),
        }
    }

    pub(crate) fn now(&self) -> Micros {
        self.net.now()
    }

    /// Writes a log line.
    pub(crate) fn log(&mut self, text: &str) {
        self.log.line(&mut self.net, text);
    }
}
