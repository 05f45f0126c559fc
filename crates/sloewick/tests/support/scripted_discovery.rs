//! A discovery service that responds to successive requests with scripted faults, and correctly from then on.

use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{endpoint_list, listener, try_accept, Peer};

/// Time between two bytes of a response that is sent byte by byte.
const DRIP_INTERVAL: Duration = Duration::from_millis(150);

/// A connection on loopback that is not established within this time will not be while the listen queue stays full.
const MAX_CONNECT_TIME: Duration = Duration::from_millis(100);
/// Length of the listen queue, in connections.
const BACKLOG: i32 = 128;

/// A fault in the handling of a request to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoveryFault {
    /// The connection is reset.
    Reset,
    /// The response has status 503.
    Unavailable,
    /// The connection is closed before the response has its stated length.
    CutAnswer,
    /// The response is not HTTP.
    UnreadableAnswer,
    /// The response is a complete list without endpoints whose revision is 30 below the current one.
    OlderList,
    /// The connection stays open without a response.
    Silent,
    /// The connection stays open after half of the response.
    HalfAnswer,
    /// The response is sent byte by byte, one every [`DRIP_INTERVAL`].
    DrippedAnswer,
}

impl DiscoveryFault {
    pub(crate) const ALL: [DiscoveryFault; 8] = [
        DiscoveryFault::Reset,
        DiscoveryFault::Unavailable,
        DiscoveryFault::CutAnswer,
        DiscoveryFault::UnreadableAnswer,
        DiscoveryFault::OlderList,
        DiscoveryFault::Silent,
        DiscoveryFault::HalfAnswer,
        DiscoveryFault::DrippedAnswer,
    ];
}

/// An open watch: a request that discovery holds until the list changes or its wait is over.
struct Watch {
    peer: Peer,
    /// The wait requested by the node.
    wait: Duration,
    opened: Instant,
}

/// A response that is being sent byte by byte.
struct DrippedResponse {
    peer: Peer,
    remaining: VecDeque<u8>,
    /// When the next byte is due.
    next_byte: Instant,
}

/// The discovery service of one node; the test calls [`ScriptedDiscovery::step`] repeatedly to drive it.
pub(crate) struct ScriptedDiscovery {
    listener: TcpListener,
    /// Current revision of the endpoint list.
    rev: i64,
    targets: Vec<Value>,
    /// Faults of the next requests, in order.
    faults: VecDeque<DiscoveryFault>,
    watches: Vec<Watch>,
    /// Connections that stay open without a complete response.
    unanswered: Vec<Peer>,
    dripped: Vec<DrippedResponse>,
    /// Connections that fill the listen queue, so that no further one is established.
    fillers: Vec<TcpStream>,
    /// Arrival time and path of each request.
    pub(crate) requests: Vec<(Instant, String)>,
}

