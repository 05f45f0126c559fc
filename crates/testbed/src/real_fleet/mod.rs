//! A fleet on real sockets: every emulator on a thread of its own, every node on a thread or as a process of its own, on
//! loopback, for as long as the value lives.
//!
//! Ends with nothing left behind: threads are stopped and waited for, processes are killed where they do not end.

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
use crate::emulators::idle_clients::Idle;
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

/// What threads on a busy machine may add to the way of anything; the judge allows for it.
pub(crate) const MAX_THREAD_DELAY: Micros = 150_000;

/// What nodes run as.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Nodes {
    /// Threads of this process.
    #[default]
    Threads,
    /// Processes of this program, started as `PROGRAM run`: faults are signals to them.
    Processes(PathBuf),
}

/// A node's addresses and what runs there.
pub(crate) struct NodeSlot {
    pub(crate) address: SocketAddr,
    pub(crate) memcached: SocketAddr,
    starts: usize,
    /// It was told to end.
    pub(crate) stopping: bool,
    pub(crate) served: Option<RunningNode>,
}

struct ServerSlot {
    command_queue: CommandQueue<cache_server::ControlCommand>,
    cut: Cut,
    /// Its machine is silent for good: no cut that ends gives it its ways back.
    vanished: bool,
    served: Option<ServingThread>,
}

/// The fleet, its emulators and addresses.
pub(crate) struct RealFleet {
    scenario: Scenario,
    free: FreeAddresses,
    nodes_as: Nodes,
    protocols: ProtocolOptions,
    seed: u64,
    pub(crate) recorder: Recorder,
    epoch: Micros,
    pub(crate) nodes: Vec<NodeSlot>,
    servers: Vec<ServerSlot>,
    server_addresses: Vec<SocketAddr>,
    origin: SocketAddr,
    origin_commands: CommandQueue<origin::ControlCommand>,
    clients_commands: CommandQueue<clients::ControlCommand>,
    misbehaving_commands: CommandQueue<f64>,
    idle_commands: CommandQueue<usize>,
    /// How the nodes' settings differ from those of the site.
    pub(crate) settings_edit: SettingsEdit,
    discovery_at: Arc<Mutex<Vec<SocketAddr>>>,
    discovery: Option<ServingThread>,
    retired: Vec<ServingThread>,
    discovery_commands: CommandQueue<discovery::ControlCommand>,
    roster: Roster,
    /// What each node held when it last ended: it starts with that.
    last_rosters: Vec<Option<Roster>>,
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

    fn place(&mut self, place: usize) -> Option<SocketAddr> {
        while self.server_addresses.len() <= place {
            self.server_addresses.push(self.free.one().ok()?);
        }
        Some(self.server_addresses[place])
    }

    fn run_discovery(&mut self, rev: i64) {
        let at = self
            .discovery_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        self.discovery_commands = CommandQueue::default();
        let (list, command_queue, recorder) = (
            self.roster.list.clone(),
            self.discovery_commands.clone(),
            self.recorder.clone(),
        );
        let made = ServingThread::start("discovery", move || {
            Ok(Box::new(Discovery::new(
                MioTransport::new()?,
                &at,
                rev,
                &list,
                command_queue,
                recorder,
            )?))
        });
        match made {
            Ok(served) => self.discovery = Some(served),
            Err(e) => self
                .announcements
                .push(format!("discovery does not start: {e}")),
        }
    }

    /// The threads and addresses of a run, with nothing running yet.
    pub(crate) fn new(
        scenario: &Scenario,
        seed: u64,
        protocols: ProtocolOptions,
        nodes_as: Nodes,
        recorder: Recorder,
        epoch: Micros,
    ) -> io::Result<RealFleet> {
        let on = if nodes_as == Nodes::Threads {
            Ipv4Addr::LOCALHOST
        } else {
            own_address()
        };
        let mut free = FreeAddresses {
            on,
            given: std::collections::BTreeSet::new(),
        };
        let origin = free.one()?;
        let addresses = free.some(scenario.nodes)?;
        let memcached = free.some(scenario.nodes)?;
        let discovery_at = free.some(scenario.nodes)?;
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
            free,
            nodes_as,
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
            discovery_at: Arc::new(Mutex::new(discovery_at)),
            discovery: None,
            retired: Vec::new(),
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

    pub(crate) fn start_origin(&mut self) -> io::Result<()> {
        let set = site::origin(self.origin, self.seed, &self.scenario);
        let (commands, recorder) = (self.origin_commands.clone(), self.recorder.clone());
        let served = ServingThread::start("origin", move || {
            Ok(Box::new(Origin::new(
                MioTransport::new()?,
                set,
                commands,
                recorder,
            )?))
        })?;
        self.emulator_threads.push(served);
        Ok(())
    }

    /// Where each node listens for RESP2.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.address).collect()
    }

