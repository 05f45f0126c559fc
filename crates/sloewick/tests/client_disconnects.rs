//! Clients that disconnect: no attempt begins for them later than 0.1 s after the disconnect, not even if the node gets only
//! a tenth of a core. Uses real connections and processes.
//!
//! The environment variable `LEFT_REQUESTS` sets the number of requests for each way to disconnect. The default is small
//! enough for every test run.

mod support;

use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

/// The operators' limit on the time from a client's disconnect to the start of an attempt for it.
const MAX_START_DELAY: Duration = Duration::from_millis(100);

/// Number of commands that each client sends at once.
const COMMANDS_PER_CLIENT: usize = 100;

/// Disconnects the client and waits until the node's trace shows that it sends nothing more for request `id`. Returns the
/// client if it can still read.
fn disconnect(client: Peer, how: Disconnect, trace: &mut Trace, id: &str) -> Option<Peer> {
    let half_closed = how.apply(client);
    match how {
        Disconnect::Reset => trace.wait_for(&format!(" left id={id}")),
        Disconnect::Close | Disconnect::HalfClose => trace.wait_for(&format!("no-more id={id}")),
    }
    half_closed
}

/// Encodes the requests of a client with this name, which begins their ids.
fn encode_requests(name: &str, deadline_ms: u32) -> Vec<u8> {
    (0..COMMANDS_PER_CLIENT)
        .flat_map(|n| get_command("read", &format!("{name}-{n}"), deadline_ms))
        .collect()
}

/// Sends a request and asserts that it is the first one that arrives at the server.
fn assert_first_request(
    node: &Node,
    server: &TcpListener,
    id: &str,
    context: &dyn std::fmt::Debug,
) {
    let mut next = node.client();
    next.send(read_request(id));
    assert_eq!(accept(server).read_command()[2], id, "{context:?}");
}

/// Time from the disconnect of a client until the node rejects its request, which waits for a connection to the server.
fn delay_until_rejected(how: Disconnect) -> Duration {
    let server = BlockedServer::new();
    let (node, mut trace) = Node::before(&server.listener).start_traced();
    let mut client = node.client();
    client.send_get("r1");
    trace.wait_for("step=Open");
    let started = Instant::now();
    let half_closed = how.apply(client);
    trace.wait_for("no-more id=r1");
    let took = started.elapsed();
    if let Some(mut client) = half_closed {
        assert_eq!(
            (client.read_line().as_str(), client.read_to_end().as_str()),
            (BUSY, "")
        );
    }
    took
}

/// Settings with retries, hedged requests and deadlines of 400 ms.
fn retrying_settings() -> Value {
    let mut set = settings();
    for class in set["classes"].as_array_mut().unwrap() {
        (class["deadline"], class["aim"]) = (json!(400.0), json!(200.0));
    }
    set["policy_limits"]["try_limit"] = json!(3);
    set["policy_limits"]["second_copies"] = json!(true);
    set
}

/// Lengths of the alternating periods in which the process of the node runs and is paused.
#[derive(Clone, Copy, Debug)]
struct Pauses {
    running: Duration,
    paused: Duration,
}

/// Attempts for requests whose clients disconnected, as the cache servers received them.
struct Attempts {
    total: usize,
    /// Number of attempts that began later than [`MAX_START_DELAY`] after the disconnect.
    late: usize,
    /// Longest time from the disconnect to the start of an attempt.
    max_delay: Duration,
}

/// Times of the arrivals of each request, by id. Each is the time of the last poll before the arrival, so that no arrival is
/// dated too late.
type Arrivals = HashMap<String, Vec<Instant>>;

/// Runs a cache server until `stop` is set. It fails one request in three, serves one in three, and leaves the others without
/// a reply, so that requests are retried and hedged.
fn record_arrivals(listener: TcpListener, stop: &AtomicBool) -> Arrivals {
    let mut arrivals = Arrivals::new();
    let mut requests: u64 = 0;
    let mut server = CacheServer::new(listener, |id: &str, since: Instant| {
        arrivals.entry(id.to_string()).or_default().push(since);
        requests += 1;
        match requests % 3 {
            0 => Some(b"-ERR failed\r\n".to_vec()),
            1 => Some(hit_reply(b"value")),
            _ => None,
        }
    });
    while !stop.load(Ordering::Relaxed) {
        server.poll();
        std::thread::sleep(Duration::from_micros(500));
    }
    server.poll();
    drop(server);
    arrivals
}

