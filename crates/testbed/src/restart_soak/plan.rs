//! The plan of a soak test's seed. Everything is drawn before the run begins, so that a seed always has the same plan,
//! although the timing of real runs differs.

use std::fmt;
use std::str::FromStr;

use sloewick_decision::api::Micros;
use thiserror::Error;

use crate::emulators::persistent_clients::Usage;
use crate::faults::scenario::{Fault, FieldValue, Scenario};
use crate::rng::Rng;

/// Least value drawn for the longest deadline of the classes, in seconds.
const MIN_LONGEST_DEADLINE_SECONDS: f64 = 0.3;
/// Greatest value drawn for the longest deadline of the classes, in seconds.
const MAX_LONGEST_DEADLINE_SECONDS: f64 = 20.0;
/// A node is killed at the earliest when the longest deadline and this margin have passed since SIGTERM; in
/// microseconds.
const KILL_MARGIN: Micros = 700_000;
/// Most of the longest deadline that counts towards the time of the kill, in microseconds.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// Range of the time after SIGTERM during which clients still open connections to the node, in seconds.
const NEW_CONNECTIONS_SECONDS: (f64, f64) = (0.2, 0.4);
/// Longest time that a node is held (stopped by SIGSTOP), in microseconds.
const MAX_HOLD: Micros = 150_000;
/// Signals in series are sent within this time before and after SIGTERM, in seconds.
const SIGNAL_SERIES_SECONDS: f64 = 0.6;
/// Least age of a process at which it gets SIGHUP, in seconds: the signal never arrives in a process's first second.
const MIN_AGE_AT_RELOAD_SECONDS: f64 = 1.1;
/// Limits on a node's descriptors from which one is drawn.
const DESCRIPTOR_LIMITS: [usize; 4] = [64, 128, 256, 512];
/// On average one seed in this many has a large fleet.
const SEEDS_PER_LARGE_FLEET: usize = 12;
/// One seed in this many has clients that use up the nodes' descriptors.
const SEEDS_PER_DESCRIPTOR_PRESSURE: usize = 3;
/// Requests per second for each cache server; about half of its capacity.
const RATE_PER_SERVER: f64 = 30.0;
/// When the first node is restarted, in seconds.
const FIRST_RESTART_SECONDS: f64 = 2.5;
/// Time without restarts and faults at the end of the run, in seconds.
const FAULT_FREE_END_SECONDS: f64 = 5.0;

/// A part of a plan that can be played besides the restarts; each can be selected alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Cache servers that are slow, hang, fail or close connections.
    Servers,
    /// Series of signals before and after SIGTERM.
    Signals,
    /// Idle clients that use up the descriptors, floods and incomplete commands.
    DescriptorPressure,
    /// Discovery that is down, moves or drains servers.
    Discovery,
    /// Nodes that are stopped (SIGSTOP) for a moment.
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

    /// The name of the part on the command line.
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

/// The error for a name that is not the name of a part.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{name:?} is not a part of the soak; allowed: {}", Part::ALL.map(Part::name).join(", "))]
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
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGINT: shut down gracefully.
    Interrupt,
    /// SIGHUP with an unchanged configuration.
    Reload,
    /// SIGHUP with an unreadable configuration.
    ReloadUnreadable,
}

/// A planned restart of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Restart {
    /// When the node gets SIGTERM, in microseconds since the start of the run.
    pub at: Micros,
    /// Number of the node.
    pub node: usize,
    /// Further signals, each with its time relative to SIGTERM, in microseconds; negative before it.
    pub signals: Vec<(Micros, NodeSignal)>,
    /// How long after SIGTERM clients still open connections to the node, in microseconds.
    pub new_connections_for: Micros,
    /// How long after its start the next process gets SIGTERM too, in microseconds, and is replaced by another one.
    /// None if it does not.
    pub terminated_at_start: Option<Micros>,
}

/// A node that is stopped for a moment (SIGSTOP, then SIGCONT).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// When the node gets SIGSTOP, in microseconds since the start of the run.
    pub at: Micros,
    /// Number of the node.
    pub node: usize,
    /// Time until SIGCONT, in microseconds.
    pub lasts: Micros,
}

/// Idle clients that use up the descriptors of all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorPressure {
    /// When the clients connect, in microseconds since the start of the run.
    pub from: Micros,
    /// When they disconnect, in microseconds since the start of the run.
    pub to: Micros,
    /// Idle clients at each node.
    pub idle_clients: usize,
}

/// The plan of one seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed that the plan was drawn from.
    pub seed: u64,
    /// The fleet and the faults of servers, discovery and misbehaving clients.
    pub scenario: Scenario,
    /// Factor by which the classes' default deadlines are multiplied.
    pub deadline_factor: f64,
    /// The longest deadline of the classes, in microseconds.
    pub longest_deadline: Micros,
    /// Limit on a node's descriptors.
    pub descriptors: usize,
    /// How clients use each of their connections to a node.
    pub connections: Vec<Usage>,
    /// Restarts, ordered by time.
    pub restarts: Vec<Restart>,
    /// Holds of nodes, ordered by time.
    pub holds: Vec<Hold>,
    /// Clients that use up the descriptors; None in two thirds of the seeds.
    pub descriptor_pressure: Option<DescriptorPressure>,
}