    /// Where each node listens for the binary protocol; none if they don't.
    fn memcached_addresses(&self) -> Vec<SocketAddr> {
        if !self.serves_memcached() {
            return Vec::new();
        }
        self.nodes.iter().map(|node| node.memcached).collect()
    }

    /// Starts well-behaved clients.
    pub(crate) fn start_clients(&mut self) -> io::Result<()> {
        let until = (self.scenario.seconds * 1e6) as Micros;
        let set = site::clients(
            self.addresses(),
            self.memcached_addresses(),
            self.protocols,
            self.seed,
            &self.scenario,
            until,
        );
        let (commands, recorder) = (self.clients_commands.clone(), self.recorder.clone());
        let served = ServingThread::start("clients", move || {
            let net = MioTransport::new()?;
            Ok(Box::new(ClientPool::new(net, set, commands, recorder)))
        })?;
        self.emulator_threads.push(served);
        Ok(())
    }

    /// Starts clients that go on using each open connection.
    pub(crate) fn start_persistent_clients(
        &mut self,
        settings: persistent_clients::Settings,
    ) -> io::Result<()> {
        let (commands, recorder) = (self.clients_commands.clone(), self.recorder.clone());
        let served = ServingThread::start("clients", move || {
            let net = MioTransport::new()?;
            let clients = PersistentClients::new(net, settings, commands, recorder);
            Ok(Box::new(clients))
        })?;
        self.emulator_threads.push(served);
        Ok(())
    }

    /// Starts misbehaving clients, which come once they are told to.
    pub(crate) fn start_misbehaving_clients(&mut self) -> io::Result<()> {
        let (addresses, memcached) = (self.addresses(), self.memcached_addresses());
        let (commands, recorder) = (self.misbehaving_commands.clone(), self.recorder.clone());
        let seed = self.seed;
        let served = ServingThread::start("misbehaving", move || {
            let net = MioTransport::new()?;
            let clients =
                MisbehavingClients::new(net, addresses, memcached, seed, commands, recorder);
            Ok(Box::new(clients))
        })?;
        self.emulator_threads.push(served);
        Ok(())
    }

    /// Starts idle clients, which come once they are told to.
    pub(crate) fn start_idle_clients(&mut self) -> io::Result<()> {
        let (addresses, commands) = (self.addresses(), self.idle_commands.clone());
        let served = ServingThread::start("idle", move || {
            Ok(Box::new(Idle::new(
                MioTransport::new()?,
                addresses,
                commands,
            )))
        })?;
        self.emulator_threads.push(served);
        Ok(())
    }

    /// What the run did, and what did not work, since the last call.
    pub(crate) fn take_announcements(&mut self) -> Vec<String> {
        std::mem::take(&mut self.announcements)
    }

    /// The process of a node that runs as one.
    pub(crate) fn process(&mut self, node: usize) -> Option<&mut Process> {
        match &mut self.nodes[node].served {
            Some(RunningNode::Process(process)) => Some(process),
            _ => None,
        }
    }

    /// Takes a process that has ended out of the fleet.
    pub(crate) fn take_process(&mut self, node: usize) -> Option<Process> {
        match self.nodes[node].served.take() {
            Some(RunningNode::Process(process)) => Some(process),
            other => {
                self.nodes[node].served = other;
                None
            }
        }
    }

    /// The configuration of a node's next process.
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

    /// Where a node finds discovery.
    fn discovery_of(&self, node: usize) -> SocketAddr {
        let addresses = self.discovery_at.lock();
        addresses.unwrap_or_else(PoisonError::into_inner)[node]
    }

    /// Starts a node as a process, and does not wait until it listens.
    pub(crate) fn spawn_node(&mut self, node: usize) {
        let text = self.next_configuration(node);
        self.record(Event::NodeStarted { node });
        self.spawn_process(node, &text);
    }

    fn spawn_process(&mut self, node: usize, configuration: &str) {
        let Nodes::Processes(program) = &self.nodes_as else {
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
                .push(format!("node {node} does not start: {e}")),
        }
    }

