//! A whole fleet on virtual time: nodes, boxes, origin, discovery and clients on one network, a director that
//! makes them fail, a judge that watches. The same seed and scenario give the same log, byte for byte.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver};

use sloewick_decision::api::Micros;
use sloewick_decision::Balancer;
use sloewick_node::config;
use sloewick_node::transport::PendingSignals as Signals;
use sloewick_node::{DecisionEngine, Node};

use crate::checker::observations::{AnnouncedState, Event, Observation, Recorder, RequestNames};
use crate::checker::{Checker, DisconnectStatistics, Rule, Violation};
use crate::commands::CommandQueue;
use crate::emulators::cache_server::{self, CacheServer};
use crate::emulators::clients::{self, ClientPool};
use crate::emulators::discovery::{self, Discovery, Listed, Roster};
use crate::emulators::idle_clients::Idle;
use crate::emulators::misbehaving_clients::MisbehavingClients;
use crate::emulators::origin::{self, Origin};
use crate::faults::environment::FaultEnvironment;
use crate::faults::scenario::Scenario;
use crate::faults::schedule::FaultScheduler;
use crate::network::hosts::Hosts;
use crate::network::{Delay, HostId, World, EPOCH};
use crate::port::Actor;
use crate::report::Report;
use crate::rng::Rng;
use crate::site::{self, ProtocolOptions};

/// Descriptors of a stand-in; enough that only nodes run short.
const MANY: usize = 100_000;
/// How long the run goes on after the last request: the longest deadline, and what may follow it.
const AFTER: Micros = 4_000_000;
/// How long nodes get to end at the end of the run.
const ENDING: Micros = 4_000_000;

/// Wraps the module of each node (its number given), for tests that plant defects.
pub type Wrap = Rc<dyn Fn(usize, Balancer) -> Box<dyn DecisionEngine>>;

