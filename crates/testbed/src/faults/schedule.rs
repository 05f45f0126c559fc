//! The fault schedule: turns a scenario's faults into what happens when, and to whom.
//!
//! It holds no sockets: what it decides is carried out by a [`FaultEnvironment`]. It owns the servers' and nodes' states
//! as the schedule has them, and the tasks that are still to come.

use std::collections::BTreeMap;

use sloewick_decision::api::Micros;

use crate::checker::observations::AnnouncedState;
use crate::emulators::clients;
use crate::emulators::discovery::{self, Listed};
use crate::rng::Rng;

use super::environment::FaultEnvironment;
use super::scenario::{spec, Fault, Scenario};

/// Bounds of the time until discovery notices what happened to a server, in seconds.
pub(super) const NOTICE_DELAY: (f64, f64) = (1.5, 4.0);
/// The same for a server that died without closing its connections.
const SILENT_NOTICE_DELAY: (f64, f64) = (4.9, 9.0);

/// A cache server as the schedule has it.
#[derive(Clone, Debug)]
pub(super) struct Server {
    /// Number of its address; a later server may get the same.
    pub(super) place: usize,
    pub(super) zone: usize,
    pub(super) alive: bool,
    /// Drained or replaced: no fault picks it.
    pub(super) leaving: bool,
    /// As discovery has it.
    pub(super) announced: AnnouncedState,
}

type Task = Box<dyn FnOnce(&mut FaultScheduler, &mut dyn FaultEnvironment)>;

/// The schedule of one run.
pub struct FaultScheduler {
    pub(super) rng: Rng,
    scenario: Scenario,
    pub(super) servers: Vec<Server>,
    places: usize,
    pub(super) running_nodes: Vec<bool>,
    /// By time and order of scheduling.
    tasks: BTreeMap<(Micros, u64), Task>,
    set: u64,
    pub(super) now: Micros,
}

/// Seconds as microseconds.
pub(super) fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

