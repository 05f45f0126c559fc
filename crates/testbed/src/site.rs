//! The emulated site: settings of its classes, cache servers, origin and clients, the requirements of the checker, and the
//! configuration of its nodes.

use std::fmt::Write;
use std::net::SocketAddr;

use serde_json::{json, Value};
use sloewick_decision::api::Micros;
use sloewick_node::config::Config;

use crate::emulators::discovery::{list_json, Listed};
use crate::emulators::{cache_server, clients, origin};
use crate::faults::scenario::Scenario;
pub use crate::protocol_options::{Clients, KEY_PREFIXES};
use crate::report;
use crate::requirements::{ColdServerLimits, Repeat, Requirements};

/// Zones, in which nodes and cache servers are placed in turn.
pub const ZONES: [&str; 2] = ["ops-center", "eastside-plant"];
/// Kinds of machines of the cache servers: standard and slower.
pub const KINDS: [&str; 2] = ["std-box", "slow-box"];

/// The kinds of cache servers that serve the memcached binary protocol, in the order of [`KINDS`].
pub const KINDS_MEMCACHED: [&str; 2] = ["mc-std-box", "mc-slow-box"];

/// A class of requests.
pub struct Class {
    pub name: &'static str,
    /// Fraction of all requests.
    pub share: f64,
    pub latency_objective: Micros,
    pub deadline: Micros,
    pub priority_weight: f64,
    pub repeat: Repeat,
    pub write: bool,
}

/// Reads, writes with an idempotency key, and writes that may not be repeated at all.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "trace-read",
        share: 0.92,
        latency_objective: 150_000,
        deadline: 400_000,
        priority_weight: 1.0,
        repeat: Repeat::Free,
        write: false,
    },
    Class {
        name: "alarm-set",
        share: 0.06,
        latency_objective: 500_000,
        deadline: 2_000_000,
        priority_weight: 10.0,
        repeat: Repeat::Keyed(DEDUPLICATION_WINDOW),
        write: true,
    },
    Class {
        name: "alarm-ack",
        share: 0.02,
        latency_objective: 500_000,
        deadline: 2_000_000,
        priority_weight: 5.0,
        repeat: Repeat::Unsafe,
        write: true,
    },
];
/// Tenants and their fractions of all requests.
pub const TENANTS: [(&str, f64); 4] = [
    ("distribution", 0.37),
    ("leak-crew", 0.26),
    ("engineering", 0.21),
    ("customer-svc", 0.16),
];
/// How long a repeated write with the same idempotency key is dropped, whichever cache server it arrives at.
pub const DEDUPLICATION_WINDOW: Micros = 10_000_000;
/// The longest deadline of all classes.
pub const MAX_DEADLINE: Micros = 2_000_000;
/// Time after an announcement for which nodes may still send to a server that is draining or removed.
const DRAIN_GRACE: Micros = 2_000_000;
/// Time after a client's deadline until which an answer still counts as in time.
const ANSWER_SLACK: Micros = 8_000;
/// Added to each time limit, for the delays of runs on sockets.
const SOCKETS_SLACK: Micros = 50_000;
/// Capacity of a cold server at its start, as a fraction of its capacity when warm.
pub const COLD_FROM: f64 = 0.13;
/// Time from a cold server's start after which nodes and checker treat it as warm.
pub const COLD: Micros = 24_000_000;
/// Time over which the work that a server receives is summed, to find an overload.
pub const FALL: Micros = 2_000_000;
/// A cold server fails if the work of that time exceeds this multiple of its capacity.
pub const FALL_MULTIPLE: f64 = 2.5;
/// Mean processing time of a request at a cache server, on a standard core.
const READ_WORK: Micros = 14_000;
const WRITE_WORK: Micros = 26_000;
const CONNECT_TIMEOUT: Micros = 75_000;
const CONN_IDLE: Micros = 10_000_000;
pub const MEMORY_MB: usize = 64;
/// Limit of a node on open file descriptors.
pub const SOCKETS: usize = 512;

/// Protocols that the cache servers serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerProtocols {
    #[default]
    Resp,
    Memcached,
    /// Servers with odd numbers serve the memcached binary protocol, the others RESP2.
    Mixed,
    /// Servers that are started during the run serve the memcached binary protocol, the others RESP2.
    Later,
}

/// Protocols of clients and cache servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProtocolOptions {
    pub clients: Clients,
    pub servers: ServerProtocols,
}

