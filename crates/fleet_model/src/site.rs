//! Sizes of a modelled fleet, the faults of a run, and the settings of the nodes that follow from them.
//!
//! Holds no state: a [`Site`] is a plain description that does not change during a run.

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

/// What distinguishes the two classes of requests.
pub(crate) struct ClassLimits {
    /// Index in [`Settings::classes`].
    pub(crate) index: usize,
    /// What a request counts when it is answered within its latency objective.
    pub(crate) priority_weight: u32,
    /// Time from arrival to the final response that counts as served.
    pub(crate) latency_objective: Micros,
    /// Time from arrival by which there must be a final response.
    pub(crate) deadline: Micros,
    idempotency: Idempotency,
}

/// Reads.
const READS: ClassLimits = ClassLimits {
    index: READ_CLASS,
    priority_weight: 1,
    latency_objective: 150_000,
    deadline: 400_000,
    idempotency: Idempotency::Idempotent,
};

/// Writes.
pub(crate) const WRITES: ClassLimits = ClassLimits {
    index: WRITE_CLASS,
    priority_weight: 10,
    latency_objective: 500_000,
    deadline: 2_000_000,
    idempotency: Idempotency::Keyed,
};

/// Limits of a read or of a write.
pub(crate) fn class_limits(write: bool) -> &'static ClassLimits {
    if write {
        &WRITES
    } else {
        &READS
    }
}

/// A period in which the least popular key is requested often.
#[derive(Clone, Debug)]
pub struct HotKey {
    /// From and until when, in microseconds of virtual time.
    pub period: Range<Micros>,
    /// Fraction of all requests that ask for this key.
    pub fraction: f64,
}

/// A restart of nodes, which lose all that they have learned and their pending requests.
#[derive(Clone, Copy, Debug)]
pub struct NodeRestart {
    /// When, in microseconds of virtual time.
    pub at: Micros,
    /// Number of nodes, from node 0 on.
    pub nodes: usize,
}

/// Sizes and faults of a run. Times are microseconds; work is microseconds of a core of speed 1; rates are per second.
#[derive(Clone, Debug)]
pub struct Site {
    /// Nodes, each with a balancer of its own.
    pub nodes: usize,
    /// Cache servers with a core each.
    pub servers: usize,
    /// Requests per second at all nodes together.
    pub request_rate: f64,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf distribution of the keys.
    pub zipf_exponent: f64,
    /// Fraction of requests that are writes.
    pub write_fraction: f64,
    /// Mean work of a request; the work is distributed exponentially.
    pub mean_work: f64,
    /// Work of a handshake.
    pub handshake_work: f64,
    /// Maximum number of requests that wait at a server.
    pub max_server_queue: usize,
    /// Maximum number of fetches that a server has in flight.
    pub max_server_fetches: usize,
    /// How long a server waits for a fetch.
    pub fetch_timeout: Micros,
    /// Fetches and writes per second that the origin completes.
    pub origin_rate: f64,
    /// Time that the origin takes for one fetch or write, without queueing.
    pub origin_latency: Micros,
    /// Maximum number of fetches and writes that wait at the origin.
    pub max_origin_queue: usize,
    /// When the origin is slower.
    pub slow_period: Range<Micros>,
    /// How many times slower the origin is then.
    pub slow_factor: f64,
    /// Probability that the client of a rejected read retries, once.
    pub retry_probability: f64,
    /// Period of a hot key, if there is one.
    pub hot_key: Option<HotKey>,
    /// Servers that answer every request with an error, from server 0 on.
    pub faulty_servers: usize,
    /// Restart of nodes, if there is one.
    pub node_restart: Option<NodeRestart>,
}

impl Default for Site {
    /// A fleet with twice the capacity that its load takes, and an origin with twice the capacity that its fetches take.
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

    /// How many times slower than usual the origin is at this time.
    pub(crate) fn origin_slowdown(&self, now: Micros) -> f64 {
        if self.slow_period.contains(&now) {
            self.slow_factor
        } else {
            1.0
        }
    }

    /// Settings of the nodes, without a node number.
    pub fn settings(&self) -> Settings {
        Settings {
            classes: vec![class_settings(&READS), class_settings(&WRITES)],
            tenants: vec![],
            nodes: self.nodes,
            node_number: None,
            zone: None,
            poll: false,
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
            answer_slack: 8_000,
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
