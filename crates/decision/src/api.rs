//! The interface between a node and its decision code: settings, events, actions, identifiers.
//!
//! All times are integer microseconds on the node's monotonic clock; nothing here does I/O.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use crate::settings_validation::InvalidSettings;

/// Microseconds: a point in time on the node's clock, or a duration.
pub type Micros = i64;
/// The node's id of a request; ids are never reused.
pub type RequestId = Arc<str>;
/// A server's id in the endpoint list; opaque, and the same at all nodes.
pub type ServerId = Arc<str>;

/// Which retries a class permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Retries are harmless.
    Idempotent,
    /// The servers of a [`DeduplicationScope`] deduplicate retries by an idempotency key for a limited time.
    Keyed,
    /// A request that runs twice takes effect twice.
    NonIdempotent,
}

/// The group of servers that deduplicates the retries of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers in the same zone as the server of the first attempt.
    Zone,
    /// The servers in the same cell as the server of the first attempt.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Responses within this time of the request's arrival have the full priority weight.
    pub latency_objective: Micros,
    /// This multiple of the request's expected work is added to the latency objective (0: nothing).
    pub objective_per_work: f64,
    /// How long the client waits in total, over all of its retries.
    pub deadline: Micros,
    /// Which retries are permitted.
    pub idempotency: Idempotency,
    /// Which servers deduplicate retries (keyed classes).
    pub deduplication_scope: DeduplicationScope,
    /// How long they deduplicate, from the first attempt that may have run (keyed classes).
    pub deduplication_window: Micros,
    /// Weight of a response within the latency objective.
    pub priority_weight: f64,
    /// Weight of a response after the latency objective, as a fraction of `priority_weight`.
    pub late_weight: f64,
    /// Whether responses are streamed.
    pub stream: bool,
}

/// One tenant's quota and fair share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, over all nodes, that are within its quota.
    pub quota_per_s: f64,
    /// Fair share of the service, as a fraction.
    pub share: f64,
}

/// How values that are missing from the cache servers are fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheMode {
    /// The server fetches from the origin itself.
    ReadThrough,
    /// The server answers with a miss, and the node sends the request to the origin.
    CacheAside,
}

/// The meaning of a listed server's weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Fixed; carries no information.
    None,
    /// Registered or approximate size of the server.
    Size,
    /// Size divided by load; changes between endpoint lists.
    Live,
}