impl ProtocolOptions {
    pub fn server_uses_memcached(self, number: usize, scenario: &Scenario) -> bool {
        match self.servers {
            ServerProtocols::Resp => false,
            ServerProtocols::Memcached => true,
            ServerProtocols::Mixed => number % 2 == 1,
            ServerProtocols::Later => number >= scenario.servers,
        }
    }

    /// A server's kind of machine, as the endpoint list names it.
    pub fn model(self, number: usize, scenario: &Scenario) -> &'static str {
        let slow = usize::from(is_slow_kind(number));
        if self.server_uses_memcached(number, scenario) {
            KINDS_MEMCACHED[slow]
        } else {
            KINDS[slow]
        }
    }

    /// The memcached configuration of a node; None if the node needs none. `listen` is the address of its listener for the
    /// memcached binary protocol.
    pub fn file(self, listen: SocketAddr) -> Option<String> {
        let front = matches!(self.clients, Clients::Memcached | Clients::Both);
        (self != ProtocolOptions::default()).then(|| memcached_file(front.then_some(listen)))
    }

    /// Adds the memcached configuration, if the node needs one, to a node's configuration.
    ///
    /// # Errors
    /// The memcached configuration is invalid; the one of this site never is.
    pub fn configure(self, config: &mut Config, listen: SocketAddr) -> Result<(), String> {
        let Some(file) = self.file(listen) else {
            return Ok(());
        };
        sloewick_node::config::enable_memcached(config, &file).map_err(|problems| {
            problems
                .iter()
                .map(std::string::ToString::to_string)
                .collect::<Vec<_>>()
                .join("; ")
        })
    }
}

/// The requirements of the checker. `network_delay` is the longest delay of the network in one direction.
pub fn requirements(network_delay: Micros) -> Requirements {
    Requirements {
        classes: CLASSES.iter().map(|c| c.repeat).collect(),
        slack: ANSWER_SLACK + SOCKETS_SLACK,
        grace: DRAIN_GRACE + SOCKETS_SLACK,
        network_delay,
        overload_window: FALL,
        cold: ColdServerLimits {
            initial_fraction: COLD_FROM,
            warm_up_time: COLD,
            overload_multiple: FALL_MULTIPLE,
            mean_work: CLASSES
                .iter()
                .map(|c| if c.write { WRITE_WORK } else { READ_WORK })
                .collect(),
        },
    }
}

pub fn report() -> report::Report {
    let class = |c: &Class| report::Class {
        name: c.name.to_string(),
        latency_objective: c.latency_objective,
        priority_weight: c.priority_weight,
    };
    report::Report::new(CLASSES.iter().map(class).collect())
}

/// The settings object of a node.
pub fn settings(node: usize, scenario: &Scenario) -> Value {
    let ms = |t: Micros| t as f64 / 1000.0;
    let classes: Vec<Value> = CLASSES
        .iter()
        .map(|c| {
            let (repeat, window) = match c.repeat {
                Repeat::Free => ("free", 0),
                Repeat::Keyed(window) => ("guarded", window),
                Repeat::Unsafe => ("single_shot", 0),
            };
            json!({"name": c.name, "aim": ms(c.latency_objective), "deadline": ms(c.deadline), "repeat": repeat,
                   "window": ms(window), "dedup_scope": "all", "late_share": 0.0, "worth": c.priority_weight,
                   "stream": false})
        })
        .collect();
    let realms: Vec<Value> = TENANTS
        .iter()
        .map(|(name, share)| json!({"name": name, "share": share, "quota_per_s": scenario.rate * share * 1.1}))
        .collect();
    json!({
        "classes": classes, "realms": realms, "zones": ZONES, "kinds": KINDS, "zone": ZONES[node % 2],
        "clients": {"marks_retry": true}, "discovery": "ask", "domain": {"mode": "through"},
        "family": "cache", "load_report": {"fields": [], "how": "silent"}, "me": node,
        "over_share_worth": 0.05, "period": 2.0, "replicas_of_me": scenario.nodes,
        "policy_limits": {"cancel": true, "conn_idle": ms(CONN_IDLE), "connect_timeout": ms(CONNECT_TIMEOUT),
            "max_open": 100_000, "max_retry_after": 1000.0, "probes": false, "retry_after": true,
            "second_copies": true, "streams_per_conn": 1, "try_limit": 5},
        "prices": {"cross_zone": 0.01, "late_fail": 0.03, "waste": 0.02},
        "rules": {"ask_within": 10_000.0, "cold": ms(COLD), "cold_from": COLD_FROM, "fall": ms(FALL),
            "fall_multiple": FALL_MULTIPLE, "grace_to_answer": ms(ANSWER_SLACK),
            "stop_sending_within": ms(DRAIN_GRACE)},
        "weights": "silent", "value_by": "request",
    })
}

