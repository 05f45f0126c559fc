//! Clients that disconnect: nothing begins for them later than 0.1 s. Real connections and processes, also with a node
//! that is given a tenth of the time only.
//!
//! `LEFT_REQUESTS` is the number of requests for each way to disconnect; unset, few enough for every run.

mod support;

use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

/// The operators' bound on the start of an attempt after its client has disconnected.
const LATE: Duration = Duration::from_millis(100);

/// Commands that a client sends at once.
const COMMANDS: usize = 100;

/// The client disconnects; one that still reads is handed back. Returns when the node will send nothing more for `id`.
fn disconnect(client: Peer, how: Disconnect, trace: &mut Trace, id: &str) -> Option<Peer> {
    let reading = how.apply(client);
    match how {
        Disconnect::Reset => trace.wait_for(&format!(" left id={id}")),
        Disconnect::Close | Disconnect::HalfClose => trace.wait_for(&format!("no-more id={id}")),
    }
    reading
}

/// Requests whose ids begin with this name.
fn requests_named(name: &str, deadline: u32) -> Vec<u8> {
    (0..COMMANDS)
        .flat_map(|n| get_command("read", &format!("{name}-{n}"), deadline))
        .collect()
}

/// Sends a request, which is the first that arrives at the server.
fn assert_first_request(node: &Node, server: &TcpListener, id: &str, why: &dyn std::fmt::Debug) {
    let mut next = node.client();
    next.send(read_request(id));
    assert_eq!(accept(server).read_command()[2], id, "{why:?}");
}

/// How long after the disconnect of its client a request is rejected that waits for its connection.
fn delay_until_rejected(how: Disconnect) -> Duration {
    let server = BlockedServer::new();
    let (node, mut trace) = Node::before(&server.listener).start_traced();
    let mut client = node.client();
    client.send_get("r1");
    trace.wait_for("step=Open");
    let begun = Instant::now();
    let listens = how.apply(client);
    trace.wait_for("no-more id=r1");
    let took = begun.elapsed();
    if let Some(mut client) = listens {
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

/// How often the node is paused and resumed, in turn.
#[derive(Clone, Copy, Debug)]
struct Pauses {
    running: Duration,
    paused: Duration,
}

/// What the cache servers saw of requests whose clients disconnected.
struct Attempts {
    total: usize,
    /// Those that began later than [`LATE`] after the disconnect.
    late: usize,
    worst: Duration,
}

/// When each request arrived, by id: the moment up to which it had not.
type Arrivals = HashMap<String, Vec<Instant>>;

/// Serves until `over`: it fails one request in three, serves one in three, and leaves the others without a reply. So
/// requests are retried and hedged.
fn record_arrivals(listener: TcpListener, over: &AtomicBool) -> Arrivals {
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
    while !over.load(Ordering::Relaxed) {
        server.poll();
        std::thread::sleep(Duration::from_micros(500));
    }
    server.poll();
    drop(server);
    arrivals
}

/// Clients send so many requests and disconnect; the moment of the disconnect of each client, by name.
fn run_clients(node: &Node, how: Disconnect, requests: usize) -> HashMap<String, Instant> {
    let mut disconnects: HashMap<String, Instant> = HashMap::new();
    let mut reading = Vec::new();
    for n in 0..requests.div_ceil(COMMANDS) {
        let name = format!("c{n}");
        let mut client = node.client();
        client.send(requests_named(&name, 400));
        // Some disconnect at once, some when a part of their requests has been forwarded.
        std::thread::sleep(Duration::from_millis([0, 5, 30, 90, 150][n % 5]));
        reading.extend(how.apply(client));
        disconnects.insert(name, Instant::now());
    }
    // All replies have come when all deadlines are over, also where the node hardly runs.
    for client in &mut reading {
        client.stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        let all = client.read_to_end();
        assert!(
            all.lines().filter(|line| !line.is_empty()).count() >= COMMANDS,
            "{all}"
        );
    }
    disconnects
}

/// Attempts for so many requests of clients that disconnect.
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
    let over = AtomicBool::new(false);
    let (arrivals, disconnects) = std::thread::scope(|scope| {
        let over = &over;
        let servers: Vec<_> = listeners
            .into_iter()
            .map(|listener| scope.spawn(move || record_arrivals(listener, over)))
            .collect();
        if let Some(pauses) = pauses {
            let node = &node;
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    node.signal("STOP");
                    std::thread::sleep(pauses.paused);
                    node.signal("CONT");
                    std::thread::sleep(pauses.running);
                }
            });
        }
        let disconnects = run_clients(&node, how, requests);
        std::thread::sleep(Duration::from_millis(800));
        over.store(true, Ordering::Relaxed);
        let arrivals: Vec<_> = servers
            .into_iter()
            .flat_map(|server| server.join().unwrap())
            .collect();
        (arrivals, disconnects)
    });
    let attempts = compare(&arrivals, &disconnects);
    println!(
        "{how:?} {pauses:?}: {requests} requests, {} attempts, {} late, worst {:?}",
        attempts.total, attempts.late, attempts.worst
    );
    attempts
}

