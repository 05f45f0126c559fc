//! A fleet on real sockets, on loopback: each emulator runs on a thread of its own, each node on a thread or as a
//! process of its own.
//!
//! Dropping the fleet ends all of it: threads are stopped and joined, processes that still run are killed.

mod addresses;
mod serving;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use sloewick_decision::api::Micros;
use sloewick_node::config;
use sloewick_node::mio_transport::{MioTransport, SignalFlags};
use sloewick_node::transport::PendingSignals as Signals;
use sloewick_node::Node;

use crate::checker::observations::{AnnouncedState, Event, Recorder};
use crate::commands::CommandQueue;
use crate::emulators::cache_server::{self, CacheServer};
use crate::emulators::clients::{self, ClientPool};
use crate::emulators::discovery::{self, Discovery, Listed, Roster};
use crate::emulators::idle_clients::IdleClients;
use crate::emulators::misbehaving_clients::MisbehavingClients;
use crate::emulators::origin::{self, Origin};
use crate::emulators::persistent_clients::{self, PersistentClients};
use crate::faults::environment::FaultEnvironment;
use crate::faults::scenario::Scenario;
use crate::port::Cut;
use crate::process_fleet::{Process, ProcessSettings};
use crate::rng::Rng;
use crate::site::{self, Clients, ProtocolOptions};
use addresses::{own_address, FreeAddresses};
pub(crate) use serving::RunningNode;
use serving::ServingThread;

/// How much thread scheduling on a busy machine may delay any message; the checker allows for it.
pub(crate) const MAX_THREAD_DELAY: Micros = 150_000;

/// How nodes run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Nodes {
    /// Threads of this process.
    #[default]
    Threads,
    /// Processes of this program, started as `PROGRAM run`; the faults of nodes are signals to the processes.
    Processes(PathBuf),
}

/// A node's addresses and its running instance.
pub(crate) struct NodeSlot {
    pub(crate) address: SocketAddr,
    pub(crate) memcached: SocketAddr,
    /// Number of starts of this node.
    starts: usize,
    /// A graceful shutdown was requested.
    pub(crate) stopping: bool,
    /// The running instance; None if the node does not run.
    pub(crate) served: Option<RunningNode>,
}

/// A cache server of the fleet.
struct ServerSlot {
    command_queue: CommandQueue<cache_server::ControlCommand>,
    cut: Cut,
    /// Its machine has vanished for good: the end of a cut does not restore its links.
    vanished: bool,
    thread: Option<ServingThread>,
}

/// The fleet, its emulators and addresses.
pub(crate) struct RealFleet {
    scenario: Scenario,
    free_addresses: FreeAddresses,
    node_mode: Nodes,
    protocols: ProtocolOptions,
    seed: u64,
    pub(crate) recorder: Recorder,
    /// Unix time at which the run began.
    epoch: Micros,
    pub(crate) nodes: Vec<NodeSlot>,
    servers: Vec<ServerSlot>,
    /// The address of each place for a server; servers that follow one another at a place share it.
    server_addresses: Vec<SocketAddr>,
    origin: SocketAddr,
    origin_commands: CommandQueue<origin::ControlCommand>,
    clients_commands: CommandQueue<clients::ControlCommand>,
    misbehaving_commands: CommandQueue<f64>,
    idle_commands: CommandQueue<usize>,
    /// How the nodes' settings differ from those of the site.
    pub(crate) settings_edit: SettingsEdit,
    /// The address of discovery for each node.
    discovery_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    discovery: Option<ServingThread>,
    /// Earlier instances of discovery, each replaced by one at other addresses.
    retired_discoveries: Vec<ServingThread>,
    discovery_commands: CommandQueue<discovery::ControlCommand>,
    roster: Roster,
    /// The list that each node had when it last ended, with which it starts again.
    last_rosters: Vec<Option<Roster>>,
    /// What the run did, and what failed, since the last call of `take_announcements`.
    pub(crate) announcements: Vec<String>,
    emulator_threads: Vec<ServingThread>,
}

/// Unix time in microseconds.
pub(crate) fn unix() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as Micros)
}

impl RealFleet {
    pub(crate) fn record(&self, event: Event) {
        self.recorder.record(unix(), event);
    }

    /// Returns the address of a place for a server, allocating it if necessary.
    fn server_address(&mut self, place: usize) -> Option<SocketAddr> {
        while self.server_addresses.len() <= place {
            self.server_addresses
                .push(self.free_addresses.allocate().ok()?);
        }
        Some(self.server_addresses[place])
    }

