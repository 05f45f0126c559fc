//! A soak test of planned restarts: real processes on real sockets are restarted again and again while clients keep
//! using all open connections.
//!
//! [`plan`] draws the restarts and faults from a seed; [`play`] runs them and checks the run with the
//! [`crate::checker`]. The draws of a seed are fixed but the timing of a run is not, so a violation may occur in
//! only some plays of its seed.

pub mod plan;

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use sloewick_decision::api::Micros;

use crate::checker::observations::{Answer, Event, Observation, Recorder, RequestNames};
use crate::checker::{Checker, Rule, Violation};
use crate::emulators::clients::ControlCommand;
use crate::emulators::persistent_clients;
use crate::faults::environment::FaultEnvironment;
use crate::faults::schedule::FaultScheduler;
use crate::process_fleet::Process;
use crate::real_fleet::{unix, Nodes, RealFleet, SettingsEdit, MAX_THREAD_DELAY};
use crate::requirements::Requirements;
use crate::site;
use plan::{NodeSignal, Part, Plan, Restart};

/// How late an answer may be before it counts as lost, in microseconds. An answer within this margin has no value,
/// but is no violation.
const ANSWER_MARGIN: Micros = 500_000;
/// Longest wait for an observation in one step of the run.
const STEP: Duration = Duration::from_millis(5);
/// Time between two samples of the processes' resource usage, in microseconds.
const SAMPLE_INTERVAL: Micros = 250_000;
/// Time from the end of a process to the start of the next one, in microseconds.
const START_PAUSE: Micros = 50_000;
/// How long an unreadable configuration stays in place, in microseconds.
const UNREADABLE_FOR: Micros = 200_000;
/// Shortest mean pause of a connection between an answer and its next requests, in microseconds.
const MIN_THINK_TIME: Micros = 60_000;
/// The same pause of a resting connection, in microseconds.
const RESTING_INTERVAL: Micros = 1_500_000;
/// Most lines of the nodes' logs that are shown for a play.
const MAX_LOG_LINES: usize = 60;

/// Options of a play.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that runs as a node: `PROGRAM run`.
    pub program: PathBuf,
    /// The parts of the plan to play besides restarts.
    pub parts: Vec<Part>,
}

/// Counters of a play, or of several plays added up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests sent.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client disconnected before an answer.
    pub disconnected: u64,
    /// Requests whose connection was ended by the node before an answer.
    pub closed: u64,
    /// Processes that got SIGTERM and have ended.
    pub restarts: u64,
    /// Signals sent, including SIGTERM and SIGSTOP.
    pub signals: u64,
    /// Most open descriptors of any process.
    pub max_descriptors: usize,
    /// Most resident memory of any process, in MB.
    pub max_memory_mb: usize,
    /// Longest time between two steps of the run, in ms: for that long the machine did not schedule the run itself,
    /// and perhaps not the nodes either.
    pub max_stall_ms: u64,
}

impl std::ops::AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.requests += other.requests;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.disconnected += other.disconnected;
        self.closed += other.closed;
        self.restarts += other.restarts;
        self.signals += other.signals;
        self.max_descriptors = self.max_descriptors.max(other.max_descriptors);
        self.max_memory_mb = self.max_memory_mb.max(other.max_memory_mb);
        self.max_stall_ms = self.max_stall_ms.max(other.max_stall_ms);
    }
}

/// The result of a play.
pub struct Outcome {
    /// The plan that was played.
    pub plan: Plan,
    /// Violations of the checker's rules.
    pub violations: Vec<Violation>,
    /// Lines of the nodes' logs about the requests of violations, at most `MAX_LOG_LINES`.
    pub log_lines: Vec<String>,
    /// The counters of the play.
    pub counts: Counts,
}

/// Draws the plan of a seed and plays it.
///
/// # Errors
/// The fleet cannot be started: no addresses, threads or descriptors, or a node does not listen.
pub fn play(seed: u64, options: &Options) -> io::Result<Outcome> {
    let plan = Plan::draw(seed, site::MAX_DEADLINE, &options.parts);
    let mut soak = Soak::start(plan, options.program.clone())?;
    soak.run();
    Ok(soak.end())
}

