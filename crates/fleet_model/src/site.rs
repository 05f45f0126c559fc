//! The configuration of a modelled fleet, the faults of a run, and the settings of the nodes that are derived from them.
//!
//! A [`Site`] does not change during a run.

use std::ops::Range;

use sloewick_decision::api::{
    CacheMode, Class, DeduplicationScope, Idempotency, Micros, Settings, WeightMeaning,
};

/// Microseconds in a second.
pub const MICROS_PER_SECOND: Micros = 1_000_000;

/// Index of the class of reads in [`Settings::classes`].
const READ_CLASS: usize = 0;
/// Index of the class of writes in [`Settings::classes`].
const WRITE_CLASS: usize = 1;

/// The properties in which reads and writes, the two classes of requests, differ.
pub(crate) struct ClassLimits {
    /// Index in [`Settings::classes`].
    pub(crate) index: usize,
    /// Weight of a request that is answered within its latency objective.
    pub(crate) priority_weight: u32,
    /// Longest time from arrival to final response with which a request counts as served.
    pub(crate) latency_objective: Micros,
    /// Time from arrival by which each request must have its final response.
    pub(crate) deadline: Micros,
    idempotency: Idempotency,
}

/// Class of reads.
const READS: ClassLimits = ClassLimits {
    index: READ_CLASS,
    priority_weight: 1,
    latency_objective: 150_000,
    deadline: 400_000,
    idempotency: Idempotency::Idempotent,
};

/// Class of writes.
pub(crate) const WRITES: ClassLimits = ClassLimits {
    index: WRITE_CLASS,
    priority_weight: 10,
    latency_objective: 500_000,
    deadline: 2_000_000,
    idempotency: Idempotency::Keyed,
};

/// The class limits of writes or of reads.
pub(crate) fn class_limits(write: bool) -> &'static ClassLimits {
    if write {
        &WRITES
    } else {
        &READS
    }
}

/// A period in which the least popular key becomes hot.
#[derive(Clone, Debug)]
pub struct HotKey {
    /// Start and end of the period, in microseconds of virtual time.
    pub period: Range<Micros>,
    /// Probability that a request is for this key instead of one drawn from the distribution of the keys.
    pub fraction: f64,
}

/// A restart of nodes, which lose everything that they have learned, and their pending requests.
#[derive(Clone, Copy, Debug)]
pub struct NodeRestart {
    /// Time of the restart, in microseconds of virtual time.
    pub at: Micros,
    /// Number of nodes that restart, starting with node 0.
    pub nodes: usize,
}

/// The configuration of a fleet and the faults of a run. Times are in microseconds, work is in microseconds on a core of
/// speed 1, and rates are per second.
#[derive(Clone, Debug)]
pub struct Site {
    /// Number of nodes, each with its own balancer.
    pub nodes: usize,
    /// Number of cache servers, each with one core.
    pub servers: usize,
    /// Requests per second that arrive at all nodes together, without the clients' retries.
    pub request_rate: f64,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf distribution from which the keys of requests are drawn.
    pub zipf_exponent: f64,
    /// Fraction of requests that are writes.
    pub write_fraction: f64,
    /// Mean work of an attempt at a server; the work is distributed exponentially.
    pub mean_work: f64,
    /// Work that a handshake adds to an attempt on a new connection.
    pub handshake_work: f64,
    /// Maximum number of attempts that wait for a server's core.
    pub max_server_queue: usize,
    /// Maximum number of fetches and writes that a server has in flight to the origin.
    pub max_server_fetches: usize,
    /// Time after which a server stops waiting for a fetch or write at the origin.
    pub fetch_timeout: Micros,
    /// Fetches and writes per second that the origin can complete.
    pub origin_rate: f64,
    /// Constant delay of each fetch or write, in addition to its time in the origin's queue and its service time.
    pub origin_latency: Micros,
    /// Maximum number of fetches and writes in the origin's queue, including the one that the origin works on.
    pub max_origin_queue: usize,
    /// Period in which the origin is slower, in microseconds of virtual time.
    pub slow_period: Range<Micros>,
    /// Factor by which the origin's service times grow during `slow_period`.
    pub slow_factor: f64,
    /// Probability that the client of a rejected or failed read retries it once.
    pub retry_probability: f64,
    /// Period of a hot key; None: no key becomes hot.
    pub hot_key: Option<HotKey>,
    /// Number of servers that answer every attempt with an error, starting with server 0.
    pub faulty_servers: usize,
    /// Restart of nodes during the run; None: no node restarts.
    pub node_restart: Option<NodeRestart>,
}

impl Default for Site {
    /// A fleet with about twice the capacity that its load needs, and an origin with about twice the capacity that the fetches
    /// and writes need.
    fn default() -> Site {
        Site {
            nodes: 60,
            servers: 40,
            request_rate: 1_000.0,
            keys: 3_000,
            zipf_exponent: 1.0,
            write_fraction: 0.08,
            mean_work: 15_000.0,
            handshake_work: 2_500.0,
            max_server_queue: 20,
            max_server_fetches: 8,
            fetch_timeout: 250_000,
            origin_rate: 700.0,
            origin_latency: 25_000,
            max_origin_queue: 1_500,
            slow_period: 0..0,
            slow_factor: 1.0,
            retry_probability: 0.4,
            hot_key: None,
            faulty_servers: 0,
            node_restart: None,
        }
    }
}

impl Site {
    /// The same fleet with an origin that is `factor` times slower during `seconds` of virtual time.
    #[must_use]
    pub fn with_slow_origin(self, seconds: Range<Micros>, factor: f64) -> Site {
        Site {
            slow_period: seconds.start * MICROS_PER_SECOND..seconds.end * MICROS_PER_SECOND,
            slow_factor: factor,
            ..self
        }
    }

    /// Factor by which the origin's service times are longer at this time; 1 outside of the slow period.
    pub(crate) fn origin_slowdown(&self, now: Micros) -> f64 {
        if self.slow_period.contains(&now) {
            self.slow_factor
        } else {
            1.0
        }
    }

    /// The settings that all nodes share; the node number is not set.
    pub fn settings(&self) -> Settings {
        Settings {
            classes: vec![class_settings(&READS), class_settings(&WRITES)],
            tenants: vec![],
            nodes: self.nodes,
            node_number: None,
            zone: None,
            poll_endpoint_list: false,
            poll_within: 0,
            mode: CacheMode::ReadThrough,
            origin_kind: None,
            origin_overload_multiple: 0.0,
            weights: WeightMeaning::None,
            weight_by_work: false,
            over_quota_weight: 0.1,
            tick: 2_000,
            max_attempts: 5,
            max_in_flight: 1_000,
            cancel: true,
            probes: false,
            hedging: true,
            max_retry_after: 1_000_000,
            connect_timeout: 75_000,
            drain_grace: 2_000_000,
            cold_capacity: 0.2,
            warm_up_time: 20_000_000,
            overload_multiple: 2.5,
            overload_window: 2_000_000,
            final_response_grace: 8_000,
            price_cross_zone: 0.0,
            price_origin: 0.0,
        }
    }
}

fn class_settings(limits: &ClassLimits) -> Class {
    Class {
        latency_objective: limits.latency_objective,
        objective_per_work: 0.0,
        deadline: limits.deadline,
        idempotency: limits.idempotency,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 10_000_000,
        priority_weight: f64::from(limits.priority_weight),
        late_weight: 0.0,
        stream: false,
    }
}
