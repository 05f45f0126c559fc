//! Clients that go: nothing begins for them later than 0.1 s. Real connections and processes, also with a node that is let
//! run for a tenth of the time only.
//!
//! `LEFT_REQUESTS` is the number of requests for each way to go; unset, few enough for every run.

mod support;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

const BUSY: &str = "-BUSY";
/// What the page allows.
const LATE: Duration = Duration::from_millis(100);
/// Commands that a client sends at once.
const COMMANDS: usize = 100;

/// How a client goes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Closes,
    Resets,
    /// It ends its sending and still listens.
    HalfCloses,
}

const ALL: [Leaves; 3] = [Leaves::Closes, Leaves::Resets, Leaves::HalfCloses];

/// The client goes; one that still listens is handed back.
fn leave(client: Peer, how: Leaves) -> Option<Peer> {
    match how {
        Leaves::Closes => client.close(),
        Leaves::Resets => client.reset(),
        Leaves::HalfCloses => {
            client.stream.shutdown(Shutdown::Write).unwrap();
            return Some(client);
        }
    }
    None
}

fn get(id: &str, deadline: u32) -> Vec<u8> {
    command(&[
        b"C.GET",
        b"k1",
        id.as_bytes(),
        format!("c=read,t=acme,d={deadline}").as_bytes(),
    ])
}

fn hundred(name: &str, deadline: u32) -> Vec<u8> {
    (0..COMMANDS)
        .flat_map(|n| get(&format!("{name}-{n}"), deadline))
        .collect()
}

/// Up to now nothing but this has come to the server; it is the first of what is written there.
fn only(node: &Node, server: &TcpListener, id: &str, why: &dyn std::fmt::Debug) {
    let mut next = node.client();
    next.send(get(id, 20_000));
    assert_eq!(accept(server).command()[2], id, "{why:?}");
}

#[test]
fn what_waits_goes_far_inside_the_bound() {
    for how in [Leaves::Closes, Leaves::HalfCloses] {
        // The machine may hold up a try, not five.
        let least = (0..5).map(|_| refused_after(how)).min().unwrap();
        assert!(least < LATE / 2, "{how:?}: {least:?}");
    }
}

/// How long after its client has gone a request is refused that waits for its connection.
fn refused_after(how: Leaves) -> Duration {
    let server = listener();
    // One connection fits into the queue; while it is there, all others wait.
    rustix::net::listen(&server, 0).unwrap();
    let _filler = TcpStream::connect(server.local_addr().unwrap()).unwrap();
    let mut program = program();
    program.arg("--trace").stderr(Stdio::piped());
    let mut node = Node::start_by(program, settings(), &[target("s-1", &server)], |_| {});
    let (to, lines) = channel();
    let stderr = node.stderr();
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let _ = to.send(line);
        }
    });
    let until = |part: &str| while !lines.recv_timeout(PATIENCE).unwrap().contains(part) {};
    let mut client = node.client();
    client.get("r1");
    until("step=Open");
    let begun = Instant::now();
    let listens = leave(client, how);
    until("no-more id=r1");
    let took = begun.elapsed();
    if let Some(mut client) = listens {
        assert_eq!((client.line().as_str(), client.end().as_str()), (BUSY, ""));
    }
    took
}

#[test]
fn nothing_is_sent_of_commands_that_waited_with_their_connections_while_the_node_stood_still() {
    for how in ALL {
        let server = listener();
        let node = Node::with_server(&server);
        node.stand_still();
        let listening: Vec<Peer> = (0..4)
            .filter_map(|n| {
                let mut client = node.client();
                client.send(hundred(&format!("{how:?}-{n}"), 20_000));
                leave(client, how)
            })
            .collect();
        // Longer than the node waits for news at a time, by more than the bound.
        std::thread::sleep(Duration::from_millis(400));
        node.signal("CONT");
        for mut client in listening {
            let all = client.end();
            assert_eq!(
                all.lines().filter(|line| *line == BUSY).count(),
                COMMANDS,
                "{all}"
            );
        }
        only(&node, &server, "next", &how);
    }
}

#[test]
fn a_client_that_ends_its_sending_behind_a_command_is_served() {
    let server = listener();
    let node = Node::with_server(&server);
    for n in 0..20 {
        let mut client = node.client();
        client.send(get(&format!("r{n}"), 20_000));
        let mut client = leave(client, Leaves::HalfCloses).unwrap();
        let mut conn = accept(&server);
        assert_eq!(conn.command()[2], format!("r{n}"));
        conn.send(served(b"one"));
        assert_eq!(
            (client.bulk(), client.end().as_str()),
            (b"one".to_vec(), "")
        );
        // The next one is sent on a connection of its own.
        conn.close();
    }
}