    /// Starts discovery with the current list, at this revision.
    fn run_discovery(&mut self, rev: i64) {
        let addresses = self
            .discovery_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        self.discovery_commands = CommandQueue::default();
        let (list, command_queue, recorder) = (
            self.roster.list.clone(),
            self.discovery_commands.clone(),
            self.recorder.clone(),
        );
        let started = ServingThread::start("discovery", move || {
            Ok(Box::new(Discovery::new(
                MioTransport::without_signals()?,
                &addresses,
                rev,
                &list,
                command_queue,
                recorder,
            )?))
        });
        match started {
            Ok(thread) => self.discovery = Some(thread),
            Err(e) => self
                .announcements
                .push(format!("discovery failed to start: {e}")),
        }
    }

    /// Creates the fleet of a run, in which nothing runs yet.
    pub(crate) fn new(
        scenario: &Scenario,
        seed: u64,
        protocols: ProtocolOptions,
        node_mode: Nodes,
        recorder: Recorder,
        epoch: Micros,
    ) -> io::Result<RealFleet> {
        let ip = if node_mode == Nodes::Threads {
            Ipv4Addr::LOCALHOST
        } else {
            own_address()
        };
        let mut free_addresses = FreeAddresses {
            ip,
            allocated: std::collections::BTreeSet::new(),
        };
        let origin = free_addresses.allocate()?;
        let addresses = free_addresses.allocate_many(scenario.nodes)?;
        let memcached = free_addresses.allocate_many(scenario.nodes)?;
        let discovery_addresses = free_addresses.allocate_many(scenario.nodes)?;
        let nodes = addresses
            .iter()
            .zip(&memcached)
            .map(|(address, memcached)| NodeSlot {
                address: *address,
                memcached: *memcached,
                starts: 0,
                stopping: false,
                served: None,
            })
            .collect();
        Ok(RealFleet {
            scenario: scenario.clone(),
            free_addresses,
            node_mode,
            protocols,
            seed,
            recorder,
            epoch,
            nodes,
            servers: Vec::new(),
            server_addresses: Vec::new(),
            origin,
            origin_commands: CommandQueue::default(),
            clients_commands: CommandQueue::default(),
            misbehaving_commands: CommandQueue::default(),
            idle_commands: CommandQueue::default(),
            settings_edit: SettingsEdit::default(),
            discovery_addresses: Arc::new(Mutex::new(discovery_addresses)),
            discovery: None,
            retired_discoveries: Vec::new(),
            discovery_commands: CommandQueue::default(),
            roster: Roster {
                rev: 40,
                list: Vec::new(),
            },
            last_rosters: vec![None; scenario.nodes],
            announcements: Vec::new(),
            emulator_threads: Vec::new(),
        })
    }

    /// Whether nodes listen for the memcached binary protocol.
    pub(crate) fn serves_memcached(&self) -> bool {
        matches!(self.protocols.clients, Clients::Memcached | Clients::Both)
    }

    /// Starts the origin.
    pub(crate) fn start_origin(&mut self) -> io::Result<()> {
        let settings = site::origin(self.origin, self.seed, &self.scenario);
        let (commands, recorder) = (self.origin_commands.clone(), self.recorder.clone());
        let thread = ServingThread::start("origin", move || {
            Ok(Box::new(Origin::new(
                MioTransport::without_signals()?,
                settings,
                commands,
                recorder,
            )?))
        })?;
        self.emulator_threads.push(thread);
        Ok(())
    }

