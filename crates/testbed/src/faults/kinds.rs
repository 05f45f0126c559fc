//! The table of all kinds of fault: name, fields, and the function that begins it.
//!
//! A new kind is a row here and a function in the module of what it concerns.

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::FaultScheduler;
use super::{clients, links, nodes, servers, services};

/// A value of a fault: a number within bounds, or one of some words.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// A number within bounds.
    Number {
        /// Lowest value.
        low: f64,
        /// Highest value.
        high: f64,
        /// Default.
        default: f64,
        /// Unit, for people.
        unit: &'static str,
    },
    /// One of these words; the first is the default.
    Word(&'static [&'static str]),
}

/// A kind of fault: its name, what it does, what can be set.
pub struct FaultSpec {
    /// Its name in scenarios.
    pub name: &'static str,
    /// What it does, for people.
    pub about: &'static str,
    /// Its fields by name.
    pub fields: &'static [(&'static str, FieldKind)],
    /// Whether it can be played on real sockets too, or only on the virtual network.
    pub real: bool,
    /// Begins it; its end is a task of the schedule.
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
        unit: "a part of one",
    }
}

const fn factor(default: f64) -> FieldKind {
    FieldKind::Number {
        low: 0.01,
        high: 100.0,
        default,
        unit: "times",
    }
}

const fn count(default: f64) -> FieldKind {
    FieldKind::Number {
        low: 0.0,
        high: 200.0,
        default,
        unit: "how many",
    }
}