/// An action of the run at a scheduled time.
#[derive(Clone, Debug)]
enum Task {
    /// Sends SIGTERM for a planned restart.
    Terminate(Restart),
    Signal {
        node: usize,
        signal: NodeSignal,
    },
    /// Restores a configuration that was made unreadable.
    RestoreConfiguration {
        node: usize,
    },
    /// Makes the clients open no more connections to a node.
    StopConnecting {
        node: usize,
    },
    /// Kills the node's process with this number if it has not ended.
    Kill {
        node: usize,
        process: usize,
    },
    /// Starts a node's next process, which gets SIGTERM this long after its start if the time is given.
    Start {
        node: usize,
        terminated_at_start: Option<Micros>,
    },
    /// Sends SIGTERM to the node's process with this number if it was started without waiting until it listens.
    TerminateAtStart {
        node: usize,
        process: usize,
    },
    /// Stops a node's process by SIGSTOP for a time.
    Hold {
        node: usize,
        lasts: Micros,
    },
    Resume {
        node: usize,
    },
    /// Sets the number of idle clients at each node.
    IdleClients(usize),
}

/// State of a node in the run.
#[derive(Clone, Debug, Default)]
struct NodeState {
    /// Processes started so far.
    processes: usize,
    is_stopping: bool,
    /// Its process was started without waiting until it listens.
    is_starting: bool,
    /// How long after its start the next process gets SIGTERM; None if it does not.
    terminated_at_start: Option<Micros>,
    /// The configuration file's text before it was made unreadable.
    configuration: Option<String>,
}

struct Soak {
    plan: Plan,
    fleet: RealFleet,
    scheduler: FaultScheduler,
    checker: Checker,
    names: RequestNames,
    observations: Receiver<Observation>,
    /// By time since the start and order of scheduling.
    tasks: BTreeMap<(Micros, u64), Task>,
    task_count: u64,
    nodes: Vec<NodeState>,
    counts: Counts,
    /// Ended processes, kept for their logs.
    ended_processes: Vec<Process>,
    next_sample_at: Micros,
    last_step_at: Micros,
    started_at: Instant,
}

impl Soak {
    fn start(plan: Plan, program: PathBuf) -> io::Result<Soak> {
        let (send, observations) = channel();
        let epoch = unix();
        let recorder = Recorder::new(send, epoch);
        let mut fleet = RealFleet::new(
            &plan.scenario,
            plan.seed,
            site::ProtocolOptions::default(),
            Nodes::Processes(program),
            recorder,
            epoch,
        )?;
        fleet.settings_edit = SettingsEdit {
            deadline_factor: plan.deadline_factor,
            descriptors: plan.descriptors,
            traces: true,
        };
        fleet.start_origin()?;
        let mut scheduler = FaultScheduler::new(&plan.scenario, plan.seed);
        scheduler.start_all(&mut fleet);
        if let Some(why) = fleet.take_announcements().pop() {
            return Err(io::Error::other(why));
        }
        fleet.start_persistent_clients(client_settings(&plan, &fleet))?;
        fleet.start_misbehaving_clients()?;
        fleet.start_idle_clients()?;
        let mut checker = Checker::new(Requirements {
            slack: ANSWER_MARGIN,
            ..site::requirements(MAX_THREAD_DELAY)
        });
        checker.require_service();
        let node_state = NodeState {
            processes: 1,
            ..NodeState::default()
        };
        let mut soak = Soak {
            nodes: vec![node_state; plan.scenario.nodes],
            fleet,
            scheduler,
            checker,
            names: RequestNames::default(),
            observations,
            tasks: BTreeMap::new(),
            task_count: 0,
            counts: Counts::default(),
            ended_processes: Vec::new(),
            next_sample_at: 0,
            last_step_at: 0,
            started_at: Instant::now(),
            plan,
        };
        soak.schedule_plan();
        soak.last_step_at = soak.now();
        Ok(soak)
    }

