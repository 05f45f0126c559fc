//! Scenarios: a fleet, and its faults with their times and values.
//!
//! Scenarios are written as TOML; see [`parse`] and [`write()`].

use std::fmt::Write;

pub use super::kinds::{allowed, spec, FaultSpec, FieldKind, FAULTS};
pub use super::parse::{parse, ScenarioError};
pub use super::swarm::swarm;

/// A value of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldValue {
    /// A number within the bounds of its field.
    Number(f64),
    /// One of the words of its field.
    Word(&'static str),
}

/// One fault of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at: f64,
    /// The kind of fault.
    pub name: &'static str,
    /// Values by field; fields that are not named have their defaults.
    pub set: Vec<(&'static str, FieldValue)>,
}

impl Fault {
    /// A fault with default values; none for an unknown name.
    pub fn with_defaults(name: &str, at: f64) -> Option<Fault> {
        spec(name).map(|s| Fault {
            at,
            name: s.name,
            set: Vec::new(),
        })
    }

    /// A number of this fault, or its default; 0 for an unknown field.
    pub fn number(&self, field: &str) -> f64 {
        if let Some((_, FieldValue::Number(n))) = self.set.iter().find(|(name, _)| *name == field) {
            return *n;
        }
        let fields = spec(self.name).map_or(&[][..], |s| s.fields);
        match fields.iter().find(|(name, _)| *name == field) {
            Some((_, FieldKind::Number { default, .. })) => *default,
            _ => 0.0,
        }
    }

    /// A word of this fault, or its default; empty for an unknown field.
    pub fn word(&self, field: &str) -> &'static str {
        if let Some((_, FieldValue::Word(word))) = self.set.iter().find(|(name, _)| *name == field)
        {
            return word;
        }
        let fields = spec(self.name).map_or(&[][..], |s| s.fields);
        match fields.iter().find(|(name, _)| *name == field) {
            Some((_, FieldKind::Word(words))) => words.first().copied().unwrap_or(""),
            _ => "",
        }
    }
}

/// A fleet and what goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it shows, for people.
    pub about: String,
    /// How long clients send requests, in seconds.
    pub seconds: f64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of cache servers at the beginning.
    pub servers: usize,
    /// Requests a second over all nodes.
    pub rate: f64,
    /// Its faults, by the time at which they begin.
    pub faults: Vec<Fault>,
}

/// The scenarios that come with the testbed: name and TOML.
pub const SHIPPED: &[(&str, &str)] = &[
    ("calm", include_str!("../../scenarios/calm.toml")),
    (
        "sprinkler-evening",
        include_str!("../../scenarios/sprinkler-evening.toml"),
    ),
    (
        "main-break",
        include_str!("../../scenarios/main-break.toml"),
    ),
    (
        "rolling-deploy",
        include_str!("../../scenarios/rolling-deploy.toml"),
    ),
    ("nodes-die", include_str!("../../scenarios/nodes-die.toml")),
    (
        "crawling-origin",
        include_str!("../../scenarios/crawling-origin.toml"),
    ),
    (
        "mass-invalidation",
        include_str!("../../scenarios/mass-invalidation.toml"),
    ),
    (
        "discovery-back",
        include_str!("../../scenarios/discovery-back.toml"),
    ),
    (
        "spoilt-answers",
        include_str!("../../scenarios/spoilt-answers.toml"),
    ),
    (
        "rude-clients",
        include_str!("../../scenarios/rude-clients.toml"),
    ),
    (
        "one-way-partition",
        include_str!("../../scenarios/one-way-partition.toml"),
    ),
    ("restarts", include_str!("../../scenarios/restarts.toml")),
];

/// A scenario as TOML, as [`parse`] reads it.
pub fn write(s: &Scenario) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write!(
        out,
        "name = {:?}\nabout = {:?}\nseconds = {}\nnodes = {}\nboxes = {}\nrate = {}\n",
        s.name, s.about, s.seconds, s.nodes, s.servers, s.rate
    );
    for fault in &s.faults {
        let _ = write!(
            out,
            "\n[[fault]]\nat = {}\nkind = {:?}\n",
            fault.at, fault.name
        );
        for (name, set) in &fault.set {
            let _ = match set {
                FieldValue::Number(n) => writeln!(out, "{name} = {n}"),
                FieldValue::Word(word) => writeln!(out, "{name} = {word:?}"),
            };
        }
    }
    out
}
