//! A soak of planned restarts: real processes over real sockets, restarted again and again while clients go on using every
//! open connection.
//!
//! [`plan`] draws from a seed what is played; [`play`] plays it and judges it by the [`crate::checker`]. A seed's draws are
//! fixed, real time is not: a violation may show in some plays of its seed only.

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

/// An answer that comes up to so much after its time only earns nothing; later it is lost.
const ANSWER_MARGIN: Micros = 500_000;
/// Pause between two looks at what the run has to do.
const STEP: Duration = Duration::from_millis(5);
/// Pause between two samples of what processes use.
const SAMPLE_INTERVAL: Micros = 250_000;
/// How long after the end of a process the next one is started.
const START_PAUSE: Micros = 50_000;
/// How long a configuration that can't be read stays.
const UNREADABLE_FOR: Micros = 200_000;
/// Least mean pause of a connection between an answer and its next requests, and the pause of one that rests.
const MIN_THINK_TIME: Micros = 60_000;
const RESTING_INTERVAL: Micros = 1_500_000;
/// Lines of the nodes' logs that are shown of a play.
const MAX_LOG_LINES: usize = 60;

/// What to play of a seed.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that runs as a node: `PROGRAM run`.
    pub program: PathBuf,
    /// The parts to play besides restarts.
    pub parts: Vec<Part>,
}

/// What was counted in one play.
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
    /// Requests whose client disconnected first.
    pub disconnected: u64,
    /// Requests whose connection ended first.
    pub closed: u64,
    /// Processes that got SIGTERM and have ended.
    pub restarts: u64,
    /// Signals sent, SIGTERM and SIGSTOP among them.
    pub signals: u64,
    /// Most descriptors of a process.
    pub max_descriptors: usize,
    /// Most resident memory of a process, in MB.
    pub max_memory_mb: usize,
    /// Longest time between two steps of the run, in ms: so long the machine let the run itself, and perhaps the nodes, wait.
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

/// What a play showed.
pub struct Outcome {
    /// What was played.
    pub plan: Plan,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Lines of the nodes' logs on the requests of violations.
    pub log_lines: Vec<String>,
    /// What was counted.
    pub counts: Counts,
}

/// Plays a seed.
///
/// # Errors
/// The fleet cannot be started: no addresses, threads or descriptors, or a node does not listen.
pub fn play(seed: u64, options: &Options) -> io::Result<Outcome> {
    let plan = Plan::draw(seed, site::MAX_DEADLINE, &options.parts);
    let mut soak = Soak::start(plan, options.program.clone())?;
    soak.run();
    Ok(soak.end())
}

/// What is to be done at a stated time.
#[derive(Clone, Debug)]
enum Task {
    Terminate(Restart),
    Signal {
        node: usize,
        signal: NodeSignal,
    },
    RestoreConfiguration {
        node: usize,
    },
    StopConnecting {
        node: usize,
    },
    /// The process with this number of the node is killed if it has not ended.
    Kill {
        node: usize,
        process: usize,
    },
    Start {
        node: usize,
        terminated_at_start: Option<Micros>,
    },
    TerminateAtStart {
        node: usize,
        process: usize,
    },
    Hold {
        node: usize,
        lasts: Micros,
    },
    Resume {
        node: usize,
    },
    IdleClients(usize),
}

/// What the run knows of a node.
#[derive(Clone, Debug, Default)]
struct NodeState {
    /// Processes started so far.
    processes: usize,
    is_stopping: bool,
    /// Its process has been started, and does not have to listen yet.
    is_starting: bool,
    /// What the process that follows gets.
    terminated_at_start: Option<Micros>,
    /// Its configuration before it was made unreadable.
    configuration: Option<String>,
}

