//! What a seed of the soak plays. Everything is drawn before the run begins, so that a seed always means the same, although
//! real time does not repeat.

use std::fmt;
use std::str::FromStr;

use sloewick_decision::api::Micros;
use thiserror::Error;

use crate::emulators::persistent_clients::Usage;
use crate::faults::scenario::{Fault, FieldValue, Scenario};
use crate::rng::Rng;

/// The classes' longest deadline is drawn between these.
const MIN_LONGEST_DEADLINE: f64 = 0.3;
const MAX_LONGEST_DEADLINE: f64 = 20.0;
/// A node that got SIGTERM is killed this much after the longest deadline at the earliest, of which so much counts at most.
const KILL_MARGIN: Micros = 700_000;
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// Connections go on coming for so long after SIGTERM.
const NEW_CONNECTIONS: (f64, f64) = (0.2, 0.4);
/// How long a node may be held up.
const HOLD: Micros = 150_000;
/// Signals in series come within this time before and after SIGTERM.
const SERIES: f64 = 0.6;
/// SIGHUP never comes in a process's first second.
const MIN_AGE_AT_RELOAD: f64 = 1.1;
/// Limits on descriptors.
const DESCRIPTORS: [usize; 4] = [64, 128, 256, 512];
/// One seed in so many has a large fleet.
const SEEDS_PER_LARGE_FLEET: usize = 12;
/// One seed in so many has clients that fill the descriptors.
const SEEDS_PER_DESCRIPTOR_PRESSURE: usize = 3;
/// Requests a second for each server; about half of what it can do.
const RATE_PER_SERVER: f64 = 30.0;
/// When the first node is restarted, in seconds.
const FIRST_RESTART: f64 = 2.5;
/// How long all is calm at the end, in seconds.
const CALM_END: f64 = 5.0;

/// What can be played besides restarts; each can be named alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Cache servers that are slow, hang, fail or close connections.
    Servers,
    /// Signals in series.
    Signals,
    /// Idle clients that fill the descriptors, floods and half commands.
    DescriptorPressure,
    /// Discovery that is down, moves or drains servers.
    Discovery,
    /// Nodes that are held up for a moment.
    Holds,
}

impl Part {
    /// All parts.
    pub const ALL: [Part; 5] = [
        Part::Servers,
        Part::Signals,
        Part::DescriptorPressure,
        Part::Discovery,
        Part::Holds,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Part::Servers => "servers",
            Part::Signals => "signals",
            Part::DescriptorPressure => "descriptors",
            Part::Discovery => "discovery",
            Part::Holds => "holds",
        }
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A name that is no part of the soak.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{name:?} is no part of the soak; allowed: {}", Part::ALL.map(Part::name).join(", "))]
pub struct UnknownPart {
    name: String,
}

impl FromStr for Part {
    type Err = UnknownPart;

    fn from_str(name: &str) -> Result<Part, UnknownPart> {
        let part = Part::ALL.into_iter().find(|part| part.name() == name);
        part.ok_or_else(|| UnknownPart {
            name: name.to_string(),
        })
    }
}

/// A signal to a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeSignal {
    /// SIGTERM: end gracefully.
    Terminate,
    /// SIGINT: the same.
    Interrupt,
    /// SIGHUP with the configuration as it is.
    Reload,
    /// SIGHUP with a configuration that can't be read.
    ReloadUnreadable,
}

/// A planned restart of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Restart {
    /// When it gets SIGTERM.
    pub at: Micros,
    /// The node.
    pub node: usize,
    /// Further signals: when, counted from SIGTERM, and which.
    pub signals: Vec<(Micros, NodeSignal)>,
    /// How long after SIGTERM connections go on coming.
    pub new_connections_for: Micros,
    /// The process that follows gets SIGTERM so long after its start, and is followed by another one.
    pub terminated_at_start: Option<Micros>,
}

/// A node that is held up (SIGSTOP, SIGCONT).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// When.
    pub at: Micros,
    /// Which node.
    pub node: usize,
    /// For how long.
    pub lasts: Micros,
}

/// Clients that fill the descriptors of all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorPressure {
    /// When it comes.
    pub from: Micros,
    /// When it goes.
    pub to: Micros,
    /// Idle clients at each node.
    pub idle_clients: usize,
}

/// What one seed plays.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// The fleet and the faults of servers, discovery and misbehaving clients.
    pub scenario: Scenario,
    /// By how much the classes' deadlines differ from the usual ones.
    pub deadline_factor: f64,
    /// The longest deadline.
    pub longest_deadline: Micros,
    /// Limit of a node's descriptors.
    pub descriptors: usize,
    /// The connections to each node.
    pub connections: Vec<Usage>,
    /// Restarts by time.
    pub restarts: Vec<Restart>,
    /// Held nodes by time.
    pub holds: Vec<Hold>,
    /// In a third of the seeds.
    pub descriptor_pressure: Option<DescriptorPressure>,
}