impl FaultScheduler {
    /// The schedule of a scenario; all random choices follow from the seed.
    pub fn new(scenario: &Scenario, seed: u64) -> FaultScheduler {
        let mut scheduler = FaultScheduler {
            // The stream's name is part of what a seed means.
            rng: Rng::stream(seed, "director", 0),
            scenario: scenario.clone(),
            servers: Vec::new(),
            places: scenario.servers,
            running_nodes: vec![true; scenario.nodes],
            tasks: BTreeMap::new(),
            set: 0,
            now: 0,
        };
        for i in 0..scenario.servers {
            scheduler.servers.push(Server {
                place: i,
                zone: i % 2,
                alive: true,
                leaving: false,
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
        for (number, member) in self.servers.iter().enumerate() {
            environment.start_server(number, member.place, member.zone, false);
        }
        let list = self.list(environment);
        environment.start_discovery(list, false);
        (0..self.scenario.nodes).for_each(|node| environment.start_node(node));
    }

    /// When the next task is due.
    pub fn next(&self) -> Option<Micros> {
        self.tasks.first_key_value().map(|((at, _), _)| *at)
    }

    /// Runs the tasks that are due.
    pub fn run(&mut self, now: Micros, environment: &mut dyn FaultEnvironment) {
        self.now = now;
        while self.next().is_some_and(|at| at <= now) {
            if let Some((_, task)) = self.tasks.pop_first() {
                task(self, environment);
            }
        }
    }

    pub(super) fn at(
        &mut self,
        at: Micros,
        task: impl FnOnce(&mut FaultScheduler, &mut dyn FaultEnvironment) + 'static,
    ) {
        self.set += 1;
        self.tasks.insert((at, self.set), Box::new(task));
    }

    pub(super) fn after(
        &mut self,
        seconds: f64,
        task: impl FnOnce(&mut FaultScheduler, &mut dyn FaultEnvironment) + 'static,
    ) {
        self.at(self.now + micros(seconds), task);
    }

    /// The endpoint list as discovery should have it.
    pub fn list(&self, environment: &dyn FaultEnvironment) -> Vec<Listed> {
        let of = |(number, m): (usize, &Server)| {
            environment.listed(number, m.place, m.zone, m.announced)
        };
        self.servers
            .iter()
            .enumerate()
            .map(of)
            .filter(|l| l.state != AnnouncedState::Removed)
            .collect()
    }

    pub(super) fn announce(
        &mut self,
        number: usize,
        state: AnnouncedState,
        environment: &mut dyn FaultEnvironment,
    ) {
        let m = &mut self.servers[number];
        m.announced = state;
        let listed = environment.listed(number, m.place, m.zone, state);
        environment.command_discovery(discovery::ControlCommand::Change(listed));
    }

    pub(super) fn announce_later(
        &mut self,
        number: usize,
        state: AnnouncedState,
        notice: (f64, f64),
    ) {
        let after = self.rng.between(notice.0, notice.1);
        self.after(after, move |scheduler, environment| {
            // A server that ended meanwhile is not announced any more.
            if state == AnnouncedState::Removed || scheduler.servers[number].alive {
                scheduler.announce(number, state, environment);
            }
        });
    }

    /// Picks running servers at random.
    pub(super) fn pick_servers(&mut self, count: usize) -> Vec<usize> {
        let mut candidates: Vec<usize> = (0..self.servers.len())
            .filter(|i| self.servers[*i].alive && !self.servers[*i].leaving)
            .collect();
        // At least one server always remains.
        let limit = candidates.len().saturating_sub(1).min(count);
        let mut picked = Vec::new();
        for _ in 0..limit {
            picked.push(candidates.swap_remove(self.rng.below(candidates.len())));
        }
        picked
    }

    /// Starts a new cold server, which discovery notices a little later.
    pub(super) fn start_successor(
        &mut self,
        place: Option<usize>,
        zone: usize,
        environment: &mut dyn FaultEnvironment,
    ) {
        let place = place.unwrap_or_else(|| {
            self.places += 1;
            self.places - 1
        });
        let number = self.servers.len();
        let boot = self.now;
        self.servers.push(Server {
            place,
            zone,
            alive: true,
            leaving: false,
            announced: AnnouncedState::Removed,
        });
        environment.start_server(number, place, zone, true);
        self.announce_later(number, AnnouncedState::InService { boot }, NOTICE_DELAY);
    }

    /// Kills a server; discovery notices late.
    pub(super) fn crash(&mut self, number: usize, environment: &mut dyn FaultEnvironment) {
        self.servers[number].alive = false;
        self.servers[number].leaving = true;
        environment.kill_server(number);
        self.announce_later(number, AnnouncedState::Removed, SILENT_NOTICE_DELAY);
    }

    /// Isolates a machine. When it is back, its connections are reset, and a server starts cold at the same address.
    pub(super) fn isolate(
        &mut self,
        number: usize,
        back: f64,
        environment: &mut dyn FaultEnvironment,
    ) {
        environment.isolate_server(number);
        self.servers[number].leaving = true;
        self.servers[number].alive = false;
        self.announce_later(number, AnnouncedState::Removed, SILENT_NOTICE_DELAY);
        self.after(back, move |scheduler, environment| {
            let (place, zone) = (
                scheduler.servers[number].place,
                scheduler.servers[number].zone,
            );
            environment.kill_server(number);
            scheduler.start_successor(Some(place), zone, environment);
        });
    }

    fn begin(&mut self, fault: &Fault, environment: &mut dyn FaultEnvironment) {
        environment.log(format!("{} begins", fault.name));
        match spec(fault.name) {
            Some(spec) => (spec.begin)(self, fault, environment),
            None => environment.log(format!("{} is not played", fault.name)),
        }
    }

    /// Picks a fraction of the nodes among the running ones, so that at least one keeps running.
    pub(super) fn pick_all_but_one(&mut self, fraction: f64) -> Vec<usize> {
        let mut picked = self.pick_running_nodes(fraction);
        let up = self.running_nodes.iter().filter(|up| **up).count();
        picked.truncate(up.saturating_sub(1));
        picked
    }

    /// Picks a fraction of the nodes among the running ones.
    pub(super) fn pick_running_nodes(&mut self, fraction: f64) -> Vec<usize> {
        let mut up: Vec<usize> = (0..self.running_nodes.len())
            .filter(|n| self.running_nodes[*n])
            .collect();
        let count = ((fraction * self.running_nodes.len() as f64).ceil() as usize).min(up.len());
        (0..count)
            .map(|_| up.swap_remove(self.rng.below(up.len())))
            .collect()
    }

    pub(super) fn start_node(&mut self, node: usize, environment: &mut dyn FaultEnvironment) {
        if !std::mem::replace(&mut self.running_nodes[node], true) {
            environment.start_node(node);
            environment.command_clients(clients::ControlCommand::Up(node));
        }
    }
}
