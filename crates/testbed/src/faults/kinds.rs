//! The table of all kinds of fault: name, fields, and the function that begins it.
//!
//! A new kind needs a row here and a function in the module of the component that it concerns.

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::FaultScheduler;
use super::{clients, links, nodes, servers, services};

/// Type of a fault's field: a number within bounds, or one of several words.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// A number within bounds.
    Number {
        /// Lowest allowed value.
        low: f64,
        /// Highest allowed value.
        high: f64,
        /// Value if the scenario does not set the field.
        default: f64,
        /// Unit, as shown to users.
        unit: &'static str,
    },
    /// One of these words; the first is the default.
    Word(&'static [&'static str]),
}

/// A kind of fault.
pub struct FaultSpec {
    /// Name in scenarios.
    pub name: &'static str,
    /// Description for users.
    pub about: &'static str,
    /// Names and types of its fields.
    pub fields: &'static [(&'static str, FieldKind)],
    /// Whether it is supported on real sockets too, in addition to the virtual network.
    pub supports_real_sockets: bool,
    /// Begins the fault and schedules its end.
    pub(super) begin: fn(&mut FaultScheduler, &Fault, &mut dyn FaultEnvironment),
}

const fn seconds(default: f64) -> FieldKind {
    FieldKind::Number {
        low: 0.0,
        high: 3600.0,
        default,
        unit: "seconds",
    }
}

const fn fraction(default: f64) -> FieldKind {
    FieldKind::Number {
        low: 0.0,
        high: 1.0,
        default,
        unit: "a fraction",
    }
}

const fn factor(default: f64) -> FieldKind {
    FieldKind::Number {
        low: 0.01,
        high: 100.0,
        default,
        unit: "a factor",
    }
}

const fn count(default: f64) -> FieldKind {
    FieldKind::Number {
        low: 0.0,
        high: 200.0,
        default,
        unit: "a number",
    }
}

