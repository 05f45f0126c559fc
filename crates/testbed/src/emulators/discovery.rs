//! Emulator of discovery, as the protocol specification describes it.
//!
//! Discovery serves the whole endpoint list and watches on its changes. Its faults are responses with status 503, late
//! responses and a stale list. Each node uses an address of its own, by which discovery identifies the nodes in its
//! reports.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;

use sloewick_decision::api::Micros;

use crate::checker::observations::{AnnouncedState, Event, Recorder};
use crate::commands::CommandQueue;
use crate::port::{Actor, ConnectionEvent, Port, SendTimes};

/// Limit of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// The entry of one cache server in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The server's number in the run.
    pub number: usize,
    /// Unique id of the server, by which entries are updated.
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub state: AnnouncedState,
}

/// A command of the fault scheduler to discovery.
#[derive(Clone, Debug)]
pub enum ControlCommand {
    /// Adds or replaces the entry of a server.
    Change(Listed),
    /// Answers all requests with status 503 if true, and closes the open watches; false ends this.
    Fail(bool),
    /// Delays each response by this time.
    Late(Micros),
    /// Keeps answering with the list as it is now if true; false ends this.
    Stale(bool),
    /// Restarts the revision numbers of the list at this one.
    CountFrom(i64),
    /// Accepts no new connections, and closes the open ones after this time.
    Retire(Micros),
}

/// For each uid, the revision of its last change and its entry.
type Entries = BTreeMap<String, (i64, Listed)>;

/// The timers of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The watch on this connection (index and serial number) has reached its timeout.
    WatchTimeout(usize, u64),
    /// The delayed response on this connection (index and serial number) is sent.
    DelayedResponse(usize, u64),
    /// All connections are closed.
    Retired,
}

/// Discovery.
pub struct Discovery<N: SendTimes> {
    port: Port<N, Timer>,
    command_queue: CommandQueue<ControlCommand>,
    recorder: Recorder,
    /// Revision of the latest change.
    rev: i64,
    /// The oldest revision since which discovery knows the changes.
    first_rev: i64,
    entries: Entries,
    /// The list and its revision that responses contain while the list is stale; None: the current list.
    frozen: Option<(i64, Entries)>,
    /// The node of each connection.
    nodes: HashMap<usize, usize>,
    /// For each connection with an open watch, the revision that the node has.
    watches: BTreeMap<usize, i64>,
    /// For each connection with a delayed response, the revision that the node has; None if it requests the whole list.
    delayed: HashMap<usize, Option<i64>>,
    /// Whether all requests are answered with status 503.
    is_failing: bool,
    /// Delay of each response.
    response_delay: Micros,
    events: Vec<(usize, ConnectionEvent)>,
}

/// The current endpoint list, kept by the run: a discovery that starts receives it, and a node that restarts begins
/// with the list that it had when it ended.
#[derive(Clone, Debug)]
pub struct Roster {
    /// Revision of the latest change.
    pub rev: i64,
    /// The entries, without those of removed servers.
    pub list: Vec<Listed>,
}

impl Roster {
    /// Applies the change of an entry; a removed server leaves the list.
    pub fn change(&mut self, listed: &Listed) {
        self.rev += 1;
        self.list.retain(|l| l.uid != listed.uid);
        if listed.state != AnnouncedState::Removed {
            self.list.push(listed.clone());
        }
    }

    /// Sets the list with which discovery restarts. `anew`: the revision numbers restart at 1; if false, they continue.
    pub fn restart(&mut self, list: Vec<Listed>, anew: bool) {
        self.list = list;
        self.rev = if anew { 1 } else { self.rev + 1 };
    }
}