/// Settings of the decision code, fixed when the [`Balancer`](crate::Balancer) is created.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// Tenants; requests refer to them by index. May be empty.
    pub tenants: Vec<Tenant>,
    /// Number of nodes that share the traffic, including this one.
    pub nodes: usize,
    /// This node's number among them, from 0. None if unknown: its slow-start phase is then derived from the
    /// seed.
    pub node_number: Option<u64>,
    /// This node's zone. None if unknown.
    pub zone: Option<u16>,
    /// True if the endpoint list must be polled, false if discovery sends watch events.
    pub poll_endpoint_list: bool,
    /// Without a subscription, the endpoint list must be polled at least this often.
    pub poll_within: Micros,
    /// How cache misses are served.
    pub mode: CacheMode,
    /// Kind label of the endpoints that belong to the origin (cache-aside).
    pub origin_kind: Option<u16>,
    /// The origin fails if it gets more requests than this multiple of its capacity (0: no limit).
    pub origin_overload_multiple: f64,
    /// Meaning of the listed weights.
    pub weights: WeightMeaning,
    /// Whether weights go by work rather than by request.
    pub weight_by_work: bool,
    /// Priority weight of a request beyond its tenant's quota, as a fraction of its class's.
    pub over_quota_weight: f64,
    /// Shortest time between two batches of events.
    pub tick: Micros,
    /// Maximum number of attempts for a request.
    pub max_attempts: usize,
    /// Maximum number of requests in flight at this node.
    pub max_in_flight: usize,
    /// Whether pending attempts may be cancelled.
    pub cancel: bool,
    /// Whether probe requests are allowed.
    pub probes: bool,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// The longest Retry-After that clients honour (0: none is sent).
    pub max_retry_after: Micros,
    /// Connecting to a server fails if it takes longer than this.
    pub connect_timeout: Micros,
    /// No new attempt may be sent to a server later than this after it was announced as draining or removed.
    pub drain_grace: Micros,
    /// Least fraction of its capacity that a server has when it starts.
    pub cold_capacity: f64,
    /// Longest time from a server's start until it is warm.
    pub warm_up_time: Micros,
    /// A server that warms up is overloaded if it is sent more than this multiple of its present capacity for
    /// the time `overload_window`.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub overload_window: Micros,
    /// Time after the client's deadline within which a final response still counts.
    pub final_response_grace: Micros,
    /// Cost of a request that crosses zones, as a fraction of the service.
    pub price_cross_zone: f64,
    /// Cost of an origin fetch for each request, as a fraction of the service.
    pub price_origin: f64,
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Accepts requests.
    Live,
    /// Finishes the requests in flight; no new ones may be sent to it.
    Draining,
    /// No longer part of the fleet.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Id of the server.
    pub server: ServerId,
    /// Listed weight; see [`WeightMeaning`].
    pub weight: f64,
    /// Zone label. None if not announced.
    pub zone: Option<u16>,
    /// Label of the kind of machine. None if not announced.
    pub kind: Option<u16>,
    /// Whether it accepts requests.
    pub state: ServerState,
    /// When it last started. None: long ago.
    pub started: Option<Micros>,
    /// Cell label. None if not announced.
    pub cell: Option<u32>,
}

/// Which entries an endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Changed entries only.
    Delta,
    /// All entries; a server that is missing has been removed.
    Full,
    /// All entries as this node last received them, possibly outdated.
    Cached,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// Served.
    Ok,
    /// Error response; may have run.
    Error,
    /// Rejected by the server; never ran.
    Rejected,
    /// No response in time; may have run.
    Timeout,
    /// No connection was established; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by the node; may have run.
    Cancelled,
    /// Not written to the server, or not completely; never ran.
    NotSent,
    /// The server has no cached value (cache-aside); never ran.
    Miss,
}

impl fmt::Display for Status {
    /// Writes the name that event traces and logs have used since their first version. Programs read it, so
    /// it stays the same even if the variant is renamed.
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
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Status::Rejected | Status::ConnectFailed | Status::NotSent | Status::Miss
        )
    }
}

/// A load report of a server. A field is None if the site's servers don't report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the server.
    pub in_flight: Option<f64>,
    /// Requests waiting in its queue.
    pub queue: Option<f64>,
    /// Busy fraction of its cores.
    pub util: Option<f64>,
    /// Recent average service time, without waiting, in microseconds.
    pub service: Option<f64>,
    /// Requests served per second.
    pub qps: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
    /// Recent cache hit fraction.
    pub hits: Option<f64>,
    /// Fetches in flight.
    pub fetches: Option<f64>,
}

/// Whether a cache server served a finished attempt from its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheResult {
    /// Served from the cache.
    Hit,
    /// Not cached: the server fetched the value, or answered with a miss.
    Miss,
    /// Not cached, and already being fetched for another request.
    MissFetching,
}

/// A request that the node has accepted.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`]. None if the tenant is unknown.
    pub tenant: Option<usize>,
    /// Key of the requested value, if it has one.
    pub key: Option<Arc<str>>,
    /// Time from the request's arrival until the client gives up.
    pub budget: Micros,
    /// Expected work in microseconds of a standard core, if known.
    pub work: Option<f64>,
    /// Size of the value in bytes, if known.
    pub size: Option<f64>,
    /// Whether it is known to be a client's retry.
    pub is_client_retry: bool,
    /// Whether it is a write.
    pub write: bool,
    /// When an earlier request with the same idempotency key was first sent, if it may have run. None if there is none, or if
    /// the frontend does not record idempotency keys.
    pub earlier_request_sent: Option<Micros>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// Id of the request.
    pub request: RequestId,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// Number of the attempt, from 0.
    pub attempt: usize,
    /// Time from sending the attempt to its end.
    pub latency: Micros,
    /// How it ended.
    pub status: Status,
    /// Whether the request has its final response.
    pub is_final: bool,
    /// Whether the server answered from its cache, if known.
    pub cache_result: Option<CacheResult>,
    /// Load report, if the response carried one.
    pub load: Option<LoadReport>,
}

