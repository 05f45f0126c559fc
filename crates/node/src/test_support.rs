//! Helpers for unit tests: a fake connection whose input the test provides and whose output it inspects, a transport that opens
//! such connections, and a configuration.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;

use sloewick_decision::api::Micros;

use crate::transport::{PendingSignals, ReadyEvent, Stream, Token, Transport};

/// The event of a connection that has been established.
pub(crate) fn connected(token: Token) -> ReadyEvent {
    ReadyEvent {
        token,
        readable: false,
        writable: true,
        read_closed: false,
        error: false,
    }
}

/// The event of a connection whose peer has shut down its sending side, possibly after sending some input.
pub(crate) fn input_ended(token: Token) -> ReadyEvent {
    ReadyEvent {
        readable: true,
        read_closed: true,
        ..connected(token)
    }
}

/// The state of a [`FakeStream`], which the stream shares with the test.
#[derive(Default)]
pub(crate) struct FakeConnection {
    /// Bytes from the peer that have not been read.
    pub(crate) input: VecDeque<u8>,
    /// Whether the peer has shut down its sending side after the input.
    pub(crate) input_ended: bool,
    /// Whether the connection is reset after the input. Only a read reports this, as if the reset arrived after the check for an
    /// error.
    pub(crate) is_reset: bool,
    /// Bytes that were written to the peer.
    pub(crate) output: Vec<u8>,
    /// Whether this side has shut down its sending side.
    pub(crate) output_ended: bool,
    /// Whether the connection is still being established.
    pub(crate) connecting: bool,
    /// The limit on the bytes that the kernel buffers, if one was set.
    pub(crate) send_buffer: Option<usize>,
}

/// The node's end of a [`FakeConnection`].
#[derive(Clone, Default)]
pub(crate) struct FakeStream(pub(crate) Rc<RefCell<FakeConnection>>);

impl Stream for FakeStream {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let mut connection = self.0.borrow_mut();
        let n = into.len().min(connection.input.len());
        for (to, byte) in into.iter_mut().zip(connection.input.drain(..n)) {
            *to = byte;
        }
        match n {
            0 if connection.is_reset => Err(ErrorKind::ConnectionReset.into()),
            0 if !connection.input_ended => Err(ErrorKind::WouldBlock.into()),
            _ => Ok(n),
        }
    }

    fn write(&mut self, chunks: &[IoSlice<'_>]) -> io::Result<usize> {
        let mut connection = self.0.borrow_mut();
        assert!(!connection.output_ended, "write after shutdown_write");
        for chunk in chunks {
            connection.output.extend_from_slice(chunk);
        }
        Ok(chunks.iter().map(|chunk| chunk.len()).sum())
    }

    fn has_no_input(&self) -> bool {
        let connection = self.0.borrow();
        connection.input.is_empty() && !connection.input_ended
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        Ok(None)
    }

    fn check_connected(&self) -> io::Result<()> {
        if self.0.borrow().connecting {
            return Err(ErrorKind::NotConnected.into());
        }
        Ok(())
    }

    fn shutdown_write(&mut self) -> io::Result<()> {
        self.0.borrow_mut().output_ended = true;
        Ok(())
    }

    fn set_reset_on_close(&mut self, _reset: bool) {}

    fn limit_send_buffer(&mut self, bytes: usize) {
        self.0.borrow_mut().send_buffer = Some(bytes);
    }
}

/// The transport of one node: its clock, the connections that it has opened, the lines of its trace and its log, and the endpoint
/// lists that it exchanges with other processes.
#[derive(Default)]
pub(crate) struct FakeTransport {
    pub(crate) now: Micros,
    pub(crate) opened: Vec<FakeStream>,
    pub(crate) traced: Vec<String>,
    pub(crate) log: Vec<String>,
    /// The lists that this process has published.
    pub(crate) published: Vec<Vec<u8>>,
    /// The lists of other processes that have not been read.
    pub(crate) peer_lists: Vec<Vec<u8>>,
    /// Why the last list could not be published.
    pub(crate) publication_error: Option<String>,
}

