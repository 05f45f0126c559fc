//! Scenarios: a fleet, and faults on a schedule, as TOML.
//!
//! Reading one does not stop at the first error; each names file, line, what is wrong and what is allowed.

use std::fmt::Write;

use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A value of a fault: a number within bounds, or one of some words.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    Number {
        low: f64,
        high: f64,
        usual: f64,
        unit: &'static str,
    },
    /// The first is the usual one.
    Word(&'static [&'static str]),
}

/// A kind of fault: its name, what it does, what can be set.
pub struct Spec {
    pub name: &'static str,
    pub about: &'static str,
    pub fields: &'static [(&'static str, Kind)],
    /// Whether it can be played on real sockets too, or only on the virtual network.
    pub real: bool,
}

const fn seconds(usual: f64) -> Kind {
    Kind::Number {
        low: 0.0,
        high: 3600.0,
        usual,
        unit: "seconds",
    }
}

const fn part(usual: f64) -> Kind {
    Kind::Number {
        low: 0.0,
        high: 1.0,
        usual,
        unit: "a part of one",
    }
}

const fn times(usual: f64) -> Kind {
    Kind::Number {
        low: 0.01,
        high: 100.0,
        usual,
        unit: "times",
    }
}

const fn count(usual: f64) -> Kind {
    Kind::Number {
        low: 0.0,
        high: 200.0,
        usual,
        unit: "how many",
    }
}