impl AttemptOutcome {
    /// Whether the response came from the cache; true if unknown.
    pub(crate) fn is_hit(&self) -> bool {
        self.cache_result
            .is_none_or(|result| result == CacheResult::Hit)
    }
}

/// How the connections to a server have changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChange {
    /// The last one has broken, or could not be established: the process of the server may have ended.
    Lost,
    /// The last one was closed: what becomes of the process of the server is not seen.
    Closed,
    /// One is opened, where none has been open since the last one ended.
    Resumed,
}

/// An event that a node reports to its decision code.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list, or changes to one, arrived.
    EndpointList(EndpointListKind, Arc<[Endpoint]>),
    /// A poll of the endpoint list failed, or the subscription dropped.
    EndpointListFailed,
    /// A request was accepted; it needs exactly one final response.
    Request(Request),
    /// A streamed response began.
    ResponseStarted {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptEnded(AttemptOutcome),
    /// The client disconnected; no response is needed any more.
    ClientDisconnected(RequestId),
    /// No further attempt may be sent for this request: its client seems to be disconnected, or the node is
    /// about to stop. Pending attempts may still answer it, and it still needs its final response.
    StopAttempts(RequestId),
    /// A timer expired; the token is that of its [`Action::SetTimer`].
    TimerExpired(u64),
    /// A probe request ended.
    ProbeEnded {
        /// The server that was probed.
        server: ServerId,
        /// Time from sending the probe to its end.
        latency: Micros,
        /// How it ended.
        status: Status,
        /// Load report, if the response carried one.
        load: Option<LoadReport>,
    },
    /// The last connection to a server has ended, or the first one after that is opened.
    ConnectionsChanged(ServerId, ConnectionChange),
    /// A message from another node.
    PeerMessage {
        /// Number of the sending node.
        from: u64,
        /// Content of the message.
        data: Arc<[u8]>,
    },
}

/// The actions that result from an event, in order.
pub type Actions = Vec<Action>;

/// An action that the node is to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0.
    Send {
        /// Id of the request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Timeout of the attempt. None: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Final response: rejected; a retry is harmless.
    Reject {
        /// Id of the request.
        request: RequestId,
        /// Retry-After (0: none is sent).
        retry_after: Micros,
    },
    /// Final response: failed; the request may have run, so that a retry may not be harmless.
    Fail {
        /// Id of the request.
        request: RequestId,
    },
    /// Cancel a pending attempt.
    Cancel {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: usize,
    },
    /// Cancel a pending attempt unless its server has certainly received the request completely: the servers that would
    /// deduplicate it are about to forget the other attempts. Bytes of the request that have not left this machine must not be
    /// sent any more. A host whose attempts reach their servers at once has nothing to do.
    CancelUnreceived {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: usize,
    },
    /// Deliver [`Event::TimerExpired`] with this token after the delay.
    SetTimer {
        /// Delay from now.
        delay: Micros,
        /// Token to deliver.
        token: u64,
    },
    /// Send a probe request to a server.
    Probe(ServerId),
    /// Close idle connections to a server.
    CloseIdleConnections(ServerId),
    /// Subscribe to the endpoint list (true), or end the subscription (false).
    Subscribe(bool),
    /// Fetch the complete endpoint list once.
    FetchEndpointList,
    /// Write a line to the operators' log.
    Log(String),
}
