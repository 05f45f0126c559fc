//! The stand-in site: the figures of its classes, boxes, origin and rules, and the configuration that its
//! nodes are given.

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

pub const ZONES: [&str; 2] = ["ops-center", "eastside-plant"];
pub const KINDS: [&str; 2] = ["std-box", "slow-box"];

/// The same boxes when they speak the memcached binary protocol.
pub const KINDS_MEMCACHED: [&str; 2] = ["mc-std-box", "mc-slow-box"];

/// A class: share of the requests, aim, deadline, worth, and how it may be repeated.
pub struct Class {
    pub name: &'static str,
    pub share: f64,
    pub latency_objective: Micros,
    pub deadline: Micros,
    pub priority_weight: f64,
    pub repeat: Repeat,
    pub write: bool,
}

/// Readings, keyed settings, and acknowledgements that may not be repeated at all.
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
pub const TENANTS: [(&str, f64); 4] = [
    ("distribution", 0.37),
    ("leak-crew", 0.26),
    ("engineering", 0.21),
    ("customer-svc", 0.16),
];
/// How long all boxes drop a keyed write's repeat.
pub const DEDUPLICATION_WINDOW: Micros = 10_000_000;
pub const MAX_DEADLINE: Micros = 2_000_000;
const DRAIN_GRACE: Micros = 2_000_000;
const ANSWER_SLACK: Micros = 8_000;
/// On sockets each time limit is this much longer.
const SOCKETS_SLACK: Micros = 50_000;
pub const COLD_FROM: f64 = 0.13;
pub const COLD: Micros = 24_000_000;
pub const FALL: Micros = 2_000_000;
pub const FALL_MULTIPLE: f64 = 2.5;
/// Mean work of a request at a box.
const READ_WORK: Micros = 14_000;
const WRITE_WORK: Micros = 26_000;
const CONNECT_TIMEOUT: Micros = 75_000;
const CONN_IDLE: Micros = 10_000_000;
pub const MEMORY_MB: usize = 64;
pub const SOCKETS: usize = 512;

/// What boxes speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerProtocols {
    #[default]
    Resp,
    Memcached,
    /// Every second one the binary protocol.
    Mixed,
    /// Those that are started later the binary protocol.
    Later,
}

/// Who speaks what.
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

    /// A box's model, as the list has it.
    pub fn model(self, number: usize, scenario: &Scenario) -> &'static str {
        let slow = usize::from(is_slow_kind(number));
        if self.server_uses_memcached(number, scenario) {
            KINDS_MEMCACHED[slow]
        } else {
            KINDS[slow]
        }
    }

    /// The file that a node needs for all this, where it needs one; `listen`: where it listens for the binary protocol.
    pub fn file(self, listen: SocketAddr) -> Option<String> {
        let front = matches!(self.clients, Clients::Memcached | Clients::Both);
        (self != ProtocolOptions::default()).then(|| memcached_file(front.then_some(listen)))
    }

    /// Gives a node's configuration the file that all this needs, where it needs one.
    ///
    /// # Errors
    /// Never with the site's own figures.
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

/// The figures that the judge goes by; `way`: the longest way over the network.
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

/// A node's configuration, as its file holds it.
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

/// The file that switches the memcached front (none: not listened for) and boxes on. A key's first part says what it
/// is for, its second whose it is.
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

/// A box: the odd ones are of the slower kind.
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

pub fn is_slow_kind(number: usize) -> bool {
    number % 4 >= 2
}

/// The origin: about two and a half times the fetches of a calm day.
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

/// `memcached`: where the nodes listen for the binary protocol.
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