    /// Returns the RESP2 listener of each node.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.address).collect()
    }

    /// Returns the memcached listener of each node; empty if the nodes have none.
    fn memcached_addresses(&self) -> Vec<SocketAddr> {
        if !self.serves_memcached() {
            return Vec::new();
        }
        self.nodes.iter().map(|node| node.memcached).collect()
    }

    /// Starts well-behaved clients.
    pub(crate) fn start_clients(&mut self) -> io::Result<()> {
        let until = (self.scenario.seconds * 1e6) as Micros;
        let settings = site::clients(
            self.addresses(),
            self.memcached_addresses(),
            self.protocols,
            self.seed,
            &self.scenario,
            until,
        );
        let (commands, recorder) = (self.clients_commands.clone(), self.recorder.clone());
        let thread = ServingThread::start("clients", move || {
            let net = MioTransport::without_signals()?;
            Ok(Box::new(ClientPool::new(net, settings, commands, recorder)))
        })?;
        self.emulator_threads.push(thread);
        Ok(())
    }

    /// Starts clients that use each connection until the node closes it.
    pub(crate) fn start_persistent_clients(
        &mut self,
        settings: persistent_clients::Settings,
    ) -> io::Result<()> {
        let (commands, recorder) = (self.clients_commands.clone(), self.recorder.clone());
        let thread = ServingThread::start("clients", move || {
            let net = MioTransport::without_signals()?;
            let clients = PersistentClients::new(net, settings, commands, recorder);
            Ok(Box::new(clients))
        })?;
        self.emulator_threads.push(thread);
        Ok(())
    }

    /// Starts misbehaving clients, which connect once `set_misbehaving_client_rate` is called.
    pub(crate) fn start_misbehaving_clients(&mut self) -> io::Result<()> {
        let (addresses, memcached) = (self.addresses(), self.memcached_addresses());
        let (commands, recorder) = (self.misbehaving_commands.clone(), self.recorder.clone());
        let seed = self.seed;
        let thread = ServingThread::start("misbehaving", move || {
            let net = MioTransport::without_signals()?;
            let clients =
                MisbehavingClients::new(net, addresses, memcached, seed, commands, recorder);
            Ok(Box::new(clients))
        })?;
        self.emulator_threads.push(thread);
        Ok(())
    }

    /// Starts idle clients, which connect once `set_idle_clients` is called.
    pub(crate) fn start_idle_clients(&mut self) -> io::Result<()> {
        let (addresses, commands) = (self.addresses(), self.idle_commands.clone());
        let thread = ServingThread::start("idle", move || {
            Ok(Box::new(IdleClients::new(
                MioTransport::without_signals()?,
                addresses,
                commands,
            )))
        })?;
        self.emulator_threads.push(thread);
        Ok(())
    }

    /// Returns what the run did, and what failed, since the last call.
    pub(crate) fn take_announcements(&mut self) -> Vec<String> {
        std::mem::take(&mut self.announcements)
    }

    /// Returns the process of a node; None if the node does not run as one.
    pub(crate) fn process(&mut self, node: usize) -> Option<&mut Process> {
        match &mut self.nodes[node].served {
            Some(RunningNode::Process(process)) => Some(process),
            _ => None,
        }
    }

    /// Removes the process of a node from the fleet and returns it.
    pub(crate) fn take_process(&mut self, node: usize) -> Option<Process> {
        match self.nodes[node].served.take() {
            Some(RunningNode::Process(process)) => Some(process),
            other => {
                self.nodes[node].served = other;
                None
            }
        }
    }

    /// Ends a node's instance and returns the configuration of the next one.
    fn next_configuration(&mut self, node: usize) -> String {
        self.nodes[node].served = None;
        self.nodes[node].starts += 1;
        self.nodes[node].stopping = false;
        let mut rng = Rng::stream(self.seed, "node", node * 1000 + self.nodes[node].starts);
        let known = self.last_rosters[node]
            .take()
            .unwrap_or_else(|| self.roster.clone());
        let known = (known.rev, &known.list[..]);
        let (address, discovery) = (self.nodes[node].address, self.discovery_of(node));
        let text = site::node_config(
            node,
            &self.scenario,
            address,
            discovery,
            rng.next_u64(),
            known,
        );
        self.settings_edit.apply(text)
    }

    /// Returns the address of discovery for a node.
    fn discovery_of(&self, node: usize) -> SocketAddr {
        let addresses = self.discovery_addresses.lock();
        addresses.unwrap_or_else(PoisonError::into_inner)[node]
    }

    /// Starts a node as a process without waiting until it listens.
    pub(crate) fn spawn_node(&mut self, node: usize) {
        let text = self.next_configuration(node);
        self.record(Event::NodeStarted { node });
        self.spawn_process(node, &text);
    }

    fn spawn_process(&mut self, node: usize, configuration: &str) {
        let Nodes::Processes(program) = &self.node_mode else {
            return;
        };
        let memcached = self.protocols.file(self.nodes[node].memcached);
        let settings = ProcessSettings {
            program,
            name: format!("node-{node}"),
            configuration,
            memcached: memcached.as_deref(),
            traces: self.settings_edit.traces,
        };
        match Process::spawn(&settings) {
            Ok(process) => self.nodes[node].served = Some(RunningNode::Process(process)),
            Err(e) => self
                .announcements
                .push(format!("node {node} failed to start: {e}")),
        }
    }

    /// Waits until a node's process listens, and ends it if it fails to.
    fn wait_until_listening(&mut self, node: usize) {
        let address = self.nodes[node].address;
        let Some(process) = self.process(node) else {
            return;
        };
        if let Err(e) = process.wait_until_listening(address) {
            self.nodes[node].served = None;
            self.announcements
                .push(format!("node {node} failed to start: {e}"));
        }
    }
}

