//! The fleet on real sockets: every stand-in on a thread of its own, every node on a thread or as a process of its own, on
//! loopback, for as long as the value lives. Ends with nothing left behind: threads are told to stop and waited for, processes
//! are told to end, and killed where they do not.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::process::Signal;
use sloewick_decision::api::Micros;
use sloewick_node::config;
use sloewick_node::mio_transport::{MioTransport, RemoteSignals};
use sloewick_node::transport::PendingSignals as Signals;
use sloewick_node::Node;

use crate::checker::observations::{Announced, Event, Names, Observation, Recorder};
use crate::checker::{Checker, Rule, Violation};
use crate::commands::CommandQueue;
use crate::emulators::cache_server::{self, CacheBox};
use crate::emulators::clients::{self, Crowd};
use crate::emulators::discovery::{self, Discovery, Listed, Roster};
use crate::emulators::misbehaving_clients::Rude;
use crate::emulators::origin::{self, Origin};
use crate::faults::environment::FaultEnvironment;
use crate::faults::scenario::Scenario;
use crate::faults::schedule::FaultScheduler;
use crate::port::{Actor, Cut};
use crate::process_fleet::Process;
use crate::report::Report;
use crate::rng::Rng;
use crate::site::{self, Clients, Speech};

/// How soon a stand-in looks for orders.
const LOOK: Micros = 20_000;
/// What threads on a busy machine may add to the way of anything; the judge allows for it.
const WAY: Micros = 150_000;

/// How long nodes have to end when the run is over: the longest deadline and a second more.
const ENDING: Duration = Duration::from_millis(site::LONGEST as u64 / 1000 + 1000);

/// What nodes run as.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Nodes {
    /// Threads of this process.
    #[default]
    Threads,
    /// Processes of this program, started as `PROGRAM run`: faults are signals to them.
    Processes(PathBuf),
}