/// The transport of a process beside others that have published these lists.
pub(crate) fn published_transport(peer_lists: Vec<Vec<u8>>) -> FakeTransport {
    FakeTransport {
        peer_lists,
        ..FakeTransport::default()
    }
}

impl Transport for FakeTransport {
    type Stream = FakeStream;
    type Listener = ();

    fn now(&self) -> Micros {
        self.now
    }

    fn monotonic_time(&self) -> Micros {
        self.now()
    }

    fn boot_id(&self) -> String {
        String::new()
    }

    fn unix_time_at_start(&self) -> Micros {
        0
    }

    fn listen(&mut self, _at: SocketAddr, _token: Token) -> io::Result<()> {
        Err(ErrorKind::Unsupported.into())
    }

    fn accept(&mut self, _listener: &mut (), _token: Token) -> io::Result<FakeStream> {
        Err(ErrorKind::Unsupported.into())
    }

    fn connect(&mut self, _to: SocketAddr, _token: Token) -> io::Result<FakeStream> {
        let stream = FakeStream::default();
        stream.0.borrow_mut().connecting = true;
        self.opened.push(stream.clone());
        Ok(stream)
    }

    fn poll(&mut self, _ready: &mut Vec<ReadyEvent>, _wait: Micros) -> io::Result<()> {
        Ok(())
    }

    fn trace(&mut self, line: &str) {
        self.traced.push(line.to_string());
    }

    fn take_signals(&mut self) -> PendingSignals {
        PendingSignals::default()
    }

    fn log(&mut self, line: &str) {
        self.log.push(line.to_string());
    }

    fn changed_endpoint_lists(&mut self, _max_len: usize) -> Vec<io::Result<Vec<u8>>> {
        self.peer_lists.drain(..).map(Ok).collect()
    }

    fn publish_endpoint_list(&mut self, list: Vec<u8>) -> bool {
        self.published.push(list);
        true
    }

    fn take_publication_error(&mut self) -> Option<String> {
        self.publication_error.take()
    }
}

const LISTEN: &str = "127.0.0.1:7001";
/// The address of discovery in [`config_text`].
pub(crate) const DISCOVERY_ADDRESS: &str = "127.0.0.1:7002";

/// The configuration of a node with eight servers, a class `read` and a tenant `acme`.
pub(crate) fn config_text() -> String {
    let class =
        r#"{"name": "read", "aim": 20000.0, "deadline": 20000.0, "repeat": "free", "worth": 1.0}"#;
    let servers: Vec<String> = (0..8)
        .map(|n| {
            format!(
                r#"{{"uid": "s-{n}", "endpoint": "127.0.0.2:{}", "az": "a", "model": "m", "pod_group": 0,
                    "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0}}"#,
                7100 + n
            )
        })
        .collect();
    format!(
        r#"{{"name": "n1", "listen": "{LISTEN}", "discovery": "{DISCOVERY_ADDRESS}", "seed": "8c1f30d27a5be964",
            "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}},
            "known": {{"rev": 41, "all": true, "targets": [{}]}},
            "settings": {{"classes": [{class}], "discovery": "push", "replicas_of_me": 1,
              "realms": [{{"name": "acme", "quota_per_s": 1000.0, "share": 1.0}}],
              "policy_limits": {{"try_limit": 3, "second_copies": true, "cancel": true, "connect_timeout": 5000.0,
                                "conn_idle": 60000.0}},
              "rules": {{"stop_sending_within": 2000.0, "cold_from": 0.13, "cold": 24000.0, "fall_multiple": 2.5,
                        "fall": 2000.0, "grace_to_answer": 8.0, "ask_within": 200.0}}}}}}"#,
        servers.join(",")
    )
}