// ---- bytes that cross an end ----

#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_not_sent_on() {
    let server = listener();
    let mut node = Node::with_server(&server);
    let mut resting = node.client();
    resting.send(command(&[b"PING"]));
    assert_eq!(resting.line(), "+PONG");
    node.signal("TERM");
    assert_eq!(resting.end(), "");
    assert!(!resting.was_reset);
    // The node reads on for a while, and closes over nothing that is unread.
    resting.send(get("r1", 20_000));
    resting.stream.shutdown(Shutdown::Write).unwrap();
    assert!(node.wait().success());
    assert_eq!(resting.end(), "");
    assert!(!resting.was_reset);
    server.set_nonblocking(true).unwrap();
    assert!(
        server
            .accept()
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock),
        "sent on"
    );
}

#[test]
fn half_a_line_from_a_server_whose_connection_ends_serves_nobody() {
    for half in ["*3\r\n$5\r\nhal", "*3\r\n$5", "-BUS", "*"] {
        for how in ALL {
            let server = listener();
            let node = Node::with_server(&server);
            let mut client = node.client();
            client.get("r1");
            let mut conn = accept(&server);
            conn.command();
            conn.send(half);
            let _ended = leave(conn, how);
            // It may have run.
            assert_eq!(client.line(), "-ERR failed", "{half:?} {how:?}");
            // The same on a connection that rests: the next one is sent on another, and has its own answer.
            let mut conn = exchange(&mut client, &server, "r2");
            conn.send(half);
            let _ended = leave(conn, how);
            exchange(&mut client, &server, "r3");
        }
    }
}

// ---- long values ----

#[test]
fn a_long_value_that_goes_on_by_drops_gets_an_end() {
    let server = listener();
    let mut set = settings();
    for class in set["classes"].as_array_mut().unwrap() {
        class["deadline"] = json!(300.0);
    }
    let node = Node::start(set, &[target("s-1", &server)], |_| {});
    let mut client = node.client();
    client.send(get("r1", 300));
    let mut conn = accept(&server);
    conn.command();
    conn.send("*3\r\n$200000\r\nv");
    let begun = Instant::now();
    assert_eq!(client.line(), "$200000");
    while conn.stream.write_all(b"v").is_ok() {
        assert!(begun.elapsed() < PATIENCE, "it goes on without end");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(client.end().len() < 200_000);
}

#[test]
fn a_long_value_that_breaks_off_takes_no_answer_before_it_along() {
    let server = listener();
    let node = Node::with_server(&server);
    let mut client = node.client();
    client.send([command(&[b"PING"]), get("r1", 20_000)].concat());
    let mut conn = accept(&server);
    conn.command();
    conn.send([&b"*3\r\n$200000\r\n"[..], &[b'v'; 100_000]].concat());
    // The client has read nothing yet, and this waits unread at the node.
    while client.stream.peek(&mut [0; 64]).unwrap() < 64 {}
    client.send(get("r2", 20_000));
    let mut next = node.client();
    next.send(command(&[b"PING"]));
    assert_eq!(next.line(), "+PONG");
    conn.reset();
    let mut other = node.client();
    other.send(get("r3", 20_000));
    assert_eq!(accept(&server).command()[2], "r3");
    // The node has ended the connection by now, or does with the next bytes.
    assert_eq!(client.line(), "+PONG");
    let rest = client.end();
    assert!(rest.starts_with("$200000\r\n") && rest.len() < 200_000);
    assert!(!client.was_reset, "closed over bytes that were not read");
}

// ---- the count ----

/// A cache server that tells when each request came: it fails one in three, serves one in three, and leaves the others
/// without an answer. So requests are sent again, and second copies of them.
struct Server {
    listener: TcpListener,
    conns: Vec<(TcpStream, Vec<u8>)>,
    asked: u64,
    /// When each was looked for in vain: it has come since.
    came: HashMap<String, Vec<Instant>>,
    looked: Instant,
}

impl Server {
    fn new(listener: TcpListener) -> Server {
        listener.set_nonblocking(true).unwrap();
        Server {
            listener,
            conns: Vec::new(),
            asked: 0,
            came: HashMap::new(),
            looked: Instant::now(),
        }
    }

    fn turn(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).unwrap();
            stream.set_nodelay(true).unwrap();
            self.conns.push((stream, Vec::new()));
        }
        let now = Instant::now();
        let mut bytes = [0; 4096];
        self.conns.retain_mut(|(stream, buf)| loop {
            match stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(n) => buf.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break true,
                Err(_) => return false,
            }
        });
        for (stream, buf) in &mut self.conns {
            // The id is the third of a command's words; a command ends with its fields.
            let text = String::from_utf8_lossy(buf).into_owned();
            let words: Vec<&str> = text.split("\r\n").collect();
            if words.len() < 10 {
                continue;
            }
            buf.clear();
            self.came
                .entry(words[6].to_string())
                .or_default()
                .push(self.looked);
            self.asked += 1;
            match self.asked % 3 {
                0 => drop(stream.write_all(b"-ERR failed\r\n")),
                1 => drop(stream.write_all(&served(b"value"))),
                _ => {}
            }
        }
        self.looked = now;
    }
}

