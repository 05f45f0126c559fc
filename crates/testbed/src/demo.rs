//! A scenario on real sockets, watched as it goes on: a fleet, its faults and the checker.

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

/// How long nodes have to end when the run is over: the longest deadline and a second more.
const ENDING: Duration = Duration::from_millis(site::MAX_DEADLINE as u64 / 1000 + 1000);

/// A fleet that runs.
pub struct Demo {
    fleet: RealFleet,
    scheduler: FaultScheduler,
    pub checker: Checker,
    pub report: Report,
    names: RequestNames,
    /// Nodes listen for the binary protocol.
    pub memcached: bool,
    observations: Receiver<Observation>,
    began: Instant,
}

impl Demo {
    /// Starts everything; clients begin to ask once nodes answer.
    ///
    /// # Errors
    /// No addresses, threads or descriptors are to be had.
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
        let front = fleet.serves_memcached();
        Ok(Demo {
            fleet,
            scheduler,
            checker: Checker::new(site::requirements(MAX_THREAD_DELAY)),
            report: site::report(),
            names: RequestNames::default(),
            memcached: front,
            observations,
            began: Instant::now(),
        })
    }

    /// Time since it began, in microseconds.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Goes on for this long; what the director did meanwhile.
    pub fn go_on(&mut self, time: Duration) -> Vec<String> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let now = self.now();
            self.scheduler.run(now, &mut self.fleet);
            self.look_for_ends(now);
            match self.observations.recv_timeout(Duration::from_millis(5)) {
                Ok(observation) => self.see(observation),
                Err(_) => continue,
            }
            while let Ok(observation) = self.observations.try_recv() {
                self.see(observation);
            }
        }
        self.fleet.take_announcements()
    }

    /// Where the nodes listen for RESP2 and for the binary protocol.
    pub fn listening(&self) -> Vec<(SocketAddr, SocketAddr)> {
        self.fleet
            .nodes
            .iter()
            .map(|n| (n.address, n.memcached))
            .collect()
    }

    fn see(&mut self, observation: Observation) {
        let observation = self.names.resolve(observation);
        self.checker.observe(&observation);
        self.report.observe(&observation);
    }

    /// A process that has ended by itself is a request lost to all that it held.
    fn look_for_ends(&mut self, now: Micros) {
        for (node, n) in self.fleet.nodes.iter_mut().enumerate() {
            let Some(RunningNode::Process(process)) = &mut n.served else {
                continue;
            };
            let Some(status) = process.ended() else {
                continue;
            };
            let words = process.last_words();
            n.served = None;
            if !n.stopping || !status.success() {
                let why = format!("node {node} ended unasked or badly ({status}): {words}");
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

    /// Ends everything; whatever is still owed then counts.
    pub fn end(mut self) -> (Checker, Report) {
        for node in 0..self.fleet.nodes.len() {
            if matches!(self.fleet.nodes[node].served, Some(RunningNode::Process(_))) {
                if self.checker.is_paused(node) {
                    self.fleet.resume_node(node);
                }
                self.fleet.stop_node(node);
            }
        }
        let until = Instant::now() + ENDING;
        let runs = |n: &NodeSlot| matches!(n.served, Some(RunningNode::Process(_)));
        while self.fleet.nodes.iter().any(runs) && Instant::now() < until {
            self.look_for_ends(self.now());
            while let Ok(observation) = self.observations.recv_timeout(Duration::from_millis(5)) {
                self.see(observation);
            }
        }
        let now = self.now();
        for (node, _) in self.fleet.nodes.iter().enumerate().filter(|(_, n)| runs(n)) {
            let why = format!("node {node} was told to end and has not");
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
