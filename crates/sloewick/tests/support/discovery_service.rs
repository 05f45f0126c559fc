//! A discovery service for all processes of a node. It runs on a thread of its own and records what it has told the node.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::{endpoint_list, http_response, listener, query_number, send_if_open, try_accept, Peer};

/// Time between two looks for new requests.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// How the service handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServiceMode {
    /// Requests are answered.
    Up,
    /// Watches are reset, and requests get status 503.
    Down,
    /// Open watches are answered, and new requests get status 503.
    RejectsNewRequests,
    /// Open watches are answered, and new requests stay open without an answer.
    SilentToNewRequests,
    /// Watches are answered with the list that the service started with, other requests with half of it.
    Stale,
}

/// The state of a server, as told to a process of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ToldState {
    InService,
    Terminating,
    /// Terminated, or missing in a complete list.
    Gone,
}

/// One thing that the service has told the node.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub(crate) uid: String,
    pub(crate) state: ToldState,
    /// When the answer was written.
    pub(crate) at: Instant,
}

struct ListedServer {
    target: Value,
    /// The revision with which its entry has changed.
    changed: i64,
}

struct Watch {
    peer: Peer,
    since: i64,
    ends: Instant,
}

struct State {
    rev: i64,
    servers: BTreeMap<String, ListedServer>,
    mode: ServiceMode,
    watches: Vec<Watch>,
    unanswered: Vec<Peer>,
    told: Vec<Told>,
    /// The paths of the requests, in order of arrival.
    paths: Vec<String>,
    /// The list that the service started with.
    first_list: Value,
}