/// All kinds of fault.
pub const FAULTS: &[FaultSpec] = &[
    FaultSpec {
        name: "crash-boxes",
        about: "cache servers crash; a cold successor with a new id starts later",
        fields: &[("count", count(1.0)), ("back", seconds(5.0))],
        supports_real_sockets: true,
        begin: servers::crash,
    },
    FaultSpec {
        name: "vanish-boxes",
        about: "machines of cache servers lose all traffic; connections stay open; the server returns cold later",
        fields: &[("count", count(1.0)), ("back", seconds(8.0))],
        supports_real_sockets: true,
        begin: servers::isolate,
    },
    FaultSpec {
        name: "reborn-boxes",
        about: "cache servers crash and restart at once at the same address, cold and with a new id",
        fields: &[("count", count(1.0))],
        supports_real_sockets: true,
        begin: servers::restart_at_same_address,
    },
    FaultSpec {
        name: "lose-zone",
        about: "all cache servers of a zone lose all traffic; they return cold later",
        fields: &[("back", seconds(6.0))],
        supports_real_sockets: true,
        begin: servers::lose_zone,
    },
    FaultSpec {
        name: "bad-boxes",
        about: "some cache servers answer a fraction of their attempts with an error after execution",
        fields: &[("count", count(1.0)), ("part", fraction(0.7)), ("for", seconds(10.0))],
        supports_real_sockets: true,
        begin: servers::fail_attempts,
    },
    FaultSpec {
        name: "stall-boxes",
        about: "cache servers stall for a while; queued work is done later",
        fields: &[("count", count(1.0)), ("for", seconds(2.0))],
        supports_real_sockets: true,
        begin: servers::stall,
    },
    FaultSpec {
        name: "slow-boxes",
        about: "cache servers work slower",
        fields: &[("count", count(2.0)), ("times", factor(6.0)), ("for", seconds(8.0))],
        supports_real_sockets: true,
        begin: servers::slow_down,
    },
    FaultSpec {
        name: "spoil",
        about: "a fraction of the responses is corrupt",
        fields: &[("part", fraction(0.03)), ("for", seconds(10.0))],
        supports_real_sockets: true,
        begin: servers::corrupt_responses,
    },
    FaultSpec {
        name: "surplus",
        about: "a fraction of the responses is followed by surplus bytes",
        fields: &[("part", fraction(0.05)), ("for", seconds(10.0))],
        supports_real_sockets: true,
        begin: servers::append_surplus_bytes,
    },
    FaultSpec {
        name: "errors",
        about: "a fraction of the attempts is answered with an error after execution",
        fields: &[("part", fraction(0.1)), ("for", seconds(10.0))],
        supports_real_sockets: true,
        begin: servers::fail_attempts_everywhere,
    },
    FaultSpec {
        name: "deploy",
        about: "a fraction of the cache servers is replaced one by one: drained, ended, succeeded by a cold one",
        fields: &[("part", fraction(1.0)), ("over", seconds(24.0)), ("grace", seconds(4.0))],
        supports_real_sockets: true,
        begin: servers::deploy,
    },
    FaultSpec {
        name: "relist",
        about: "an ended cache server is in the endpoint list again for a while",
        fields: &[("for", seconds(3.0))],
        supports_real_sockets: true,
        begin: servers::list_ended_server_again,
    },
    FaultSpec {
        name: "kill-nodes",
        about: "a fraction of the nodes is killed and restarts with its last list; the load balancer notices late",
        fields: &[("part", fraction(0.49)), ("back", seconds(5.0)), ("notice", seconds(2.0))],
        supports_real_sockets: true,
        begin: nodes::kill,
    },
    FaultSpec {
        name: "restart-nodes",
        about: "nodes are shut down gracefully, one after another, and started again",
        fields: &[("part", fraction(1.0)), ("over", seconds(10.0))],
        supports_real_sockets: true,
        begin: nodes::restart,
    },
    FaultSpec {
        name: "pause-nodes",
        about: "a fraction of the nodes is suspended (SIGSTOP) and resumed later, with its state from before",
        fields: &[("part", fraction(0.5)), ("for", seconds(3.0))],
        supports_real_sockets: true,
        begin: nodes::pause,
    },
    FaultSpec {
        name: "slow-origin",
        about: "the origin works slower",
        fields: &[("times", factor(5.0)), ("for", seconds(12.0))],
        supports_real_sockets: true,
        begin: services::slow_origin,
    },
    FaultSpec {
        name: "void",
        about: "a fraction of all cached values is invalidated at once",
        fields: &[("part", fraction(0.8))],
        supports_real_sockets: true,
        begin: services::invalidate,
    },
    FaultSpec {
        name: "hot-keys",
        about: "a few keys receive a fraction of all requests",
        fields: &[("keys", count(1.0)), ("part", fraction(0.24)), ("for", seconds(15.0))],
        supports_real_sockets: true,
        begin: clients::concentrate_keys,
    },
    FaultSpec {
        name: "load",
        about: "the request rate is multiplied by a factor",
        fields: &[("times", factor(1.5)), ("for", seconds(10.0))],
        supports_real_sockets: true,
        begin: clients::increase_load,
    },
    FaultSpec {
        name: "discovery-down",
        about: "discovery is down; its connections break",
        fields: &[("for", seconds(8.0))],
        supports_real_sockets: true,
        begin: services::stop_discovery,
    },
    FaultSpec {
        name: "discovery-fail",
        about: "discovery answers 503",
        fields: &[("for", seconds(8.0))],
        supports_real_sockets: true,
        begin: services::fail_discovery,
    },
    FaultSpec {
        name: "discovery-late",
        about: "discovery answers late",
        fields: &[("by", seconds(2.0)), ("for", seconds(10.0))],
        supports_real_sockets: true,
        begin: services::delay_discovery,
    },
    FaultSpec {
        name: "discovery-stale",
        about: "discovery answers with a list that is no longer updated",
        fields: &[("for", seconds(8.0))],
        supports_real_sockets: true,
        begin: services::freeze_discovery,
    },
    FaultSpec {
        name: "discovery-anew",
        about: "discovery goes down and restarts with its revisions from the beginning",
        fields: &[("for", seconds(3.0))],
        supports_real_sockets: true,
        begin: services::stop_discovery,
    },
    FaultSpec {
        name: "discovery-moves",
        about: "the nodes' configuration is changed to another discovery address (SIGHUP); the old one closes after 1.5 s",
        fields: &[],
        supports_real_sockets: true,
        begin: services::move_discovery,
    },
    FaultSpec {
        name: "rude",
        about: "misbehaving clients send malformed requests at a rate",
        fields: &[
            ("rate", FieldKind::Number { low: 0.0, high: 1000.0, default: 20.0, unit: "per second" }),
            ("for", seconds(10.0)),
        ],
        supports_real_sockets: true,
        begin: clients::misbehave,
    },
    FaultSpec {
        name: "hang-ups",
        about: "a fraction of the clients disconnects before the answer",
        fields: &[("part", fraction(0.2)), ("for", seconds(10.0))],
        supports_real_sockets: true,
        begin: clients::disconnect_early,
    },
    FaultSpec {
        name: "partition",
        about: "the links between all nodes and some cache servers are cut in one direction or both",
        fields: &[
            ("count", count(3.0)),
            ("for", seconds(6.0)),
            ("way", FieldKind::Word(&["from-boxes", "to-boxes", "both"])),
        ],
        supports_real_sockets: true,
        begin: links::partition,
    },
    FaultSpec {
        name: "resets",
        about: "each tenth of a second a fraction of the connections between nodes and cache servers is reset",
        fields: &[("part", fraction(0.02)), ("for", seconds(8.0))],
        supports_real_sockets: false,
        begin: links::reset_connections,
    },
    FaultSpec {
        name: "refuse-boxes",
        about: "cache servers refuse new connections and serve the open ones",
        fields: &[("count", count(2.0)), ("for", seconds(6.0))],
        supports_real_sockets: true,
        begin: links::refuse_connections,
    },
    FaultSpec {
        name: "partial",
        about: "a fraction of all socket writes accepts only some bytes, or none for a while",
        fields: &[("part", fraction(0.3)), ("for", seconds(10.0))],
        supports_real_sockets: false,
        begin: links::write_partially,
    },
    FaultSpec {
        name: "skew",
        about: "a node is killed and restarts with a clock that is off",
        fields: &[("by", FieldKind::Number { low: -60.0, high: 60.0, default: 5.0, unit: "seconds" })],
        supports_real_sockets: false,
        begin: nodes::skew_clock,
    },
    FaultSpec {
        name: "idle-clients",
        about: "clients hold idle connections after one request, and reconnect when these are closed",
        fields: &[
            ("count", FieldKind::Number { low: 0.0, high: 5000.0, default: 600.0, unit: "a number for each node" }),
            ("for", seconds(10.0)),
        ],
        supports_real_sockets: false,
        begin: clients::hold_idle_connections,
    },
    FaultSpec {
        name: "late-surplus",
        about: "a fraction of the responses is sent again some milliseconds later",
        fields: &[("part", fraction(0.05)), ("for", seconds(10.0))],
        supports_real_sockets: true,
        begin: servers::repeat_responses_late,
    },
];

/// A swarm draws from this many faults at the beginning of [`FAULTS`]. Another number would change the run of each seed.
pub(super) const SWARM_FAULT_COUNT: usize = FAULTS.len() - 2;
/// The fault that some swarms meet in addition.
pub(super) const ADDITIONAL_SWARM_FAULT: &str = "late-surplus";

/// The kind of fault of this name.
pub fn fault_spec(name: &str) -> Option<&'static FaultSpec> {
    FAULTS.iter().find(|s| s.name == name)
}

/// Description of the values that a field allows, for users.
pub fn allowed_values(kind: &FieldKind) -> String {
    match kind {
        FieldKind::Number {
            low,
            high,
            default,
            unit,
        } => format!("{unit} from {low} to {high} (default {default})"),
        FieldKind::Word(words) => format!(
            "{} (default {})",
            words.join(", "),
            words.first().unwrap_or(&"")
        ),
    }
}
