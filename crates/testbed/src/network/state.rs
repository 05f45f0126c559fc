//! The state of hosts, connections and listening sockets, and the events that change it.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::Bytes;
use sloewick_decision::api::Micros;
use sloewick_node::transport::{PendingSignals, Token};

use super::HostId;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A connection request arrives at the host that listens.
    Syn { conn: usize, serial: u64 },
    /// The next inbound segment arrives at one end.
    Arrive {
        conn: usize,
        serial: u64,
        end: usize,
    },
    /// A write that was blocked at random may be tried again.
    WriteRetry {
        conn: usize,
        serial: u64,
        end: usize,
    },
}

/// What one end of a connection sends to the other.
#[derive(Debug)]
pub(super) enum Segment {
    /// The bytes, and the virtual time at which they were sent.
    Data(Bytes, Micros),
    SynAck,
    Refused,
    Fin,
    Reset,
}

/// One end of a connection.
#[derive(Debug)]
pub(super) struct ConnectionEnd {
    pub(super) host: HostId,
    /// None until the connection is accepted.
    pub(super) token: Option<Token>,
    /// The connection is established.
    pub(super) is_established: bool,
    /// Received bytes that were not read yet, each with the virtual time at which it was sent.
    pub(super) received: VecDeque<(Bytes, Micros)>,
    pub(super) received_len: usize,
    /// The peer has ended its sending.
    pub(super) peer_ended: bool,
    pub(super) error: Option<ErrorKind>,
    /// The process has taken the error; reads keep failing.
    pub(super) error_taken: bool,
    /// The process has dropped its stream, or it has died.
    pub(super) closed: bool,
    pub(super) fin_sent: bool,
    /// In flight to this end, in order, each with the virtual time of its arrival.
    pub(super) inbound: VecDeque<(Micros, Segment)>,
    pub(super) inbound_len: usize,
    /// Virtual time of the latest arrival scheduled so far; later ones do not overtake it.
    pub(super) last_arrival: Micros,
    /// A write found no capacity; the process is notified once there is some.
    pub(super) write_blocked: bool,
    /// The connection is reset when the first bytes arrive at this end.
    pub(super) reset_on_data: bool,
    /// The connection is reset when this end is closed.
    pub(super) resets_on_close: bool,
    /// This end is in its host's `ready`.
    pub(super) is_ready: bool,
}

impl ConnectionEnd {
    pub(super) fn new(host: HostId, token: Option<Token>) -> ConnectionEnd {
        ConnectionEnd {
            host,
            token,
            is_established: false,
            received: VecDeque::new(),
            received_len: 0,
            peer_ended: false,
            error: None,
            error_taken: false,
            closed: false,
            fin_sent: false,
            inbound: VecDeque::new(),
            inbound_len: 0,
            last_arrival: 0,
            write_blocked: false,
            reset_on_data: false,
            resets_on_close: false,
            is_ready: false,
        }
    }
}

#[derive(Debug)]
pub(super) struct Connection {
    /// Distinguishes connections that use the same slot one after another.
    pub(super) serial: u64,
    /// The end that has connected, and the end of the listener.
    pub(super) ends: [ConnectionEnd; 2],
    /// The address that was connected to.
    pub(super) to: SocketAddr,
}

/// A listening socket.
#[derive(Debug)]
pub(super) struct ListeningSocket {
    pub(super) host: HostId,
    pub(super) token: Token,
    /// Connections that were not accepted yet.
    pub(super) backlog: VecDeque<usize>,
    /// The host was notified, and has not accepted everything since.
    pub(super) notified: bool,
}

#[derive(Debug, Default)]
pub(super) struct Host {
    pub(super) name: String,
    pub(super) zone: usize,
    pub(super) alive: bool,
    pub(super) isolated: bool,
    /// Open descriptors.
    pub(super) descriptors: usize,
    pub(super) max_descriptors: usize,
    pub(super) peak_descriptors: usize,
    /// Virtual time at which the process was started; its clock counts from there.
    pub(super) started: Micros,
    /// Error of its wall clock, in microseconds.
    pub(super) skew: Micros,
    pub(super) pending_signals: PendingSignals,
    /// Signals have arrived since the last poll.
    pub(super) signalled: bool,
    /// Ends that the next poll reports: number of the connection, and 0 (client) or 1 (server).
    pub(super) ready: Vec<(usize, usize)>,
    /// Listeners that the next poll reports.
    pub(super) listeners_ready: Vec<SocketAddr>,
    /// This host is in `World::awake`.
    pub(super) is_queued: bool,
    /// A write is blocked for a while with half this probability, and otherwise cut short with this probability. Of
    /// two connected hosts the lower value applies.
    pub(super) partial_writes: f64,
    /// New connections to it are refused.
    pub(super) refuses_connections: bool,
    /// Lines that the process has logged.
    pub(super) log: Vec<String>,
}