/// What a watcher of a run is shown.
pub enum Shown<'a> {
    Observation(&'a Observation),
    /// A line that a node logged, with time and name; the judge is told nothing of it.
    Logged(&'a str),
}

/// Is shown everything, in order.
pub type Watch = Box<dyn FnMut(Shown<'_>)>;

/// What is told of a run besides its breaches.
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub report: Report,
    /// Of every fact and every byte that was delivered.
    pub digest: u64,
    pub observations: u64,
    /// Virtual time played, in microseconds.
    pub played: Micros,
    /// Most descriptors that a node held at once.
    pub descriptors: usize,
    /// Requests whose client left, and what was sent on for them later than may be.
    pub disconnects: DisconnectStatistics,
    /// The most that a cold box was sent, as a part of what it bears and chance.
    pub max_cold_load: f64,
}

/// What a run may be told.
pub struct Options {
    pub watch: Option<Watch>,
    pub wrap: Option<Wrap>,
    pub delay: Delay,
    pub protocols: ProtocolOptions,
    /// Cold boxes take whatever they are sent: the judge alone tells what would have been too much.
    pub cold_servers_never_fail: bool,
    pub defect: Defect,
}

/// What is wrong with all nodes' hosts, for tests of the judge; nothing, usually.
#[derive(Clone, Copy, Debug, Default)]
pub struct Defect {
    /// So much later than they may, nodes hear that a client has closed.
    pub ends_late: Micros,
    /// So long a process that follows another one does nothing.
    pub starts_late: Micros,
    /// Each connection of so many that clients open is reset at its first bytes; none for 0.
    pub shut_of: u64,
}

impl Default for Options {
    fn default() -> Options {
        let delay = Delay {
            same: 200,
            cross: 5_000,
            jitter: 0.2,
        };
        Options {
            watch: None,
            wrap: None,
            delay,
            protocols: ProtocolOptions::default(),
            cold_servers_never_fail: false,
            defect: Defect::default(),
        }
    }
}

struct BoxedEngine(Box<dyn DecisionEngine>);

impl DecisionEngine for BoxedEngine {
    fn handle(
        &mut self,
        now: Micros,
        event: sloewick_decision::Event,
        actions: &mut Vec<sloewick_decision::Action>,
    ) {
        self.0.handle(now, event, actions);
    }

    fn is_unavailable(&self, now: Micros, server: &sloewick_decision::api::ServerId) -> bool {
        self.0.is_unavailable(now, server)
    }

    fn retained_fraction(&self, server: &sloewick_decision::api::ServerId) -> f64 {
        self.0.retained_fraction(server)
    }

    fn may_start_attempt(
        &self,
        now: Micros,
        request: &sloewick_decision::api::RequestId,
        attempt: usize,
    ) -> bool {
        self.0.may_start_attempt(now, request, attempt)
    }
}

struct ServerHost {
    host: HostId,
    command_queue: CommandQueue<cache_server::ControlCommand>,
}

/// Everything that the director acts on.
struct Site {
    hosts: Hosts,
    scenario: Scenario,
    protocols: ProtocolOptions,
    cold_servers_never_fail: bool,
    defect: Defect,
    seed: u64,
    recorder: Recorder,
    nodes: Vec<HostId>,
    node_starts: Vec<u64>,
    stopping: Vec<bool>,
    servers: BTreeMap<usize, ServerHost>,
    discovery: Vec<HostId>,
    /// How often discovery has moved.
    moves: usize,
    discovery_commands: CommandQueue<discovery::ControlCommand>,
    discovery_up: bool,
    /// What changed while discovery told an old list; none while it tells what it has.
    stale: Option<Vec<(usize, AnnouncedState)>>,
    roster: Roster,
    /// What each node held when it last ended: it starts with that.
    lists_at_end: Vec<Option<Roster>>,
    origin_commands: CommandQueue<origin::ControlCommand>,
    clients_commands: CommandQueue<clients::ControlCommand>,
    misbehaving_commands: CommandQueue<f64>,
    idle_commands: CommandQueue<usize>,
    origin: SocketAddr,
    moved: Rc<RefCell<Vec<SocketAddr>>>,
    wrap: Option<Wrap>,
    clients: HostId,
    misbehaving: HostId,
    idle: HostId,
    origin_host: HostId,
}

fn node_address(node: usize) -> SocketAddr {
    ([10, 0, 0, node as u8 + 1], 6379).into()
}

/// Where a node listens for the binary protocol.
fn memcached_address(node: usize) -> SocketAddr {
    SocketAddr::new(node_address(node).ip(), 11211)
}

fn box_address(place: usize) -> SocketAddr {
    ([10, 1, (place / 250) as u8, (place % 250) as u8 + 1], 6379).into()
}

fn discovery_address(moves: usize, node: usize) -> SocketAddr {
    ([10, 3, (moves % 250) as u8, node as u8 + 1], 8500).into()
}

impl Site {
    fn unix(&self) -> Micros {
        EPOCH + self.hosts.now()
    }

    fn record(&self, event: Event) {
        self.recorder.record(self.unix(), event);
    }

    fn run_discovery(&mut self, first_rev: i64) {
        let at: Vec<SocketAddr> = (0..self.scenario.nodes)
            .map(|n| discovery_address(self.moves, n))
            .collect();
        let host =
            self.hosts
                .world
                .borrow_mut()
                .host(&format!("discovery-{}", self.moves), 0, MANY);
        for address in &at {
            self.hosts.world.borrow_mut().address(host, *address);
        }
        self.discovery_commands = CommandQueue::default();
        let made = Discovery::new(
            self.hosts.net(host),
            &at,
            first_rev,
            &self.roster.list,
            self.discovery_commands.clone(),
            self.recorder.clone(),
        );
        if let Ok(actor) = made {
            self.hosts.place(host, Box::new(actor));
        }
        self.discovery.push(host);
        self.discovery_up = true;
        self.fresh();
        self.record(Event::DiscoveryReachable { reachable: true });
    }

    /// Discovery tells what it has again.
    fn fresh(&mut self) {
        for (server, state) in self.stale.take().into_iter().flatten() {
            self.record(Event::DiscoveryUpdated { server, state });
        }
    }

    /// Reports the endpoint list that a node's process starts with.
    fn report_known_servers(&self, node: usize, list: &[Listed]) {
        for listed in list {
            // A server that was running before the run began has not started.
            if listed.state != (AnnouncedState::InService { boot: 0 }) {
                self.record(Event::KnownAtNodeStart {
                    node,
                    server: listed.number,
                    state: listed.state,
                });
            }
        }
    }

    /// The hosts of a run, with nothing running on them yet.
    fn new(scenario: &Scenario, seed: u64, options: &Options, recorder: Recorder) -> Site {
        let mut world = World::new(seed, options.delay);
        let origin: SocketAddr = ([10, 2, 0, 1], 7000).into();
        let origin_host = world.host("origin", 0, MANY);
        world.address(origin_host, origin);
        let clients = world.host("clients", 0, MANY);
        world.delay_close_notifications(clients, options.defect.ends_late);
        world.shut_new(clients, options.defect.shut_of);
        let misbehaving = world.host("rude", 0, MANY);
        let nodes = node_hosts(&mut world, scenario.nodes);
        // The last of the hosts that a run begins with: the others' numbers stay what they are.
        let idle = world.host("idle", 0, MANY);
        let discovery = (0..nodes.len())
            .map(|node| discovery_address(0, node))
            .collect();
        Site {
            hosts: Hosts::new(world),
            scenario: scenario.clone(),
            protocols: options.protocols,
            cold_servers_never_fail: options.cold_servers_never_fail,
            defect: options.defect,
            seed,
            recorder,
            node_starts: vec![0; nodes.len()],
            stopping: vec![false; nodes.len()],
            moved: Rc::new(RefCell::new(discovery)),
            nodes,
            servers: BTreeMap::new(),
            discovery: Vec::new(),
            moves: 0,
            discovery_commands: CommandQueue::default(),
            discovery_up: false,
            stale: None,
            roster: Roster {
                rev: 40,
                list: Vec::new(),
            },
            lists_at_end: vec![None; scenario.nodes],
            origin_commands: CommandQueue::default(),
            clients_commands: CommandQueue::default(),
            misbehaving_commands: CommandQueue::default(),
            idle_commands: CommandQueue::default(),
            origin,
            wrap: options.wrap.clone(),
            clients,
            misbehaving,
            idle,
            origin_host,
        }
    }

    fn start_origin(&mut self) {
        let set = site::origin(self.origin, self.seed, &self.scenario);
        if let Ok(actor) = Origin::new(
            self.hosts.net(self.origin_host),
            set,
            self.origin_commands.clone(),
            self.recorder.clone(),
        ) {
            self.hosts.place(self.origin_host, Box::new(actor));
        }
    }

    /// Starts well-behaved, idle and misbehaving clients; the first send requests until this time.
    fn start_clients(&mut self, until: Micros) {
        let addresses: Vec<SocketAddr> = (0..self.scenario.nodes).map(node_address).collect();
        let memcached: Vec<SocketAddr> = match self.protocols.clients {
            site::Clients::Memcached | site::Clients::Both => {
                (0..self.scenario.nodes).map(memcached_address).collect()
            }
            _ => Vec::new(),
        };
        let set = site::clients(
            addresses.clone(),
            memcached.clone(),
            self.protocols,
            self.seed,
            &self.scenario,
            until,
        );
        let client_pool = ClientPool::new(
            self.hosts.net(self.clients),
            set,
            self.clients_commands.clone(),
            self.recorder.clone(),
        );
        self.hosts.place(self.clients, Box::new(client_pool));
        let idle_actor = Idle::new(
            self.hosts.net(self.idle),
            addresses.clone(),
            self.idle_commands.clone(),
        );
        self.hosts.place(self.idle, Box::new(idle_actor));
        let misbehaving_actor = MisbehavingClients::new(
            self.hosts.net(self.misbehaving),
            addresses,
            memcached,
            self.seed,
            self.misbehaving_commands.clone(),
            self.recorder.clone(),
        );
        self.hosts
            .place(self.misbehaving, Box::new(misbehaving_actor));
    }
}

/// A host for each node, in both zones in turn, with the addresses of its listeners.
fn node_hosts(world: &mut World, count: usize) -> Vec<HostId> {
    (0..count)
        .map(|n| {
            let host = world.host(&format!("node-{n}"), n % 2, site::SOCKETS);
            world.address(host, node_address(n));
            world.address(host, memcached_address(n));
            host
        })
        .collect()
}

impl FaultEnvironment for Site {
    fn start_server(&mut self, number: usize, place: usize, zone: usize, cold: bool) {
        let at = box_address(place);
        let host = self
            .hosts
            .world
            .borrow_mut()
            .host(&format!("box-{number}"), zone, MANY);
        self.hosts.world.borrow_mut().address(host, at);
        let memcached = self.protocols.server_uses_memcached(number, &self.scenario);
        let mut set =
            site::cache_server_settings(number, at, self.origin, cold, memcached, self.seed);
        if self.cold_servers_never_fail {
            set.fall_multiple = 0.0;
        }
        let command_queue = CommandQueue::default();
        match CacheServer::new(
            self.hosts.net(host),
            set,
            command_queue.clone(),
            self.recorder.clone(),
        ) {
            Ok(actor) => self.hosts.place(host, Box::new(actor)),
            Err(e) => self.log(format!("box {number} does not start: {e}")),
        }
        self.servers.insert(
            number,
            ServerHost {
                host,
                command_queue,
            },
        );
    }

    fn kill_server(&mut self, number: usize) {
        let Some(host) = self.servers.get(&number).map(|b| b.host) else {
            return;
        };
        self.hosts.come_back(host);
        self.record(Event::ServerEnded { server: number });
        self.hosts.end(host);
    }

    fn command_server(&mut self, number: usize, command: cache_server::ControlCommand) {
        if let Some((host, command_queue)) = self
            .servers
            .get(&number)
            .map(|b| (b.host, b.command_queue.clone()))
        {
            command_queue.push(command);
            self.hosts.wake(host);
        }
    }

    fn listed(&self, number: usize, place: usize, zone: usize, state: AnnouncedState) -> Listed {
        let state = match state {
            // Boots are told in Unix time; 0 stands for long ago.
            AnnouncedState::InService { boot } if boot > 0 => {
                AnnouncedState::InService { boot: EPOCH + boot }
            }
            other => other,
        };
        Listed {
            number,
            uid: format!("s-{number:04}"),
            endpoint: box_address(place),
            zone: site::ZONES[zone % 2].to_string(),
            kind: self.protocols.model(number, &self.scenario).to_string(),
            state,
        }
    }

    fn command_discovery(&mut self, command: discovery::ControlCommand) {
        if let discovery::ControlCommand::Change(listed) = &command {
            self.roster.change(listed);
            match &mut self.stale {
                Some(changed) => changed.push((listed.number, listed.state)),
                None => self.record(Event::DiscoveryUpdated {
                    server: listed.number,
                    state: listed.state,
                }),
            }
        }
        if self.discovery_up {
            match &command {
                discovery::ControlCommand::Fail(fail) => {
                    self.record(Event::DiscoveryReachable { reachable: !fail });
                }
                discovery::ControlCommand::Stale(true) => drop(self.stale.get_or_insert_default()),
                discovery::ControlCommand::Stale(false) => self.fresh(),
                _ => {}
            }
            self.discovery_commands.push(command);
            if let Some(host) = self.discovery.last().copied() {
                self.hosts.wake(host);
            }
        }
    }

    fn command_origin(&mut self, command: origin::ControlCommand) {
        self.origin_commands.push(command);
        self.hosts.wake(self.origin_host);
    }

    fn command_clients(&mut self, command: clients::ControlCommand) {
        self.clients_commands.push(command);
        self.hosts.wake(self.clients);
    }

    fn set_misbehaving_client_rate(&mut self, rate: f64) {
        self.misbehaving_commands.push(rate);
        self.hosts.wake(self.misbehaving);
    }

    fn kill_node(&mut self, node: usize) {
        if self.hosts.has(self.nodes[node]) {
            self.lists_at_end[node] = Some(self.roster.clone());
            self.record(Event::NodeEnded { node, killed: true });
            self.hosts.end(self.nodes[node]);
        }
    }

    fn stop_node(&mut self, node: usize) {
        self.lists_at_end[node] = Some(self.roster.clone());
        self.record(Event::NodeStopping { node });
        self.stopping[node] = true;
        self.hosts.world.borrow_mut().signal(
            self.nodes[node],
            Signals {
                reload: false,
                stop: true,
            },
        );
    }

    fn start_node(&mut self, node: usize) {
        let host = self.nodes[node];
        self.hosts.end(host);
        self.hosts.world.borrow_mut().restart_host(host);
        self.node_starts[node] += 1;
        self.stopping[node] = false;
        let mut rng = Rng::stream(
            self.seed,
            "node",
            node * 1000 + self.node_starts[node] as usize,
        );
        let known = self.lists_at_end[node]
            .take()
            .unwrap_or_else(|| self.roster.clone());
        let at = discovery_address(self.moves, node);
        let text = site::node_config(
            node,
            &self.scenario,
            node_address(node),
            at,
            rng.next_u64(),
            (known.rev, &known.list),
        );
        self.moved.borrow_mut()[node] = at;
        let (moved, text2) = (self.moved.clone(), text.clone());
        let source = Box::new(move || {
            config::parse(&text2).map(|mut config| {
                config.discovery = moved.borrow()[node];
                config
            })
        });
        self.record(Event::NodeStarted { node });
        self.report_known_servers(node, &known.list);
        let mut config = match config::parse(&text) {
            Ok(config) => config,
            Err(bad) => return self.log(format!("node {node}: {bad}")),
        };
        if let Err(why) = self
            .protocols
            .configure(&mut config, memcached_address(node))
        {
            return self.log(format!("node {node}: {why}"));
        }
        let wrap = self.wrap.clone();
        let made: Result<Box<dyn Actor>, _> = match wrap {
            Some(wrap) => Node::with_engine(config, self.hosts.net(host), source, |balancer| {
                BoxedEngine(wrap(node, balancer))
            })
            .map(|n| Box::new(n) as Box<dyn Actor>),
            None => Node::new(config, self.hosts.net(host), source)
                .map(|n| Box::new(n) as Box<dyn Actor>),
        };
        match made {
            Ok(actor) if self.node_starts[node] > 1 => {
                self.hosts.place_late(host, actor, self.defect.starts_late);
            }
            Ok(actor) => self.hosts.place(host, actor),
            Err(e) => self.log(format!("node {node} does not start: {e}")),
        }
    }

    fn move_discovery(&mut self) {
        if !self.discovery_up {
            return;
        }
        self.discovery_commands
            .push(discovery::ControlCommand::Retire(1_500_000));
        if let Some(old) = self.discovery.last().copied() {
            self.hosts.wake(old);
        }
        self.moves += 1;
        self.run_discovery(self.roster.rev);
        for node in 0..self.scenario.nodes {
            self.moved.borrow_mut()[node] = discovery_address(self.moves, node);
            if self.hosts.has(self.nodes[node]) {
                self.hosts.world.borrow_mut().signal(
                    self.nodes[node],
                    Signals {
                        reload: true,
                        stop: false,
                    },
                );
            }
        }
    }

    fn kill_discovery(&mut self) {
        self.discovery_up = false;
        self.fresh();
        self.record(Event::DiscoveryReachable { reachable: false });
        if let Some(host) = self.discovery.last().copied() {
            self.hosts.end(host);
        }
    }

    fn start_discovery(&mut self, list: Vec<Listed>, anew: bool) {
        if self.discovery_up {
            return;
        }
        self.roster.restart(list, anew);
        self.run_discovery(self.roster.rev);
    }

    fn log(&mut self, text: String) {
        self.record(Event::Fault(text));
    }

    fn pause_node(&mut self, node: usize) {
        self.record(Event::NodePaused { node });
        self.hosts.pause(self.nodes[node]);
    }

    fn resume_node(&mut self, node: usize) {
        self.record(Event::NodeResumed { node });
        self.hosts.resume(self.nodes[node]);
    }

    fn isolate_server(&mut self, number: usize) {
        let Some(host) = self.servers.get(&number).map(|b| b.host) else {
            return;
        };
        self.hosts.isolate(host);
    }

    fn cut_link(&mut self, number: usize, from_server: bool, cut: bool) {
        let Some(host) = self.servers.get(&number).map(|b| b.host) else {
            return;
        };
        for node in self.nodes.clone() {
            let (from, to) = if from_server {
                (host, node)
            } else {
                (node, host)
            };
            self.hosts.world.borrow_mut().cut(from, to, cut);
        }
    }

    fn reset_connections(&mut self, fraction: f64) {
        let servers: Vec<HostId> = self.servers.values().map(|b| b.host).collect();
        self.hosts
            .world
            .borrow_mut()
            .reset_some(&self.nodes, &servers, fraction);
    }

    fn set_refuses_connections(&mut self, number: usize, refuses: bool) {
        if let Some(host) = self.servers.get(&number).map(|b| b.host) {
            self.hosts.world.borrow_mut().set_refuses(host, refuses);
        }
    }

    fn set_partial_writes(&mut self, fraction: f64) {
        let mut hosts: Vec<HostId> = self.servers.values().map(|b| b.host).collect();
        hosts.extend(&self.nodes);
        for host in hosts {
            self.hosts.world.borrow_mut().set_partial(host, fraction);
        }
    }

    fn set_idle_clients(&mut self, count: usize) {
        self.idle_commands.push(count);
        self.hosts.wake(self.idle);
    }

    fn skew_clock(&mut self, node: usize, by: Micros) {
        self.hosts.world.borrow_mut().set_skew(self.nodes[node], by);
    }
}

/// A run in progress.
pub struct Fleet {
    site: Site,
    scheduler: FaultScheduler,
    pub checker: Checker,
    pub report: Report,
    observations: Receiver<Observation>,
    names: RequestNames,
    seen: u64,
    digest: u64,
    watch: Option<Watch>,
    until: Micros,
    /// The schedule is over: nothing is started any more.
    ending: bool,
}

impl Fleet {
    /// A fleet that plays this scenario; everything that is random follows from the seed.
    pub fn new(scenario: &Scenario, seed: u64, options: Options) -> Fleet {
        let (send, observations) = channel();
        let recorder = Recorder::new(send, EPOCH);
        let until = (scenario.seconds * 1e6) as Micros;
        let mut site = Site::new(scenario, seed, &options, recorder);
        site.start_origin();
        let mut scheduler = FaultScheduler::new(scenario, seed);
        scheduler.start_all(&mut site);
        site.start_clients(until);
        Fleet {
            site,
            scheduler,
            checker: Checker::new(site::requirements(options.delay.most())),
            report: site::report(),
            observations,
            names: RequestNames::default(),
            seen: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            watch: options.watch,
            until,
            ending: false,
        }
    }

    /// Plays to this time.
    pub fn play_to(&mut self, end: Micros) {
        loop {
            self.settle();
            let mut next = self.site.hosts.next();
            if !self.ending {
                next = next
                    .min(self.scheduler.next().unwrap_or(Micros::MAX))
                    .max(self.site.hosts.now());
            }
            if next > end {
                break;
            }
            if !self.ending {
                self.site.hosts.world.borrow_mut().advance(next);
                self.scheduler.run(next, &mut self.site);
            }
            for host in self.site.hosts.advance(next) {
                self.ended(host);
            }
        }
        self.site.hosts.world.borrow_mut().advance(end);
        self.settle();
    }

    /// A host's process has ended by itself.
    fn ended(&mut self, host: HostId) {
        if let Some(node) = self.site.nodes.iter().position(|h| *h == host) {
            self.site.record(Event::NodeEnded {
                node,
                killed: false,
            });
            if !self.site.stopping[node] {
                self.found(Rule::NoRequestLost, format!("node {node} ended unasked"));
            }
        }
    }

    fn found(&mut self, rule: Rule, why: String) {
        let at = self.site.hosts.world.borrow().now;
        self.checker.add(Violation {
            rule,
            at,
            id: None,
            why,
            around: Vec::new(),
        });
    }

    /// Takes up what the peers saw, and shows what the nodes logged.
    fn settle(&mut self) {
        for host in self.site.nodes.clone() {
            let lines = self.site.hosts.world.borrow_mut().take_log(host);
            if let Some(watch) = &mut self.watch {
                for line in &lines {
                    watch(Shown::Logged(line));
                }
            }
        }
        while let Ok(observation) = self.observations.try_recv() {
            self.seen += 1;
            let observation = self.names.resolve(observation);
            self.checker.observe(&observation);
            self.report.observe(&observation);
            let text = observation.to_string();
            for byte in text.bytes() {
                self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
            }
            if let Some(watch) = &mut self.watch {
                watch(Shown::Observation(&observation));
            }
        }
    }

    /// Plays the whole scenario and the planned end of all nodes.
    pub fn run(mut self) -> Outcome {
        self.play_to(self.until + AFTER);
        self.ending = true;
        let now = self.site.hosts.world.borrow().now;
        for node in 0..self.site.nodes.len() {
            if self.checker.is_paused(node) {
                self.site.resume_node(node);
            }
            if self.site.hosts.has(self.site.nodes[node]) {
                self.site.stop_node(node);
            }
        }
        self.play_to(now + ENDING);
        let now = self.site.hosts.world.borrow().now;
        self.checker.finish(now);
        let mut descriptors = 0;
        for node in 0..self.site.nodes.len() {
            let host = self.site.nodes[node];
            let (open, peak, most) = self.site.hosts.world.borrow().descriptors(host);
            descriptors = descriptors.max(peak);
            if self.site.hosts.has(host) {
                self.found(
                    Rule::ProtocolAndLifecycle,
                    format!("node {node} was told to end and has not"),
                );
            } else if open > 0 {
                self.found(
                    Rule::ProtocolAndLifecycle,
                    format!("node {node} left {open} descriptors open"),
                );
            }
            if peak > most {
                self.found(
                    Rule::ProtocolAndLifecycle,
                    format!("node {node} held {peak} of {most} descriptors"),
                );
            }
        }
        let wire = self.site.hosts.world.borrow().digest();
        Outcome {
            violations: std::mem::take(&mut self.checker.violations),
            report: self.report,
            digest: self.digest ^ wire.rotate_left(17),
            observations: self.seen,
            played: now,
            descriptors,
            disconnects: self.checker.statistics().disconnects,
            max_cold_load: self.checker.statistics().max_cold_load,
        }
    }
}

/// Plays a scenario from a seed.
pub fn play(scenario: &Scenario, seed: u64, options: Options) -> Outcome {
    Fleet::new(scenario, seed, options).run()
}

/// The shortest schedule found that still breaks the rule: faults are left out one by one, then the run is cut
/// short, as long as the same rule breaks under the same seed.
pub fn shrink(
    scenario: &Scenario,
    seed: u64,
    rule: Rule,
    wrap: Option<&Wrap>,
    protocols: ProtocolOptions,
) -> Scenario {
    let first = |s: &Scenario| {
        let options = Options {
            wrap: wrap.cloned(),
            protocols,
            ..Options::default()
        };
        let outcome = play(s, seed, options);
        outcome
            .violations
            .iter()
            .find(|b| b.rule == rule)
            .map(|b| b.at)
    };
    let mut best = scenario.clone();
    let mut i = 0;
    while i < best.faults.len() {
        let mut less = best.clone();
        less.faults.remove(i);
        if first(&less).is_some() {
            best = less;
        } else {
            i += 1;
        }
    }
    if let Some(at) = first(&best) {
        let mut less = best.clone();
        less.seconds = (at as f64 / 1e6).ceil().clamp(1.0, best.seconds);
        less.faults.retain(|f| f.at < less.seconds);
        if first(&less).is_some() {
            best = less;
        }
    }
    best
}