/// The service; its thread ends when it is dropped.
pub(crate) struct DiscoveryService {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DiscoveryService {
    /// Starts a service whose list has this revision and these targets.
    pub(crate) fn start(rev: i64, targets: &[Value]) -> DiscoveryService {
        let listener = listener();
        let address = listener.local_addr().unwrap();
        let servers = targets.iter().map(|target| {
            let uid = target["uid"].as_str().unwrap().to_string();
            let server = ListedServer {
                target: target.clone(),
                changed: rev,
            };
            (uid, server)
        });
        let state = Arc::new(Mutex::new(State {
            rev,
            servers: servers.collect(),
            mode: ServiceMode::Up,
            watches: Vec::new(),
            unanswered: Vec::new(),
            told: Vec::new(),
            paths: Vec::new(),
            first_list: endpoint_list(rev, true, targets),
        }));
        let stop = Arc::new(AtomicBool::new(false));
        let (thread_state, thread_stop) = (state.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            while !thread_stop.load(Ordering::Relaxed) {
                thread_state.lock().unwrap().step(&listener);
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        DiscoveryService {
            address,
            state,
            stop,
            thread: Some(thread),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub(crate) fn set_mode(&self, mode: ServiceMode) {
        let mut state = self.state();
        state.mode = mode;
        if mode == ServiceMode::Down {
            for watch in std::mem::take(&mut state.watches) {
                watch.peer.reset();
            }
        }
    }

    /// Changes the state of a server; the open watches are told.
    pub(crate) fn change(&self, uid: &str, state: &str) {
        self.change_field(uid, "state", json!(state));
    }

    /// Changes a field of a server's entry; the open watches are told.
    pub(crate) fn change_field(&self, uid: &str, field: &str, value: Value) {
        let mut service = self.state();
        service.rev += 1;
        let rev = service.rev;
        let server = service.servers.get_mut(uid).unwrap();
        server.target[field] = value;
        server.changed = rev;
        service.answer_watches();
    }

    /// Adds a server to the list; the open watches are told.
    pub(crate) fn add(&self, target: &Value) {
        let mut service = self.state();
        service.rev += 1;
        let changed = service.rev;
        let uid = target["uid"].as_str().unwrap().to_string();
        let target = target.clone();
        service
            .servers
            .insert(uid, ListedServer { target, changed });
        service.answer_watches();
    }

    /// Begins to number the revisions anew, from 1.
    pub(crate) fn restart_numbering(&self) {
        let mut service = self.state();
        service.rev = 1;
        for server in service.servers.values_mut() {
            server.changed = 1;
        }
    }

    /// The state of a server in the list.
    pub(crate) fn state_of(&self, uid: &str) -> String {
        let state = self.state();
        let target = &state.servers[uid].target;
        target["state"].as_str().unwrap().to_string()
    }

    /// What has been told so far.
    pub(crate) fn told(&self) -> Vec<Told> {
        self.state().told.clone()
    }

    /// The current revision and the servers that are not gone.
    pub(crate) fn present_list(&self) -> (i64, Vec<Value>) {
        let state = self.state();
        let servers = state.servers.values();
        let present = servers.filter(|server| server.target["state"] != "terminated");
        let targets = present.map(|server| server.target.clone());
        (state.rev, targets.collect())
    }

    /// The current revision.
    pub(crate) fn rev(&self) -> i64 {
        self.state().rev
    }

    /// Whether a watch is open that has seen the current revision.
    pub(crate) fn is_watched(&self) -> bool {
        let state = self.state();
        state.watches.iter().any(|watch| watch.since == state.rev)
    }

    /// The paths of all requests.
    pub(crate) fn paths(&self) -> Vec<String> {
        self.state().paths.clone()
    }
}

impl Drop for DiscoveryService {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl State {
    fn step(&mut self, listener: &TcpListener) {
        while let Some(mut peer) = try_accept(listener) {
            // A process that is killed leaves connections without a request.
            let Some(header) = peer.try_read_until(b"\r\n\r\n") else {
                continue;
            };
            let header = String::from_utf8(header).unwrap();
            let path = header.split(' ').nth(1).unwrap().to_string();
            self.paths.push(path.clone());
            match self.mode {
                ServiceMode::Up => self.handle(peer, &path),
                ServiceMode::Down | ServiceMode::RejectsNewRequests => {
                    send_if_open(&mut peer, UNAVAILABLE.as_bytes());
                    peer.close();
                }
                ServiceMode::SilentToNewRequests => self.unanswered.push(peer),
                ServiceMode::Stale => {
                    let answer = http_response(&self.first_list);
                    let is_watch = path.contains("since=");
                    let sent = if is_watch {
                        answer.len()
                    } else {
                        answer.len() / 2
                    };
                    send_if_open(&mut peer, &answer.as_bytes()[..sent]);
                    peer.close();
                }
            }
        }
        let now = Instant::now();
        while let Some(at) = self.watches.iter().position(|watch| watch.ends <= now) {
            let watch = self.watches.swap_remove(at);
            self.answer(watch.peer, Some(watch.since));
        }
    }

    fn handle(&mut self, peer: Peer, path: &str) {
        match query_number(path, "since=") {
            Some(since) if since >= self.rev => {
                let wait = query_number(path, "timeout_ms=").unwrap_or_default();
                let ends = Instant::now() + Duration::from_millis(wait as u64);
                self.watches.push(Watch { peer, since, ends });
            }
            since => self.answer(peer, since),
        }
    }

    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            self.answer(watch.peer, Some(watch.since));
        }
    }

    /// Answers with the entries that have changed since this revision; None: with the complete list.
    fn answer(&mut self, mut peer: Peer, since: Option<i64>) {
        let servers = self.servers.values();
        let is_listed = |server: &&ListedServer| match since {
            Some(since) => server.changed > since,
            None => server.target["state"] != "terminated",
        };
        let targets: Vec<Value> = servers
            .filter(is_listed)
            .map(|server| server.target.clone())
            .collect();
        let list = endpoint_list(self.rev, since.is_none(), &targets);
        let sending_from = Instant::now();
        send_if_open(&mut peer, http_response(&list).as_bytes());
        peer.close();
        self.record_told(since.is_none(), &targets, sending_from);
    }

    /// Records an answer that was sent since `sending_from`. The node may serve a server as soon as the answer is on its way; the
    /// grace of a drain begins when it is sent.
    fn record_told(&mut self, is_complete: bool, targets: &[Value], sending_from: Instant) {
        let sent_at = Instant::now();
        let state_of = |uid: &String| {
            let target = targets.iter().find(|target| target["uid"] == **uid);
            match target.and_then(|target| target["state"].as_str()) {
                Some("in_service") => Some(ToldState::InService),
                Some("terminating") => Some(ToldState::Terminating),
                Some(_) => Some(ToldState::Gone),
                None => is_complete.then_some(ToldState::Gone),
            }
        };
        for uid in self.servers.keys() {
            if let Some(state) = state_of(uid) {
                let uid = uid.clone();
                let at = match state {
                    ToldState::InService => sending_from,
                    ToldState::Terminating | ToldState::Gone => sent_at,
                };
                self.told.push(Told { uid, state, at });
            }
        }
    }
}