/// A thread that serves an actor until it is told to stop, or until that ends.
struct Served {
    stop: Arc<AtomicBool>,
    paused: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Served {
    fn start(
        name: &str,
        make: impl FnOnce() -> io::Result<Box<dyn Actor>> + Send + 'static,
    ) -> io::Result<Served> {
        let stop = Arc::new(AtomicBool::new(false));
        let paused = Arc::new(AtomicBool::new(false));
        let (seen, stands, told) = (stop.clone(), paused.clone(), channel());
        let ready: Sender<io::Result<()>> = told.0;
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(move || {
                // Its own clock began a moment later, so that it is never thought to be late.
                let began = Instant::now();
                let mut actor = match make() {
                    Ok(actor) => actor,
                    Err(e) => return drop(ready.send(Err(e))),
                };
                let _ = ready.send(Ok(()));
                while !seen.load(Ordering::Relaxed) {
                    if stands.load(Ordering::Relaxed) {
                        std::thread::sleep(Duration::from_micros(LOOK as u64));
                        continue;
                    }
                    let Some(due) = actor.prepare() else { return };
                    let wait = (due - began.elapsed().as_micros() as Micros).clamp(0, LOOK);
                    if actor.turn(wait).is_err() {
                        return;
                    }
                }
            })?;
        let served = Served {
            stop,
            paused,
            thread: Some(thread),
        };
        match told.1.recv() {
            Ok(made) => made.map(|()| served),
            Err(_) => Err(io::Error::other("its thread ended")),
        }
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A node that runs.
enum Running {
    Thread(Served, Arc<RemoteSignals>),
    Process(Process),
}

impl Running {
    /// Signals that go astray are seen by what does not happen then.
    fn tell(&mut self, told: Signals) {
        match self {
            Running::Thread(_, remote) => remote.send(told),
            Running::Process(process) => {
                if told.reload {
                    process.signal(Signal::HUP);
                }
                if told.stop {
                    process.signal(Signal::TERM);
                }
            }
        }
    }

    fn pause(&self, paused: bool) {
        match self {
            Running::Thread(served, _) => served.paused.store(paused, Ordering::Relaxed),
            Running::Process(process) => {
                process.signal(if paused { Signal::STOP } else { Signal::CONT });
            }
        }
    }
}

struct NodeThread {
    address: SocketAddr,
    memcached: SocketAddr,
    starts: usize,
    /// It was told to end.
    stopping: bool,
    served: Option<Running>,
}

struct BoxThread {
    command_queue: CommandQueue<cache_server::ControlCommand>,
    cut: Cut,
    /// Its machine is silent for good: no cut that ends gives it its ways back.
    vanished: bool,
    served: Option<Served>,
}

struct Threads {
    scenario: Scenario,
    free: Free,
    nodes_as: Nodes,
    speech: Speech,
    seed: u64,
    recorder: Recorder,
    epoch: Micros,
    nodes: Vec<NodeThread>,
    boxes: Vec<BoxThread>,
    places: Vec<SocketAddr>,
    origin: SocketAddr,
    origin_commands: CommandQueue<origin::ControlCommand>,
    clients_commands: CommandQueue<clients::ControlCommand>,
    misbehaving_commands: CommandQueue<f64>,
    discovery_at: Arc<Mutex<Vec<SocketAddr>>>,
    discovery: Option<Served>,
    retired: Vec<Served>,
    discovery_commands: CommandQueue<discovery::ControlCommand>,
    roster: Roster,
    /// What each node held when it last ended: it starts with that.
    held: Vec<Option<Roster>>,
    said: Vec<String>,
    rest: Vec<Served>,
}

/// Addresses on loopback that nobody listens on, none given out twice.
struct Free {
    on: Ipv4Addr,
    given: BTreeSet<u16>,
}

/// How often a port that was given out before may come up in a row.
const AGAIN_MOST: usize = 100;

impl Free {
    fn one(&mut self) -> io::Result<SocketAddr> {
        for _ in 0..AGAIN_MOST {
            let at = TcpListener::bind((IpAddr::V4(self.on), 0))?.local_addr()?;
            if self.given.insert(at.port()) {
                return Ok(at);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn some(&mut self, count: usize) -> io::Result<Vec<SocketAddr>> {
        (0..count).map(|_| self.one()).collect()
    }
}

/// Where a fleet of processes lives: a loopback address of its own, so that no port of another one, or of what connects
/// meanwhile, is taken before a process listens on it.
fn own_address() -> Ipv4Addr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let (pid, n) = (std::process::id(), TAKEN.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(
        127,
        201 + (n % 50) as u8,
        1 + (pid / 250 % 250) as u8,
        1 + (pid % 250) as u8,
    )
}

fn unix() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as Micros)
}

impl Threads {
    fn tell(&self, event: Event) {
        self.recorder.tell(unix(), event);
    }

    fn place(&mut self, place: usize) -> Option<SocketAddr> {
        while self.places.len() <= place {
            self.places.push(self.free.one().ok()?);
        }
        Some(self.places[place])
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
        let made = Served::start("discovery", move || {
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
            Err(e) => self.said.push(format!("discovery does not start: {e}")),
        }
    }

    /// The threads and addresses of a run, with nothing running yet.
    fn new(
        scenario: &Scenario,
        seed: u64,
        speech: Speech,
        nodes_as: Nodes,
        recorder: Recorder,
        epoch: Micros,
    ) -> io::Result<Threads> {
        let on = if nodes_as == Nodes::Threads {
            Ipv4Addr::LOCALHOST
        } else {
            own_address()
        };
        let mut free = Free {
            on,
            given: BTreeSet::new(),
        };
        let origin = free.one()?;
        let addresses = free.some(scenario.nodes)?;
        let memcached = free.some(scenario.nodes)?;
        let discovery_at = free.some(scenario.nodes)?;
        let nodes = addresses
            .iter()
            .zip(&memcached)
            .map(|(address, memcached)| NodeThread {
                address: *address,
                memcached: *memcached,
                starts: 0,
                stopping: false,
                served: None,
            })
            .collect();
        Ok(Threads {
            scenario: scenario.clone(),
            free,
            nodes_as,
            speech,
            seed,
            recorder,
            epoch,
            nodes,
            boxes: Vec::new(),
            places: Vec::new(),
            origin,
            origin_commands: CommandQueue::default(),
            clients_commands: CommandQueue::default(),
            misbehaving_commands: CommandQueue::default(),
            discovery_at: Arc::new(Mutex::new(discovery_at)),
            discovery: None,
            retired: Vec::new(),
            discovery_commands: CommandQueue::default(),
            roster: Roster {
                rev: 40,
                list: Vec::new(),
            },
            held: vec![None; scenario.nodes],
            said: Vec::new(),
            rest: Vec::new(),
        })
    }

    /// Whether nodes listen for the memcached binary protocol.
    fn serves_memcached(&self) -> bool {
        matches!(self.speech.clients, Clients::Memcached | Clients::Both)
    }

    fn start_origin(&mut self) -> io::Result<()> {
        let set = site::origin(self.origin, self.seed, &self.scenario);
        let (commands, recorder) = (self.origin_commands.clone(), self.recorder.clone());
        let served = Served::start("origin", move || {
            Ok(Box::new(Origin::new(
                MioTransport::new()?,
                set,
                commands,
                recorder,
            )?))
        })?;
        self.rest.push(served);
        Ok(())
    }

    /// Starts well-behaved and misbehaving clients.
    fn start_clients(&mut self) -> io::Result<()> {
        let until = (self.scenario.seconds * 1e6) as Micros;
        let addresses: Vec<SocketAddr> = self.nodes.iter().map(|n| n.address).collect();
        let memcached: Vec<SocketAddr> = if self.serves_memcached() {
            self.nodes.iter().map(|n| n.memcached).collect()
        } else {
            Vec::new()
        };
        let set = site::clients(
            addresses.clone(),
            memcached.clone(),
            self.speech,
            self.seed,
            &self.scenario,
            until,
        );
        let (commands, recorder) = (self.clients_commands.clone(), self.recorder.clone());
        let served = Served::start("clients", move || {
            Ok(Box::new(Crowd::new(
                MioTransport::new()?,
                set,
                commands,
                recorder,
            )))
        })?;
        self.rest.push(served);
        let (commands, recorder) = (self.misbehaving_commands.clone(), self.recorder.clone());
        let seed = self.seed;
        let served = Served::start("rude", move || {
            Ok(Box::new(Rude::new(
                MioTransport::new()?,
                addresses,
                memcached,
                seed,
                commands,
                recorder,
            )))
        })?;
        self.rest.push(served);
        Ok(())
    }
}

impl FaultEnvironment for Threads {
    fn start_server(&mut self, number: usize, place: usize, _zone: usize, cold: bool) {
        let command_queue = CommandQueue::default();
        let Some(at) = self.place(place) else { return };
        let memcached = self.speech.box_speaks_memcached(number, &self.scenario);
        let set = site::cache_box(number, at, self.origin, cold, memcached, self.seed);
        let (its_orders, recorder) = (command_queue.clone(), self.recorder.clone());
        let served = Served::start(&format!("box-{number}"), move || {
            Ok(Box::new(CacheBox::new(
                MioTransport::new()?,
                set,
                its_orders,
                recorder,
            )?))
        });
        let served = served
            .map_err(|e| self.said.push(format!("box {number} does not start: {e}")))
            .ok();
        self.boxes.push(BoxThread {
            command_queue,
            cut: Cut::default(),
            vanished: false,
            served,
        });
    }

    fn kill_server(&mut self, number: usize) {
        self.tell(Event::BoxEnded { at_box: number });
        if let Some(b) = self.boxes.get_mut(number) {
            b.served = None;
        }
    }

    fn command_server(&mut self, number: usize, command: cache_server::ControlCommand) {
        if let Some(b) = self.boxes.get(number) {
            b.command_queue.give(command);
        }
    }

    fn listed(&self, number: usize, place: usize, zone: usize, told: Announced) -> Listed {
        let told = match told {
            Announced::In { boot } if boot > 0 => Announced::In {
                boot: self.epoch + boot,
            },
            other => other,
        };
        Listed {
            number,
            uid: format!("s-{number:04}"),
            endpoint: self.places.get(place).copied().unwrap_or(self.origin),
            zone: site::ZONES[zone % 2].to_string(),
            kind: self.speech.model(number, &self.scenario).to_string(),
            told,
        }
    }

    fn command_discovery(&mut self, command: discovery::ControlCommand) {
        if let discovery::ControlCommand::Change(listed) = &command {
            self.roster.change(listed);
        }
        self.discovery_commands.give(command);
    }

    fn command_origin(&mut self, command: origin::ControlCommand) {
        self.origin_commands.give(command);
    }

    fn command_clients(&mut self, command: clients::ControlCommand) {
        self.clients_commands.give(command);
    }

    fn rude(&mut self, rate: f64) {
        self.misbehaving_commands.give(rate);
    }

    fn kill_node(&mut self, node: usize) {
        self.held[node] = Some(self.roster.clone());
        self.tell(Event::NodeEnded { node, killed: true });
        self.nodes[node].served = None;
    }

    fn stop_node(&mut self, node: usize) {
        self.held[node] = Some(self.roster.clone());
        self.tell(Event::NodeStopping { node });
        self.nodes[node].stopping = true;
        if let Some(running) = &mut self.nodes[node].served {
            running.tell(Signals {
                reload: false,
                stop: true,
            });
        }
    }

    fn pause_node(&mut self, node: usize) {
        self.tell(Event::NodePaused { node });
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
        self.tell(Event::NodeResumed { node });
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
        self.boxes
            .iter_mut()
            .skip(number)
            .take(1)
            .for_each(|b| b.vanished = true);
    }

    fn cut(&mut self, number: usize, from_box: bool, cut: bool) {
        let Some(b) = self.boxes.get_mut(number).filter(|b| !b.vanished) else {
            return;
        };
        *(if from_box {
            &mut b.cut.outwards
        } else {
            &mut b.cut.inwards
        }) = cut;
        b.command_queue
            .give(cache_server::ControlCommand::Cut(b.cut));
    }

    fn refuse(&mut self, number: usize, refuses: bool) {
        self.command_server(number, cache_server::ControlCommand::Refuse(refuses));
    }

    fn start_node(&mut self, node: usize) {
        self.nodes[node].served = None;
        self.nodes[node].starts += 1;
        self.nodes[node].stopping = false;
        let mut rng = Rng::part(self.seed, "node", node * 1000 + self.nodes[node].starts);
        let discovery = self.discovery_at.clone();
        let mine = move || discovery.lock().unwrap_or_else(PoisonError::into_inner)[node];
        let address = self.nodes[node].address;
        let known = self.held[node]
            .take()
            .unwrap_or_else(|| self.roster.clone());
        let known = (known.rev, &known.list[..]);
        let text = site::node_config(node, &self.scenario, address, mine(), rng.word(), known);
        let (speech, memcached) = (self.speech, self.nodes[node].memcached);
        self.tell(Event::NodeStarted { node });
        if let Nodes::Processes(program) = &self.nodes_as {
            let file = speech.file(memcached);
            match Process::start(
                program,
                &format!("node-{node}"),
                &text,
                file.as_deref(),
                address,
            ) {
                Ok(process) => self.nodes[node].served = Some(Running::Process(process)),
                Err(e) => self.said.push(format!("node {node} does not start: {e}")),
            }
            return;
        }
        let remote = Arc::new(RemoteSignals::default());
        let its = remote.clone();
        let served = Served::start(&format!("node-{node}"), move || {
            let mut config = config::parse(&text).map_err(|e| io::Error::other(e.to_string()))?;
            speech
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
            Ok(served) => self.nodes[node].served = Some(Running::Thread(served, remote)),
            Err(e) => self.said.push(format!("node {node} does not start: {e}")),
        }
    }

    fn move_discovery(&mut self) {
        self.discovery_commands
            .give(discovery::ControlCommand::Retire(1_500_000));
        self.retired.extend(self.discovery.take());
        let fresh = self.free.some(self.nodes.len());
        match fresh {
            Ok(fresh) => {
                *self
                    .discovery_at
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = fresh;
            }
            Err(e) => return self.said.push(format!("discovery does not move: {e}")),
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
            if let Running::Process(process) = running {
                if let Err(e) = process.moves(at[node]) {
                    self.said
                        .push(format!("node {node} is not told where discovery is: {e}"));
                }
            }
            running.tell(Signals {
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

    fn say(&mut self, text: String) {
        self.said.push(text.clone());
        self.tell(Event::Fault(text));
    }
}

/// A fleet that runs.
pub struct Demo {
    threads: Threads,
    scheduler: FaultScheduler,
    pub checker: Checker,
    pub report: Report,
    names: Names,
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
        speech: Speech,
        nodes_as: Nodes,
    ) -> io::Result<Demo> {
        let (send, observations) = channel();
        let epoch = unix();
        let recorder = Recorder::new(send, epoch);
        let mut threads = Threads::new(scenario, seed, speech, nodes_as, recorder, epoch)?;
        threads.start_origin()?;
        let mut scheduler = FaultScheduler::new(scenario, seed);
        scheduler.start_all(&mut threads);
        if let Some(why) = threads.said.pop() {
            return Err(io::Error::other(why));
        }
        threads.start_clients()?;
        let front = threads.serves_memcached();
        Ok(Demo {
            threads,
            scheduler,
            checker: Checker::new(site::figures(WAY)),
            report: site::report(),
            names: Names::default(),
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
            self.scheduler.run(now, &mut self.threads);
            self.look_for_ends(now);
            match self.observations.recv_timeout(Duration::from_millis(5)) {
                Ok(observation) => self.see(observation),
                Err(_) => continue,
            }
            while let Ok(observation) = self.observations.try_recv() {
                self.see(observation);
            }
        }
        std::mem::take(&mut self.threads.said)
    }

    /// Where the nodes listen for RESP2 and for the binary protocol.
    pub fn listening(&self) -> Vec<(SocketAddr, SocketAddr)> {
        self.threads
            .nodes
            .iter()
            .map(|n| (n.address, n.memcached))
            .collect()
    }

    fn see(&mut self, observation: Observation) {
        let observation = self.names.see(observation);
        self.checker.observe(&observation);
        self.report.see(&observation);
    }

    /// A process that has ended by itself is a request lost to all that it held.
    fn look_for_ends(&mut self, now: Micros) {
        for (node, n) in self.threads.nodes.iter_mut().enumerate() {
            let Some(Running::Process(process)) = &mut n.served else {
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
                    rule: Rule::NoneLost,
                    at: now,
                    id: None,
                    why,
                    around: Vec::new(),
                });
            }
            self.threads.recorder.tell(
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
        for node in 0..self.threads.nodes.len() {
            if matches!(self.threads.nodes[node].served, Some(Running::Process(_))) {
                if self.checker.is_paused(node) {
                    self.threads.resume_node(node);
                }
                self.threads.stop_node(node);
            }
        }
        let until = Instant::now() + ENDING;
        let runs = |n: &NodeThread| matches!(n.served, Some(Running::Process(_)));
        while self.threads.nodes.iter().any(runs) && Instant::now() < until {
            self.look_for_ends(self.now());
            while let Ok(observation) = self.observations.recv_timeout(Duration::from_millis(5)) {
                self.see(observation);
            }
        }
        let now = self.now();
        for (node, _) in self
            .threads
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| runs(n))
        {
            let why = format!("node {node} was told to end and has not");
            self.checker.add(Violation {
                rule: Rule::GoodManners,
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
