//! Stand-in for discovery, from the protocol page: the whole list, a watch on changes, 503, late answers, a
//! list that is stale. Each node calls it at an address of its own, which is how it knows whom it told what.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;

use sloewick_decision::api::Micros;

use crate::checker::observations::{AnnouncedState, Event, Recorder};
use crate::commands::CommandQueue;
use crate::port::{Actor, ConnectionEvent, Port, SendTimes};

/// Longest request that is read.
const MAX_HEAD: usize = 8 << 10;

/// One box as it is listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub number: usize,
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub state: AnnouncedState,
}

#[derive(Clone, Debug)]
pub enum ControlCommand {
    /// A box's entry changes.
    Change(Listed),
    /// All calls fail with 503.
    Fail(bool),
    /// Answers are held back so long.
    Late(Micros),
    /// Answers tell the list as it stands now until this ends.
    Stale(bool),
    /// It counts its versions anew from here.
    CountFrom(i64),
    /// Takes no new connection, and closes the open ones after this.
    Retire(Micros),
}

/// By uid: when it last changed, and what stands.
type Entries = BTreeMap<String, (i64, Listed)>;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Waited(usize, u64),
    Answer(usize, u64),
    Retired,
}

pub struct Discovery<N: SendTimes> {
    port: Port<N, Due>,
    command_queue: CommandQueue<ControlCommand>,
    recorder: Recorder,
    rev: i64,
    first: i64,
    entries: Entries,
    /// What is told while the list is stale.
    frozen: Option<(i64, Entries)>,
    nodes: HashMap<usize, usize>,
    /// Versions that waiting calls hold.
    watches: BTreeMap<usize, i64>,
    held: HashMap<usize, Option<i64>>,
    fail: bool,
    late: Micros,
    events: Vec<(usize, ConnectionEvent)>,
}

/// The list as it stands, for whoever runs a site: what a discovery that starts is given, and what a node held
/// when it ended.
#[derive(Clone, Debug)]
pub struct Roster {
    pub rev: i64,
    pub list: Vec<Listed>,
}

impl Roster {
    /// Takes up a change.
    pub fn change(&mut self, listed: &Listed) {
        self.rev += 1;
        self.list.retain(|l| l.uid != listed.uid);
        if listed.state != AnnouncedState::Removed {
            self.list.push(listed.clone());
        }
    }

    /// A discovery starts with this list; its versions go on, or are counted anew.
    pub fn restart(&mut self, list: Vec<Listed>, anew: bool) {
        self.list = list;
        self.rev = if anew { 1 } else { self.rev + 1 };
    }
}

