//! Scenarios: the size and load of a fleet, and its faults with their times and values.
//!
//! The text form of a scenario is TOML; see [`parse`] and [`write()`].

use std::fmt::Write;

pub use super::kinds::{allowed_values, fault_spec, FaultSpec, FieldKind, FAULTS};
pub use super::parse::{parse, ScenarioError};
pub use super::swarm::swarm;

/// Value of a fault's field.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldValue {
    /// A number within the bounds of its field.
    Number(f64),
    /// One of the words of its field.
    Word(&'static str),
}

/// One fault of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins, in seconds since the run began.
    pub at: f64,
    /// Name of its kind.
    pub name: &'static str,
    /// Values by field name; fields that are not in it have their defaults.
    pub values: Vec<(&'static str, FieldValue)>,
}

impl Fault {
    /// A fault with default values; None if there is no kind of this name.
    pub fn with_defaults(name: &str, at: f64) -> Option<Fault> {
        fault_spec(name).map(|s| Fault {
            at,
            name: s.name,
            values: Vec::new(),
        })
    }

    /// Value of a number field, or its default; 0 if there is no such field.
    pub fn number(&self, field: &str) -> f64 {
        if let Some((_, FieldValue::Number(n))) =
            self.values.iter().find(|(name, _)| *name == field)
        {
            return *n;
        }
        let fields = fault_spec(self.name).map_or(&[][..], |s| s.fields);
        match fields.iter().find(|(name, _)| *name == field) {
            Some((_, FieldKind::Number { default, .. })) => *default,
            _ => 0.0,
        }
    }

    /// Value of a word field, or its default; empty if there is no such field.
    pub fn word(&self, field: &str) -> &'static str {
        if let Some((_, FieldValue::Word(word))) =
            self.values.iter().find(|(name, _)| *name == field)
        {
            return word;
        }
        let fields = fault_spec(self.name).map_or(&[][..], |s| s.fields);
        match fields.iter().find(|(name, _)| *name == field) {
            Some((_, FieldKind::Word(words))) => words.first().copied().unwrap_or(""),
            _ => "",
        }
    }
}

/// A fleet, its load and its faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name, as shown in results.
    pub name: String,
    /// Description for users.
    pub about: String,
    /// Time for which clients send requests, in seconds.
    pub seconds: f64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of cache servers at the beginning.
    pub servers: usize,
    /// Requests per second, over all nodes.
    pub rate: f64,
    /// Faults, in the order of the times at which they begin.
    pub faults: Vec<Fault>,
}

/// Names and TOML texts of the scenarios that come with the testbed.
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

/// The TOML text of a scenario, which [`parse`] reads.
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
        for (name, value) in &fault.values {
            let _ = match value {
                FieldValue::Number(n) => writeln!(out, "{name} = {n}"),
                FieldValue::Word(word) => writeln!(out, "{name} = {word:?}"),
            };
        }
    }
    out
}