/// How the nodes' settings differ from those of the site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SettingsEdit {
    /// Factor of the deadlines and latency objectives of all classes.
    pub(crate) deadline_factor: f64,
    /// Limit of open descriptors of a node.
    pub(crate) descriptors: usize,
    /// Nodes write the event trace to their logs.
    pub(crate) traces: bool,
}

impl Default for SettingsEdit {
    fn default() -> SettingsEdit {
        SettingsEdit {
            deadline_factor: 1.0,
            descriptors: site::SOCKETS,
            traces: false,
        }
    }
}

impl SettingsEdit {
    /// Returns a configuration with these settings.
    fn apply(self, text: String) -> String {
        let Ok(mut config) = serde_json::from_str::<serde_json::Value>(&text) else {
            return text;
        };
        config["limits"]["sockets"] = self.descriptors.into();
        let classes = config["settings"]["classes"].as_array_mut();
        for class in classes.into_iter().flatten() {
            for time in ["deadline", "aim"] {
                let site_value = class[time].as_f64().unwrap_or_default();
                class[time] = (site_value * self.deadline_factor).into();
            }
        }
        config.to_string()
    }
}

impl FaultEnvironment for RealFleet {
    fn start_server(&mut self, number: usize, place: usize, _zone: usize, cold: bool) {
        let command_queue = CommandQueue::default();
        let Some(address) = self.server_address(place) else {
            return;
        };
        let memcached = self.protocols.server_uses_memcached(number, &self.scenario);
        let settings =
            site::cache_server_settings(number, address, self.origin, cold, memcached, self.seed);
        let (commands, recorder) = (command_queue.clone(), self.recorder.clone());
        let started = ServingThread::start(&format!("box-{number}"), move || {
            Ok(Box::new(CacheServer::new(
                MioTransport::without_signals()?,
                settings,
                commands,
                recorder,
            )?))
        });
        let thread = started
            .map_err(|e| {
                self.announcements
                    .push(format!("cache server {number} failed to start: {e}"));
            })
            .ok();
        self.servers.push(ServerSlot {
            command_queue,
            cut: Cut::default(),
            vanished: false,
            thread,
        });
    }

    fn kill_server(&mut self, number: usize) {
        self.record(Event::ServerEnded { server: number });
        if let Some(server) = self.servers.get_mut(number) {
            server.thread = None;
        }
    }

    fn command_server(&mut self, number: usize, command: cache_server::ControlCommand) {
        if let Some(server) = self.servers.get(number) {
            server.command_queue.push(command);
        }
    }

    fn listed(&self, number: usize, place: usize, zone: usize, state: AnnouncedState) -> Listed {
        let state = match state {
            AnnouncedState::InService { boot } if boot > 0 => AnnouncedState::InService {
                boot: self.epoch + boot,
            },
            other => other,
        };
        Listed {
            number,
            uid: format!("s-{number:04}"),
            endpoint: self
                .server_addresses
                .get(place)
                .copied()
                .unwrap_or(self.origin),
            zone: site::ZONES[zone % 2].to_string(),
            kind: self.protocols.model(number, &self.scenario).to_string(),
            state,
        }
    }

    fn command_discovery(&mut self, command: discovery::ControlCommand) {
        if let discovery::ControlCommand::Change(listed) = &command {
            self.roster.change(listed);
        }
        self.discovery_commands.push(command);
    }

    fn command_origin(&mut self, command: origin::ControlCommand) {
        self.origin_commands.push(command);
    }

    fn command_clients(&mut self, command: clients::ControlCommand) {
        self.clients_commands.push(command);
    }

    fn set_misbehaving_client_rate(&mut self, rate: f64) {
        self.misbehaving_commands.push(rate);
    }

    fn set_idle_clients(&mut self, count: usize) {
        self.idle_commands.push(count);
    }

    fn kill_node(&mut self, node: usize) {
        self.last_rosters[node] = Some(self.roster.clone());
        self.record(Event::NodeEnded { node, killed: true });
        self.nodes[node].served = None;
    }

