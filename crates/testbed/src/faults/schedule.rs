//! The fault scheduler: turns a scenario's faults into timed commands to the components of a fleet.
//!
//! It holds no sockets: a [`FaultEnvironment`] executes its commands. It owns its own view of the servers' and nodes' states
//! and the tasks that are not due yet.

use std::collections::BTreeMap;

use sloewick_decision::api::Micros;

use crate::checker::observations::AnnouncedState;
use crate::emulators::clients;
use crate::emulators::discovery::{self, Listed};
use crate::rng::Rng;

use super::environment::FaultEnvironment;
use super::scenario::{fault_spec, Fault, Scenario};

/// Least and greatest time until discovery notices that a server changed, in seconds.
pub(super) const NOTICE_DELAY: (f64, f64) = (1.5, 4.0);
/// The same for a server that died without closing its connections.
const SILENT_NOTICE_DELAY: (f64, f64) = (4.9, 9.0);

/// State of a cache server in the scheduler's view.
#[derive(Clone, Debug)]
pub(super) struct Server {
    /// Number of its address; a later server may have the same one.
    pub(super) address: usize,
    pub(super) zone: usize,
    pub(super) alive: bool,
    /// Faults do not pick it, because it is being replaced or has ended.
    pub(super) excluded: bool,
    /// Its state in the endpoint list of discovery.
    pub(super) announced: AnnouncedState,
}

type Task = Box<dyn FnOnce(&mut FaultScheduler, &mut dyn FaultEnvironment)>;

/// The fault scheduler of one run.
pub struct FaultScheduler {
    pub(super) rng: Rng,
    scenario: Scenario,
    pub(super) servers: Vec<Server>,
    /// Number of addresses that servers have used so far.
    address_count: usize,
    pub(super) running_nodes: Vec<bool>,
    /// Tasks by the time at which they are due and their number in the order of scheduling.
    tasks: BTreeMap<(Micros, u64), Task>,
    /// Number of tasks scheduled so far.
    scheduled: u64,
    pub(super) now: Micros,
}

/// Converts seconds to microseconds.
pub(super) fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

impl FaultScheduler {
    /// Creates the scheduler of a scenario; all random choices follow from the seed.
    pub fn new(scenario: &Scenario, seed: u64) -> FaultScheduler {
        let mut scheduler = FaultScheduler {
            // Another name of the stream would change the run of each seed.
            rng: Rng::stream(seed, "director", 0),
            scenario: scenario.clone(),
            servers: Vec::new(),
            address_count: scenario.servers,
            running_nodes: vec![true; scenario.nodes],
            tasks: BTreeMap::new(),
            scheduled: 0,
            now: 0,
        };
        for i in 0..scenario.servers {
            scheduler.servers.push(Server {
                address: i,
                zone: i % 2,
                alive: true,
                excluded: false,
                announced: AnnouncedState::InService { boot: 0 },
            });
        }
        for fault in &scenario.faults {
            let fault = fault.clone();
            scheduler.at(micros(fault.at), move |scheduler, environment| {
                scheduler.begin(&fault, environment);
            });
        }
        scheduler
    }

    /// Starts the servers, discovery and nodes that the run begins with.
    pub fn start_all(&mut self, environment: &mut dyn FaultEnvironment) {
        for (number, server) in self.servers.iter().enumerate() {
            environment.start_server(number, server.address, server.zone, false);
        }
        let list = self.list(environment);
        environment.start_discovery(list, false);
        (0..self.scenario.nodes).for_each(|node| environment.start_node(node));
    }

    /// When the next task is due; None if there is none.
    pub fn next(&self) -> Option<Micros> {
        self.tasks.first_key_value().map(|((at, _), _)| *at)
    }

    /// Runs all tasks that are due at `now`.
    pub fn run(&mut self, now: Micros, environment: &mut dyn FaultEnvironment) {
        self.now = now;
        while self.next().is_some_and(|at| at <= now) {
            if let Some((_, task)) = self.tasks.pop_first() {
                task(self, environment);
            }
        }
    }

    /// Schedules a task at a time since the run began.
    pub(super) fn at(
        &mut self,
        at: Micros,
        task: impl FnOnce(&mut FaultScheduler, &mut dyn FaultEnvironment) + 'static,
    ) {
        self.scheduled += 1;
        self.tasks.insert((at, self.scheduled), Box::new(task));
    }

    /// Schedules a task after this many seconds.
    pub(super) fn after(
        &mut self,
        seconds: f64,
        task: impl FnOnce(&mut FaultScheduler, &mut dyn FaultEnvironment) + 'static,
    ) {
        self.at(self.now + micros(seconds), task);
    }

    /// The endpoint list that discovery should have.
    pub fn list(&self, environment: &dyn FaultEnvironment) -> Vec<Listed> {
        let entry_of = |(number, server): (usize, &Server)| {
            environment.listed(number, server.address, server.zone, server.announced)
        };
        self.servers
            .iter()
            .enumerate()
            .map(entry_of)
            .filter(|entry| entry.state != AnnouncedState::Removed)
            .collect()
    }