impl Plan {
    /// Draws the plan of a seed and leaves out the parts that are not in `parts`.
    pub fn draw(seed: u64, default_longest_deadline: Micros, parts: &[Part]) -> Plan {
        let mut rng = Rng::stream(seed, "restart soak", 0);
        let longest_deadline = log_uniform(
            &mut rng,
            MIN_LONGEST_DEADLINE_SECONDS,
            MAX_LONGEST_DEADLINE_SECONDS,
        );
        let nodes = if rng.below(SEEDS_PER_LARGE_FLEET) == 0 {
            20 + rng.below(11)
        } else {
            2 + rng.below(5)
        };
        let descriptors = DESCRIPTOR_LIMITS[rng.below(DESCRIPTOR_LIMITS.len())];
        let servers = 4 + rng.below(5) + nodes / 4;
        let connections = draw_connections(&mut rng, nodes);
        let restarts = draw_restarts(&mut rng, nodes, micros(longest_deadline));
        let last_restart = restarts.last().map_or(0, |restart| restart.at);
        let end =
            last_restart + kill_after(micros(longest_deadline)) + micros(FAULT_FREE_END_SECONDS);
        let seconds = end as f64 / 1e6;
        let mut plan = Plan {
            seed,
            deadline_factor: micros(longest_deadline) as f64 / default_longest_deadline as f64,
            longest_deadline: micros(longest_deadline),
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
            seconds - FAULT_FREE_END_SECONDS,
            plan.descriptor_pressure.is_some(),
        );
        plan.scenario.faults = faults
            .into_iter()
            .filter(|(part, _)| parts.contains(part))
            .map(|(_, fault)| fault)
            .collect();
        plan.retain_parts(parts);
        plan
    }

    /// Removes the signals, descriptor pressure and holds whose part is not in `parts`.
    fn retain_parts(&mut self, parts: &[Part]) {
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

    /// How long after SIGTERM a process that has not ended is killed, in microseconds.
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

/// Draws the connections to each node; a large fleet has fewer to each node.
fn draw_connections(rng: &mut Rng, nodes: usize) -> Vec<Usage> {
    let is_large_fleet = nodes > 6;
    let mut connections = Vec::new();
    let mut add =
        |count: usize, usage: Usage| connections.extend(std::iter::repeat_n(usage, count));
    add(
        if is_large_fleet { 2 } else { 3 + rng.below(4) },
        Usage::Serial,
    );
    let depth = 2 + rng.below(9);
    add(
        if is_large_fleet { 1 } else { 1 + rng.below(3) },
        Usage::Pipelined(depth),
    );
    add(
        if is_large_fleet { 1 } else { 2 + rng.below(4) },
        Usage::Resting,
    );
    add(
        if is_large_fleet { 1 } else { 1 + rng.below(3) },
        Usage::OneRequest,
    );
    connections
}

/// Draws the restarts, one after another; in a third of the seeds successive restarts overlap.
fn draw_restarts(rng: &mut Rng, nodes: usize, longest_deadline: Micros) -> Vec<Restart> {
    let overlap = rng.below(3) == 0;
    let mean_interval = if overlap {
        0.8
    } else {
        kill_after(longest_deadline) as f64 / 1e6 + 1.5
    };
    let count = if nodes > 6 { 8 } else { nodes.clamp(3, 4) };
    let first = rng.below(nodes);
    let mut at = FIRST_RESTART_SECONDS;
    let mut restarts = Vec::new();
    for number in 0..count {
        let node = (first + number) % nodes;
        restarts.push(Restart {
            at: micros(at),
            node,
            signals: draw_signals(rng),
            new_connections_for: micros(
                rng.between(NEW_CONNECTIONS_SECONDS.0, NEW_CONNECTIONS_SECONDS.1),
            ),
            terminated_at_start: (rng.below(4) == 0).then(|| micros(rng.between(0.0, 0.03))),
        });
        at += mean_interval * rng.between(0.8, 1.2);
        // A node is not restarted again before the process of its previous restart has come up.
        if number + 1 >= nodes {
            at = at.max(
                restarts[number + 1 - nodes].at as f64 / 1e6
                    + kill_after(longest_deadline) as f64 / 1e6
                    + MIN_AGE_AT_RELOAD_SECONDS
                    + SIGNAL_SERIES_SECONDS,
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
        signals.push((
            micros(rng.between(-SIGNAL_SERIES_SECONDS, 0.0)),
            before[rng.below(2)],
        ));
    }
    for _ in 0..rng.below(4) {
        signals.push((
            micros(rng.between(0.0, SIGNAL_SERIES_SECONDS)),
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
            lasts: micros(rng.between(0.01, 1.0) * MAX_HOLD as f64 / 1e6),
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

/// The faults drawn so far, each of which ends before `until`, in seconds.
struct FaultDraws<'a> {
    rng: &'a mut Rng,
    until: f64,
    faults: Vec<(Part, Fault)>,
}

impl FaultDraws<'_> {
    fn add(&mut self, part: Part, name: &'static str, fields: &[(&'static str, f64)]) {
        let at = self.rng.between(0.5, (self.until - 4.0).max(0.6));
        let values = fields
            .iter()
            .map(|(field, value)| (*field, FieldValue::Number(*value)))
            .collect();
        self.faults.push((part, Fault { at, name, values }));
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
        // Under descriptor pressure discovery always goes down or fails at some time.
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

/// Draws faults of servers, discovery and clients, each of which ends before `until`, in seconds.
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