/// All kinds of fault.
pub const FAULTS: &[Spec] = &[
    Spec {
        name: "crash-boxes",
        about: "cache boxes die; a cold successor under a new id comes later",
        fields: &[("count", count(1.0)), ("back", seconds(5.0))],
        real: true,
    },
    Spec {
        name: "vanish-boxes",
        about: "machines fall silent; their connections stay open; the same box is back, cold, later",
        fields: &[("count", count(1.0)), ("back", seconds(8.0))],
        real: true,
    },
    Spec {
        name: "reborn-boxes",
        about: "cache boxes die and come back at once at the same address under a new id, cold",
        fields: &[("count", count(1.0))],
        real: true,
    },
    Spec {
        name: "lose-zone",
        about: "all boxes of a zone fall silent; they are back, cold, later",
        fields: &[("back", seconds(6.0))],
        real: true,
    },
    Spec {
        name: "bad-boxes",
        about: "some boxes end a part of their attempts in an error after it has run",
        fields: &[("count", count(1.0)), ("part", part(0.7)), ("for", seconds(10.0))],
        real: true,
    },
    Spec {
        name: "stall-boxes",
        about: "cache boxes do nothing for a while; what waits there is done later",
        fields: &[("count", count(1.0)), ("for", seconds(2.0))],
        real: true,
    },
    Spec {
        name: "slow-boxes",
        about: "cache boxes work slower",
        fields: &[("count", count(2.0)), ("times", times(6.0)), ("for", seconds(8.0))],
        real: true,
    },
    Spec {
        name: "spoil",
        about: "a part of the answers can't be read",
        fields: &[("part", part(0.03)), ("for", seconds(10.0))],
        real: true,
    },
    Spec {
        name: "surplus",
        about: "a part of the answers brings more than belongs to it",
        fields: &[("part", part(0.05)), ("for", seconds(10.0))],
        real: true,
    },
    Spec {
        name: "errors",
        about: "a part of the attempts ends in an error after it has run",
        fields: &[("part", part(0.1)), ("for", seconds(10.0))],
        real: true,
    },
    Spec {
        name: "deploy",
        about: "a part of the fleet is replaced, some boxes at a time: drained, ended, succeeded cold",
        fields: &[("part", part(1.0)), ("over", seconds(24.0)), ("grace", seconds(4.0))],
        real: true,
    },
    Spec {
        name: "relist",
        about: "a box that has gone is named in the list again for a while",
        fields: &[("for", seconds(3.0))],
        real: true,
    },
    Spec {
        name: "kill-nodes",
        about: "a part of the nodes dies and comes back with its last list; the front notices late",
        fields: &[("part", part(0.49)), ("back", seconds(5.0)), ("notice", seconds(2.0))],
        real: true,
    },
    Spec {
        name: "restart-nodes",
        about: "nodes are stopped as planned, one after another, and started again",
        fields: &[("part", part(1.0)), ("over", seconds(10.0))],
        real: true,
    },
    Spec {
        name: "pause-nodes",
        about: "a part of the nodes is stopped where it stands (SIGSTOP) and goes on later, with what it believed",
        fields: &[("part", part(0.5)), ("for", seconds(3.0))],
        real: true,
    },
    Spec {
        name: "slow-origin",
        about: "the origin crawls",
        fields: &[("times", times(5.0)), ("for", seconds(12.0))],
        real: true,
    },
    Spec {
        name: "void",
        about: "a part of all kept copies is void at once",
        fields: &[("part", part(0.8))],
        real: true,
    },
    Spec {
        name: "hot-keys",
        about: "a few keys draw a part of all requests",
        fields: &[("keys", count(1.0)), ("part", part(0.24)), ("for", seconds(15.0))],
        real: true,
    },
    Spec {
        name: "load",
        about: "so many times the usual rate",
        fields: &[("times", times(1.5)), ("for", seconds(10.0))],
        real: true,
    },
    Spec {
        name: "discovery-down",
        about: "discovery is down; connections to it break",
        fields: &[("for", seconds(8.0))],
        real: true,
    },
    Spec {
        name: "discovery-fail",
        about: "discovery answers 503",
        fields: &[("for", seconds(8.0))],
        real: true,
    },
    Spec {
        name: "discovery-late",
        about: "discovery's answers are held back",
        fields: &[("by", seconds(2.0)), ("for", seconds(10.0))],
        real: true,
    },
    Spec {
        name: "discovery-stale",
        about: "discovery goes on telling the list as it stands now",
        fields: &[("for", seconds(8.0))],
        real: true,
    },
    Spec {
        name: "discovery-anew",
        about: "discovery goes down and comes back counting its versions anew",
        fields: &[("for", seconds(3.0))],
        real: true,
    },
    Spec {
        name: "discovery-moves",
        about: "the nodes' configuration names another discovery (SIGHUP); the old one retires after 1.5 s",
        fields: &[],
        real: true,
    },
    Spec {
        name: "rude",
        about: "clients that send what can't be read, so many a second",
        fields: &[
            ("rate", Kind::Number { low: 0.0, high: 1000.0, usual: 20.0, unit: "a second" }),
            ("for", seconds(10.0)),
        ],
        real: true,
    },
    Spec {
        name: "hang-ups",
        about: "a part of the clients leaves early",
        fields: &[("part", part(0.2)), ("for", seconds(10.0))],
        real: true,
    },
    Spec {
        name: "partition",
        about: "the way between all nodes and some boxes is cut in one direction or both",
        fields: &[
            ("count", count(3.0)),
            ("for", seconds(6.0)),
            ("way", Kind::Word(&["from-boxes", "to-boxes", "both"])),
        ],
        real: true,
    },
    Spec {
        name: "resets",
        about: "each tenth of a second a part of the connections between nodes and boxes is reset",
        fields: &[("part", part(0.02)), ("for", seconds(8.0))],
        real: false,
    },
    Spec {
        name: "refuse-boxes",
        about: "boxes refuse new connections and serve those they have",
        fields: &[("count", count(2.0)), ("for", seconds(6.0))],
        real: true,
    },
    Spec {
        name: "partial",
        about: "a part of all writes takes only some of its bytes, or none for a while",
        fields: &[("part", part(0.3)), ("for", seconds(10.0))],
        real: false,
    },
    Spec {
        name: "skew",
        about: "a node dies and comes back with a clock that is off",
        fields: &[("by", Kind::Number { low: -60.0, high: 60.0, usual: 5.0, unit: "seconds" })],
        real: false,
    },
    Spec {
        name: "idle-clients",
        about: "clients that asked once rest on their connections, and come back when they are ended",
        fields: &[
            ("count", Kind::Number { low: 0.0, high: 5000.0, usual: 600.0, unit: "how many at each node" }),
            ("for", seconds(10.0)),
        ],
        real: false,
    },
];

/// The first so many are those that a swarm mixes; one more would make another run of each seed.
const MIXED: usize = FAULTS.len() - 1;