/// The JSON of a list.
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
    /// One address for each node, in their order.
    ///
    /// # Errors
    /// An address cannot be listened on.
    pub fn new(
        net: N,
        at: &[SocketAddr],
        rev: i64,
        list: &[Listed],
        command_queue: CommandQueue<ControlCommand>,
        recorder: Recorder,
    ) -> io::Result<Discovery<N>> {
        let mut port = Port::new(net);
        for address in at {
            port.listen(*address)?;
        }
        Ok(Discovery {
            port,
            command_queue,
            recorder,
            rev,
            first: rev,
            entries: list
                .iter()
                .map(|e| (e.uid.clone(), (rev, e.clone())))
                .collect(),
            frozen: None,
            nodes: HashMap::new(),
            watches: BTreeMap::new(),
            held: HashMap::new(),
            fail: false,
            late: 0,
            events: Vec::new(),
        })
    }

    fn read(&mut self, conn: usize) {
        let Some(line) = self.port.connection(conn) else {
            return;
        };
        let (serial, buf) = (line.serial, &line.buf);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(buf) {
            Ok(httparse::Status::Complete(_)) => {}
            Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD => return,
            _ => return self.port.close(conn),
        }
        let path = request.path.unwrap_or_default().to_string();
        line.buf.clear();
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
        if self.fail || !path.starts_with("/api/targets") {
            return self.reply(conn, "503 Service Unavailable", "");
        }
        let since = number("since");
        let now = self.port.now();
        if self.late > 0 {
            self.held.insert(conn, since);
            return self
                .port
                .set_timer(now + self.late, Due::Answer(conn, serial));
        }
        match since {
            Some(since) if since == self.shown().0 => {
                let wait = number("timeout_ms").unwrap_or(0).clamp(0, 60_000) * 1000;
                self.watches.insert(conn, since);
                self.port.set_timer(now + wait, Due::Waited(conn, serial));
            }
            since => self.send_list(conn, since),
        }
    }

    fn shown(&self) -> (i64, &Entries) {
        match &self.frozen {
            Some((rev, entries)) => (*rev, entries),
            None => (self.rev, &self.entries),
        }
    }

    /// Answers a call with what has changed since then, or with everything.
    fn send_list(&mut self, conn: usize, since: Option<i64>) {
        let node = self.nodes.get(&conn).copied().unwrap_or(0);
        let (rev, entries) = self.shown();
        let since = since.filter(|since| (self.first..=rev).contains(since));
        let sent: Vec<Listed> = entries
            .values()
            .filter(|(at, e)| match since {
                Some(since) => *at > since,
                None => e.state != AnnouncedState::Removed,
            })
            .map(|(_, e)| e.clone())
            .collect();
        let body = list_json(rev, since.is_none(), sent.iter()).to_string();
        // A whole list also tells who is gone.
        let gone: Vec<usize> = match since {
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
        for server in gone {
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

    /// Tells the watches what is new to them.
    fn changed(&mut self) {
        let rev = self.shown().0;
        let due: Vec<usize> = self
            .watches
            .iter()
            .filter(|(_, since)| **since < rev)
            .map(|(conn, _)| *conn)
            .collect();
        for conn in due {
            if let Some(since) = self.watches.remove(&conn) {
                self.send_list(conn, Some(since));
            }
        }
    }

    fn forget(&mut self, conn: usize) {
        self.watches.remove(&conn);
        self.held.remove(&conn);
        self.nodes.remove(&conn);
        self.port.close(conn);
    }
}

impl<N: SendTimes> Actor for Discovery<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        for (conn, what) in &events {
            match what {
                ConnectionEvent::Accepted(node) => drop(self.nodes.insert(*conn, *node)),
                ConnectionEvent::Received => self.read(*conn),
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } => self.forget(*conn),
                ConnectionEvent::Connected => {}
            }
        }
        self.events = events;
        while let Some(due) = self.port.pop_due() {
            match due {
                Due::Waited(conn, serial) => {
                    let same = self
                        .port
                        .connection(conn)
                        .is_some_and(|l| l.serial == serial);
                    // A timer of an earlier connection with this number concerns no other one.
                    if !same {
                        continue;
                    }
                    if let Some(since) = self.watches.remove(&conn) {
                        self.send_list(conn, Some(since));
                    }
                }
                Due::Answer(conn, serial) => {
                    let same = self
                        .port
                        .connection(conn)
                        .is_some_and(|l| l.serial == serial);
                    if !same {
                        continue;
                    }
                    if let Some(since) = self.held.remove(&conn) {
                        self.send_list(conn, since);
                    }
                }
                Due::Retired => self
                    .port
                    .conns()
                    .into_iter()
                    .for_each(|conn| self.forget(conn)),
            }
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        let mut changed = false;
        while let Some(order) = self.command_queue.pop() {
            match order {
                ControlCommand::Change(listed) => {
                    self.rev += 1;
                    self.entries.insert(listed.uid.clone(), (self.rev, listed));
                    changed = true;
                }
                ControlCommand::Fail(fail) => {
                    self.fail = fail;
                    if fail {
                        let all: Vec<usize> = self.watches.keys().copied().collect();
                        for conn in all {
                            self.forget(conn);
                        }
                    }
                }
                ControlCommand::Late(late) => self.late = late,
                ControlCommand::Stale(true) => self.frozen = Some((self.rev, self.entries.clone())),
                ControlCommand::Stale(false) => {
                    self.frozen = None;
                    changed = true;
                }
                ControlCommand::CountFrom(rev) => {
                    (self.rev, self.first) = (rev, rev);
                    self.entries.values_mut().for_each(|(at, _)| *at = rev);
                }
                ControlCommand::Retire(after) => {
                    self.port.close_listeners();
                    self.port.set_timer(self.port.now() + after, Due::Retired);
                }
            }
        }
        if changed {
            self.changed();
        }
        Some(self.port.next_due())
    }
}
