//! The interface between a node and its decisions: settings, events, actions, identifiers.
//!
//! All times are integer microseconds on the node's monotonic clock; nothing here does I/O.

use std::fmt;
use std::sync::Arc;

pub use crate::settings_validation::InvalidSettings;

/// Microseconds: a point on the node's clock, or a span.
pub type Micros = i64;
/// A request as the node names it; ids are never reused.
pub type RequestId = Arc<str>;
/// A server as the endpoint list names it; opaque, equal at all nodes.
pub type ServerId = Arc<str>;

/// Which retries a class permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Retries are harmless.
    Idempotent,
    /// Servers of one group deduplicate retries by an idempotency key for a while.
    Keyed,
    /// A second execution is a second effect.
    NonIdempotent,
}

/// The group of servers that deduplicates the retries of a keyed request.
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
    /// Answers within this have the full priority weight.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the request's own work (0: not at all).
    pub objective_per_work: f64,
    /// The client's whole wait, over all its retries.
    pub deadline: Micros,
    /// Which retries are permitted.
    pub idempotency: Idempotency,
    /// Which servers deduplicate (keyed classes).
    pub deduplication_scope: DeduplicationScope,
    /// How long they do, from the first attempt that may have run (keyed classes).
    pub deduplication_window: Micros,
    /// Weight of an answer in time.
    pub priority_weight: f64,
    /// Fraction of the weight of an answer after the latency objective.
    pub late_weight: f64,
    /// Whether answers are streamed.
    pub stream: bool,
}

/// One tenant's quota and share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second over all nodes that are within its quota.
    pub quota_per_s: f64,
    /// Share of the service.
    pub share: f64,
}

/// How the cache servers get what they lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheMode {
    /// The server fetches from the origin itself.
    ReadThrough,
    /// The server answers "miss" and the node sends the request to the origin.
    CacheAside,
}

/// The meaning of a listed server's weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Fixed, says nothing.
    None,
    /// Registered or approximate size.
    Size,
    /// Size over load, changing between endpoint lists.
    Live,
}

/// Everything that the decisions depend on from the start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Nodes that share the traffic, this one included.
    pub nodes: usize,
    /// This node's number among them, from 0. None: unknown, its phase among them is drawn.
    pub node_number: Option<u64>,
    /// This node's zone, if known.
    pub zone: Option<u16>,
    /// True where the endpoint list must be polled, false where watch events arrive.
    pub poll: bool,
    /// Without a subscription, the list must be polled within this time.
    pub poll_within: Micros,
    /// How misses are served.
    pub mode: CacheMode,
    /// Kind of the endpoints that are the origin (cache-aside).
    pub origin_kind: Option<u16>,
    /// The origin fails under requests beyond this multiple of its capacity (0: no limit).
    pub origin_overload_multiple: f64,
    /// Meaning of the listed weights.
    pub weights: WeightMeaning,
    /// Whether weights go by work rather than by request.
    pub weight_by_work: bool,
    /// Weight of a request beyond its tenant's quota, as a fraction of the usual.
    pub over_quota_weight: f64,
    /// Least time between two batches of events.
    pub tick: Micros,
    /// Most attempts for a request.
    pub max_attempts: usize,
    /// Most requests in flight at this node.
    pub max_in_flight: usize,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether probe requests are allowed.
    pub probes: bool,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// The longest Retry-After that clients honour (0: none is sent).
    pub max_retry_after: Micros,
    /// A connection not established within this time fails.
    pub connect_timeout: Micros,
    /// Nothing new to a draining or removed server later than this after it was announced.
    pub drain_grace: Micros,
    /// A server starts at this fraction of its capacity, or above.
    pub cold_capacity: f64,
    /// And is warm no later than this.
    pub warm_up_time: Micros,
    /// A server that warms up and is sent over this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long is overloaded.
    pub overload_window: Micros,
    /// How long after the client's deadline a final answer still counts.
    pub answer_slack: Micros,
    /// Cost of a request that crosses zones, as a fraction of the service.
    pub price_cross_zone: f64,
    /// Cost of an origin fetch for each request, as a fraction of the service.
    pub price_origin: f64,
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    Live,
    /// Finishes the requests in flight; nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Listed weight, see [`WeightMeaning`].
    pub weight: f64,
    /// Zone label, if announced.
    pub zone: Option<u16>,
    /// Kind label, if announced.
    pub kind: Option<u16>,
    /// State.
    pub state: ServerState,
    /// When it last started; none: long ago.
    pub started: Option<Micros>,
    /// Cell label.
    pub cell: Option<u32>,
}

/// What an endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Changed entries only.
    Delta,
    /// All entries; a server that is missing is removed.
    Full,
    /// All entries as this node last had them, perhaps old.
    Cached,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// Served.
    Ok,
    /// Error answer; may have run.
    Error,
    /// Rejected unseen.
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
    /// No value cached there; never ran.
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
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Busy fraction of its cores.
    pub util: Option<f64>,
    /// Recent service time, without waiting, in microseconds.
    pub service: Option<f64>,
    /// Requests served a second.
    pub qps: Option<f64>,
    /// Errors a second.
    pub eps: Option<f64>,
    /// Recent fraction of hits.
    pub hits: Option<f64>,
    /// Fetches in flight.
    pub fetches: Option<f64>,
}

/// What a cache server said of a finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheResult {
    /// Served from the cache.
    Hit,
    /// Fetched, or missing.
    Miss,
    /// Missing, and another request is fetching it.
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
    /// Time left until the client gives this request up.
    pub budget: Micros,
    /// Expected work in standard-core microseconds, if known.
    pub work: Option<f64>,
    /// Size of the value in bytes, if known.
    pub size: Option<f64>,
    /// Known to be a client's retry.
    pub retry: bool,
    /// A write.
    pub write: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// Number of the attempt, from 0.
    pub attempt: usize,
    /// Time since it was sent.
    pub latency: Micros,
    /// How it ended.
    pub status: Status,
    /// The request has its final answer.
    pub closed: bool,
    /// Whether the server answered from its cache, if known.
    pub cache_result: Option<CacheResult>,
    /// Load report, if attached.
    pub load: Option<LoadReport>,
}

impl AttemptOutcome {
    /// Not fetched from the origin, as far as is known.
    pub(crate) fn is_hit(&self) -> bool {
        self.cache_result
            .is_none_or(|result| result == CacheResult::Hit)
    }
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list, or changes to it.
    EndpointList(EndpointListKind, Arc<[Endpoint]>),
    /// A poll of the endpoint list failed, or the subscription dropped.
    EndpointListFailed,
    /// A request was accepted; it needs exactly one final answer.
    Request(Request),
    /// A streamed answer began.
    ResponseStarted {
        /// Request.
        request: RequestId,
        /// Attempt, from 0.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptEnded(AttemptOutcome),
    /// The client disconnected; no answer is needed any more.
    ClientDisconnected(RequestId),
    /// Nothing more may be sent for this request: its client seems to be disconnected, or the node is about
    /// to end. Pending attempts may still answer it, and it needs its final answer as ever.
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
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// Request.
        request: RequestId,
        /// Retry-After (0: none).
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
    /// Deliver [`Event::TimerExpired`] with this token after the delay.
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
    /// Subscribe to the endpoint list, or end that.
    Subscribe(bool),
    /// Fetch the complete endpoint list once.
    FetchEndpointList,
    /// A line for the operators.
    Log(String),
}