/// Sends this number of requests from clients that then disconnect. Returns the time of each client's disconnect, by the
/// name of the client.
fn run_clients(node: &Node, how: Disconnect, requests: usize) -> HashMap<String, Instant> {
    let mut disconnects: HashMap<String, Instant> = HashMap::new();
    let mut half_closed = Vec::new();
    for n in 0..requests.div_ceil(COMMANDS_PER_CLIENT) {
        let name = format!("c{n}");
        let mut client = node.client();
        client.send(encode_requests(&name, 400));
        // Some disconnect at once, others when some of their requests have been forwarded.
        std::thread::sleep(Duration::from_millis([0, 5, 30, 90, 150][n % 5]));
        half_closed.extend(how.apply(client));
        disconnects.insert(name, Instant::now());
    }
    // All replies have arrived once all deadlines are over, even if the node gets little CPU time.
    for client in &mut half_closed {
        client.stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        let all = client.read_to_end();
        assert!(
            all.lines().filter(|line| !line.is_empty()).count() >= COMMANDS_PER_CLIENT,
            "{all}"
        );
    }
    disconnects
}

/// Sends this number of requests from clients that disconnect, and counts the attempts for them. Without `pauses` the
/// node runs all the time.
fn count_attempts(how: Disconnect, requests: usize, pauses: Option<Pauses>) -> Attempts {
    let listeners: Vec<TcpListener> = (0..4).map(|_| listener()).collect();
    let targets: Vec<Value> = listeners
        .iter()
        .enumerate()
        .map(|(n, server)| target(&format!("s-{n}"), server))
        .collect();
    let node = Node::builder()
        .settings(retrying_settings())
        .targets(&targets)
        .start();
    let stop = AtomicBool::new(false);
    let (arrivals, disconnects) = std::thread::scope(|scope| {
        let stop = &stop;
        let servers: Vec<_> = listeners
            .into_iter()
            .map(|listener| scope.spawn(move || record_arrivals(listener, stop)))
            .collect();
        if let Some(pauses) = pauses {
            let node = &node;
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    node.signal("STOP");
                    std::thread::sleep(pauses.paused);
                    node.signal("CONT");
                    std::thread::sleep(pauses.running);
                }
            });
        }
        let disconnects = run_clients(&node, how, requests);
        std::thread::sleep(Duration::from_millis(800));
        stop.store(true, Ordering::Relaxed);
        let arrivals: Vec<_> = servers
            .into_iter()
            .flat_map(|server| server.join().unwrap())
            .collect();
        (arrivals, disconnects)
    });
    let attempts = measure_delays(&arrivals, &disconnects);
    println!(
        "{how:?} {pauses:?}: {requests} requests, {} attempts, {} late, longest delay {:?}",
        attempts.total, attempts.late, attempts.max_delay
    );
    attempts
}

/// Measures how long after the disconnects of their clients the requests arrived.
fn measure_delays(
    arrivals: &[(String, Vec<Instant>)],
    disconnects: &HashMap<String, Instant>,
) -> Attempts {
    let (mut total, mut late, mut max_delay) = (0, 0, Duration::ZERO);
    for (id, times) in arrivals {
        let client = id.rsplit_once('-').map(|(name, _)| name);
        let Some(disconnect) = client.and_then(|name| disconnects.get(name)) else {
            continue;
        };
        for at in times {
            total += 1;
            let delay = at.saturating_duration_since(*disconnect);
            max_delay = max_delay.max(delay);
            late += usize::from(delay > MAX_START_DELAY);
        }
    }
    Attempts {
        total,
        late,
        max_delay,
    }
}