pub fn spec(name: &str) -> Option<&'static Spec> {
    FAULTS.iter().find(|s| s.name == name)
}

/// A value of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Set {
    Number(f64),
    Word(&'static str),
}

/// One fault of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at: f64,
    pub name: &'static str,
    /// What is set; the rest is as usual.
    pub set: Vec<(&'static str, Set)>,
}

impl Fault {
    pub fn usual(name: &str, at: f64) -> Option<Fault> {
        spec(name).map(|s| Fault {
            at,
            name: s.name,
            set: Vec::new(),
        })
    }

    /// A number of this fault, or its usual value.
    pub fn number(&self, field: &str) -> f64 {
        if let Some((_, Set::Number(n))) = self.set.iter().find(|(name, _)| *name == field) {
            return *n;
        }
        let fields = spec(self.name).map_or(&[][..], |s| s.fields);
        match fields.iter().find(|(name, _)| *name == field) {
            Some((_, Kind::Number { usual, .. })) => *usual,
            _ => 0.0,
        }
    }

    pub fn word(&self, field: &str) -> &'static str {
        if let Some((_, Set::Word(word))) = self.set.iter().find(|(name, _)| *name == field) {
            return word;
        }
        let fields = spec(self.name).map_or(&[][..], |s| s.fields);
        match fields.iter().find(|(name, _)| *name == field) {
            Some((_, Kind::Word(words))) => words.first().copied().unwrap_or(""),
            _ => "",
        }
    }
}

/// A fleet and what goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub name: String,
    pub about: String,
    /// How long clients ask.
    pub seconds: f64,
    pub nodes: usize,
    pub boxes: usize,
    /// Requests a second over all nodes.
    pub rate: f64,
    pub faults: Vec<Fault>,
}

const TOP: &[(&str, &str)] = &[
    ("name", "text"),
    ("about", "text"),
    ("seconds", "a number from 1 to 3600"),
    ("nodes", "a whole number from 1 to 32"),
    ("boxes", "a whole number from 1 to 200"),
    ("rate", "requests a second, a number from 1 to 20000"),
    ("fault", "tables, [[fault]]"),
];

/// The scenarios that come with the rig.
pub const SHIPPED: &[(&str, &str)] = &[
    ("calm", include_str!("../scenarios/calm.toml")),
    (
        "sprinkler-evening",
        include_str!("../scenarios/sprinkler-evening.toml"),
    ),
    ("main-break", include_str!("../scenarios/main-break.toml")),
    (
        "rolling-deploy",
        include_str!("../scenarios/rolling-deploy.toml"),
    ),
    ("nodes-die", include_str!("../scenarios/nodes-die.toml")),
    (
        "crawling-origin",
        include_str!("../scenarios/crawling-origin.toml"),
    ),
    (
        "mass-invalidation",
        include_str!("../scenarios/mass-invalidation.toml"),
    ),
    (
        "discovery-back",
        include_str!("../scenarios/discovery-back.toml"),
    ),
    (
        "spoilt-answers",
        include_str!("../scenarios/spoilt-answers.toml"),
    ),
    (
        "rude-clients",
        include_str!("../scenarios/rude-clients.toml"),
    ),
    (
        "one-way-partition",
        include_str!("../scenarios/one-way-partition.toml"),
    ),
    ("restarts", include_str!("../scenarios/restarts.toml")),
];

/// Something wrong with a scenario's text.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrong {
    pub line: usize,
    pub why: String,
}

