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
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// Servers of one group drop repeats of a key for a while.
    Keyed,
    /// A second execution is a second effect.
    NonIdempotent,
}

/// The group of servers that drops repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
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
    pub latency_objective: Micros,
    /// The aim grows by this multiple of the request's own work (0: not at all).
    pub objective_per_work: f64,
    /// The client's whole wait, over all tries.
    pub deadline: Micros,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// Which servers drop repeats (keyed classes).
    pub deduplication_scope: DeduplicationScope,
    /// How long they do, from the first send that may have run (keyed classes).
    pub deduplication_window: Micros,
    /// Worth of an answer in time.
    pub priority_weight: f64,
    /// Share of the worth for an answer after the aim.
    pub late_weight: f64,
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
pub enum CacheMode {
    /// The server fetches from the origin itself.
    ReadThrough,
    /// The server answers "miss" and the node asks the origin.
    CacheAside,
}

/// The meaning of a listed server's weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
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
    pub node_number: Option<u64>,
    /// This node's zone, if known.
    pub zone: Option<u16>,
    /// True where the list must be asked for, false where changes arrive unasked.
    pub poll: bool,
    /// Without a subscription, having not asked this long counts as having been told.
    pub poll_within: Micros,
    /// How misses are served.
    pub mode: CacheMode,
    /// Kind of the list entries that are the origin (aside mode).
    pub origin_kind: Option<u16>,
    /// The origin stops when asked for over this multiple of its capacity (0: no limit).
    pub origin_overload_multiple: f64,
    /// Meaning of the listed weights.
    pub weights: WeightMeaning,
    /// Whether worth goes by work rather than by request.
    pub weight_by_work: bool,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_quota_weight: f64,
    /// Least time between two batches of events.
    pub tick: Micros,
    /// Most attempts for a request.
    pub max_attempts: usize,
    /// Most requests open at this node.
    pub max_in_flight: usize,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether probes are allowed.
    pub probes: bool,
    /// Whether two attempts of a request may be out at once.
    pub hedging: bool,
    /// Whether clients are told when to come back, and the longest wait they honour (0: no).
    pub max_retry_after: Micros,
    /// A connection not established within this time fails.
    pub connect_timeout: Micros,
    /// Nothing new to a draining or gone server later than this after being told.
    pub drain_grace: Micros,
    /// A server starts at this share of its capacity, or above.
    pub cold_capacity: f64,
    /// And is warm no later than this.
    pub warm_up_time: Micros,
    /// A cold server sent over this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long falls over.
    pub overload_window: Micros,
    /// How long after the client's time a final answer still counts.
    pub answer_slack: Micros,
    /// Price of a request that crosses zones, in parts of the service.
    pub price_cross_zone: f64,
    /// Price of an origin fetch for each request, in parts of the service.
    pub price_origin: f64,
}

/// Settings that do not fit together.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidSettings {
    /// The setting.
    pub field: &'static str,
    /// Why it cannot be.
    pub why: &'static str,
}

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.why)
    }
}

impl std::error::Error for InvalidSettings {}

impl Settings {
    /// Refuses settings under which the rules cannot be kept.
    pub fn validate(&self) -> Result<(), InvalidSettings> {
        let err = |field, why| Err(InvalidSettings { field, why });
        if self.classes.is_empty() {
            return err("classes", "there must be one at least");
        }
        for class in &self.classes {
            if class.deadline <= 0 || class.latency_objective <= 0 {
                return err("classes", "aim and deadline must be above zero");
            }
            if class.idempotency == Idempotency::Keyed && class.deduplication_window <= 0 {
                return err("classes", "a keyed class needs a window above zero");
            }
            if !(class.priority_weight >= 0.0
                && class.late_weight >= 0.0
                && class.objective_per_work >= 0.0)
            {
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
        if self.poll && self.poll_within <= 0 {
            return err(
                "ask_within",
                "must be above zero where the list is asked for",
            );
        }
        if !(self.cold_capacity > 0.0 && self.cold_capacity <= 1.0) {
            return err("cold_from", "must be above zero and at most one");
        }
        if self.warm_up_time < 0
            || self.overload_window < 0
            || self.overload_multiple.is_nan()
            || self.overload_multiple < 0.0
        {
            return err("cold, fall, fall_multiple", "must not be negative");
        }
        if self.mode == CacheMode::CacheAside && self.origin_kind.is_none() {
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
    Removed,
}

/// One line of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Listed weight, see [`WeightMeaning`].
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
pub enum EndpointListKind {
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
    Rejected,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Not sent.
    NotSent,
    /// No value kept there; never ran.
    Miss,
}

impl fmt::Display for Status {
    /// The word that event traces and logs have had since their first version: programs read it, so it stays
    /// where a variant's name changes.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Status::Ok => "Ok",
            Status::Error => "Error",
            Status::Rejected => "Full",
            Status::Timeout => "Timeout",
            Status::ConnectFailed => "ConnectFailed",
            Status::Reset => "Reset",
            Status::Cancelled => "Cancelled",
            Status::NotSent => "Moot",
            Status::Miss => "Miss",
        })
    }
}

impl Status {
    /// Whether this end proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Status::Rejected | Status::ConnectFailed | Status::NotSent | Status::Miss
        )
    }
}

/// A load report; fields that a site lacks are none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
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
pub enum CacheResult {
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
    EndpointList(EndpointListKind, Arc<[Endpoint]>),
    /// A call to the list failed, or the subscription dropped.
    EndpointListFailed,
    /// A request was taken; one final answer is owed.
    Request(Request),
    /// A streamed answer began.
    ResponseStarted {
        /// Request.
        request: RequestId,
        /// Attempt, from 0.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptEnded {
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
        note: Option<CacheResult>,
        /// Load report, if attached.
        load: Option<LoadReport>,
    },
    /// The client left; nothing is owed.
    ClientDisconnected(RequestId),
    /// Nothing more may be sent for this request: its client seems to have left, or the node is about to end.
    /// What is out may still answer it, and its final answer is owed as ever.
    StopAttempts(RequestId),
    /// A timer set earlier is due.
    TimerExpired(u64),
    /// A probe ended.
    ProbeEnded {
        /// Server.
        server: ServerId,
        /// Time since the probe.
        latency: Micros,
        /// How it ended.
        status: Status,
        /// Load report, if attached.
        load: Option<LoadReport>,
    },
    /// A message from another node.
    PeerMessage {
        /// Sender's number.
        from: u64,
        /// Content.
        data: Arc<[u8]>,
    },
}

/// The actions that an event leads to, in order.
pub type Actions = Vec<Action>;

/// What a node is to do.
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
    Reject {
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
    /// Send back [`Event::TimerExpired`] with this token after the delay.
    SetTimer {
        /// Delay from now.
        delay: Micros,
        /// Token.
        token: u64,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Close idle connections to a server.
    CloseIdleConnections(ServerId),
    /// Subscribe to the list, or end that.
    Subscribe(bool),
    /// Ask for the whole list once.
    FetchEndpointList,
    /// A line for the operators.
    Log(String),
}
