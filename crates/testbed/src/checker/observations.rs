//! What passed, as the peers of a node saw it. The judge knows nothing else: not a word of it comes from the
//! node itself.

use std::collections::HashMap;
use std::fmt;
use std::sync::mpsc::Sender;
use std::sync::Arc;

use sloewick_decision::api::Micros;

pub type Id = Arc<str>;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The value made for this request.
    Served,
    /// A value that was not made for this request.
    Foreign(String),
    /// Refused, with the wait that was told.
    Busy(Option<u64>),
    Failed,
    /// The connection ended without a whole answer; whether any of it had come.
    Ended {
        partial: bool,
    },
}

/// What became of an attempt in a cache box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// Turned away unseen, and told so.
    Rejected,
    /// It ran; the answer was good, an error, or spoilt.
    Executed,
    /// Begun or waiting when its connection ended or the box stopped: it may have run.
    Interrupted,
}

/// A box's state as discovery tells it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnnouncedState {
    InService { boot: Micros },
    Draining,
    Removed,
}

impl AnnouncedState {
    /// Whether the server is announced as in use.
    pub(crate) fn is_started(self) -> bool {
        matches!(self, AnnouncedState::InService { .. })
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's request has left for a node. `first`: the first try of it, whose id this is or names.
    RequestSent {
        id: Id,
        node: usize,
        class: usize,
        tenant: usize,
        key: usize,
        idempotency_key: Option<Id>,
        first: Id,
        budget: Micros,
    },
    /// The same bytes again, on a new connection, since the node had closed the one before unread.
    Resent {
        id: Id,
        node: usize,
    },
    Answered {
        id: Id,
        answer: Answer,
    },
    /// Bytes from a node that answer nothing.
    UnsolicitedBytes {
        node: usize,
        bytes: String,
    },
    /// A client hung up.
    ClientDisconnected {
        id: Id,
    },
    /// A new connection was closed with no answer to the request on it.
    NewConnectionClosed {
        id: Id,
        node: usize,
    },
    /// A node refused a connection that the load balancer sent to it, or reset it before it was up.
    ConnectionRefused {
        node: usize,
    },
    /// A node ended a connection with no answer to a request on it, which its client does not send again.
    ClosedUnanswered {
        id: Id,
        node: usize,
        /// How long after the request was written its client saw the end.
        after: Micros,
        /// The first request on its connection.
        is_first: bool,
        /// A part of the answer had come.
        partial: bool,
    },
    /// A box has read an attempt's last byte; its first left the node, or came, then.
    Attempt {
        id: Id,
        attempt: u64,
        server: usize,
        first_byte: Micros,
        idempotency_key: Option<Id>,
        work: Micros,
    },
    AttemptOutcome {
        id: Id,
        attempt: u64,
        outcome: AttemptOutcome,
    },
    /// A command that a box can't use: no client sent it in this form.
    MalformedCommand {
        server: usize,
        bytes: String,
    },
    /// A box was spoken to in the protocol that it does not speak.
    WrongProtocol {
        server: usize,
    },
    /// A write took effect at the origin.
    Effect {
        id: Id,
        idempotency_key: Option<Id>,
    },
    /// A repeat of a write was dropped.
    RepeatDropped {
        id: Id,
        idempotency_key: Id,
    },
    /// Discovery wrote this to a node.
    AnnouncementSent {
        node: usize,
        server: usize,
        state: AnnouncedState,
    },
    /// A node's process began with a list that names this.
    KnownAtNodeStart {
        node: usize,
        server: usize,
        state: AnnouncedState,
    },
    /// Discovery has this from now on, whoever asks.
    DiscoveryUpdated {
        server: usize,
        state: AnnouncedState,
    },
    /// Discovery can be reached from now on and answers, or not.
    DiscoveryReachable {
        reachable: bool,
    },
    /// `speed`: what it can do once it is warm, as a part of a standard core.
    ServerStarted {
        server: usize,
        cold: bool,
        speed: f64,
    },
    /// A cold box was sent too much and fell over; which part of the work came over each node's attempts.
    ServerOverloaded {
        server: usize,
    },
    ServerEnded {
        server: usize,
    },
    NodeStarted {
        node: usize,
    },
    /// The node has answered PING after it was started.
    NodeReady {
        node: usize,
    },
    /// The node was told to end.
    NodeStopping {
        node: usize,
    },
    NodeEnded {
        node: usize,
        killed: bool,
    },
    /// The node's process was stopped where it stood; it goes on.
    NodePaused {
        node: usize,
    },
    NodeResumed {
        node: usize,
    },
    /// A read fetched from the origin.
    Fetch {
        shared: bool,
    },
    /// A fault of the schedule.
    Fault(String),
    /// A rude client's connection to a node ended, or it was told an error, so long after its last byte.
    MisbehavingClientEnded {
        node: usize,
        after: Micros,
        got_error: bool,
        served: bool,
    },
    /// A rude client was left with neither.
    MisbehavingClientIgnored {
        node: usize,
        what: String,
    },
}

impl Event {
    /// The request that it is about. None for [`Event::RequestSent`], with which a request begins.
    pub(crate) fn request(&self) -> Option<&Id> {
        match self {
            Event::Resent { id, .. }
            | Event::NewConnectionClosed { id, .. }
            | Event::Answered { id, .. }
            | Event::ClientDisconnected { id }
            | Event::ClosedUnanswered { id, .. }
            | Event::Attempt { id, .. }
            | Event::AttemptOutcome { id, .. }
            | Event::Effect { id, .. }
            | Event::RepeatDropped { id, .. } => Some(id),
            _ => None,
        }
    }
}

/// A fact and when it was seen, in microseconds since the run began.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    pub at: Micros,
    pub event: Event,
}