    /// Changes a server's state in the endpoint list.
    pub(super) fn announce(
        &mut self,
        number: usize,
        state: AnnouncedState,
        environment: &mut dyn FaultEnvironment,
    ) {
        let server = &mut self.servers[number];
        server.announced = state;
        let listed = environment.listed(number, server.address, server.zone, state);
        environment.command_discovery(discovery::ControlCommand::Change(listed));
    }

    /// Changes a server's state in the endpoint list after a random delay within these bounds, in seconds.
    pub(super) fn announce_later(
        &mut self,
        number: usize,
        state: AnnouncedState,
        notice_delay: (f64, f64),
    ) {
        let after = self.rng.between(notice_delay.0, notice_delay.1);
        self.after(after, move |scheduler, environment| {
            // A server that has ended meanwhile is announced only as removed.
            if state == AnnouncedState::Removed || scheduler.servers[number].alive {
                scheduler.announce(number, state, environment);
            }
        });
    }

    /// Picks up to `count` running servers at random.
    pub(super) fn pick_servers(&mut self, count: usize) -> Vec<usize> {
        let mut candidates: Vec<usize> = (0..self.servers.len())
            .filter(|i| self.servers[*i].alive && !self.servers[*i].excluded)
            .collect();
        // At least one server remains unaffected.
        let limit = candidates.len().saturating_sub(1).min(count);
        let mut picked = Vec::new();
        for _ in 0..limit {
            picked.push(candidates.swap_remove(self.rng.below(candidates.len())));
        }
        picked
    }

    /// Starts a new cold server, which discovery notices after a delay. None as address means a new one.
    pub(super) fn start_successor(
        &mut self,
        address: Option<usize>,
        zone: usize,
        environment: &mut dyn FaultEnvironment,
    ) {
        let address = address.unwrap_or_else(|| {
            self.address_count += 1;
            self.address_count - 1
        });
        let number = self.servers.len();
        let boot = self.now;
        self.servers.push(Server {
            address,
            zone,
            alive: true,
            excluded: false,
            announced: AnnouncedState::Removed,
        });
        environment.start_server(number, address, zone, true);
        self.announce_later(number, AnnouncedState::InService { boot }, NOTICE_DELAY);
    }

    /// Kills a server, which discovery notices after a delay.
    pub(super) fn crash(&mut self, number: usize, environment: &mut dyn FaultEnvironment) {
        self.servers[number].alive = false;
        self.servers[number].excluded = true;
        environment.kill_server(number);
        self.announce_later(number, AnnouncedState::Removed, SILENT_NOTICE_DELAY);
    }

    /// Isolates a server's machine. After the restart delay, in seconds, its connections are reset, and a cold server starts
    /// at the same address.
    pub(super) fn isolate(
        &mut self,
        number: usize,
        restart_delay: f64,
        environment: &mut dyn FaultEnvironment,
    ) {
        environment.isolate_server(number);
        self.servers[number].excluded = true;
        self.servers[number].alive = false;
        self.announce_later(number, AnnouncedState::Removed, SILENT_NOTICE_DELAY);
        self.after(restart_delay, move |scheduler, environment| {
            let (address, zone) = (
                scheduler.servers[number].address,
                scheduler.servers[number].zone,
            );
            environment.kill_server(number);
            scheduler.start_successor(Some(address), zone, environment);
        });
    }

    fn begin(&mut self, fault: &Fault, environment: &mut dyn FaultEnvironment) {
        environment.log(format!("{} begins", fault.name));
        match fault_spec(fault.name) {
            Some(spec) => (spec.begin)(self, fault, environment),
            None => environment.log(format!("{} is not played", fault.name)),
        }
    }

    /// Picks at most this fraction of all nodes among the running ones, and leaves at least one running.
    pub(super) fn pick_nodes_leaving_one(&mut self, fraction: f64) -> Vec<usize> {
        let mut picked = self.pick_running_nodes(fraction);
        let up = self.running_nodes.iter().filter(|up| **up).count();
        picked.truncate(up.saturating_sub(1));
        picked
    }

    /// Picks at most this fraction of all nodes among the running ones.
    pub(super) fn pick_running_nodes(&mut self, fraction: f64) -> Vec<usize> {
        let mut up: Vec<usize> = (0..self.running_nodes.len())
            .filter(|n| self.running_nodes[*n])
            .collect();
        let count = ((fraction * self.running_nodes.len() as f64).ceil() as usize).min(up.len());
        (0..count)
            .map(|_| up.swap_remove(self.rng.below(up.len())))
            .collect()
    }

    /// Starts a node that does not run, and has the load balancer send to it once it is ready.
    pub(super) fn start_node(&mut self, node: usize, environment: &mut dyn FaultEnvironment) {
        if !std::mem::replace(&mut self.running_nodes[node], true) {
            environment.start_node(node);
            environment.command_clients(clients::ControlCommand::Up(node));
        }
    }
}