    fn schedule_plan(&mut self) {
        for restart in self.plan.restarts.clone() {
            for (after, signal) in &restart.signals {
                let node = restart.node;
                let signal = *signal;
                self.schedule(restart.at + after, Task::Signal { node, signal });
            }
            self.schedule(restart.at, Task::Terminate(restart));
        }
        for hold in self.plan.holds.clone() {
            let (node, lasts) = (hold.node, hold.lasts);
            self.schedule(hold.at, Task::Hold { node, lasts });
        }
        if let Some(pressure) = self.plan.descriptor_pressure {
            self.schedule(pressure.from, Task::IdleClients(pressure.idle_clients));
            self.schedule(pressure.to, Task::IdleClients(0));
        }
    }

    fn schedule(&mut self, at: Micros, task: Task) {
        self.task_count += 1;
        self.tasks.insert((at, self.task_count), task);
    }

    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    fn run(&mut self) {
        let until = (self.plan.scenario.seconds * 1e6) as Micros;
        while self.now() < until {
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now();
        let stall_ms = (now - self.last_step_at) as u64 / 1000;
        self.counts.max_stall_ms = self.counts.max_stall_ms.max(stall_ms);
        self.last_step_at = now;
        self.scheduler.run(now, &mut self.fleet);
        while let Some(entry) = self.tasks.first_entry().filter(|e| e.key().0 <= now) {
            let task = entry.remove();
            self.perform(task, now);
        }
        self.record_ended_processes(now);
        if now >= self.next_sample_at {
            self.next_sample_at = now + SAMPLE_INTERVAL;
            self.sample_usage(now);
        }
        let Ok(observation) = self.observations.recv_timeout(STEP) else {
            return;
        };
        self.observe(observation);
        while let Ok(observation) = self.observations.try_recv() {
            self.observe(observation);
        }
    }

    fn perform(&mut self, task: Task, now: Micros) {
        match task {
            Task::Terminate(restart) => self.terminate(&restart, now),
            Task::Signal { node, signal } => self.signal(node, signal, now),
            Task::RestoreConfiguration { node } => self.restore_configuration(node),
            Task::StopConnecting { node } => {
                self.fleet.command_clients(ControlCommand::Down(node));
            }
            Task::Kill { node, process } => self.kill(node, process, now),
            Task::Start {
                node,
                terminated_at_start,
            } => self.start_node(node, terminated_at_start, now),
            Task::TerminateAtStart { node, process } => {
                let state = &mut self.nodes[node];
                if state.processes == process && state.is_starting {
                    state.is_stopping = true;
                    self.send(node, Signal::TERM);
                    let kill_at = now + self.plan.kill_after();
                    self.schedule(kill_at, Task::Kill { node, process });
                }
            }
            Task::Hold { node, lasts } => {
                self.send(node, Signal::STOP);
                self.schedule(now + lasts, Task::Resume { node });
            }
            Task::Resume { node } => self.send(node, Signal::CONT),
            Task::IdleClients(count) => self.fleet.set_idle_clients(count),
        }
    }

    fn send(&mut self, node: usize, signal: Signal) {
        if let Some(process) = self.fleet.process(node) {
            process.signal(signal);
            self.counts.signals += 1;
        }
    }

    fn terminate(&mut self, restart: &Restart, now: Micros) {
        let node = restart.node;
        if self.nodes[node].is_stopping || self.fleet.process(node).is_none() {
            return;
        }
        self.nodes[node].is_stopping = true;
        self.nodes[node].terminated_at_start = restart.terminated_at_start;
        self.fleet.stop_node(node);
        self.counts.signals += 1;
        let process = self.nodes[node].processes;
        let kill_at = now + self.plan.kill_after();
        self.schedule(kill_at, Task::Kill { node, process });
        let stop_connecting_at = now + restart.new_connections_for;
        self.schedule(stop_connecting_at, Task::StopConnecting { node });
    }

    fn signal(&mut self, node: usize, signal: NodeSignal, now: Micros) {
        match signal {
            NodeSignal::Terminate => self.send(node, Signal::TERM),
            NodeSignal::Interrupt => self.send(node, Signal::INT),
            NodeSignal::Reload => self.send(node, Signal::HUP),
            NodeSignal::ReloadUnreadable => {
                let Some(process) = self.fleet.process(node) else {
                    return;
                };
                let Ok(text) = process.configuration() else {
                    return;
                };
                if process.set_configuration("{").is_ok() {
                    self.nodes[node].configuration.get_or_insert(text);
                    self.send(node, Signal::HUP);
                    self.schedule(now + UNREADABLE_FOR, Task::RestoreConfiguration { node });
                }
            }
        }
    }

    fn restore_configuration(&mut self, node: usize) {
        let Some(text) = self.nodes[node].configuration.take() else {
            return;
        };
        if let Some(process) = self.fleet.process(node) {
            // If the write fails, later reloads read the unreadable configuration, which is allowed.
            let _ = process.set_configuration(&text);
        }
    }

    /// Kills a process that has not ended in time after SIGTERM, and records the violation.
    fn kill(&mut self, node: usize, process: usize, now: Micros) {
        if self.nodes[node].processes != process || self.fleet.process(node).is_none() {
            return;
        }
        let why = format!(
            "node {node} has not ended {} ms after SIGTERM and is killed",
            self.plan.kill_after() / 1000
        );
        self.add_violation(Rule::NoRequestLost, now, why);
        self.fleet.kill_node(node);
        self.schedule_successor(node, now);
    }

    fn add_violation(&mut self, rule: Rule, at: Micros, why: String) {
        self.checker.add(Violation {
            rule,
            at,
            id: None,
            why,
            around: Vec::new(),
        });
    }

    fn start_node(&mut self, node: usize, terminated_at_start: Option<Micros>, now: Micros) {
        let state = &mut self.nodes[node];
        state.processes += 1;
        state.is_stopping = false;
        state.configuration = None;
        state.is_starting = terminated_at_start.is_some();
        let process = state.processes;
        if let Some(after) = terminated_at_start {
            self.fleet.spawn_node(node);
            self.schedule(now + after, Task::TerminateAtStart { node, process });
        } else {
            self.fleet.start_node(node);
            self.fleet.command_clients(ControlCommand::Up(node));
        }
    }

    /// Records the processes that have ended by themselves and schedules their successors.
    fn record_ended_processes(&mut self, now: Micros) {
        for node in 0..self.nodes.len() {
            let Some(status) = self.fleet.process(node).and_then(Process::ended) else {
                continue;
            };
            if !self.is_expected_exit(node, status) {
                let log_tail = self.fleet.process(node).map(|p| p.log_tail());
                let log_tail = log_tail.unwrap_or_default();
                let why = format!("node {node} ended unexpectedly ({status}): {log_tail}");
                self.add_violation(Rule::NoRequestLost, now, why);
            }
            self.ended_processes.extend(self.fleet.take_process(node));
            self.fleet.record(Event::NodeEnded {
                node,
                killed: false,
            });
            self.schedule_successor(node, now);
        }
    }

    fn is_expected_exit(&self, node: usize, status: ExitStatus) -> bool {
        use std::os::unix::process::ExitStatusExt;
        let state = &self.nodes[node];
        // A process that has just been started has not installed its signal handler yet.
        let is_ended_by_signal = status.signal() == Some(Signal::TERM.as_raw());
        state.is_stopping && (status.success() || state.is_starting && is_ended_by_signal)
    }

    /// Schedules the start of the next process of a node.
    fn schedule_successor(&mut self, node: usize, now: Micros) {
        self.counts.restarts += 1;
        let terminated_at_start = self.nodes[node].terminated_at_start.take();
        self.fleet.command_clients(ControlCommand::Down(node));
        let start = Task::Start {
            node,
            terminated_at_start,
        };
        self.schedule(now + START_PAUSE, start);
    }

    /// Samples the processes' resource usage and checks it against the limits.
    fn sample_usage(&mut self, now: Micros) {
        for node in 0..self.nodes.len() {
            let Some(usage) = self.fleet.process(node).and_then(|process| process.usage()) else {
                continue;
            };
            if usage.memory_mb == 0 {
                // The process has not executed its program yet, and still holds copies of this process's descriptors.
                continue;
            }
            let counts = &mut self.counts;
            counts.max_descriptors = counts.max_descriptors.max(usage.descriptors);
            counts.max_memory_mb = counts.max_memory_mb.max(usage.memory_mb);
            if usage.descriptors > self.plan.descriptors || usage.memory_mb > site::MEMORY_MB {
                let why = format!(
                    "node {node} uses {} descriptors and {} MB, limits are {} and {} MB",
                    usage.descriptors,
                    usage.memory_mb,
                    self.plan.descriptors,
                    site::MEMORY_MB
                );
                self.add_violation(Rule::ProtocolAndLifecycle, now, why);
            }
        }
    }

    fn observe(&mut self, observation: Observation) {
        let observation = self.names.resolve(observation);
        let counts = &mut self.counts;
        match &observation.event {
            Event::RequestSent { .. } => counts.requests += 1,
            Event::Answered { answer, .. } => match answer {
                Answer::Served => counts.served += 1,
                Answer::Busy(_) => counts.rejected += 1,
                _ => counts.failed += 1,
            },
            Event::ClientDisconnected { .. } => counts.disconnected += 1,
            Event::ClosedUnanswered { .. } => counts.closed += 1,
            _ => {}
        }
        self.checker.observe(&observation);
    }

    /// Shuts down all nodes gracefully. Requests that are still unanswered at the end are violations.
    fn end(mut self) -> Outcome {
        self.tasks.clear();
        let now = self.now();
        for node in 0..self.nodes.len() {
            self.send(node, Signal::CONT);
            if !self.nodes[node].is_stopping && self.fleet.process(node).is_some() {
                self.nodes[node].is_stopping = true;
                self.fleet.stop_node(node);
            }
        }
        let kill_at = now + self.plan.kill_after();
        while self.now() < kill_at && (0..self.nodes.len()).any(|n| self.fleet.process(n).is_some())
        {
            self.step();
            // Discards the scheduled starts, so that no node is started again.
            self.tasks.clear();
        }
        for node in 0..self.nodes.len() {
            let process = self.nodes[node].processes;
            self.kill(node, process, kill_at);
        }
        self.drain_observations();
        let now = self.now();
        self.checker.finish(now);
        let log_lines = self.log_lines();
        Outcome {
            violations: std::mem::take(&mut self.checker.violations),
            log_lines,
            counts: self.counts,
            plan: self.plan,
        }
    }

    /// Processes observations that are still in the channel or about to be sent.
    fn drain_observations(&mut self) {
        while let Ok(observation) = self.observations.recv_timeout(STEP * 10) {
            self.observe(observation);
        }
    }

    /// The lines of the nodes' logs that name a request of a violation.
    fn log_lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for id in self.checker.violations.iter().filter_map(|v| v.id.as_ref()) {
            for process in &self.ended_processes {
                let log = fs::read(process.log()).unwrap_or_default();
                let log = String::from_utf8_lossy(&log);
                let of_request = log.lines().filter(|line| line.contains(&**id));
                lines.extend(of_request.map(|line| format!("{}: {line}", process.name())));
            }
        }
        lines.truncate(MAX_LOG_LINES);
        lines
    }
}

/// Settings of the plan's clients.
fn client_settings(plan: &Plan, fleet: &RealFleet) -> persistent_clients::Settings {
    let until = (plan.scenario.seconds * 1e6) as Micros;
    let nodes = fleet.addresses();
    let default_settings = site::clients(
        Vec::new(),
        Vec::new(),
        site::ProtocolOptions::default(),
        plan.seed,
        &plan.scenario,
        until,
    );
    let mut classes = default_settings.classes;
    for class in &mut classes {
        class.deadline = (class.deadline as f64 * plan.deadline_factor) as Micros;
    }
    let connections = plan.connections.len() * plan.scenario.nodes;
    let think_time = (connections as f64 / plan.scenario.rate * 1e6) as Micros;
    persistent_clients::Settings {
        nodes,
        classes,
        tenants: default_settings
            .tenants
            .into_iter()
            .map(|(name, _)| name)
            .collect(),
        keys: default_settings.keys,
        connections: plan.connections.clone(),
        think_time: think_time.max(MIN_THINK_TIME),
        resting_interval: RESTING_INTERVAL,
        impatient: 0.0,
        until,
        seed: plan.seed,
    }
}