/// Returns the JSON document of a list; `all`: it is the whole list; if false, a list of changes.
pub fn list_json<'a>(
    rev: i64,
    all: bool,
    entries: impl Iterator<Item = &'a Listed>,
) -> serde_json::Value {
    let entries: Vec<_> = entries
        .map(|e| {
            let (state, boot) = match e.state {
                AnnouncedState::InService { boot } => ("in_service", boot),
                AnnouncedState::Draining => ("terminating", 0),
                AnnouncedState::Removed => ("terminated", 0),
            };
            serde_json::json!({"uid": e.uid, "endpoint": e.endpoint.to_string(), "az": e.zone, "model": e.kind,
                "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": boot / 1000})
        })
        .collect();
    serde_json::json!({"rev": rev, "all": all, "targets": entries})
}

impl<N: SendTimes> Discovery<N> {
    /// Creates a discovery that listens on one address for each node, in the order of the nodes.
    ///
    /// # Errors
    /// An address cannot be listened on.
    pub fn new(
        net: N,
        addresses: &[SocketAddr],
        rev: i64,
        list: &[Listed],
        command_queue: CommandQueue<ControlCommand>,
        recorder: Recorder,
    ) -> io::Result<Discovery<N>> {
        let mut port = Port::new(net);
        for address in addresses {
            port.listen(*address)?;
        }
        Ok(Discovery {
            port,
            command_queue,
            recorder,
            rev,
            first_rev: rev,
            entries: list
                .iter()
                .map(|e| (e.uid.clone(), (rev, e.clone())))
                .collect(),
            frozen: None,
            nodes: HashMap::new(),
            watches: BTreeMap::new(),
            delayed: HashMap::new(),
            is_failing: false,
            response_delay: 0,
            events: Vec::new(),
        })
    }

    fn read_request(&mut self, conn: usize) {
        let Some(port_connection) = self.port.connection(conn) else {
            return;
        };
        let (serial, buf) = (port_connection.serial, &port_connection.buf);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(buf) {
            Ok(httparse::Status::Complete(_)) => {}
            Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => return,
            _ => return self.port.close(conn),
        }
        let path = request.path.unwrap_or_default().to_string();
        port_connection.buf.clear();
        let query = path.split_once('?').map_or("", |(_, q)| q);
        let number = |name: &str| -> Option<i64> {
            query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .find(|(n, _)| *n == name)?
                .1
                .parse()
                .ok()
        };
        if self.is_failing || !path.starts_with("/api/targets") {
            return self.reply(conn, "503 Service Unavailable", "");
        }
        let since = number("since");
        let now = self.port.now();
        if self.response_delay > 0 {
            self.delayed.insert(conn, since);
            return self.port.set_timer(
                now + self.response_delay,
                Timer::DelayedResponse(conn, serial),
            );
        }
        match since {
            Some(since) if since == self.visible_list().0 => {
                let wait = number("timeout_ms").unwrap_or(0).clamp(0, 60_000) * 1000;
                self.watches.insert(conn, since);
                self.port
                    .set_timer(now + wait, Timer::WatchTimeout(conn, serial));
            }
            since => self.send_list(conn, since),
        }
    }

    /// Returns the revision and the entries that responses contain now.
    fn visible_list(&self) -> (i64, &Entries) {
        match &self.frozen {
            Some((rev, entries)) => (*rev, entries),
            None => (self.rev, &self.entries),
        }
    }

    /// Answers a request with the changes since a revision, or with the whole list.
    fn send_list(&mut self, conn: usize, since: Option<i64>) {
        let node = self.nodes.get(&conn).copied().unwrap_or(0);
        let (rev, entries) = self.visible_list();
        let since = since.filter(|since| (self.first_rev..=rev).contains(since));
        let sent: Vec<Listed> = entries
            .values()
            .filter(|(changed_at, e)| match since {
                Some(since) => *changed_at > since,
                None => e.state != AnnouncedState::Removed,
            })
            .map(|(_, e)| e.clone())
            .collect();
        let body = list_json(rev, since.is_none(), sent.iter()).to_string();
        // A whole list also announces removals, by leaving the removed servers out.
        let removed: Vec<usize> = match since {
            None => entries
                .values()
                .filter(|(_, e)| e.state == AnnouncedState::Removed)
                .map(|(_, e)| e.number)
                .collect(),
            Some(_) => Vec::new(),
        };
        let unix = self.port.unix();
        for e in &sent {
            self.recorder.record(
                unix,
                Event::AnnouncementSent {
                    node,
                    server: e.number,
                    state: e.state,
                },
            );
        }
        for server in removed {
            self.recorder.record(
                unix,
                Event::AnnouncementSent {
                    node,
                    server,
                    state: AnnouncedState::Removed,
                },
            );
        }
        self.reply(conn, "200 OK", &body);
    }