fn compare(
    arrivals: &[(String, Vec<Instant>)],
    disconnects: &HashMap<String, Instant>,
) -> Attempts {
    let (mut total, mut late, mut worst) = (0, 0, Duration::ZERO);
    for (id, times) in arrivals {
        let client = id.rsplit_once('-').map(|(name, _)| name);
        let Some(disconnect) = client.and_then(|name| disconnects.get(name)) else {
            continue;
        };
        for at in times {
            total += 1;
            let delay = at.saturating_duration_since(*disconnect);
            worst = worst.max(delay);
            late += usize::from(delay > LATE);
        }
    }
    Attempts { total, late, worst }
}

/// Requests for each way to disconnect.
fn requests() -> usize {
    std::env::var("LEFT_REQUESTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(500)
}

/// Ids of the requests that have arrived on these connections, and on new ones.
fn take_request_ids(conns: &mut Vec<Peer>, server: &TcpListener) -> Vec<String> {
    accept_pending(server, conns);
    let mut ids = Vec::new();
    for conn in conns {
        let mut end = [0];
        if conn.has_data() && conn.stream.peek(&mut end).is_ok_and(|n| n > 0) {
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
        let mut listens = disconnect(client, how, &mut trace, "r1");
        if let Some(client) = &mut listens {
            // Its one final answer: nothing has run.
            assert_eq!(
                (client.read_line().as_str(), client.read_to_end().as_str()),
                (BUSY, "")
            );
        }
        server.unblock();
        // The connection is established and used by the next request, which is the first one written on it.
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
        let listens = disconnect(client, how, &mut trace, "r1");
        conn.reset();
        if let Some(mut client) = listens {
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
    // More commands than the node takes at once, and few connections: most wait, in the node or in the kernel.
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
        let mut listens = disconnect(client, how, &mut trace, &first);
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
            // If the client has closed, the first reply may have ended the other connections.
            let _ = std::io::Write::write_all(&mut conn.stream, &hit_reply(b"value"));
        }
        if let Some(client) = &mut listens {
            let all = client.read_to_end();
            assert_eq!(
                (all.matches("value").count(), all.matches(BUSY).count()),
                (sent, COMMANDS - sent)
            );
        }
        let mut next = node.client();
        next.send(read_request("next"));
        let begun = Instant::now();
        let mut seen = Vec::new();
        while !seen.iter().any(|id| id == "next") {
            assert!(begun.elapsed() < WAIT_LIMIT, "{seen:?}");
            seen.extend(take_request_ids(&mut conns, &server));
        }
        assert_eq!(seen, ["next"], "{how:?}");
    }
}

#[test]
fn waiting_request_is_dropped_well_within_the_allowed_delay() {
    for how in [Disconnect::Close, Disconnect::HalfClose] {
        // The machine may delay one attempt, not five.
        let least = (0..5).map(|_| delay_until_rejected(how)).min().unwrap();
        assert!(least < LATE / 2, "{how:?}: {least:?}");
    }
}

#[test]
fn commands_of_clients_that_disconnected_while_the_node_was_paused_are_not_sent() {
    for how in Disconnect::ALL {
        let server = listener();
        let node = Node::with_server(&server);
        node.pause();
        let listening: Vec<Peer> = (0..4)
            .filter_map(|n| {
                let mut client = node.client();
                client.send(requests_named(&format!("{how:?}-{n}"), 20_000));
                how.apply(client)
            })
            .collect();
        // Longer than the node waits for events at a time, by more than the bound.
        std::thread::sleep(Duration::from_millis(400));
        node.signal("CONT");
        for mut client in listening {
            let all = client.read_to_end();
            assert_eq!(
                all.lines().filter(|line| *line == BUSY).count(),
                COMMANDS,
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
        let attempts = count_attempts(how, requests(), None);
        assert!(attempts.total > 0);
        assert_eq!(attempts.late, 0, "{how:?}: {:?}", attempts.worst);
    }
}

#[test]
fn no_attempt_begins_late_for_disconnected_clients_at_a_tenth_of_a_core() {
    let pauses = Pauses {
        running: Duration::from_millis(5),
        paused: Duration::from_millis(45),
    };
    for how in Disconnect::ALL {
        let attempts = count_attempts(how, requests(), Some(pauses));
        assert!(attempts.total > 0);
        assert_eq!(attempts.late, 0, "{how:?}: {:?}", attempts.worst);
    }
}