impl fmt::Display for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:10.6} {:?}", self.at as f64 / 1e6, self.event)
    }
}

/// What a request is called by a peer that has seen no more of it than 16 bits: the lower half of an opaque of the
/// binary protocol.
pub fn short_id(opaque: u32) -> Id {
    format!("#{:04x}", opaque & 0xffff).into()
}

/// The name of a memcached client's request.
pub fn memcached_request_id(opaque: u32) -> Id {
    format!("%{opaque:08x}").into()
}

/// The opaque whose lower half boxes see: a memcached client's own, or what a node makes of a RESP2 client's id (FNV-1a
/// of 32 bits).
pub fn opaque_of(id: &str) -> u32 {
    if let Some(opaque) = id.strip_prefix('%') {
        return u32::from_str_radix(opaque, 16).unwrap_or(0);
    }
    id.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

/// Gives facts the whole names of their requests, where a peer knew only the short ones: the latest request of that
/// short name. Clients take none that was used shortly before.
#[derive(Default)]
pub struct RequestNames {
    whole: HashMap<Id, Id>,
}

impl RequestNames {
    pub fn resolve(&mut self, mut observation: Observation) -> Observation {
        if let Event::RequestSent { id, .. } = &observation.event {
            self.whole.insert(short_id(opaque_of(id)), id.clone());
        }
        match &mut observation.event {
            Event::Attempt { id, .. }
            | Event::AttemptOutcome { id, .. }
            | Event::Effect { id, .. }
            | Event::RepeatDropped { id, .. } => {
                if let Some(whole) = self.whole.get(id) {
                    *id = whole.clone();
                }
            }
            _ => {}
        }
        observation
    }
}

/// Where a stand-in tells what it saw; the run that holds the other end takes it up after every step.
#[derive(Clone)]
pub struct Recorder {
    to: Sender<Observation>,
    /// Unix time at which the run began.
    epoch: Micros,
}

impl Recorder {
    pub fn new(to: Sender<Observation>, epoch: Micros) -> Recorder {
        Recorder { to, epoch }
    }

    /// `unix`: the time of it, by the seer's clock.
    pub fn record(&self, unix: Micros, event: Event) {
        // The run may be over; nobody asks any more then.
        let _ = self.to.send(Observation {
            at: unix - self.epoch,
            event,
        });
    }

    pub fn since_start(&self, unix: Micros) -> Micros {
        unix - self.epoch
    }
}
