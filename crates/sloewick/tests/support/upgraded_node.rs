//! A node of several processes that share a listener and a folder, its cache servers and clients, and what each server received.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use super::*;

/// The drain grace period in the settings.
pub(crate) const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Time from its start until a server is warm, and the fraction of its capacity that it has at its start.
const WARM_UP_TIME: Duration = Duration::from_secs(240);
const COLD_CAPACITY: f64 = 0.05;
/// The multiple of its capacity that a cold server bears, and the time over which its requests are counted.
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);
/// How much longer a time limit is on real sockets.
const SOCKET_MARGIN: Duration = Duration::from_millis(50);
/// The revision of the list in the configuration.
pub(crate) const KNOWN_REV: i64 = 41;
const SERVERS: usize = 4;
const CLIENTS: usize = 3;
/// Time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
/// Time between two polls of the emulated servers.
const POLL_INTERVAL: Duration = Duration::from_micros(500);
/// A process without an answer of discovery is ready after 4 s.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// An arrival at a server: no earlier than this.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

/// The time from the sending of a request until its connection ended without an answer.
type Unanswered = Arc<Mutex<Vec<(Instant, Instant)>>>;

/// How the configuration of a process differs from the usual one.
#[derive(Default)]
pub(crate) struct ProcessOptions {
    /// The revision and the targets of `known`.
    pub(crate) known: Option<(i64, Vec<Value>)>,
    /// The address of discovery.
    pub(crate) discovery: Option<SocketAddr>,
    /// How far the wall clock of the process is stepped, in seconds.
    pub(crate) wall_clock_step: Option<i64>,
}

/// A process of the node and its admin interface.
pub(crate) struct Process {
    pub(crate) node: Node,
    pub(crate) admin: SocketAddr,
}

/// See the module documentation. Clients send until it is dropped.
pub(crate) struct UpgradedNode {
    pub(crate) discovery: DiscoveryService,
    pub(crate) targets: Vec<Value>,
    pub(crate) folder: tempfile::TempDir,
    pub(crate) processes: Vec<Process>,
    /// The clients' listener, which the processes inherit; None at the end.
    socket: Option<TcpListener>,
    /// Whether the settings say that lists are asked for.
    polls: bool,
    arrivals: Arrivals,
    answered: Arc<AtomicUsize>,
    unanswered: Unanswered,
    /// The times from the signal until the end of the process at which processes were killed.
    kills: Vec<(Instant, Instant)>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

fn uid(number: usize) -> String {
    format!("s-{number}")
}

impl UpgradedNode {
    /// Starts the servers and discovery, and no process yet.
    pub(crate) fn new() -> UpgradedNode {
        let (arrivals, stop) = (Arrivals::default(), Arc::new(AtomicBool::new(false)));
        let listeners: Vec<TcpListener> = (0..SERVERS).map(|_| listener()).collect();
        let targets: Vec<Value> = (0..SERVERS)
            .map(|number| target(&uid(number), &listeners[number]))
            .collect();
        let servers = listeners.into_iter().enumerate();
        let threads = servers
            .map(|(number, listener)| {
                let (arrivals, stop) = (arrivals.clone(), stop.clone());
                std::thread::spawn(move || serve(&uid(number), listener, &arrivals, &stop))
            })
            .collect();
        UpgradedNode {
            discovery: DiscoveryService::start(KNOWN_REV, &targets),
            targets,
            folder: tempfile::tempdir().unwrap(),
            processes: Vec::new(),
            socket: Some(listener()),
            polls: false,
            arrivals,
            answered: Arc::default(),
            unanswered: Arc::default(),
            kills: Vec::new(),
            stop,
            threads,
        }
    }

    /// The same, with settings that say that lists are asked for.
    pub(crate) fn polling() -> UpgradedNode {
        let mut node = UpgradedNode::new();
        node.polls = true;
        node
    }

    /// Starts the first process, and waits until it is ready and watches discovery.
    pub(crate) fn start_watching_process(&mut self) {
        self.start_process(ProcessOptions::default());
        self.wait_until_ready(0);
        let discovery = &self.discovery;
        wait_until("discovery is watched", || discovery.is_watched());
    }