/// Number of requests for each way to disconnect.
fn request_count() -> usize {
    std::env::var("LEFT_REQUESTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(500)
}

/// Accepts waiting connections into `conns`, and reads one request from each connection that has data. Returns the ids.
fn take_request_ids(conns: &mut Vec<Peer>, server: &TcpListener) -> Vec<String> {
    accept_pending(server, conns);
    let mut ids = Vec::new();
    for conn in conns {
        let mut byte = [0];
        if conn.has_data() && conn.stream.peek(&mut byte).is_ok_and(|n| n > 0) {
            ids.push(conn.read_command()[2].clone());
        }
    }
    ids
}

#[test]
fn half_closed_client_receives_its_reply() {
    let server = listener();
    let node = Node::with_server(&server);
    let mut client = node.client();
    client.send_get("r1");
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut conn = accept(&server);
    conn.read_command();
    conn.send(hit_reply(b"one"));
    assert_eq!(client.read_bulk(), b"one");
    assert_eq!(client.read_to_end(), "");
}

#[test]
fn attempts_of_a_disconnected_client_are_cancelled() {
    let mut request = ForwardedRequest::new();
    request.client.reset();
    assert_eq!(request.conn.read_to_end(), "");
}

#[test]
fn request_waiting_for_its_connection_is_not_sent_for_a_disconnected_client() {
    for how in Disconnect::ALL {
        let mut server = BlockedServer::new();
        let (node, mut trace) = Node::before(&server.listener).start_traced();
        let mut client = node.client();
        client.send_get("r1");
        trace.wait_for("step=Open");
        let mut half_closed = disconnect(client, how, &mut trace, "r1");
        if let Some(client) = &mut half_closed {
            // The half-closed client gets exactly one final response: nothing has run.
            assert_eq!(
                (client.read_line().as_str(), client.read_to_end().as_str()),
                (BUSY, "")
            );
        }
        server.unblock();
        // The connection is established and used for the next request, which is the first one that the server receives on it.
        let mut next = node.client();
        next.send_get("r2");
        let mut conn = accept(&server.listener);
        assert_eq!(conn.read_command()[2], "r2", "{how:?}");
        conn.send(hit_reply(b"two"));
        assert_eq!(next.read_bulk(), b"two");
    }
}

#[test]
fn disconnected_client_gets_no_retry() {
    for how in Disconnect::ALL {
        let (servers, targets) = two_servers();
        let mut set = settings();
        set["policy_limits"]["try_limit"] = json!(3);
        let (node, mut trace) = Node::builder()
            .settings(set)
            .targets(&targets)
            .start_traced();
        let mut client = node.client();
        client.send(read_request("r1"));
        let (_, mut conn) = accept_either(&servers);
        assert_eq!(conn.read_command()[2], "r1");
        let half_closed = disconnect(client, how, &mut trace, "r1");
        conn.reset();
        if let Some(mut client) = half_closed {
            assert_eq!(
                (client.read_line().as_str(), client.read_to_end().as_str()),
                (BUSY, "")
            );
        }
        let mut next = node.client();
        next.send(read_request("r2"));
        let (_, mut conn) = accept_either(&servers);
        assert_eq!(conn.read_command()[2], "r2", "{how:?}");
    }
}

#[test]
fn reply_in_flight_reaches_a_client_that_half_closed() {
    let server = listener();
    let (node, mut trace) = Node::before(&server).start_traced();
    let mut client = node.client();
    client.send_get("r1");
    let mut conn = accept(&server);
    conn.read_command();
    let mut client = disconnect(client, Disconnect::HalfClose, &mut trace, "r1").unwrap();
    conn.send(hit_reply(b"one"));
    assert_eq!(
        (client.read_bulk(), client.read_to_end().as_str()),
        (b"one".to_vec(), "")
    );
}

#[test]
fn queued_commands_are_not_sent_for_a_disconnected_client() {
    // The commands are more than the node accepts at once, and it has few connections to the server: most of the commands
    // wait in the node or in the kernel.
    const COMMANDS: usize = 300;
    for how in Disconnect::ALL {
        let server = listener();
        let (node, mut trace) = Node::before(&server)
            .set("/limits/sockets", 64)
            .start_traced();
        let mut client = node.client();
        let all: Vec<u8> = (0..COMMANDS)
            .flat_map(|i| read_request(&format!("r{i}")))
            .collect();
        client.send(&all);
        let mut conn = accept(&server);
        let mut conns = vec![];
        let first = conn.read_command()[2].clone();
        let mut half_closed = disconnect(client, how, &mut trace, &first);
        conns.push(conn);
        // Requests in flight are served; those queued behind them are not sent.
        let mut sent = 1;
        while let Some(mut conn) = try_accept(&server) {
            conn.read_command();
            sent += 1;
            conns.push(conn);
        }
        assert!(sent < 32, "{sent} connections of 64 descriptors");
        for conn in &mut conns {
            // If the client has closed its connection, the node may have closed the others after the first reply.
            let _ = std::io::Write::write_all(&mut conn.stream, &hit_reply(b"value"));
        }
        if let Some(client) = &mut half_closed {
            let all = client.read_to_end();
            assert_eq!(
                (all.matches("value").count(), all.matches(BUSY).count()),
                (sent, COMMANDS - sent)
            );
        }
        let mut next = node.client();
        next.send(read_request("next"));
        let started = Instant::now();
        let mut seen = Vec::new();
        while !seen.iter().any(|id| id == "next") {
            assert!(started.elapsed() < WAIT_LIMIT, "{seen:?}");
            seen.extend(take_request_ids(&mut conns, &server));
        }
        assert_eq!(seen, ["next"], "{how:?}");
    }
}

#[test]
fn waiting_request_is_rejected_within_half_of_the_allowed_delay() {
    for how in [Disconnect::Close, Disconnect::HalfClose] {
        // A busy machine may delay one of the five measurements, but not all.
        let shortest = (0..5).map(|_| delay_until_rejected(how)).min().unwrap();
        assert!(shortest < MAX_START_DELAY / 2, "{how:?}: {shortest:?}");
    }
}

#[test]
fn commands_of_clients_that_disconnected_while_the_node_was_paused_are_not_sent() {
    for how in Disconnect::ALL {
        let server = listener();
        let node = Node::with_server(&server);
        node.pause();
        let half_closed: Vec<Peer> = (0..4)
            .filter_map(|n| {
                let mut client = node.client();
                client.send(encode_requests(&format!("{how:?}-{n}"), 20_000));
                how.apply(client)
            })
            .collect();
        // Exceeds the longest time for which the node waits for events by more than `MAX_START_DELAY`.
        std::thread::sleep(Duration::from_millis(400));
        node.signal("CONT");
        for mut client in half_closed {
            let all = client.read_to_end();
            assert_eq!(
                all.lines().filter(|line| *line == BUSY).count(),
                COMMANDS_PER_CLIENT,
                "{all}"
            );
        }
        assert_first_request(&node, &server, "next", &how);
    }
}

#[test]
fn client_that_half_closes_after_its_command_is_served() {
    let server = listener();
    let node = Node::with_server(&server);
    for n in 0..20 {
        let mut client = node.client();
        client.send(read_request(&format!("r{n}")));
        let mut client = Disconnect::HalfClose.apply(client).unwrap();
        let mut conn = accept_request(&server, &format!("r{n}"));
        conn.send(hit_reply(b"one"));
        assert_eq!(
            (client.read_bulk(), client.read_to_end().as_str()),
            (b"one".to_vec(), "")
        );
        // The next request is sent on another connection.
        conn.close();
    }
}

#[test]
fn no_attempt_begins_late_for_disconnected_clients() {
    for how in Disconnect::ALL {
        let attempts = count_attempts(how, request_count(), None);
        assert!(attempts.total > 0);
        assert_eq!(attempts.late, 0, "{how:?}: {:?}", attempts.max_delay);
    }
}

#[test]
fn no_attempt_begins_late_for_disconnected_clients_if_the_node_has_a_tenth_of_a_core() {
    let pauses = Pauses {
        running: Duration::from_millis(5),
        paused: Duration::from_millis(45),
    };
    for how in Disconnect::ALL {
        let attempts = count_attempts(how, request_count(), Some(pauses));
        assert!(attempts.total > 0);
        assert_eq!(attempts.late, 0, "{how:?}: {:?}", attempts.max_delay);
    }
}
