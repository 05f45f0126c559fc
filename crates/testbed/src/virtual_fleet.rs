//! A whole fleet on virtual time: nodes, cache servers, origin, discovery and clients on one network, a fault
//! scheduler that makes them fail, and a checker that observes them. The same seed and scenario give the same log,
//! byte for byte.

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
use crate::emulators::idle_clients::IdleClients;
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

/// Limit on the descriptors of an emulator's host, so high that only nodes run out of them.
const EMULATOR_DESCRIPTORS: usize = 100_000;
/// How long the run continues after the last request, in microseconds: the longest deadline, and what may follow it.
const DRAIN_TIME: Micros = 4_000_000;
/// How long nodes may take to shut down at the end of the run, in microseconds.
const SHUTDOWN_TIME: Micros = 4_000_000;

/// Wraps the decision engine of each node, given the node's number, for tests that inject defects.
pub type Wrap = Rc<dyn Fn(usize, Balancer) -> Box<dyn DecisionEngine>>;

/// An entry of a run's log.
pub enum LogEntry<'a> {
    /// An observation, as the checker receives it.
    Observation(&'a Observation),
    /// A line that a node logged, with time and node name; the checker does not receive it.
    Logged(&'a str),
}

/// Called with each entry of a run's log, in order.
pub type LogObserver = Box<dyn FnMut(LogEntry<'_>)>;

/// The result of a run.
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub report: Report,
    /// Digest of every observation and of what the network delivered.
    pub digest: u64,
    /// Number of observations.
    pub observations: u64,
    /// Simulated time, in microseconds.
    pub simulated_time: Micros,
    /// Most descriptors that any node held at once.
    pub max_descriptors: usize,
    /// Requests whose client disconnected, and the attempts that were sent for them later than is allowed.
    pub disconnects: DisconnectStatistics,
    /// Highest load sent to a server that is warming up, as a fraction of what it can take with the margin for chance.
    pub max_cold_load: f64,
}

/// Options of a run.
pub struct Options {
    /// Called with each entry of the run's log.
    pub observer: Option<LogObserver>,
    /// Wraps the nodes' decision engines.
    pub wrap: Option<Wrap>,
    pub delay: Delay,
    pub protocols: ProtocolOptions,
    /// Cold servers never fail under overload; only the checker reports what would have been too much load.
    pub cold_servers_never_fail: bool,
    pub defect: Defect,
}

/// Defects of the nodes' hosts, for tests of the checker; none by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct Defect {
    /// Extra delay until nodes receive that a client has closed its connection, in microseconds.
    pub ends_late: Micros,
    /// How long a restarted node's process does nothing after its start, in microseconds.
    pub starts_late: Micros,
    /// Of the connections that clients open, each one whose number is a multiple of this is reset at its first bytes;
    /// none if 0.
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
            observer: None,
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

/// The hosts of a run and all that the fault scheduler acts on.
struct VirtualEnvironment {
    hosts: Hosts,
    scenario: Scenario,
    protocols: ProtocolOptions,
    cold_servers_never_fail: bool,
    defect: Defect,
    seed: u64,
    recorder: Recorder,
    nodes: Vec<HostId>,
    /// How many times each node was started.
    node_starts: Vec<u64>,
    /// Whether each node has received a stop signal.
    stopping: Vec<bool>,
    servers: BTreeMap<usize, ServerHost>,
    /// Hosts that discovery has run on; the last is its current one.
    discovery_hosts: Vec<HostId>,
    /// How many times discovery has moved to other addresses.
    discovery_moves: usize,
    discovery_commands: CommandQueue<discovery::ControlCommand>,
    is_discovery_running: bool,
    /// State changes since discovery began to serve a stale list; None while its list is current.
    stale_changes: Option<Vec<(usize, AnnouncedState)>>,
    roster: Roster,
    /// The endpoint list each node had when it last ended; its next process starts with it.
    last_rosters: Vec<Option<Roster>>,
    origin_commands: CommandQueue<origin::ControlCommand>,
    clients_commands: CommandQueue<clients::ControlCommand>,
    /// New rates of misbehaving clients, per second.
    misbehaving_commands: CommandQueue<f64>,
    /// New numbers of idle clients at each node.
    idle_commands: CommandQueue<usize>,
    origin_address: SocketAddr,
    /// The address of discovery in each node's configuration.
    configured_discovery: Rc<RefCell<Vec<SocketAddr>>>,
    wrap: Option<Wrap>,
    clients_host: HostId,
    misbehaving_host: HostId,
    idle_host: HostId,
    origin_host: HostId,
}

fn node_address(node: usize) -> SocketAddr {
    ([10, 0, 0, node as u8 + 1], 6379).into()
}

/// Where a node listens for the memcached binary protocol.
fn memcached_address(node: usize) -> SocketAddr {
    SocketAddr::new(node_address(node).ip(), 11211)
}

fn server_address(place: usize) -> SocketAddr {
    ([10, 1, (place / 250) as u8, (place % 250) as u8 + 1], 6379).into()
}

fn discovery_address(moves: usize, node: usize) -> SocketAddr {
    ([10, 3, (moves % 250) as u8, node as u8 + 1], 8500).into()
}

impl VirtualEnvironment {
    fn unix(&self) -> Micros {
        EPOCH + self.hosts.now()
    }

    fn record(&self, event: Event) {
        self.recorder.record(self.unix(), event);
    }

    fn run_discovery(&mut self, first_rev: i64) {
        let at: Vec<SocketAddr> = (0..self.scenario.nodes)
            .map(|n| discovery_address(self.discovery_moves, n))
            .collect();
        let host = self.hosts.world.borrow_mut().add_host(
            &format!("discovery-{}", self.discovery_moves),
            0,
            EMULATOR_DESCRIPTORS,
        );
        for address in &at {
            self.hosts.world.borrow_mut().add_address(host, *address);
        }
        self.discovery_commands = CommandQueue::default();
        let created = Discovery::new(
            self.hosts.net(host),
            &at,
            first_rev,
            &self.roster.list,
            self.discovery_commands.clone(),
            self.recorder.clone(),
        );
        if let Ok(actor) = created {
            self.hosts.place(host, Box::new(actor));
        }
        self.discovery_hosts.push(host);
        self.is_discovery_running = true;
        self.end_stale_list();
        self.record(Event::DiscoveryReachable { reachable: true });
    }

    /// Discovery serves its current list again; reports the changes that it held back.
    fn end_stale_list(&mut self) {
        for (server, state) in self.stale_changes.take().into_iter().flatten() {
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

    /// Creates the hosts of a run, with nothing running on them yet.
    fn new(
        scenario: &Scenario,
        seed: u64,
        options: &Options,
        recorder: Recorder,
    ) -> VirtualEnvironment {
        let mut world = World::new(seed, options.delay);
        let origin_address: SocketAddr = ([10, 2, 0, 1], 7000).into();
        let origin_host = world.add_host("origin", 0, EMULATOR_DESCRIPTORS);
        world.add_address(origin_host, origin_address);
        let clients_host = world.add_host("clients", 0, EMULATOR_DESCRIPTORS);
        world.delay_close_notifications(clients_host, options.defect.ends_late);
        world.reset_new_connections(clients_host, options.defect.shut_of);
        let misbehaving_host = world.add_host("rude", 0, EMULATOR_DESCRIPTORS);
        let nodes = node_hosts(&mut world, scenario.nodes);
        // Added last, so that the numbers of the other hosts stay the same.
        let idle_host = world.add_host("idle", 0, EMULATOR_DESCRIPTORS);
        let discovery = (0..nodes.len())
            .map(|node| discovery_address(0, node))
            .collect();
        VirtualEnvironment {
            hosts: Hosts::new(world),
            scenario: scenario.clone(),
            protocols: options.protocols,
            cold_servers_never_fail: options.cold_servers_never_fail,
            defect: options.defect,
            seed,
            recorder,
            node_starts: vec![0; nodes.len()],
            stopping: vec![false; nodes.len()],
            configured_discovery: Rc::new(RefCell::new(discovery)),
            nodes,
            servers: BTreeMap::new(),
            discovery_hosts: Vec::new(),
            discovery_moves: 0,
            discovery_commands: CommandQueue::default(),
            is_discovery_running: false,
            stale_changes: None,
            roster: Roster {
                rev: 40,
                list: Vec::new(),
            },
            last_rosters: vec![None; scenario.nodes],
            origin_commands: CommandQueue::default(),
            clients_commands: CommandQueue::default(),
            misbehaving_commands: CommandQueue::default(),
            idle_commands: CommandQueue::default(),
            origin_address,
            wrap: options.wrap.clone(),
            clients_host,
            misbehaving_host,
            idle_host,
            origin_host,
        }
    }

    fn start_origin(&mut self) {
        let settings = site::origin(self.origin_address, self.seed, &self.scenario);
        if let Ok(actor) = Origin::new(
            self.hosts.net(self.origin_host),
            settings,
            self.origin_commands.clone(),
            self.recorder.clone(),
        ) {
            self.hosts.place(self.origin_host, Box::new(actor));
        }
    }

    /// Starts the well-behaved, idle and misbehaving clients; the well-behaved ones send requests until this time.
    fn start_clients(&mut self, until: Micros) {
        let addresses: Vec<SocketAddr> = (0..self.scenario.nodes).map(node_address).collect();
        let memcached: Vec<SocketAddr> = match self.protocols.clients {
            site::Clients::Memcached | site::Clients::Both => {
                (0..self.scenario.nodes).map(memcached_address).collect()
            }
            _ => Vec::new(),
        };
        let settings = site::clients(
            addresses.clone(),
            memcached.clone(),
            self.protocols,
            self.seed,
            &self.scenario,
            until,
        );
        let client_pool = ClientPool::new(
            self.hosts.net(self.clients_host),
            settings,
            self.clients_commands.clone(),
            self.recorder.clone(),
        );
        self.hosts.place(self.clients_host, Box::new(client_pool));
        let idle_actor = IdleClients::new(
            self.hosts.net(self.idle_host),
            addresses.clone(),
            self.idle_commands.clone(),
        );
        self.hosts.place(self.idle_host, Box::new(idle_actor));
        let misbehaving_actor = MisbehavingClients::new(
            self.hosts.net(self.misbehaving_host),
            addresses,
            memcached,
            self.seed,
            self.misbehaving_commands.clone(),
            self.recorder.clone(),
        );
        self.hosts
            .place(self.misbehaving_host, Box::new(misbehaving_actor));
    }
}

/// Adds a host for each node, in the two zones alternately, with the addresses of its listeners.
fn node_hosts(world: &mut World, count: usize) -> Vec<HostId> {
    (0..count)
        .map(|n| {
            let host = world.add_host(&format!("node-{n}"), n % 2, site::SOCKETS);
            world.add_address(host, node_address(n));
            world.add_address(host, memcached_address(n));
            host
        })
        .collect()
}

impl FaultEnvironment for VirtualEnvironment {
    fn start_server(&mut self, number: usize, place: usize, zone: usize, cold: bool) {
        let at = server_address(place);
        let host = self.hosts.world.borrow_mut().add_host(
            &format!("box-{number}"),
            zone,
            EMULATOR_DESCRIPTORS,
        );
        self.hosts.world.borrow_mut().add_address(host, at);
        let memcached = self.protocols.server_uses_memcached(number, &self.scenario);
        let mut settings = site::cache_server_settings(
            number,
            at,
            self.origin_address,
            cold,
            memcached,
            self.seed,
        );
        if self.cold_servers_never_fail {
            settings.fall_multiple = 0.0;
        }
        let command_queue = CommandQueue::default();
        match CacheServer::new(
            self.hosts.net(host),
            settings,
            command_queue.clone(),
            self.recorder.clone(),
        ) {
            Ok(actor) => self.hosts.place(host, Box::new(actor)),
            Err(e) => self.log(format!("cache server {number} does not start: {e}")),
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
        let Some(host) = self.servers.get(&number).map(|s| s.host) else {
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
            .map(|s| (s.host, s.command_queue.clone()))
        {
            command_queue.push(command);
            self.hosts.wake(host);
        }
    }

    fn listed(&self, number: usize, place: usize, zone: usize, state: AnnouncedState) -> Listed {
        let state = match state {
            // Start times are announced in Unix time; 0 means that the server was running long before the run.
            AnnouncedState::InService { boot } if boot > 0 => {
                AnnouncedState::InService { boot: EPOCH + boot }
            }
            other => other,
        };
        Listed {
            number,
            uid: format!("s-{number:04}"),
            endpoint: server_address(place),
            zone: site::ZONES[zone % 2].to_string(),
            kind: self.protocols.model(number, &self.scenario).to_string(),
            state,
        }
    }

    fn command_discovery(&mut self, command: discovery::ControlCommand) {
        if let discovery::ControlCommand::Change(listed) = &command {
            self.roster.change(listed);
            match &mut self.stale_changes {
                Some(changed) => changed.push((listed.number, listed.state)),
                None => self.record(Event::DiscoveryUpdated {
                    server: listed.number,
                    state: listed.state,
                }),
            }
        }
        if self.is_discovery_running {
            match &command {
                discovery::ControlCommand::Fail(fail) => {
                    self.record(Event::DiscoveryReachable { reachable: !fail });
                }
                discovery::ControlCommand::Stale(true) => {
                    self.stale_changes.get_or_insert_default();
                }
                discovery::ControlCommand::Stale(false) => self.end_stale_list(),
                _ => {}
            }
            self.discovery_commands.push(command);
            if let Some(host) = self.discovery_hosts.last().copied() {
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
        self.hosts.wake(self.clients_host);
    }

    fn set_misbehaving_client_rate(&mut self, rate: f64) {
        self.misbehaving_commands.push(rate);
        self.hosts.wake(self.misbehaving_host);
    }

    fn kill_node(&mut self, node: usize) {
        if self.hosts.has(self.nodes[node]) {
            self.last_rosters[node] = Some(self.roster.clone());
            self.record(Event::NodeEnded { node, killed: true });
            self.hosts.end(self.nodes[node]);
        }
    }

    fn stop_node(&mut self, node: usize) {
        self.last_rosters[node] = Some(self.roster.clone());
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
        let known = self.last_rosters[node]
            .take()
            .unwrap_or_else(|| self.roster.clone());
        let at = discovery_address(self.discovery_moves, node);
        let text = site::node_config(
            node,
            &self.scenario,
            node_address(node),
            at,
            rng.next_u64(),
            (known.rev, &known.list),
        );
        self.configured_discovery.borrow_mut()[node] = at;
        let (addresses, source_text) = (self.configured_discovery.clone(), text.clone());
        let source = Box::new(move || {
            config::parse(&source_text).map(|mut config| {
                config.discovery = addresses.borrow()[node];
                config
            })
        });
        self.record(Event::NodeStarted { node });
        self.report_known_servers(node, &known.list);
        let mut config = match config::parse(&text) {
            Ok(config) => config,
            Err(e) => return self.log(format!("node {node}: invalid configuration: {e}")),
        };
        if let Err(why) = self
            .protocols
            .configure(&mut config, memcached_address(node))
        {
            return self.log(format!("node {node}: memcached configuration: {why}"));
        }
        let wrap = self.wrap.clone();
        let created: Result<Box<dyn Actor>, _> = match wrap {
            Some(wrap) => Node::with_engine(config, self.hosts.net(host), source, |balancer| {
                BoxedEngine(wrap(node, balancer))
            })
            .map(|n| Box::new(n) as Box<dyn Actor>),
            None => Node::new(config, self.hosts.net(host), source)
                .map(|n| Box::new(n) as Box<dyn Actor>),
        };
        match created {
            Ok(actor) if self.node_starts[node] > 1 => {
                self.hosts
                    .place_delayed(host, actor, self.defect.starts_late);
            }
            Ok(actor) => self.hosts.place(host, actor),
            Err(e) => self.log(format!("node {node} does not start: {e}")),
        }
    }

    fn move_discovery(&mut self) {
        if !self.is_discovery_running {
            return;
        }
        self.discovery_commands
            .push(discovery::ControlCommand::Retire(1_500_000));
        if let Some(old) = self.discovery_hosts.last().copied() {
            self.hosts.wake(old);
        }
        self.discovery_moves += 1;
        self.run_discovery(self.roster.rev);
        for node in 0..self.scenario.nodes {
            self.configured_discovery.borrow_mut()[node] =
                discovery_address(self.discovery_moves, node);
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
        self.is_discovery_running = false;
        self.end_stale_list();
        self.record(Event::DiscoveryReachable { reachable: false });
        if let Some(host) = self.discovery_hosts.last().copied() {
            self.hosts.end(host);
        }
    }

    fn start_discovery(&mut self, list: Vec<Listed>, anew: bool) {
        if self.is_discovery_running {
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
        let Some(host) = self.servers.get(&number).map(|s| s.host) else {
            return;
        };
        self.hosts.isolate(host);
    }

    fn cut_link(&mut self, number: usize, from_server: bool, cut: bool) {
        let Some(host) = self.servers.get(&number).map(|s| s.host) else {
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
        let servers: Vec<HostId> = self.servers.values().map(|s| s.host).collect();
        self.hosts
            .world
            .borrow_mut()
            .reset_some(&self.nodes, &servers, fraction);
    }

    fn set_refuses_connections(&mut self, number: usize, refuses: bool) {
        if let Some(host) = self.servers.get(&number).map(|s| s.host) {
            self.hosts.world.borrow_mut().set_refuses(host, refuses);
        }
    }

    fn set_partial_writes(&mut self, fraction: f64) {
        let mut hosts: Vec<HostId> = self.servers.values().map(|s| s.host).collect();
        hosts.extend(&self.nodes);
        for host in hosts {
            self.hosts.world.borrow_mut().set_partial(host, fraction);
        }
    }

    fn set_idle_clients(&mut self, count: usize) {
        self.idle_commands.push(count);
        self.hosts.wake(self.idle_host);
    }

    fn skew_clock(&mut self, node: usize, by: Micros) {
        self.hosts.world.borrow_mut().set_skew(self.nodes[node], by);
    }
}

/// A run in progress.
pub struct Fleet {
    environment: VirtualEnvironment,
    scheduler: FaultScheduler,
    pub checker: Checker,
    pub report: Report,
    observations: Receiver<Observation>,
    names: RequestNames,
    observation_count: u64,
    digest: u64,
    observer: Option<LogObserver>,
    until: Micros,
    /// Nodes are shutting down: the fault scheduler does nothing any more.
    shutting_down: bool,
}

impl Fleet {
    /// Creates a fleet that plays this scenario; all random draws follow from the seed.
    pub fn new(scenario: &Scenario, seed: u64, options: Options) -> Fleet {
        let (send, observations) = channel();
        let recorder = Recorder::new(send, EPOCH);
        let until = (scenario.seconds * 1e6) as Micros;
        let mut environment = VirtualEnvironment::new(scenario, seed, &options, recorder);
        environment.start_origin();
        let mut scheduler = FaultScheduler::new(scenario, seed);
        scheduler.start_all(&mut environment);
        environment.start_clients(until);
        Fleet {
            environment,
            scheduler,
            checker: Checker::new(site::requirements(options.delay.max_one_way())),
            report: site::report(),
            observations,
            names: RequestNames::default(),
            observation_count: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            observer: options.observer,
            until,
            shutting_down: false,
        }
    }

    /// Advances the run to virtual time `end`.
    pub fn play_to(&mut self, end: Micros) {
        loop {
            self.process_observations();
            let mut next = self.environment.hosts.next_event_time();
            if !self.shutting_down {
                next = next
                    .min(self.scheduler.next().unwrap_or(Micros::MAX))
                    .max(self.environment.hosts.now());
            }
            if next > end {
                break;
            }
            if !self.shutting_down {
                self.environment.hosts.world.borrow_mut().advance(next);
                self.scheduler.run(next, &mut self.environment);
            }
            for host in self.environment.hosts.advance(next) {
                self.handle_process_end(host);
            }
        }
        self.environment.hosts.world.borrow_mut().advance(end);
        self.process_observations();
    }

    /// Records that a node's process has ended by itself. It is a violation unless the node was stopping.
    fn handle_process_end(&mut self, host: HostId) {
        if let Some(node) = self.environment.nodes.iter().position(|h| *h == host) {
            self.environment.record(Event::NodeEnded {
                node,
                killed: false,
            });
            if !self.environment.stopping[node] {
                self.add_violation(
                    Rule::NoRequestLost,
                    format!("node {node} ended without a stop signal"),
                );
            }
        }
    }

    fn add_violation(&mut self, rule: Rule, why: String) {
        let at = self.environment.hosts.world.borrow().now;
        self.checker.add(Violation {
            rule,
            at,
            id: None,
            why,
            around: Vec::new(),
        });
    }

    /// Passes the pending observations to the checker and the report, and observations and node logs to the watcher.
    fn process_observations(&mut self) {
        for host in self.environment.nodes.clone() {
            let lines = self.environment.hosts.world.borrow_mut().take_log(host);
            if let Some(observer) = &mut self.observer {
                for line in &lines {
                    observer(LogEntry::Logged(line));
                }
            }
        }
        while let Ok(observation) = self.observations.try_recv() {
            self.observation_count += 1;
            let observation = self.names.resolve(observation);
            self.checker.observe(&observation);
            self.report.observe(&observation);
            let text = observation.to_string();
            for byte in text.bytes() {
                self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
            }
            if let Some(observer) = &mut self.observer {
                observer(LogEntry::Observation(&observation));
            }
        }
    }

    /// Plays the whole scenario and then the graceful shutdown of all nodes.
    pub fn run(mut self) -> Outcome {
        self.play_to(self.until + DRAIN_TIME);
        self.shutting_down = true;
        let now = self.environment.hosts.world.borrow().now;
        for node in 0..self.environment.nodes.len() {
            if self.checker.is_paused(node) {
                self.environment.resume_node(node);
            }
            if self.environment.hosts.has(self.environment.nodes[node]) {
                self.environment.stop_node(node);
            }
        }
        self.play_to(now + SHUTDOWN_TIME);
        let now = self.environment.hosts.world.borrow().now;
        self.checker.finish(now);
        let mut descriptors = 0;
        for node in 0..self.environment.nodes.len() {
            let host = self.environment.nodes[node];
            let (open, peak, most) = self.environment.hosts.world.borrow().descriptors(host);
            descriptors = descriptors.max(peak);
            if self.environment.hosts.has(host) {
                self.add_violation(
                    Rule::ProtocolAndLifecycle,
                    format!("node {node} has not ended after its stop signal"),
                );
            } else if open > 0 {
                self.add_violation(
                    Rule::ProtocolAndLifecycle,
                    format!("node {node} left {open} descriptors open"),
                );
            }
            if peak > most {
                self.add_violation(
                    Rule::ProtocolAndLifecycle,
                    format!("node {node} held {peak} of {most} descriptors"),
                );
            }
        }
        let wire = self.environment.hosts.world.borrow().digest();
        Outcome {
            violations: std::mem::take(&mut self.checker.violations),
            report: self.report,
            digest: self.digest ^ wire.rotate_left(17),
            observations: self.observation_count,
            simulated_time: now,
            max_descriptors: descriptors,
            disconnects: self.checker.statistics().disconnects,
            max_cold_load: self.checker.statistics().max_cold_load,
        }
    }
}

/// Plays a scenario from a seed.
pub fn play(scenario: &Scenario, seed: u64, options: Options) -> Outcome {
    Fleet::new(scenario, seed, options).run()
}

/// Reduces a scenario that violates a rule: removes faults one by one, then shortens the run, as long as the same rule
/// is still violated with the same seed. Returns the shortest schedule found.
pub fn shrink(
    scenario: &Scenario,
    seed: u64,
    rule: Rule,
    wrap: Option<&Wrap>,
    protocols: ProtocolOptions,
) -> Scenario {
    let first_violation = |s: &Scenario| {
        let options = Options {
            wrap: wrap.cloned(),
            protocols,
            ..Options::default()
        };
        let outcome = play(s, seed, options);
        outcome
            .violations
            .iter()
            .find(|v| v.rule == rule)
            .map(|v| v.at)
    };
    let mut best = scenario.clone();
    let mut i = 0;
    while i < best.faults.len() {
        let mut candidate = best.clone();
        candidate.faults.remove(i);
        if first_violation(&candidate).is_some() {
            best = candidate;
        } else {
            i += 1;
        }
    }
    if let Some(at) = first_violation(&best) {
        let mut candidate = best.clone();
        candidate.seconds = (at as f64 / 1e6).ceil().clamp(1.0, best.seconds);
        candidate.faults.retain(|f| f.at < candidate.seconds);
        if first_violation(&candidate).is_some() {
            best = candidate;
        }
    }
    best
}