impl ScriptedDiscovery {
    pub(crate) fn new(rev: i64, targets: &[Value]) -> ScriptedDiscovery {
        ScriptedDiscovery {
            listener: listener(),
            rev,
            targets: targets.to_vec(),
            faults: VecDeque::new(),
            watches: Vec::new(),
            unanswered: Vec::new(),
            dripped: Vec::new(),
            fillers: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// From now on no connection is established: the listen queue is full, and the kernel drops each SYN.
    pub(crate) fn let_no_connection_up(&mut self) {
        socket2::SockRef::from(&self.listener).listen(0).unwrap();
        let address = self.address();
        while let Ok(filler) = TcpStream::connect_timeout(&address, MAX_CONNECT_TIME) {
            self.fillers.push(filler);
        }
    }

    /// Lets connections be established again.
    pub(crate) fn let_connections_up(&mut self) {
        for filler in self.fillers.drain(..) {
            drop(self.listener.accept().unwrap());
            drop(filler);
        }
        socket2::SockRef::from(&self.listener)
            .listen(BACKLOG)
            .unwrap();
    }

    /// Whether the listen queue is filled, so that no connection is established.
    fn is_blocking_connections(&self) -> bool {
        !self.fillers.is_empty()
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// How long a watch with at least this wait has been open, or None if there is none.
    pub(crate) fn watched_for(&self, wait: Duration) -> Option<Duration> {
        let watch = self.watches.iter().find(|watch| watch.wait >= wait);
        watch.map(|watch| watch.opened.elapsed())
    }

    /// Time until the wait of the open watch is over; zero without a watch.
    pub(crate) fn rest_of_wait(&self) -> Duration {
        let remaining = |watch: &Watch| watch.wait.saturating_sub(watch.opened.elapsed());
        self.watches.iter().map(remaining).max().unwrap_or_default()
    }

    /// Drops the connections of a node process that has ended.
    pub(crate) fn forget_connections(&mut self) {
        self.watches.clear();
        self.unanswered.clear();
        self.dripped.clear();
    }

    /// Changes the endpoint list. The open watch and the requests after it get these faults in order.
    pub(crate) fn change(&mut self, targets: &[Value], faults: &[DiscoveryFault]) {
        self.rev += 1;
        self.targets = targets.to_vec();
        self.faults = faults.iter().copied().collect();
        for watch in std::mem::take(&mut self.watches) {
            self.respond(watch.peer);
        }
    }

    /// Accepts requests and sends all responses that are due.
    pub(crate) fn step(&mut self) {
        self.end_expired_watches();
        self.send_dripped_bytes();
        if self.is_blocking_connections() {
            return;
        }
        while let Some(mut peer) = try_accept(&self.listener) {
            let header = String::from_utf8(peer.read_until(b"\r\n\r\n")).unwrap();
            let path = header.split(' ').nth(1).unwrap().to_string();
            self.requests.push((Instant::now(), path.clone()));
            match query_number(&path, "since=") {
                Some(since) if since == self.rev && self.faults.is_empty() => {
                    let wait = query_number(&path, "timeout_ms=").unwrap_or_default();
                    self.watches.push(Watch {
                        peer,
                        wait: Duration::from_millis(wait as u64),
                        opened: Instant::now(),
                    });
                }
                _ => self.respond(peer),
            }
        }
    }

    /// Responds to watches whose wait is over, with an empty delta.
    fn end_expired_watches(&mut self) {
        let has_expired = |watch: &Watch| watch.opened.elapsed() >= watch.wait;
        while let Some(at) = self.watches.iter().position(has_expired) {
            let mut watch = self.watches.swap_remove(at);
            let empty_delta = endpoint_list(self.rev, false, &[]);
            send_if_open(&mut watch.peer, http_response(&empty_delta).as_bytes());
        }
    }

    fn send_dripped_bytes(&mut self) {
        for response in &mut self.dripped {
            if response.next_byte <= Instant::now() {
                response.next_byte += DRIP_INTERVAL;
                let byte = response.remaining.pop_front();
                send_if_open(&mut response.peer, byte.as_slice());
            }
        }
    }

    /// Responds with the complete list, or with the next scripted fault.
    fn respond(&mut self, mut peer: Peer) {
        let list = http_response(&endpoint_list(self.rev, true, &self.targets));
        let (half, _) = list.split_at(list.len() / 2);
        let Some(fault) = self.faults.pop_front() else {
            return send_if_open(&mut peer, list.as_bytes());
        };
        match fault {
            DiscoveryFault::Reset => return peer.reset(),
            DiscoveryFault::Unavailable => {
                let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                send_if_open(&mut peer, text.as_bytes());
            }
            DiscoveryFault::CutAnswer => send_if_open(&mut peer, half.as_bytes()),
            DiscoveryFault::UnreadableAnswer => send_if_open(&mut peer, b"\x01\x02noise"),
            DiscoveryFault::OlderList => {
                let older = endpoint_list(self.rev - 30, true, &[]);
                send_if_open(&mut peer, http_response(&older).as_bytes());
            }
            DiscoveryFault::Silent => return self.unanswered.push(peer),
            DiscoveryFault::HalfAnswer => {
                send_if_open(&mut peer, half.as_bytes());
                return self.unanswered.push(peer);
            }
            DiscoveryFault::DrippedAnswer => {
                return self.dripped.push(DrippedResponse {
                    peer,
                    remaining: list.bytes().collect(),
                    next_byte: Instant::now(),
                });
            }
        }
        peer.close();
    }
}

pub(crate) fn http_response(list: &Value) -> String {
    let body = list.to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Sends to the node, which may have closed the connection.
pub(crate) fn send_if_open(peer: &mut Peer, bytes: &[u8]) {
    let _ = peer.stream.write_all(bytes);
}

/// The number after `name` (which ends with `=`) in the query of a path.
pub(crate) fn query_number(path: &str, name: &str) -> Option<i64> {
    let (_, value) = path.split_once(name)?;
    let digits = value.split('&').next()?;
    digits.parse().ok()
}