    /// Waits until a node's process listens.
    fn wait_until_listening(&mut self, node: usize) {
        let address = self.nodes[node].address;
        let Some(process) = self.process(node) else {
            return;
        };
        if let Err(e) = process.wait_until_listening(address) {
            self.nodes[node].served = None;
            self.announcements
                .push(format!("node {node} does not start: {e}"));
        }
    }
}

/// How the nodes' settings differ from those of the site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SettingsEdit {
    /// Times the deadlines and latency objectives of all classes.
    pub(crate) deadline_factor: f64,
    /// Limit of descriptors.
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
    /// A configuration with these settings.
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
        let Some(at) = self.place(place) else { return };
        let memcached = self.protocols.server_uses_memcached(number, &self.scenario);
        let set = site::cache_server_settings(number, at, self.origin, cold, memcached, self.seed);
        let (its_orders, recorder) = (command_queue.clone(), self.recorder.clone());
        let served = ServingThread::start(&format!("box-{number}"), move || {
            Ok(Box::new(CacheServer::new(
                MioTransport::new()?,
                set,
                its_orders,
                recorder,
            )?))
        });
        let served = served
            .map_err(|e| {
                self.announcements
                    .push(format!("box {number} does not start: {e}"));
            })
            .ok();
        self.servers.push(ServerSlot {
            command_queue,
            cut: Cut::default(),
            vanished: false,
            served,
        });
    }

    fn kill_server(&mut self, number: usize) {
        self.record(Event::ServerEnded { server: number });
        if let Some(b) = self.servers.get_mut(number) {
            b.served = None;
        }
    }

    fn command_server(&mut self, number: usize, command: cache_server::ControlCommand) {
        if let Some(b) = self.servers.get(number) {
            b.command_queue.push(command);
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
            .for_each(|b| b.vanished = true);
    }

    fn cut_link(&mut self, number: usize, from_server: bool, cut: bool) {
        let Some(b) = self.servers.get_mut(number).filter(|b| !b.vanished) else {
            return;
        };
        *(if from_server {
            &mut b.cut.outwards
        } else {
            &mut b.cut.inwards
        }) = cut;
        b.command_queue
            .push(cache_server::ControlCommand::Cut(b.cut));
    }

    fn set_refuses_connections(&mut self, number: usize, refuses: bool) {
        self.command_server(number, cache_server::ControlCommand::Refuse(refuses));
    }

    fn start_node(&mut self, node: usize) {
        let text = self.next_configuration(node);
        self.record(Event::NodeStarted { node });
        if self.nodes_as != Nodes::Threads {
            self.spawn_process(node, &text);
            return self.wait_until_listening(node);
        }
        let discovery = self.discovery_at.clone();
        let mine = move || discovery.lock().unwrap_or_else(PoisonError::into_inner)[node];
        let (protocols, memcached) = (self.protocols, self.nodes[node].memcached);
        let remote = Arc::new(SignalFlags::default());
        let its = remote.clone();
        let served = ServingThread::start(&format!("node-{node}"), move || {
            let mut config = config::parse(&text).map_err(|e| io::Error::other(e.to_string()))?;
            protocols
                .configure(&mut config, memcached)
                .map_err(io::Error::other)?;
            let source = Box::new(move || {
                config::parse(&text).map(|mut config| {
                    config.discovery = mine();
                    config
                })
            });
            Ok(Box::new(Node::new(
                config,
                MioTransport::remote(its)?,
                source,
            )?))
        });
        match served {
            Ok(served) => self.nodes[node].served = Some(RunningNode::Thread(served, remote)),
            Err(e) => self
                .announcements
                .push(format!("node {node} does not start: {e}")),
        }
    }

    fn move_discovery(&mut self) {
        self.discovery_commands
            .push(discovery::ControlCommand::Retire(1_500_000));
        self.retired.extend(self.discovery.take());
        let fresh = self.free.some(self.nodes.len());
        match fresh {
            Ok(fresh) => {
                *self
                    .discovery_at
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = fresh;
            }
            Err(e) => {
                return self
                    .announcements
                    .push(format!("discovery does not move: {e}"))
            }
        }
        self.run_discovery(self.roster.rev);
        let at = self
            .discovery_at
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
                if let Err(e) = process.moves(at[node]) {
                    self.announcements
                        .push(format!("node {node} is not told where discovery is: {e}"));
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