impl Plan {
    /// The plan of a seed, with these parts of it.
    pub fn draw(seed: u64, usual_longest_deadline: Micros, parts: &[Part]) -> Plan {
        let mut rng = Rng::stream(seed, "restart soak", 0);
        let longest = log_uniform(&mut rng, MIN_LONGEST_DEADLINE, MAX_LONGEST_DEADLINE);
        let nodes = if rng.below(SEEDS_PER_LARGE_FLEET) == 0 {
            20 + rng.below(11)
        } else {
            2 + rng.below(5)
        };
        let descriptors = DESCRIPTORS[rng.below(DESCRIPTORS.len())];
        let servers = 4 + rng.below(5) + nodes / 4;
        let connections = draw_connections(&mut rng, nodes);
        let restarts = draw_restarts(&mut rng, nodes, micros(longest));
        let last_restart = restarts.last().map_or(0, |restart| restart.at);
        let ends = last_restart + kill_after(micros(longest)) + micros(CALM_END);
        let seconds = ends as f64 / 1e6;
        let mut plan = Plan {
            seed,
            deadline_factor: micros(longest) as f64 / usual_longest_deadline as f64,
            longest_deadline: micros(longest),
            descriptors,
            connections,
            holds: draw_holds(&mut rng, nodes, last_restart),
            descriptor_pressure: draw_descriptor_pressure(
                &mut rng,
                seed,
                descriptors,
                last_restart,
            ),
            restarts,
            scenario: Scenario {
                name: "restart soak".to_string(),
                about: String::new(),
                seconds,
                nodes,
                servers,
                rate: RATE_PER_SERVER * servers as f64,
                faults: Vec::new(),
            },
        };
        let faults = draw_faults(
            &mut rng,
            seconds - CALM_END,
            plan.descriptor_pressure.is_some(),
        );
        plan.scenario.faults = faults
            .into_iter()
            .filter(|(part, _)| parts.contains(part))
            .map(|(_, fault)| fault)
            .collect();
        plan.keep(parts);
        plan
    }

    /// Leaves out what is not among these parts.
    fn keep(&mut self, parts: &[Part]) {
        if !parts.contains(&Part::Signals) {
            for restart in &mut self.restarts {
                restart.signals.clear();
                restart.terminated_at_start = None;
            }
        }
        if !parts.contains(&Part::DescriptorPressure) {
            self.descriptor_pressure = None;
        }
        if !parts.contains(&Part::Holds) {
            self.holds.clear();
        }
    }

    /// How long after SIGTERM a process is killed.
    pub fn kill_after(&self) -> Micros {
        kill_after(self.longest_deadline)
    }
}

fn kill_after(longest_deadline: Micros) -> Micros {
    longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

fn log_uniform(rng: &mut Rng, low: f64, high: f64) -> f64 {
    low * (high / low).powf(rng.unit_interval())
}

/// The connections to each node; fewer to each of many nodes.
fn draw_connections(rng: &mut Rng, nodes: usize) -> Vec<Usage> {
    let few = nodes > 6;
    let mut connections = Vec::new();
    let mut add =
        |count: usize, usage: Usage| connections.extend(std::iter::repeat_n(usage, count));
    add(if few { 2 } else { 3 + rng.below(4) }, Usage::Serial);
    let depth = 2 + rng.below(9);
    add(
        if few { 1 } else { 1 + rng.below(3) },
        Usage::Pipelined(depth),
    );
    add(if few { 1 } else { 2 + rng.below(4) }, Usage::Resting);
    add(if few { 1 } else { 1 + rng.below(3) }, Usage::OneRequest);
    connections
}

/// One restart after another; in a third of the seeds two overlap.
fn draw_restarts(rng: &mut Rng, nodes: usize, longest_deadline: Micros) -> Vec<Restart> {
    let overlap = rng.below(3) == 0;
    let apart = if overlap {
        0.8
    } else {
        kill_after(longest_deadline) as f64 / 1e6 + 1.5
    };
    let count = if nodes > 6 { 8 } else { nodes.clamp(3, 4) };
    let first = rng.below(nodes);
    let mut at = FIRST_RESTART;
    let mut restarts = Vec::new();
    for number in 0..count {
        let node = (first + number) % nodes;
        restarts.push(Restart {
            at: micros(at),
            node,
            signals: draw_signals(rng),
            new_connections_for: micros(rng.between(NEW_CONNECTIONS.0, NEW_CONNECTIONS.1)),
            terminated_at_start: (rng.below(4) == 0).then(|| micros(rng.between(0.0, 0.03))),
        });
        at += apart * rng.between(0.8, 1.2);
        // A node is not restarted before the process that follows is up.
        if number + 1 >= nodes {
            at = at.max(
                restarts[number + 1 - nodes].at as f64 / 1e6
                    + kill_after(longest_deadline) as f64 / 1e6
                    + MIN_AGE_AT_RELOAD
                    + SERIES,
            );
        }
    }
    restarts
}

fn draw_signals(rng: &mut Rng) -> Vec<(Micros, NodeSignal)> {
    let after = [
        NodeSignal::Reload,
        NodeSignal::Terminate,
        NodeSignal::Interrupt,
        NodeSignal::ReloadUnreadable,
    ];
    let mut signals: Vec<(Micros, NodeSignal)> = Vec::new();
    for _ in 0..rng.below(4) {
        let before = [NodeSignal::Reload, NodeSignal::ReloadUnreadable];
        signals.push((micros(rng.between(-SERIES, 0.0)), before[rng.below(2)]));
    }
    for _ in 0..rng.below(4) {
        signals.push((
            micros(rng.between(0.0, SERIES)),
            after[rng.below(after.len())],
        ));
    }
    signals.sort_by_key(|(at, _)| *at);
    signals
}

fn draw_holds(rng: &mut Rng, nodes: usize, until: Micros) -> Vec<Hold> {
    let count = rng.below(7);
    let mut holds: Vec<Hold> = (0..count)
        .map(|_| Hold {
            at: micros(rng.between(1.0, until as f64 / 1e6 + 1.0)),
            node: rng.below(nodes),
            lasts: micros(rng.between(0.01, 1.0) * HOLD as f64 / 1e6),
        })
        .collect();
    holds.sort_by_key(|hold| hold.at);
    holds
}

fn draw_descriptor_pressure(
    rng: &mut Rng,
    seed: u64,
    descriptors: usize,
    until: Micros,
) -> Option<DescriptorPressure> {
    let from = micros(rng.between(1.0, 2.5));
    let idle_clients = descriptors + rng.below(descriptors / 2);
    (seed.is_multiple_of(SEEDS_PER_DESCRIPTOR_PRESSURE as u64)).then_some(DescriptorPressure {
        from,
        to: until.max(from + 1_000_000),
        idle_clients,
    })
}

/// Faults as they are drawn, each over before `until`.
struct FaultDraws<'a> {
    rng: &'a mut Rng,
    until: f64,
    faults: Vec<(Part, Fault)>,
}

