//! The types between a node and the decision module: settings, events, actions, ids.
//! All times are integer microseconds on the node's monotonic clock; nothing here does I/O.

use std::fmt;
use std::sync::Arc;

/// Microseconds: a point on the node's clock, or a span.
pub type Micros = i64;
/// A request as the node names it; ids are never reused.
pub type RequestId = Arc<str>;
/// A server as the list names it; opaque, equal at all nodes.
pub type ServerId = Arc<str>;

/// What may be repeated in a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Repeats are harmless.
    Free,
    /// Servers of one group drop repeats of a key for a while.
    Keyed,
    /// A second execution is a second effect.
    Unsafe,
}

/// The group of servers that drops repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All servers.
    All,
    /// Those in the zone of the first server.
    Zone,
    /// Those in the cell of the first server.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Answers within this earn full worth.
    pub aim: Micros,
    /// The aim grows by this multiple of the request's own work (0: not at all).
    pub aim_stretch: f64,
    /// The client's whole wait, over all tries.
    pub deadline: Micros,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Which servers drop repeats (keyed classes).
    pub scope: Scope,
    /// How long they do, from the first send that may have run (keyed classes).
    pub window: Micros,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of the worth for an answer after the aim.
    pub late_worth: f64,
    /// Whether answers are streamed.
    pub stream: bool,
}

/// One tenant's share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second over all nodes that are within its share.
    pub quota_per_s: f64,
    /// Share of the service.
    pub share: f64,
}

/// How the cache servers get what they lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The server fetches from the origin itself.
    Through,
    /// The server answers "miss" and the node asks the origin.
    Aside,
}

/// The meaning of a listed server's weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Fixed, says nothing.
    None,
    /// Registered or approximate size.
    Size,
    /// Size over load, changing between lists.
    Live,
}

/// Everything the module is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Nodes that share the traffic, this one included.
    pub nodes: usize,
    /// This node's number among them, from 0. None: not told, its place among them is drawn.
    pub number: Option<u64>,
    /// This node's zone, if known.
    pub zone: Option<u16>,
    /// True where the list must be asked for, false where changes arrive unasked.
    pub ask: bool,
    /// Without a subscription, having not asked this long counts as having been told.
    pub ask_within: Micros,
    /// How misses are served.
    pub mode: Mode,
    /// Kind of the list entries that are the origin (aside mode).
    pub origin_kind: Option<u16>,
    /// The origin stops when asked for over this multiple of its capacity (0: no limit).
    pub origin_fall_multiple: f64,
    /// Meaning of the listed weights.
    pub weights: Weights,
    /// Whether worth goes by work rather than by request.
    pub by_work: bool,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// Least time between two batches of events.
    pub tick: Micros,
    /// Most attempts for a request.
    pub max_attempts: usize,
    /// Most requests open at this node.
    pub max_open: usize,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether probes are allowed.
    pub probes: bool,
    /// Whether two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Whether clients are told when to come back, and the longest wait they honour (0: no).
    pub max_retry_after: Micros,
    /// A connection not established within this time fails.
    pub connect_timeout: Micros,
    /// Nothing new to a draining or gone server later than this after being told.
    pub drain_grace: Micros,
    /// A server starts at this share of its capacity, or above.
    pub cold_from: f64,
    /// And is warm no later than this.
    pub cold: Micros,
    /// A cold server sent over this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long falls over.
    pub fall: Micros,
    /// How long after the client's time a final answer still counts.
    pub answer_slack: Micros,
    /// Price of a request that crosses zones, in parts of the service.
    pub price_cross_zone: f64,
    /// Price of an origin fetch for each request, in parts of the service.
    pub price_origin: f64,
}

