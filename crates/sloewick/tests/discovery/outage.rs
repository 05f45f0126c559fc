//! A change made during an outage of discovery is applied in time after the outage, whichever way the requests have failed.
//!
//! Guards against unbounded pauses between requests. After a failed request, the decision module determined when the next one
//! was sent; its pause grows to half of `ask_within`, and had no other bound. With `ask_within` of 30 s and an outage of 12 s,
//! a draining server got requests until 14.0 s after the return of discovery; 6 s plus the drain grace period are allowed.
//! After a reset, a 503, a truncated or an unreadable response, the first request reached discovery 13.9 to 14.0 s after its
//! return with `ask_within` of 30 s, and 0.6 to 4.0 s after it with 10 s.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use crate::support::*;
use serde_json::{json, Value};

/// A change counts as announced this long after discovery had it and could be reached.
const ANNOUNCED_AFTER: Duration = Duration::from_secs(6);
/// The drain grace period in the settings.
const GRACE: Duration = Duration::from_millis(400);
/// How long an overloaded service queues a request before it rejects it.
const BACKLOG_WAIT: Duration = Duration::from_millis(2_500);
/// Time between two steps of the emulators.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Durations of the outages in seconds, separated by commas. The environment variable `OUTAGES_S` replaces them.
const DEFAULT_OUTAGES_S: &str = "3,12";

const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// How requests to discovery fail during an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Reset,
    Unavailable,
    CutAnswer,
    UnreadableAnswer,
    /// The connection is refused.
    Refused,
    /// The request is rejected after [`BACKLOG_WAIT`], even if the outage is over by then.
    Backlog,
}

impl Failure {
    const ALL: [Failure; 6] = [
        Failure::Reset,
        Failure::Unavailable,
        Failure::CutAnswer,
        Failure::UnreadableAnswer,
        Failure::Refused,
        Failure::Backlog,
    ];

    /// Ends a request that has been read.
    fn end(self, mut request: Peer) {
        match self {
            Failure::Reset | Failure::Refused => return request.reset(),
            Failure::Unavailable | Failure::Backlog => request.send(UNAVAILABLE),
            Failure::CutAnswer => {
                request
                    .send("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\":42,\"all\":true,");
            }
            Failure::UnreadableAnswer => request.send("\u{1}\u{2}noise"),
        }
        request.close();
    }
}

/// An outage, and the settings of the node.
#[derive(Clone, Copy, Debug)]
struct Case {
    failure: Failure,
    ask_within_ms: u32,
    outage: Duration,
    /// Half way through the outage, discovery moves to another address, where it is down as well.
    moves: bool,
}

/// The discovery service of one node.
struct Discovery {
    address: SocketAddr,
    listener: Option<TcpListener>,
    /// Requests that are rejected after [`BACKLOG_WAIT`], with their arrival times.
    queued: Vec<(Instant, Peer)>,
    /// Arrival times of all requests.
    requests: Vec<Instant>,
    /// Requests since the return of discovery, which stay open. Only the first one gets a response.
    watches: Vec<Peer>,
}

impl Discovery {
    fn new() -> Discovery {
        let listener = listener();
        Discovery {
            address: listener.local_addr().unwrap(),
            listener: Some(listener),
            queued: Vec::new(),
            requests: Vec::new(),
            watches: Vec::new(),
        }
    }

    /// Accepts a waiting connection, if there is one, and reads its request.
    fn next_request(&mut self) -> Option<Peer> {
        let mut peer = try_accept(self.listener.as_ref()?)?;
        peer.read_until(b"\r\n\r\n");
        self.requests.push(Instant::now());
        Some(peer)
    }

    /// Handles the waiting requests during the outage.
    fn fail_requests(&mut self, failure: Failure) {
        while let Some(request) = self.next_request() {
            if failure == Failure::Backlog {
                self.queued.push((Instant::now(), request));
            } else {
                failure.end(request);
            }
        }
        // The listener is closed only after the first request, which shows that the node watches discovery.
        if failure == Failure::Refused && !self.requests.is_empty() {
            self.listener = None;
        }
        self.reject_queued();
    }

    /// Rejects the requests that have been queued for [`BACKLOG_WAIT`].
    fn reject_queued(&mut self) {
        let is_over = |(since, _): &(Instant, Peer)| since.elapsed() >= BACKLOG_WAIT;
        while let Some(at) = self.queued.iter().position(is_over) {
            Failure::Backlog.end(self.queued.remove(at).1);
        }
    }

    /// Handles the waiting requests after the outage.
    fn answer_requests(&mut self, list: &Value) {
        if self.listener.is_none() {
            self.listener = Some(TcpListener::bind(self.address).unwrap());
        }
        while let Some(mut request) = self.next_request() {
            if self.watches.is_empty() {
                request.send_http_json(list);
            }
            self.watches.push(request);
        }
        self.reject_queued();
    }
}