impl FaultDraws<'_> {
    fn add(&mut self, part: Part, name: &'static str, fields: &[(&'static str, f64)]) {
        let at = self.rng.between(0.5, (self.until - 4.0).max(0.6));
        let set = fields
            .iter()
            .map(|(field, value)| (*field, FieldValue::Number(*value)))
            .collect();
        self.faults.push((part, Fault { at, name, set }));
    }

    fn add_server_fault(&mut self) {
        let lasts = self.rng.between(1.0, 4.0);
        let count = 1.0 + self.rng.below(2) as f64;
        let (name, fields) = match self.rng.below(5) {
            0 => (
                "slow-boxes",
                vec![("count", count), ("for", lasts), ("times", 5.0)],
            ),
            1 => ("stall-boxes", vec![("count", count), ("for", lasts)]),
            2 => (
                "bad-boxes",
                vec![("count", 1.0), ("for", lasts), ("part", 0.5)],
            ),
            3 => ("refuse-boxes", vec![("count", 1.0), ("for", lasts)]),
            _ => ("crash-boxes", vec![("back", lasts), ("count", 1.0)]),
        };
        self.add(Part::Servers, name, &fields);
    }

    fn add_discovery_faults(&mut self, has_pressure: bool) {
        let lasts = self.rng.between(1.0, 4.0);
        // Clients that fill the descriptors always find discovery down.
        let kinds = if has_pressure { 2 } else { 5 };
        match self.rng.below(kinds) {
            0 => self.add(Part::Discovery, "discovery-down", &[("for", lasts)]),
            1 => self.add(Part::Discovery, "discovery-fail", &[("for", lasts)]),
            2 => self.add(Part::Discovery, "discovery-moves", &[]),
            _ => {}
        }
        if self.rng.below(3) == 0 {
            let fields = [("grace", 3.0), ("over", 4.0), ("part", 0.3)];
            self.add(Part::Discovery, "deploy", &fields);
        }
    }
}

/// Faults of servers, discovery and clients, each over before `until`.
fn draw_faults(rng: &mut Rng, until: f64, has_pressure: bool) -> Vec<(Part, Fault)> {
    let mut draws = FaultDraws {
        rng,
        until,
        faults: Vec::new(),
    };
    for _ in 0..=draws.rng.below(3) {
        draws.add_server_fault();
    }
    if has_pressure {
        draws.add(
            Part::DescriptorPressure,
            "rude",
            &[("for", 4.0), ("rate", 20.0)],
        );
    }
    draws.add_discovery_faults(has_pressure);
    if draws.rng.below(3) == 0 {
        draws.add(Part::Servers, "hang-ups", &[("for", 4.0), ("part", 0.1)]);
    }
    let mut faults = draws.faults;
    faults.sort_by(|a, b| a.1.at.total_cmp(&b.1.at));
    faults
}

#[cfg(test)]
#[path = "plan_tests.rs"]
mod tests;