/// Reads a scenario.
///
/// # Errors
/// All that is wrong with it, each with its line.
pub fn parse(text: &str) -> Result<Scenario, Vec<Wrong>> {
    let line_at = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
    let table = DeTable::parse(text).map_err(|e| {
        let line = e.span().map_or(1, |s| line_at(s.start));
        vec![Wrong {
            line,
            why: format!("is not TOML: {}", e.message()),
        }]
    })?;
    let mut wrong = Vec::new();
    let mut say = |at: usize, why: String| {
        wrong.push(Wrong {
            line: line_at(at),
            why,
        })
    };
    let mut scenario = Scenario {
        name: String::new(),
        about: String::new(),
        seconds: 0.0,
        nodes: 4,
        boxes: 15,
        rate: 400.0,
        faults: Vec::new(),
    };
    let table = table.get_ref();
    for (key, value) in table {
        let at = key.span().start;
        let name: &str = key.get_ref();
        let ranged = |low: f64, high: f64, whole: bool| {
            number(value).filter(|n| (low..=high).contains(n) && (!whole || n.fract() == 0.0))
        };
        let got = match name {
            "name" | "about" => value.get_ref().as_str().map(|text| match name {
                "name" => scenario.name = text.to_string(),
                _ => scenario.about = text.to_string(),
            }),
            "seconds" => ranged(1.0, 3600.0, false).map(|n| scenario.seconds = n),
            "rate" => ranged(1.0, 20_000.0, false).map(|n| scenario.rate = n),
            "nodes" => ranged(1.0, 32.0, true).map(|n| scenario.nodes = n as usize),
            "boxes" => ranged(1.0, 200.0, true).map(|n| scenario.boxes = n as usize),
            "fault" => value.get_ref().as_array().map(|list| {
                for item in list.iter() {
                    match item.get_ref().as_table() {
                        Some(table) => {
                            scenario
                                .faults
                                .extend(fault(item.span().start, table, &mut say))
                        }
                        None => say(
                            item.span().start,
                            "a fault is a table: [[fault]]".to_string(),
                        ),
                    }
                }
            }),
            _ => {
                let known: Vec<&str> = TOP.iter().map(|(n, _)| *n).collect();
                say(
                    at,
                    format!("unknown field {name:?}; allowed: {}", known.join(", ")),
                );
                continue;
            }
        };
        if got.is_none() {
            let allowed = TOP.iter().find(|(n, _)| *n == name).map_or("", |(_, a)| a);
            say(
                at,
                format!("{name}: is {}; allowed: {allowed}", shown(value)),
            );
        }
    }
    for (field, allowed) in [("name", TOP[0].1), ("seconds", TOP[2].1)] {
        if !table.iter().any(|(key, _)| key.get_ref() == field) {
            say(0, format!("field {field} is missing; allowed: {allowed}"));
        }
    }
    let faults = table
        .iter()
        .find(|(key, _)| key.get_ref() == "fault")
        .and_then(|(_, v)| v.get_ref().as_array());
    for item in faults.into_iter().flat_map(|list| list.iter()) {
        let at = item
            .get_ref()
            .as_table()
            .and_then(|t| t.iter().find(|(key, _)| key.get_ref() == "at"));
        if let Some((key, value)) =
            at.filter(|(_, v)| number(v).is_some_and(|n| n > scenario.seconds))
        {
            if scenario.seconds > 0.0 {
                let why = format!(
                    "at is {}; the scenario is over after {} seconds",
                    shown(value),
                    scenario.seconds
                );
                say(key.span().start, why);
            }
        }
    }
    wrong.sort_by_key(|w| w.line);
    if wrong.is_empty() {
        scenario.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(scenario)
    } else {
        Err(wrong)
    }
}

fn number(value: &Spanned<DeValue>) -> Option<f64> {
    sloewick_toml_config::number(value.get_ref())
}

fn shown(value: &Spanned<DeValue>) -> String {
    sloewick_toml_config::display_value(value.get_ref())
}

