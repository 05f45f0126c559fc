//! A scenario on real sockets in real time: a fleet, its fault scheduler and the checker that observes it.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use sloewick_decision::api::Micros;

use crate::checker::observations::{Event, Observation, Recorder, RequestNames};
use crate::checker::{Checker, Rule, Violation};
use crate::faults::environment::FaultEnvironment;
use crate::faults::scenario::Scenario;
use crate::faults::schedule::FaultScheduler;
pub use crate::real_fleet::Nodes;
use crate::real_fleet::{unix, NodeSlot, RealFleet, RunningNode, MAX_THREAD_DELAY};
use crate::report::Report;
use crate::site::{self, ProtocolOptions};

/// How long nodes may take to shut down when the run is over: the longest deadline and one second.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(site::MAX_DEADLINE as u64 / 1000 + 1000);

/// A running fleet, its checker and its report.
pub struct Demo {
    fleet: RealFleet,
    scheduler: FaultScheduler,
    pub checker: Checker,
    pub report: Report,
    names: RequestNames,
    /// Whether nodes also listen for the memcached binary protocol.
    pub memcached: bool,
    observations: Receiver<Observation>,
    started_at: Instant,
}

impl Demo {
    /// Starts the fleet. Clients begin to send requests once nodes answer.
    ///
    /// # Errors
    /// There are not enough free addresses, threads or descriptors, or a process can't be started.
    pub fn start(
        scenario: &Scenario,
        seed: u64,
        protocols: ProtocolOptions,
        nodes_as: Nodes,
    ) -> io::Result<Demo> {
        let (send, observations) = channel();
        let epoch = unix();
        let recorder = Recorder::new(send, epoch);
        let mut fleet = RealFleet::new(scenario, seed, protocols, nodes_as, recorder, epoch)?;
        fleet.start_origin()?;
        let mut scheduler = FaultScheduler::new(scenario, seed);
        scheduler.start_all(&mut fleet);
        if let Some(why) = fleet.announcements.pop() {
            return Err(io::Error::other(why));
        }
        fleet.start_clients()?;
        fleet.start_misbehaving_clients()?;
        let memcached = fleet.serves_memcached();
        Ok(Demo {
            fleet,
            scheduler,
            checker: Checker::new(site::requirements(MAX_THREAD_DELAY)),
            report: site::report(),
            names: RequestNames::default(),
            memcached,
            observations,
            started_at: Instant::now(),
        })
    }

    /// Time since the start, in microseconds.
    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Runs for this long. Returns the announcements of the fault scheduler during that time.
    pub fn run_for(&mut self, time: Duration) -> Vec<String> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let now = self.now();
            self.scheduler.run(now, &mut self.fleet);
            self.record_ended_processes(now);
            match self.observations.recv_timeout(Duration::from_millis(5)) {
                Ok(observation) => self.observe(observation),
                Err(_) => continue,
            }
            while let Ok(observation) = self.observations.try_recv() {
                self.observe(observation);
            }
        }
        self.fleet.take_announcements()
    }

    /// The nodes' addresses, for RESP2 and for the memcached binary protocol.
    pub fn listening(&self) -> Vec<(SocketAddr, SocketAddr)> {
        self.fleet
            .nodes
            .iter()
            .map(|n| (n.address, n.memcached))
            .collect()
    }

    fn observe(&mut self, observation: Observation) {
        let observation = self.names.resolve(observation);
        self.checker.observe(&observation);
        self.report.observe(&observation);
    }

    /// Records the processes that have ended by themselves. If one was not told to end or ended with an error, it
    /// violates the rule against lost requests, since all requests that it held are lost.
    fn record_ended_processes(&mut self, now: Micros) {
        for (node, n) in self.fleet.nodes.iter_mut().enumerate() {
            let Some(RunningNode::Process(process)) = &mut n.served else {
                continue;
            };
            let Some(status) = process.ended() else {
                continue;
            };
            let log_tail = process.log_tail();
            n.served = None;
            if !n.stopping || !status.success() {
                let why = format!("node {node} ended unexpectedly ({status}): {log_tail}");
                self.checker.add(Violation {
                    rule: Rule::NoRequestLost,
                    at: now,
                    id: None,
                    why,
                    around: Vec::new(),
                });
            }
            self.fleet.recorder.record(
                unix(),
                Event::NodeEnded {
                    node,
                    killed: false,
                },
            );
        }
    }

    /// Shuts down the fleet. Requests that are still unanswered at the end are violations.
    pub fn shut_down(mut self) -> (Checker, Report) {
        for node in 0..self.fleet.nodes.len() {
            if matches!(self.fleet.nodes[node].served, Some(RunningNode::Process(_))) {
                if self.checker.is_paused(node) {
                    self.fleet.resume_node(node);
                }
                self.fleet.stop_node(node);
            }
        }
        let until = Instant::now() + SHUTDOWN_TIMEOUT;
        let is_running = |n: &NodeSlot| matches!(n.served, Some(RunningNode::Process(_)));
        while self.fleet.nodes.iter().any(is_running) && Instant::now() < until {
            self.record_ended_processes(self.now());
            while let Ok(observation) = self.observations.recv_timeout(Duration::from_millis(5)) {
                self.observe(observation);
            }
        }
        let now = self.now();
        for (node, _) in self
            .fleet
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| is_running(n))
        {
            let why = format!("node {node} has not ended after its stop signal");
            self.checker.add(Violation {
                rule: Rule::ProtocolAndLifecycle,
                at: now,
                id: None,
                why,
                around: Vec::new(),
            });
        }
        self.checker.finish(now);
        (self.checker, self.report)
    }
}