/// Settings that do not fit together.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// The setting.
    pub field: &'static str,
    /// Why it cannot be.
    pub why: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.why)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Refuses settings under which the rules cannot be kept.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let err = |field, why| Err(SettingsError { field, why });
        if self.classes.is_empty() {
            return err("classes", "there must be one at least");
        }
        for class in &self.classes {
            if class.deadline <= 0 || class.aim <= 0 {
                return err("classes", "aim and deadline must be above zero");
            }
            if class.repeat == Repeat::Keyed && class.window <= 0 {
                return err("classes", "a keyed class needs a window above zero");
            }
            if !(class.worth >= 0.0 && class.late_worth >= 0.0 && class.aim_stretch >= 0.0) {
                return err(
                    "classes",
                    "worth, late worth and stretch must not be negative",
                );
            }
        }
        if self.nodes == 0 {
            return err("nodes", "there must be one at least");
        }
        if self.max_attempts == 0 {
            return err("max_attempts", "there must be one at least");
        }
        if self.tick < 0 || self.answer_slack < 0 || self.drain_grace < 0 {
            return err("tick, answer_slack, drain_grace", "must not be negative");
        }
        if self.ask && self.ask_within <= 0 {
            return err(
                "ask_within",
                "must be above zero where the list is asked for",
            );
        }
        if !(self.cold_from > 0.0 && self.cold_from <= 1.0) {
            return err("cold_from", "must be above zero and at most one");
        }
        if self.cold < 0 || self.fall < 0 || self.fall_multiple.is_nan() || self.fall_multiple < 0.0
        {
            return err("cold, fall, fall_multiple", "must not be negative");
        }
        if self.mode == Mode::Aside && self.origin_kind.is_none() {
            return err("origin_kind", "aside mode needs the origin's kind");
        }
        Ok(())
    }
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes work.
    Live,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Listed weight, see [`Weights`].
    pub weight: f64,
    /// Zone label, if told.
    pub zone: Option<u16>,
    /// Kind label, if told.
    pub kind: Option<u16>,
    /// State.
    pub state: ServerState,
    /// When it last started; none: long ago.
    pub started: Option<Micros>,
    /// Cell label.
    pub cell: Option<u32>,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// All; who is missing is gone.
    Full,
    /// All as this node last held it, perhaps old.
    Cached,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// Served.
    Ok,
    /// Error answer; may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Not sent.
    Moot,
    /// No value kept there; never ran.
    Miss,
}

impl Status {
    /// Whether this end proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Status::Full | Status::ConnectFailed | Status::Moot | Status::Miss
        )
    }
}

/// A load report; fields that a site lacks are none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in hand.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Busy share of its cores.
    pub util: Option<f64>,
    /// Recent service time, without waiting, in microseconds.
    pub service: Option<f64>,
    /// Requests served a second.
    pub qps: Option<f64>,
    /// Errors a second.
    pub eps: Option<f64>,
    /// Recent share of hits.
    pub hits: Option<f64>,
    /// Fetches out.
    pub fetches: Option<f64>,
}

/// What a cache server said of a finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// Served from the cache.
    Hit,
    /// Fetched, or missing.
    Miss,
    /// Missing, and another request was told to fetch it.
    MissFetching,
}

/// A request taken by the node.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// Its subject.
    pub key: Option<Arc<str>>,
    /// Time left until the client gives this try up.
    pub budget: Micros,
    /// Expected work in standard-core microseconds, if told.
    pub work: Option<f64>,
    /// Size of the value in bytes, if told.
    pub size: Option<f64>,
    /// Known to be a client's repeat.
    pub retry: bool,
    /// A write.
    pub write: bool,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the servers.
    Servers(ListKind, Arc<[Entry]>),
    /// A call to the list failed, or the subscription dropped.
    ListFailed,
    /// A request was taken; one final answer is owed.
    Request(Request),
    /// A streamed answer began.
    Started {
        /// Request.
        request: RequestId,
        /// Attempt, from 0.
        attempt: usize,
    },
    /// An attempt ended.
    Outcome {
        /// Request.
        request: RequestId,
        /// Server it was sent to.
        server: ServerId,
        /// Attempt, from 0.
        attempt: usize,
        /// Time since the send.
        latency: Micros,
        /// How it ended.
        status: Status,
        /// The request has its final answer.
        closed: bool,
        /// Hit or miss, if told.
        note: Option<Note>,
        /// Load report, if attached.
        load: Option<Load>,
    },
    /// The client left; nothing is owed.
    ClientLeft(RequestId),
    /// Nothing more may be sent for this request: its client seems to have left, or the node is about to end. What is out
    /// may still answer it, and its final answer is owed as ever.
    NoMore(RequestId),
    /// A timer set earlier is due.
    Timer(u64),
    /// A probe ended.
    Probed {
        /// Server.
        server: ServerId,
        /// Time since the probe.
        latency: Micros,
        /// How it ended.
        status: Status,
        /// Load report, if attached.
        load: Option<Load>,
    },
    /// A message from another node.
    Peer {
        /// Sender's number.
        from: u64,
        /// Content.
        data: Arc<[u8]>,
    },
}

/// What a node is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; they count from 0 for each request.
    Send {
        /// Request.
        request: RequestId,
        /// Server.
        server: ServerId,
        /// Time-out of the attempt; none: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Final answer: refused, harmless to try again.
    Refuse {
        /// Request.
        request: RequestId,
        /// When the client ought to come back (0: no advice).
        retry_after: Micros,
    },
    /// Final answer: failed, no promise.
    Fail {
        /// Request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Request.
        request: RequestId,
        /// Attempt.
        attempt: usize,
    },
    /// Send back [`Event::Timer`] with this token after the delay.
    Timer {
        /// Delay from now.
        delay: Micros,
        /// Token.
        token: u64,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Close idle connections to a server.
    Close(ServerId),
    /// Subscribe to the list, or end that.
    Subscribe(bool),
    /// Ask for the whole list once.
    FetchList,
    /// A line for the operators.
    Log(String),
}