    /// Starts the first process as above, and then the clients.
    pub(crate) fn start_first_process(&mut self) {
        self.start_watching_process();
        for number in 0..CLIENTS {
            let address = self.socket().local_addr().unwrap();
            let stop = self.stop.clone();
            let (answered, unanswered) = (self.answered.clone(), self.unanswered.clone());
            self.threads.push(std::thread::spawn(move || {
                send_requests(number, address, &stop, &answered, &unanswered);
            }));
        }
    }

    fn socket(&self) -> &TcpListener {
        self.socket.as_ref().unwrap()
    }

    /// Starts a further process and returns its number.
    pub(crate) fn start_process(&mut self, options: ProcessOptions) -> usize {
        let mut settings = settings_with_deadline(2_000.0);
        settings["rules"]["stop_sending_within"] = json!(DRAIN_GRACE.as_secs_f64() * 1e3);
        if self.polls {
            settings["discovery"] = json!("ask");
        }
        settings["rules"]["cold"] = json!(WARM_UP_TIME.as_secs_f64() * 1e3);
        settings["rules"]["cold_from"] = json!(COLD_CAPACITY);
        // As many as the clients send.
        settings["realms"][0]["quota_per_s"] = json!(10_000.0);
        let admin = free_address();
        let (rev, targets) = options
            .known
            .unwrap_or_else(|| (KNOWN_REV, self.targets.clone()));
        let discovery = options.discovery.unwrap_or(self.discovery.address);
        let mut command = program_inheriting(self.socket());
        command
            .env("TMPDIR", self.folder.path())
            .stderr(Stdio::piped());
        if let Some(step) = options.wall_clock_step {
            command
                .env("LD_PRELOAD", preload_library("stepped_clock"))
                .env("WALL_CLOCK_STEP", step.to_string());
        }
        let node = Node::builder()
            .settings(settings)
            .command(command)
            .listen(self.socket().local_addr().unwrap())
            .admin(admin)
            .set("/discovery", discovery.to_string())
            .set("/known", endpoint_list(rev, true, &targets))
            .start();
        self.processes.push(Process { node, admin });
        self.processes.len() - 1
    }