/// A node's configuration file. `known` holds the revision and the entries of the endpoint list that it starts with.
pub fn node_config(
    node: usize,
    scenario: &Scenario,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
    known: (i64, &[Listed]),
) -> String {
    json!({
        "name": format!("n{node}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": list_json(known.0, true, known.1.iter()), "settings": settings(node, scenario),
    })
    .to_string()
}

/// The configuration file that enables the memcached frontend, unless `listen` is None, and the cache servers that serve
/// memcached. The first component of a key selects the class, the second the tenant.
pub fn memcached_file(listen: Option<SocketAddr>) -> String {
    let mut text = listen.map_or(String::new(), |at| format!("listen = \"{at}\"\n"));
    for (n, (tenant, _)) in TENANTS.iter().enumerate() {
        for (c, class) in CLASSES.iter().enumerate() {
            let operation = if class.write { "set" } else { "get" };
            let key_from = if matches!(class.repeat, Repeat::Keyed(_)) {
                "digest"
            } else {
                "none"
            };
            let _ = write!(
                text,
                "[[route]]\noperation = \"{operation}\"\nkeys = \"{}/{n}/*\"\nclass = \"{}\"\n\
                 tenant = \"{tenant}\"\nkey_from = \"{key_from}\"\n",
                KEY_PREFIXES[c], class.name
            );
        }
    }
    for model in KINDS_MEMCACHED {
        let _ = write!(
            text,
            "[[box]]\nmodel = \"{model}\"\nprotocol = \"memcached\"\n"
        );
    }
    text
}

/// Settings of a cache server; see [`is_slow_kind`] for its speed.
pub fn cache_server_settings(
    number: usize,
    at: SocketAddr,
    origin: SocketAddr,
    cold: bool,
    memcached: bool,
    seed: u64,
) -> cache_server::Settings {
    let mut rng = crate::rng::Rng::stream(seed, "speed", number);
    let speed = if is_slow_kind(number) {
        rng.between(0.51, 0.69)
    } else {
        rng.between(0.85, 1.1)
    };
    cache_server::Settings {
        number,
        at,
        origin,
        memcached,
        speed,
        read_work: READ_WORK,
        write_work: WRITE_WORK,
        queue_capacity: 24,
        connections: 250,
        handshake: 3_000,
        idle: CONN_IDLE,
        cold,
        cold_from: COLD_FROM,
        warm_after: 18_000_000,
        fall_multiple: FALL_MULTIPLE,
        fall: FALL,
        initial_hit_fraction: 0.94,
        seed,
    }
}

/// Whether a cache server is of the slower kind of machine: two in four consecutive numbers are.
pub fn is_slow_kind(number: usize) -> bool {
    number % 4 >= 2
}

/// Settings of the origin, whose capacity is about two and a half times the fetches of the scenario's rate without faults.
pub fn origin(at: SocketAddr, seed: u64, scenario: &Scenario) -> origin::Settings {
    let fetches = scenario.rate * 0.92 * 0.06 * 2.4 + scenario.rate * 0.08;
    origin::Settings {
        at,
        workers: ((fetches * 0.03).ceil() as usize).max(2),
        fetch_mean: 30_000,
        write_mean: 12_000,
        window: DEDUPLICATION_WINDOW,
        share_fetches: true,
        seed,
    }
}

/// Settings of the client pool. `memcached` holds the addresses of the nodes' listeners for the memcached binary protocol.
pub fn clients(
    nodes: Vec<SocketAddr>,
    memcached: Vec<SocketAddr>,
    protocols: ProtocolOptions,
    seed: u64,
    scenario: &Scenario,
    until: Micros,
) -> clients::Settings {
    clients::Settings {
        nodes,
        memcached,
        protocols: protocols.clients,
        short_names: protocols != ProtocolOptions::default(),
        classes: CLASSES
            .iter()
            .map(|c| clients::Class {
                name: c.name.to_string(),
                share: c.share,
                deadline: c.deadline,
                write: c.write,
                keyed: matches!(c.repeat, Repeat::Keyed(_)),
                free: c.repeat == Repeat::Free,
            })
            .collect(),
        tenants: TENANTS
            .iter()
            .map(|(name, share)| (name.to_string(), *share))
            .collect(),
        rate: scenario.rate,
        keys: 3000,
        zipf: 0.9,
        retries: 0.7,
        backoff: 30_000,
        impatient: 0.0,
        until,
        seed,
    }
}
