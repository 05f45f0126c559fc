//! The transport, the event buffer, the read buffer and the log, which all parts of the node that use connections share.

use sloewick_decision::api::Micros;

use crate::transport::{Log, ReadyEvent, Transport, MAX_READ};

/// The transport with the buffers and the log that are used with it.
pub(crate) struct Io<N> {
    pub(crate) transport: N,
    /// Buffer for the events of the next poll; its content is that of the last one.
    pub(crate) ready_events: Vec<ReadyEvent>,
    /// Scratch space for reads, [`MAX_READ`] bytes long.
    pub(crate) scratch: Vec<u8>,
    log: Log,
}

impl<N: Transport> Io<N> {
    pub(crate) fn new(net: N) -> Io<N> {
        Io {
            transport: net,
            ready_events: Vec::new(),
            scratch: vec![0; MAX_READ],
            log: Log::default(),
        }
    }

    pub(crate) fn now(&self) -> Micros {
        self.transport.now()
    }

    /// Writes a log line, unless the limit per second is reached.
    pub(crate) fn log(&mut self, text: &str) {
        self.log.write_line(&mut self.transport, text);
    }
}