    fn stop_node(&mut self, node: usize) {
        self.last_rosters[node] = Some(self.roster.clone());
        self.record(Event::NodeStopping { node });
        self.nodes[node].stopping = true;
        if let Some(running) = &mut self.nodes[node].served {
            running.send_signals(Signals {
                reload: false,
                stop: true,
            });
        }
    }

    fn pause_node(&mut self, node: usize) {
        self.record(Event::NodePaused { node });
        self.nodes[node]
            .served
            .iter()
            .for_each(|running| running.pause(true));
    }

    fn resume_node(&mut self, node: usize) {
        self.nodes[node]
            .served
            .iter()
            .for_each(|running| running.pause(false));
        self.record(Event::NodeResumed { node });
    }

    fn isolate_server(&mut self, number: usize) {
        self.command_server(number, cache_server::ControlCommand::Stall(Micros::MAX / 2));
        self.command_server(
            number,
            cache_server::ControlCommand::Cut(Cut {
                inwards: true,
                outwards: true,
            }),
        );
        self.servers
            .iter_mut()
            .skip(number)
            .take(1)
            .for_each(|server| server.vanished = true);
    }

    fn cut_link(&mut self, number: usize, from_server: bool, cut: bool) {
        let Some(server) = self
            .servers
            .get_mut(number)
            .filter(|server| !server.vanished)
        else {
            return;
        };
        *(if from_server {
            &mut server.cut.outwards
        } else {
            &mut server.cut.inwards
        }) = cut;
        server
            .command_queue
            .push(cache_server::ControlCommand::Cut(server.cut));
    }

    fn set_refuses_connections(&mut self, number: usize, refuses: bool) {
        self.command_server(number, cache_server::ControlCommand::Refuse(refuses));
    }

    fn start_node(&mut self, node: usize) {
        let text = self.next_configuration(node);
        self.record(Event::NodeStarted { node });
        if self.node_mode != Nodes::Threads {
            self.spawn_process(node, &text);
            return self.wait_until_listening(node);
        }
        let addresses = self.discovery_addresses.clone();
        let discovery_address =
            move || addresses.lock().unwrap_or_else(PoisonError::into_inner)[node];
        let (protocols, memcached) = (self.protocols, self.nodes[node].memcached);
        let signals = Arc::new(SignalFlags::default());
        let node_signals = signals.clone();
        let started = ServingThread::start(&format!("node-{node}"), move || {
            let mut config = config::parse(&text).map_err(|e| io::Error::other(e.to_string()))?;
            protocols
                .configure(&mut config, memcached)
                .map_err(io::Error::other)?;
            let source = Box::new(move || {
                config::parse(&text).map(|mut config| {
                    config.discovery = discovery_address();
                    config
                })
            });
            Ok(Box::new(Node::new(
                config,
                MioTransport::with_external_signals(node_signals)?,
                source,
            )?))
        });
        match started {
            Ok(thread) => self.nodes[node].served = Some(RunningNode::Thread(thread, signals)),
            Err(e) => self
                .announcements
                .push(format!("node {node} failed to start: {e}")),
        }
    }

    fn move_discovery(&mut self) {
        self.discovery_commands
            .push(discovery::ControlCommand::Retire(1_500_000));
        self.retired_discoveries.extend(self.discovery.take());
        let new_addresses = self.free_addresses.allocate_many(self.nodes.len());
        match new_addresses {
            Ok(new_addresses) => {
                *self
                    .discovery_addresses
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = new_addresses;
            }
            Err(e) => {
                return self.announcements.push(format!(
                    "no addresses for the next instance of discovery: {e}"
                ))
            }
        }
        self.run_discovery(self.roster.rev);
        let addresses = self
            .discovery_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for (node, running) in self
            .nodes
            .iter_mut()
            .enumerate()
            .filter_map(|(i, n)| Some((i, n.served.as_mut()?)))
        {
            if let RunningNode::Process(process) = running {
                if let Err(e) = process.moves(addresses[node]) {
                    self.announcements.push(format!(
                        "cannot write the address of discovery for node {node}: {e}"
                    ));
                }
            }
            running.send_signals(Signals {
                reload: true,
                stop: false,
            });
        }
    }

    fn kill_discovery(&mut self) {
        self.discovery = None;
    }

    fn start_discovery(&mut self, list: Vec<Listed>, anew: bool) {
        self.roster.restart(list, anew);
        self.run_discovery(self.roster.rev);
    }

    fn log(&mut self, text: String) {
        self.announcements.push(text.clone());
        self.record(Event::Fault(text));
    }
}