struct Soak {
    plan: Plan,
    fleet: RealFleet,
    scheduler: FaultScheduler,
    checker: Checker,
    names: RequestNames,
    observations: Receiver<Observation>,
    tasks: BTreeMap<(Micros, u64), Task>,
    task_count: u64,
    nodes: Vec<NodeState>,
    counts: Counts,
    /// Ended processes, for their logs.
    ended: Vec<Process>,
    next_sample: Micros,
    last_step: Micros,
    began: Instant,
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
        fleet.start_persistent_clients(clients(&plan, &fleet))?;
        fleet.start_misbehaving_clients()?;
        fleet.start_idle_clients()?;
        let mut checker = Checker::new(Requirements {
            slack: ANSWER_MARGIN,
            ..site::requirements(MAX_THREAD_DELAY)
        });
        checker.require_service();
        let processes = NodeState {
            processes: 1,
            ..NodeState::default()
        };
        let mut soak = Soak {
            nodes: vec![processes; plan.scenario.nodes],
            fleet,
            scheduler,
            checker,
            names: RequestNames::default(),
            observations,
            tasks: BTreeMap::new(),
            task_count: 0,
            counts: Counts::default(),
            ended: Vec::new(),
            next_sample: 0,
            last_step: 0,
            began: Instant::now(),
            plan,
        };
        soak.schedule_plan();
        soak.last_step = soak.now();
        Ok(soak)
    }

    fn schedule_plan(&mut self) {
        for restart in self.plan.restarts.clone() {
            for (after, signal) in &restart.signals {
                let node = restart.node;
                let signal = *signal;
                self.at(restart.at + after, Task::Signal { node, signal });
            }
            self.at(restart.at, Task::Terminate(restart));
        }
        for hold in self.plan.holds.clone() {
            let (node, lasts) = (hold.node, hold.lasts);
            self.at(hold.at, Task::Hold { node, lasts });
        }
        if let Some(pressure) = self.plan.descriptor_pressure {
            self.at(pressure.from, Task::IdleClients(pressure.idle_clients));
            self.at(pressure.to, Task::IdleClients(0));
        }
    }

    fn at(&mut self, at: Micros, task: Task) {
        self.task_count += 1;
        self.tasks.insert((at, self.task_count), task);
    }

    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    fn run(&mut self) {
        let until = (self.plan.scenario.seconds * 1e6) as Micros;
        while self.now() < until {
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now();
        let stall_ms = (now - self.last_step) as u64 / 1000;
        self.counts.max_stall_ms = self.counts.max_stall_ms.max(stall_ms);
        self.last_step = now;
        self.scheduler.run(now, &mut self.fleet);
        while let Some(entry) = self.tasks.first_entry().filter(|e| e.key().0 <= now) {
            let task = entry.remove();
            self.perform(task, now);
        }
        self.note_ends(now);
        if now >= self.next_sample {
            self.next_sample = now + SAMPLE_INTERVAL;
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
                    let kill = now + self.plan.kill_after();
                    self.at(kill, Task::Kill { node, process });
                }
            }
            Task::Hold { node, lasts } => {
                self.send(node, Signal::STOP);
                self.at(now + lasts, Task::Resume { node });
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
        let kill = now + self.plan.kill_after();
        self.at(kill, Task::Kill { node, process });
        let stop_connecting = now + restart.new_connections_for;
        self.at(stop_connecting, Task::StopConnecting { node });
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
                    self.at(now + UNREADABLE_FOR, Task::RestoreConfiguration { node });
                }
            }
        }
    }

    fn restore_configuration(&mut self, node: usize) {
        let Some(text) = self.nodes[node].configuration.take() else {
            return;
        };
        if let Some(process) = self.fleet.process(node) {
            // Where it can't be written, later reloads meet what can't be read, which is allowed.
            let _ = process.set_configuration(&text);
        }
    }

    /// A process that has not ended by the time of the kill is one that breaks the rule.
    fn kill(&mut self, node: usize, process: usize, now: Micros) {
        if self.nodes[node].processes != process || self.fleet.process(node).is_none() {
            return;
        }
        let why = format!(
            "node {node} has not ended {} ms after SIGTERM, when it may be killed",
            self.plan.kill_after() / 1000
        );
        self.violate(Rule::NoRequestLost, now, why);
        self.fleet.kill_node(node);
        self.process_ended(node, now);
    }

    fn violate(&mut self, rule: Rule, at: Micros, why: String) {
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
            self.at(now + after, Task::TerminateAtStart { node, process });
        } else {
            self.fleet.start_node(node);
            self.fleet.command_clients(ControlCommand::Up(node));
        }
    }

    /// Takes up processes that have ended by themselves.
    fn note_ends(&mut self, now: Micros) {
        for node in 0..self.nodes.len() {
            let Some(status) = self.fleet.process(node).and_then(Process::ended) else {
                continue;
            };
            if !self.is_proper_end(node, status) {
                let words = self.fleet.process(node).map(|p| p.last_words());
                let words = words.unwrap_or_default();
                let why = format!("node {node} ended unasked or badly ({status}): {words}");
                self.violate(Rule::NoRequestLost, now, why);
            }
            self.ended.extend(self.fleet.take_process(node));
            self.fleet.record(Event::NodeEnded {
                node,
                killed: false,
            });
            self.process_ended(node, now);
        }
    }

    fn is_proper_end(&self, node: usize, status: ExitStatus) -> bool {
        use std::os::unix::process::ExitStatusExt;
        let state = &self.nodes[node];
        // A process has no handler for the signal in its first moments.
        let is_ended_by_signal = status.signal() == Some(Signal::TERM.as_raw());
        state.is_stopping && (status.success() || state.is_starting && is_ended_by_signal)
    }

    /// Another process follows.
    fn process_ended(&mut self, node: usize, now: Micros) {
        self.counts.restarts += 1;
        let terminated_at_start = self.nodes[node].terminated_at_start.take();
        self.fleet.command_clients(ControlCommand::Down(node));
        let start = Task::Start {
            node,
            terminated_at_start,
        };
        self.at(now + START_PAUSE, start);
    }

    /// Checks what the processes use against their limits.
    fn sample_usage(&mut self, now: Micros) {
        for node in 0..self.nodes.len() {
            let Some(usage) = self.fleet.process(node).and_then(|process| process.usage()) else {
                continue;
            };
            if usage.memory_mb == 0 {
                // The program is just being executed: until then it holds the rig's own descriptors.
                continue;
            }
            let counts = &mut self.counts;
            counts.max_descriptors = counts.max_descriptors.max(usage.descriptors);
            counts.max_memory_mb = counts.max_memory_mb.max(usage.memory_mb);
            if usage.descriptors > self.plan.descriptors || usage.memory_mb > site::MEMORY_MB {
                let why = format!(
                    "node {node} has {} descriptors and {} MB, of {} and {}",
                    usage.descriptors,
                    usage.memory_mb,
                    self.plan.descriptors,
                    site::MEMORY_MB
                );
                self.violate(Rule::ProtocolAndLifecycle, now, why);
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

    /// Ends the fleet gracefully; whatever is still due then counts.
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
        let kill = now + self.plan.kill_after();
        while self.now() < kill && (0..self.nodes.len()).any(|n| self.fleet.process(n).is_some()) {
            self.step();
            // None is started again.
            self.tasks.clear();
        }
        for node in 0..self.nodes.len() {
            let process = self.nodes[node].processes;
            self.kill(node, process, kill);
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

    /// Observations that are still on their way.
    fn drain_observations(&mut self) {
        while let Ok(observation) = self.observations.recv_timeout(STEP * 10) {
            self.observe(observation);
        }
    }

    /// What the nodes' logs say of the requests of violations.
    fn log_lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for id in self.checker.violations.iter().filter_map(|v| v.id.as_ref()) {
            for process in &self.ended {
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

/// The clients of a plan.
fn clients(plan: &Plan, fleet: &RealFleet) -> persistent_clients::Settings {
    let until = (plan.scenario.seconds * 1e6) as Micros;
    let nodes = fleet.addresses();
    let usual = site::clients(
        Vec::new(),
        Vec::new(),
        site::ProtocolOptions::default(),
        plan.seed,
        &plan.scenario,
        until,
    );
    let mut classes = usual.classes;
    for class in &mut classes {
        class.deadline = (class.deadline as f64 * plan.deadline_factor) as Micros;
    }
    let connections = plan.connections.len() * plan.scenario.nodes;
    let think_time = (connections as f64 / plan.scenario.rate * 1e6) as Micros;
    persistent_clients::Settings {
        nodes,
        classes,
        tenants: usual.tenants.into_iter().map(|(name, _)| name).collect(),
        keys: usual.keys,
        connections: plan.connections.clone(),
        think_time: think_time.max(MIN_THINK_TIME),
        resting_interval: RESTING_INTERVAL,
        impatient: 0.0,
        until,
        seed: plan.seed,
    }
}