    fn reply(&mut self, conn: usize, status: &str, body: &str) {
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.port.send(conn, text.into());
    }

    /// Answers the watches that have an older revision than the list.
    fn answer_watches(&mut self) {
        let rev = self.visible_list().0;
        let outdated: Vec<usize> = self
            .watches
            .iter()
            .filter(|(_, since)| **since < rev)
            .map(|(conn, _)| *conn)
            .collect();
        for conn in outdated {
            if let Some(since) = self.watches.remove(&conn) {
                self.send_list(conn, Some(since));
            }
        }
    }

    fn close(&mut self, conn: usize) {
        self.watches.remove(&conn);
        self.delayed.remove(&conn);
        self.nodes.remove(&conn);
        self.port.close(conn);
    }
}

impl<N: SendTimes> Actor for Discovery<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        for (conn, event) in &events {
            match event {
                ConnectionEvent::Accepted(node) => drop(self.nodes.insert(*conn, *node)),
                ConnectionEvent::Received => self.read_request(*conn),
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } => self.close(*conn),
                ConnectionEvent::Connected => {}
            }
        }
        self.events = events;
        while let Some(timer) = self.port.pop_due() {
            match timer {
                Timer::WatchTimeout(conn, serial) => {
                    let is_same = self
                        .port
                        .connection(conn)
                        .is_some_and(|l| l.serial == serial);
                    // The timer of a closed connection does not apply to a later one with the same index.
                    if !is_same {
                        continue;
                    }
                    if let Some(since) = self.watches.remove(&conn) {
                        self.send_list(conn, Some(since));
                    }
                }
                Timer::DelayedResponse(conn, serial) => {
                    let is_same = self
                        .port
                        .connection(conn)
                        .is_some_and(|l| l.serial == serial);
                    if !is_same {
                        continue;
                    }
                    if let Some(since) = self.delayed.remove(&conn) {
                        self.send_list(conn, since);
                    }
                }
                Timer::Retired => self
                    .port
                    .conns()
                    .into_iter()
                    .for_each(|conn| self.close(conn)),
            }
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        let mut changed = false;
        while let Some(command) = self.command_queue.pop() {
            match command {
                ControlCommand::Change(listed) => {
                    self.rev += 1;
                    self.entries.insert(listed.uid.clone(), (self.rev, listed));
                    changed = true;
                }
                ControlCommand::Fail(fail) => {
                    self.is_failing = fail;
                    if fail {
                        let all: Vec<usize> = self.watches.keys().copied().collect();
                        for conn in all {
                            self.close(conn);
                        }
                    }
                }
                ControlCommand::Late(delay) => self.response_delay = delay,
                ControlCommand::Stale(true) => self.frozen = Some((self.rev, self.entries.clone())),
                ControlCommand::Stale(false) => {
                    self.frozen = None;
                    changed = true;
                }
                ControlCommand::CountFrom(rev) => {
                    (self.rev, self.first_rev) = (rev, rev);
                    self.entries
                        .values_mut()
                        .for_each(|(changed_at, _)| *changed_at = rev);
                }
                ControlCommand::Retire(after) => {
                    self.port.close_listeners();
                    self.port.set_timer(self.port.now() + after, Timer::Retired);
                }
            }
        }
        if changed {
            self.answer_watches();
        }
        Some(self.port.next_due())
    }
}