/// All kinds of fault.
pub const FAULTS: &[FaultSpec] = &[
    FaultSpec {
        name: "crash-boxes",
        about: "cache boxes die; a cold successor under a new id comes later",
        fields: &[("count", count(1.0)), ("back", seconds(5.0))],
        real: true,
        begin: servers::crash,
    },
    FaultSpec {
        name: "vanish-boxes",
        about: "machines fall silent; their connections stay open; the same box is back, cold, later",
        fields: &[("count", count(1.0)), ("back", seconds(8.0))],
        real: true,
        begin: servers::isolate,
    },
    FaultSpec {
        name: "reborn-boxes",
        about: "cache boxes die and come back at once at the same address under a new id, cold",
        fields: &[("count", count(1.0))],
        real: true,
        begin: servers::restart_at_same_address,
    },
    FaultSpec {
        name: "lose-zone",
        about: "all boxes of a zone fall silent; they are back, cold, later",
        fields: &[("back", seconds(6.0))],
        real: true,
        begin: servers::lose_zone,
    },
    FaultSpec {
        name: "bad-boxes",
        about: "some boxes end a part of their attempts in an error after it has run",
        fields: &[("count", count(1.0)), ("part", fraction(0.7)), ("for", seconds(10.0))],
        real: true,
        begin: servers::fail_attempts,
    },
    FaultSpec {
        name: "stall-boxes",
        about: "cache boxes do nothing for a while; what waits there is done later",
        fields: &[("count", count(1.0)), ("for", seconds(2.0))],
        real: true,
        begin: servers::stall,
    },
    FaultSpec {
        name: "slow-boxes",
        about: "cache boxes work slower",
        fields: &[("count", count(2.0)), ("times", factor(6.0)), ("for", seconds(8.0))],
        real: true,
        begin: servers::slow_down,
    },
    FaultSpec {
        name: "spoil",
        about: "a part of the answers can't be read",
        fields: &[("part", fraction(0.03)), ("for", seconds(10.0))],
        real: true,
        begin: servers::corrupt_responses,
    },
    FaultSpec {
        name: "surplus",
        about: "a part of the answers brings more than belongs to it",
        fields: &[("part", fraction(0.05)), ("for", seconds(10.0))],
        real: true,
        begin: servers::append_surplus_bytes,
    },
    FaultSpec {
        name: "errors",
        about: "a part of the attempts ends in an error after it has run",
        fields: &[("part", fraction(0.1)), ("for", seconds(10.0))],
        real: true,
        begin: servers::fail_attempts_everywhere,
    },
    FaultSpec {
        name: "deploy",
        about: "a part of the fleet is replaced, some boxes at a time: drained, ended, succeeded cold",
        fields: &[("part", fraction(1.0)), ("over", seconds(24.0)), ("grace", seconds(4.0))],
        real: true,
        begin: servers::deploy,
    },
    FaultSpec {
        name: "relist",
        about: "a box that has gone is named in the list again for a while",
        fields: &[("for", seconds(3.0))],
        real: true,
        begin: servers::list_ended_server_again,
    },
    FaultSpec {
        name: "kill-nodes",
        about: "a part of the nodes dies and comes back with its last list; the front notices late",
        fields: &[("part", fraction(0.49)), ("back", seconds(5.0)), ("notice", seconds(2.0))],
        real: true,
        begin: nodes::kill,
    },
    FaultSpec {
        name: "restart-nodes",
        about: "nodes are stopped as planned, one after another, and started again",
        fields: &[("part", fraction(1.0)), ("over", seconds(10.0))],
        real: true,
        begin: nodes::restart,
    },
    FaultSpec {
        name: "pause-nodes",
        about: "a part of the nodes is stopped where it stands (SIGSTOP) and goes on later, with what it believed",
        fields: &[("part", fraction(0.5)), ("for", seconds(3.0))],
        real: true,
        begin: nodes::pause,
    },
    FaultSpec {
        name: "slow-origin",
        about: "the origin crawls",
        fields: &[("times", factor(5.0)), ("for", seconds(12.0))],
        real: true,
        begin: services::slow_origin,
    },
    FaultSpec {
        name: "void",
        about: "a part of all kept copies is void at once",
        fields: &[("part", fraction(0.8))],
        real: true,
        begin: services::invalidate,
    },
    FaultSpec {
        name: "hot-keys",
        about: "a few keys draw a part of all requests",
        fields: &[("keys", count(1.0)), ("part", fraction(0.24)), ("for", seconds(15.0))],
        real: true,
        begin: clients::concentrate_keys,
    },
    FaultSpec {
        name: "load",
        about: "so many times the usual rate",
        fields: &[("times", factor(1.5)), ("for", seconds(10.0))],
        real: true,
        begin: clients::increase_load,
    },
    FaultSpec {
        name: "discovery-down",
        about: "discovery is down; connections to it break",
        fields: &[("for", seconds(8.0))],
        real: true,
        begin: services::stop_discovery,
    },
    FaultSpec {
        name: "discovery-fail",
        about: "discovery answers 503",
        fields: &[("for", seconds(8.0))],
        real: true,
        begin: services::fail_discovery,
    },
    FaultSpec {
        name: "discovery-late",
        about: "discovery's answers are held back",
        fields: &[("by", seconds(2.0)), ("for", seconds(10.0))],
        real: true,
        begin: services::delay_discovery,
    },
    FaultSpec {
        name: "discovery-stale",
        about: "discovery goes on telling the list as it stands now",
        fields: &[("for", seconds(8.0))],
        real: true,
        begin: services::freeze_discovery,
    },
    FaultSpec {
        name: "discovery-anew",
        about: "discovery goes down and comes back counting its versions anew",
        fields: &[("for", seconds(3.0))],
        real: true,
        begin: services::stop_discovery,
    },
    FaultSpec {
        name: "discovery-moves",
        about: "the nodes' configuration names another discovery (SIGHUP); the old one retires after 1.5 s",
        fields: &[],
        real: true,
        begin: services::move_discovery,
    },
    FaultSpec {
        name: "rude",
        about: "clients that send what can't be read, so many a second",
        fields: &[
            ("rate", FieldKind::Number { low: 0.0, high: 1000.0, default: 20.0, unit: "a second" }),
            ("for", seconds(10.0)),
        ],
        real: true,
        begin: clients::misbehave,
    },
    FaultSpec {
        name: "hang-ups",
        about: "a part of the clients leaves early",
        fields: &[("part", fraction(0.2)), ("for", seconds(10.0))],
        real: true,
        begin: clients::disconnect_early,
    },
    FaultSpec {
        name: "partition",
        about: "the way between all nodes and some boxes is cut in one direction or both",
        fields: &[
            ("count", count(3.0)),
            ("for", seconds(6.0)),
            ("way", FieldKind::Word(&["from-boxes", "to-boxes", "both"])),
        ],
        real: true,
        begin: links::partition,
    },
    FaultSpec {
        name: "resets",
        about: "each tenth of a second a part of the connections between nodes and boxes is reset",
        fields: &[("part", fraction(0.02)), ("for", seconds(8.0))],
        real: false,
        begin: links::reset_connections,
    },
    FaultSpec {
        name: "refuse-boxes",
        about: "boxes refuse new connections and serve those they have",
        fields: &[("count", count(2.0)), ("for", seconds(6.0))],
        real: true,
        begin: links::refuse_connections,
    },
    FaultSpec {
        name: "partial",
        about: "a part of all writes takes only some of its bytes, or none for a while",
        fields: &[("part", fraction(0.3)), ("for", seconds(10.0))],
        real: false,
        begin: links::write_partially,
    },
    FaultSpec {
        name: "skew",
        about: "a node dies and comes back with a clock that is off",
        fields: &[("by", FieldKind::Number { low: -60.0, high: 60.0, default: 5.0, unit: "seconds" })],
        real: false,
        begin: nodes::skew_clock,
    },
    FaultSpec {
        name: "idle-clients",
        about: "clients that asked once rest on their connections, and come back when they are ended",
        fields: &[
            ("count", FieldKind::Number { low: 0.0, high: 5000.0, default: 600.0, unit: "how many at each node" }),
            ("for", seconds(10.0)),
        ],
        real: false,
        begin: clients::hold_idle_connections,
    },
];

/// The first so many are those that a swarm mixes; one more would make another run of each seed.
pub(super) const SWARM_FAULT_COUNT: usize = FAULTS.len() - 1;

/// The kind of fault of this name.
pub fn spec(name: &str) -> Option<&'static FaultSpec> {
    FAULTS.iter().find(|s| s.name == name)
}

/// What a field takes, in words.
pub fn allowed(kind: &FieldKind) -> String {
    match kind {
        FieldKind::Number {
            low,
            high,
            default,
            unit,
        } => format!("{unit} from {low} to {high} (usually {default})"),
        FieldKind::Word(words) => format!(
            "{} (usually {})",
            words.join(", "),
            words.first().unwrap_or(&"")
        ),
    }
}