/// Times from the return of discovery, and the requests before it.
#[derive(Debug)]
struct Outcome {
    /// When the first request reached discovery; None if none did.
    first_poll: Option<Duration>,
    /// When the draining server received its last request; zero if that was before the return.
    last_sent: Duration,
    /// Number of requests that the draining server received before the return.
    sent_before: usize,
}

fn start_node(case: Case, discovery: &Discovery, targets: &[Value]) -> Node {
    let mut settings = polling_settings();
    settings["rules"]["ask_within"] = json!(f64::from(case.ask_within_ms));
    settings["rules"]["stop_sending_within"] = json!(GRACE.as_secs_f64() * 1e3);
    Node::builder()
        .settings(settings)
        .targets(targets)
        .set("/discovery", discovery.address.to_string())
        .start()
}

/// Runs the node through the outage, during which one of its two servers starts to drain.
fn run(case: Case) -> Outcome {
    let ([first, second], targets) = two_servers();
    let mut draining = targets[0].clone();
    draining["state"] = json!("terminating");
    let list = endpoint_list(42, true, &[draining, targets[1].clone()]);
    let mut discovery = Discovery::new();
    let node = start_node(case, &discovery, &targets);
    let mut arrivals = Vec::new();
    let mut draining = CacheServer::new(first, |_, _| {
        arrivals.push(Instant::now());
        Some(hit_reply(b"one"))
    });
    let mut other = CacheServer::new(second, |_, _| Some(hit_reply(b"two")));
    let mut traffic = Traffic::to(&node);
    let started = Instant::now();
    let mut has_moved = false;
    let returned_at = loop {
        discovery.fail_requests(case.failure);
        // The outage begins with the first request.
        let down_for = discovery.requests.first().map(Instant::elapsed);
        assert!(
            down_for.is_some() || started.elapsed() < WAIT_LIMIT,
            "{case:?}: no request to discovery"
        );
        let down_for = down_for.unwrap_or_default();
        if case.moves && !has_moved && down_for > case.outage / 2 {
            has_moved = true;
            let requests = std::mem::take(&mut discovery.requests);
            discovery = Discovery::new();
            discovery.requests = requests;
            let mut config: Value = serde_json::from_str(&node.config()).unwrap();
            config["discovery"] = json!(discovery.address.to_string());
            node.reload(&config.to_string());
        }
        if down_for >= case.outage {
            break Instant::now();
        }
        traffic.step();
        draining.poll();
        other.poll();
        std::thread::sleep(POLL_INTERVAL);
    };
    while returned_at.elapsed() < ANNOUNCED_AFTER + GRACE * 2 {
        discovery.answer_requests(&list);
        traffic.step();
        draining.poll();
        other.poll();
        std::thread::sleep(POLL_INTERVAL);
    }
    drop(draining);
    let last_sent = arrivals
        .last()
        .expect("the draining server received no request");
    let first_poll = discovery.requests.iter().find(|at| **at > returned_at);
    Outcome {
        first_poll: first_poll.map(|at| *at - returned_at),
        last_sent: last_sent.saturating_duration_since(returned_at),
        sent_before: arrivals.iter().filter(|at| **at <= returned_at).count(),
    }
}

fn cases() -> Vec<Case> {
    let outages = std::env::var("OUTAGES_S").unwrap_or_else(|_| DEFAULT_OUTAGES_S.to_string());
    let mut cases = Vec::new();
    for outage in outages.split(',') {
        let outage = Duration::from_secs(outage.parse().expect("seconds, separated by commas"));
        for failure in Failure::ALL {
            for ask_within_ms in [10_000, 30_000, 60_000] {
                for moves in [false, true] {
                    cases.push(Case {
                        failure,
                        ask_within_ms,
                        outage,
                        moves,
                    });
                }
            }
        }
    }
    cases
}

#[test]
fn change_made_during_an_outage_of_discovery_is_applied_in_time() {
    let running: Vec<(Case, std::thread::JoinHandle<Outcome>)> = cases()
        .into_iter()
        .map(|case| (case, std::thread::spawn(move || run(case))))
        .collect();
    let mut late = Vec::new();
    let mut longest = Duration::ZERO;
    for (case, outcome) in running {
        let outcome = outcome.join().unwrap();
        let (first_poll, last_sent) = (outcome.first_poll, outcome.last_sent);
        println!("{case:?}: first request to discovery after {first_poll:?}, last one to the server after {last_sent:?}");
        assert!(outcome.sent_before > 0, "{case:?}: {outcome:?}");
        longest = longest.max(outcome.last_sent);
        if outcome.last_sent > ANNOUNCED_AFTER + GRACE {
            late.push(format!("{case:?}: {outcome:?}"));
        }
    }
    println!("longest time from the return of discovery to the last request to the draining server: {longest:?}");
    assert!(late.is_empty(), "{}", late.join("\n"));
}