    pub(crate) fn wait_until_ready(&mut self, number: usize) {
        let started = Instant::now();
        let process = &mut self.processes[number];
        while !listens_and_is_ready(process.admin) {
            if process.node.has_ended() {
                let status = process.node.wait();
                let log = std::io::read_to_string(process.node.stderr()).unwrap();
                panic!("process {number} has ended: {status}: {log}");
            }
            assert!(
                started.elapsed() < READY_LIMIT,
                "process {number} is not ready"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Ends a process as an upgrade does, and waits for its end.
    pub(crate) fn stop_process(&mut self, process: usize) {
        self.processes[process].node.signal("TERM");
        assert!(self.processes[process].node.wait().success());
    }

    /// Kills a process. What it holds at that time is the clients' to retry.
    pub(crate) fn kill_process(&mut self, process: usize) {
        let signalled = Instant::now();
        self.processes[process].node.signal("KILL");
        self.processes[process].node.wait();
        self.kills.push((signalled, Instant::now()));
    }

    /// Tells the node of this state of a server, and returns when.
    pub(crate) fn tell(&self, server: usize, state: &str) -> Instant {
        self.discovery.change(&uid(server), state);
        Instant::now()
    }

    /// Tells the node that a server has restarted now, and returns when.
    pub(crate) fn restart_server(&self, server: usize) -> Instant {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        self.discovery
            .change_field(&uid(server), "boot_ms", json!(now.as_millis() as u64));
        Instant::now()
    }

    /// Number of requests that a server has received since this moment.
    pub(crate) fn received_since(&self, server: usize, since: Instant) -> usize {
        let (name, arrivals) = (uid(server), self.arrivals.lock().unwrap());
        let is_counted = |(uid, at): &&(String, Instant)| *uid == name && *at >= since;
        arrivals.iter().filter(is_counted).count()
    }

    /// Whether discovery lists a server as in service.
    pub(crate) fn is_in_service(&self, server: usize) -> bool {
        self.discovery.state_of(&uid(server)) == "in_service"
    }

    /// Number of requests that were not answered before their connection ended, without those in flight when a process was killed.
    pub(crate) fn unanswered(&self) -> usize {
        let is_due = |(sent, ended): &&(Instant, Instant)| {
            let in_flight = |kill: &(Instant, Instant)| *sent <= kill.1 && *ended >= kill.0;
            !self.kills.iter().any(in_flight)
        };
        self.unanswered
            .lock()
            .unwrap()
            .iter()
            .filter(is_due)
            .count()
    }

    /// Number of requests that have been answered, a rejection included.
    pub(crate) fn answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }

    /// Requests that servers received later than a grace period after the node had been told that they drain or are gone, and
    /// before discovery told it that they are in service.
    pub(crate) fn late_requests(&self) -> Vec<String> {
        let told = self.discovery.told();
        let mut late = Vec::new();
        for (uid, at) in self.arrivals.lock().unwrap().iter() {
            let mut binding: Option<Instant> = None;
            let known = told
                .iter()
                .filter(|told| told.uid == *uid && told.at <= *at);
            for told in known {
                match told.state {
                    ToldState::InService => binding = None,
                    ToldState::Terminating | ToldState::Gone => {
                        binding.get_or_insert(told.at);
                    }
                }
            }
            let late_by = binding.map(|told| at.saturating_duration_since(told));
            if late_by.is_some_and(|late_by| late_by > DRAIN_GRACE + SOCKET_MARGIN) {
                late.push(format!("{uid} {late_by:?} after it was told"));
            }
        }
        late
    }

    /// Asserts that a server which started at this moment has got no more than it bears since `since`.
    pub(crate) fn assert_not_overloaded(&self, server: usize, started: Instant, since: Instant) {
        let name = uid(server);
        let arrivals = self.arrivals.lock().unwrap();
        for (_, end) in arrivals.iter().filter(|(_, at)| *at >= since) {
            let is_in_window =
                |(_, at): &&(String, Instant)| *at <= *end && *at + OVERLOAD_WINDOW > *end;
            let window = || arrivals.iter().filter(is_in_window);
            let (all, own) = (window().count(), window().filter(|(uid, _)| *uid == name));
            let age = end.saturating_duration_since(started).as_secs_f64();
            let warm_up = age / WARM_UP_TIME.as_secs_f64();
            let capacity = COLD_CAPACITY + (1.0 - COLD_CAPACITY) * warm_up;
            let allowed = OVERLOAD_MULTIPLE * capacity * all as f64 / SERVERS as f64;
            let own = own.count();
            let bound = allowed + 3.0 * allowed.sqrt() + 3.0;
            assert!(
                own as f64 <= bound,
                "{name} got {own} of {all}, {bound:.1} are borne"
            );
        }
    }

    /// Asserts that the rule on drains held.
    pub(crate) fn assert_drains_kept(&self, case: &str) {
        let late = self.late_requests();
        let (count, first) = (late.len(), late.first());
        assert!(
            late.is_empty(),
            "{case}: {count} late requests, first {first:?}"
        );
        assert!(self.answered() > 0, "{case}: nothing was answered");
    }

    /// Asserts that the rule on drains held, and that each request was answered that no killed process held.
    pub(crate) fn assert_rules(&self, case: &str) {
        self.assert_drains_kept(case);
        assert_eq!(self.unanswered(), 0, "{case}: requests without an answer");
    }
}

impl Drop for UpgradedNode {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // Connections that no process accepts end with the last copy of the listener.
        self.processes.clear();
        self.socket = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Answers all requests to a server and records them.
fn serve(uid: &str, listener: TcpListener, arrivals: &Arrivals, stop: &AtomicBool) {
    let mut server = CacheServer::new(listener, |_, after| {
        arrivals.lock().unwrap().push((uid.to_string(), after));
        Some(hit_reply(b"value"))
    });
    while !stop.load(Ordering::Relaxed) {
        server.poll();
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Sends one request after the other, each on a connection of its own, so that every process gets some.
fn send_requests(
    number: usize,
    address: SocketAddr,
    stop: &AtomicBool,
    answered: &AtomicUsize,
    unanswered: &Unanswered,
) {
    for sent in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let (key, id) = (format!("key-{number}-{sent}"), format!("r-{number}-{sent}"));
        let fields = b"c=read,t=acme,d=2000";
        let sent = Instant::now();
        let mut client = Peer::new(TcpStream::connect(address).unwrap());
        client.try_send(&command(&[b"C.GET", key.as_bytes(), id.as_bytes(), fields]));
        match client.try_read_until(b"\r\n") {
            Some(_) => {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            None => unanswered.lock().unwrap().push((sent, Instant::now())),
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
}