fn fault(start: usize, table: &DeTable, say: &mut impl FnMut(usize, String)) -> Option<Fault> {
    let field = |name: &str| table.iter().find(|(key, _)| key.get_ref() == name);
    let names = || FAULTS.iter().map(|s| s.name).collect::<Vec<_>>().join(", ");
    let Some((key, value)) = field("kind") else {
        say(
            start,
            format!("a fault's field kind is missing; allowed: {}", names()),
        );
        return None;
    };
    let Some(spec) = value.get_ref().as_str().and_then(spec) else {
        say(
            key.span().start,
            format!("unknown fault {}; allowed: {}", shown(value), names()),
        );
        return None;
    };
    let mut fault = Fault {
        at: 0.0,
        name: spec.name,
        set: Vec::new(),
    };
    match field("at") {
        None => say(
            start,
            format!(
                "fault {}: field at is missing; allowed: seconds from 0",
                spec.name
            ),
        ),
        Some((key, value)) => match number(value).filter(|n| (0.0..=3600.0).contains(n)) {
            Some(at) => fault.at = at,
            None => say(
                key.span().start,
                format!(
                    "fault {}: at is {}; allowed: seconds from 0 to 3600",
                    spec.name,
                    shown(value)
                ),
            ),
        },
    }
    for (key, value) in table
        .iter()
        .filter(|(k, _)| !["kind", "at"].contains(&k.get_ref().as_ref()))
    {
        let (at, name): (usize, &str) = (key.span().start, key.get_ref());
        let Some((name, kind)) = spec.fields.iter().find(|(n, _)| *n == name) else {
            let mut known = vec!["kind", "at"];
            known.extend(spec.fields.iter().map(|(n, _)| *n));
            say(
                at,
                format!(
                    "fault {}: unknown field {name:?}; allowed: {}",
                    spec.name,
                    known.join(", ")
                ),
            );
            continue;
        };
        let set = match kind {
            Kind::Number { low, high, .. } => number(value)
                .filter(|n| (*low..=*high).contains(n))
                .map(Set::Number),
            Kind::Word(words) => {
                let word = value.get_ref().as_str();
                words
                    .iter()
                    .find(|w| Some(**w) == word)
                    .map(|w| Set::Word(w))
            }
        };
        match set {
            Some(set) => fault.set.push((name, set)),
            None => say(
                at,
                format!(
                    "fault {}: {name} is {}; allowed: {}",
                    spec.name,
                    shown(value),
                    allowed(kind)
                ),
            ),
        }
    }
    fault.set.sort_by_key(|(name, _)| *name);
    Some(fault)
}

/// What a field takes, in words.
pub fn allowed(kind: &Kind) -> String {
    match kind {
        Kind::Number {
            low,
            high,
            usual,
            unit,
        } => format!("{unit} from {low} to {high} (usually {usual})"),
        Kind::Word(words) => format!(
            "{} (usually {})",
            words.join(", "),
            words.first().unwrap_or(&"")
        ),
    }
}

/// A scenario as TOML, as [`parse`] reads it.
pub fn write(s: &Scenario) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write!(
        out,
        "name = {:?}\nabout = {:?}\nseconds = {}\nnodes = {}\nboxes = {}\nrate = {}\n",
        s.name, s.about, s.seconds, s.nodes, s.boxes, s.rate
    );
    for fault in &s.faults {
        let _ = write!(
            out,
            "\n[[fault]]\nat = {}\nkind = {:?}\n",
            fault.at, fault.name
        );
        for (name, set) in &fault.set {
            let _ = match set {
                Set::Number(n) => writeln!(out, "{name} = {n}"),
                Set::Word(word) => writeln!(out, "{name} = {word:?}"),
            };
        }
    }
    out
}

/// A mix of faults from a seed.
pub fn swarm(seed: u64) -> Scenario {
    let mut rng = crate::rng::Rng::part(seed, "swarm", 0);
    let seconds = 20.0;
    let round = |n: f64| (n * 1000.0).round() / 1000.0;
    let mut faults = Vec::new();
    for _ in 0..2 + rng.below(4) {
        let Some(spec) = rng.pick(&FAULTS[..MIXED]) else {
            continue;
        };
        let at = round(rng.between(0.5, seconds * 0.8));
        let mut fault = Fault {
            at,
            name: spec.name,
            set: Vec::new(),
        };
        for (name, kind) in spec.fields {
            let set = match kind {
                Kind::Number {
                    low, high, usual, ..
                } => {
                    let n = usual * rng.between(0.2, 1.6);
                    let n = if ["count", "keys"].contains(name) {
                        n.ceil()
                    } else {
                        round(n)
                    };
                    Set::Number(n.clamp(*low, *high))
                }
                Kind::Word(words) => Set::Word(words[rng.below(words.len())]),
            };
            fault.set.push((name, set));
        }
        fault.set.sort_by_key(|(name, _)| *name);
        faults.push(fault);
    }
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    Scenario {
        name: "swarm".to_string(),
        about: "faults mixed by chance".to_string(),
        seconds,
        nodes: 4,
        boxes: 12 + rng.below(9),
        rate: round(rng.between(300.0, 500.0)),
        faults,
    }
}