fn trying_again() -> Value {
    let mut set = settings();
    for class in set["classes"].as_array_mut().unwrap() {
        (class["deadline"], class["aim"]) = (json!(400.0), json!(200.0));
    }
    set["policy_limits"]["try_limit"] = json!(3);
    set["policy_limits"]["second_copies"] = json!(true);
    set
}

/// Attempts in all, and those that came late, for so many requests of clients that go; `share`: how long the node is let
/// run and stopped in turn.
fn count(how: Leaves, requests: usize, share: Option<(u64, u64)>) -> (usize, usize, Duration) {
    let listeners: Vec<TcpListener> = (0..4).map(|_| listener()).collect();
    let known: Vec<Value> = listeners
        .iter()
        .enumerate()
        .map(|(n, server)| target(&format!("s-{n}"), server))
        .collect();
    let node = Node::start(trying_again(), &known, |_| {});
    let over = AtomicBool::new(false);
    let (came, left) = std::thread::scope(|scope| {
        let servers: Vec<_> = listeners
            .into_iter()
            .map(|listener| {
                let over = &over;
                scope.spawn(move || {
                    let mut server = Server::new(listener);
                    while !over.load(Ordering::Relaxed) {
                        server.turn();
                        std::thread::sleep(Duration::from_micros(500));
                    }
                    server.turn();
                    server.came
                })
            })
            .collect();
        if let Some((run, stop)) = share {
            let (node, over) = (&node, &over);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    node.signal("STOP");
                    std::thread::sleep(Duration::from_millis(stop));
                    node.signal("CONT");
                    std::thread::sleep(Duration::from_millis(run));
                }
            });
        }
        let mut left: HashMap<String, Instant> = HashMap::new();
        let mut listening = Vec::new();
        let clients = requests.div_ceil(COMMANDS);
        for n in 0..clients {
            let name = format!("c{n}");
            let mut client = node.client();
            client.send(hundred(&name, 400));
            // Some go at once, some when a part of their commands is out.
            std::thread::sleep(Duration::from_millis([0, 5, 30, 90, 150][n % 5]));
            listening.extend(leave(client, how));
            left.insert(name, Instant::now());
        }
        // What was to come has come when all deadlines are over, also where the node hardly runs.
        for client in &mut listening {
            client.stream.set_read_timeout(Some(PATIENCE)).unwrap();
            let all = client.end();
            assert!(
                all.lines().filter(|line| !line.is_empty()).count() >= COMMANDS,
                "{all}"
            );
        }
        std::thread::sleep(Duration::from_millis(800));
        over.store(true, Ordering::Relaxed);
        let came: Vec<_> = servers
            .into_iter()
            .flat_map(|server| server.join().unwrap())
            .collect();
        (came, left)
    });
    let (mut attempts, mut late, mut worst) = (0, 0, Duration::ZERO);
    for (id, times) in came {
        let Some(gone) = id.rsplit_once('-').and_then(|(name, _)| left.get(name)) else {
            continue;
        };
        for at in times {
            attempts += 1;
            let behind = at.saturating_duration_since(*gone);
            worst = worst.max(behind);
            late += usize::from(behind > LATE);
        }
    }
    println!(
        "{how:?} {share:?}: {requests} requests, {attempts} attempts, {late} late, worst {worst:?}"
    );
    (attempts, late, worst)
}

fn requests() -> usize {
    std::env::var("LEFT_REQUESTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(500)
}

#[test]
fn no_attempt_begins_late_for_clients_that_go() {
    for how in ALL {
        let (attempts, late, worst) = count(how, requests(), None);
        assert!(attempts > 0);
        assert_eq!(late, 0, "{how:?}: {worst:?}");
    }
}

#[test]
fn no_attempt_begins_late_for_clients_that_go_at_a_tenth_of_a_core() {
    for how in ALL {
        let (attempts, late, worst) = count(how, requests(), Some((5, 45)));
        assert!(attempts > 0);
        assert_eq!(late, 0, "{how:?}: {worst:?}");
    }
}
