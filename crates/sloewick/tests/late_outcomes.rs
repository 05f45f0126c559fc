//! Outcomes of attempts that arrive after their request got its final response: none touches other requests of the client.

mod support;

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

/// The deadline of all requests, in milliseconds.
const DEADLINE_MS: u32 = 600;
/// Reads that are served before a hedged request is expected: a node hedges only while it has seen most requests answered.
const READS_BEFORE_HEDGING: usize = 30;
/// Length of a value that is streamed.
const LONG: usize = 200_000;
/// How long a stream without a reader could last in a node: the deadline twice, and a margin.
const LONGEST_STREAM: Duration = Duration::from_millis(2 * DEADLINE_MS as u64 + 800);

/// Settings with hedged requests, whose losing attempts continue after the final response.
fn hedging_settings() -> Value {
    let mut settings = settings_with_deadline(f64::from(DEADLINE_MS));
    for class in settings["classes"].as_array_mut().unwrap() {
        class["aim"] = json!(f64::from(DEADLINE_MS));
    }
    settings["policy_limits"]["try_limit"] = json!(2);
    settings["policy_limits"]["second_copies"] = json!(true);
    settings["policy_limits"]["cancel"] = json!(false);
    settings
}

/// A node before two cache servers, and the connections of both.
struct Site {
    servers: [TcpListener; 2],
    conns: [Vec<Peer>; 2],
    node: Node,
    requests: usize,
}

impl Site {
    fn new() -> Site {
        Site::with_program(program())
    }

    fn with_program(program: Command) -> Site {
        let (servers, targets) = two_servers();
        let node = Node::builder()
            .command(program)
            .settings(hedging_settings())
            .targets(&targets)
            .start();
        let mut site = Site {
            servers,
            conns: [Vec::new(), Vec::new()],
            node,
            requests: 0,
        };
        let mut client = site.node.client();
        for _ in 0..READS_BEFORE_HEDGING {
            site.exchange(&mut client);
        }
        site
    }

    fn send(&mut self, client: &mut Peer) -> String {
        self.requests += 1;
        let id = format!("r{}", self.requests);
        let fields = format!("c=read,t=acme,d={DEADLINE_MS}");
        let key = format!("key-{id}");
        client.send(command(&[
            b"C.GET",
            key.as_bytes(),
            id.as_bytes(),
            fields.as_bytes(),
        ]));
        id
    }

    /// Waits for an attempt with this id at either server, on a new or an earlier connection, and returns its connection.
    fn receive(&mut self, id: &str) -> (usize, Peer) {
        let started = Instant::now();
        loop {
            for server in 0..2 {
                accept_pending(&self.servers[server], &mut self.conns[server]);
                if let Some(at) = self.conns[server].iter().position(Peer::has_data) {
                    let mut conn = self.conns[server].remove(at);
                    if conn.read_to_command().is_some_and(|words| words[2] == id) {
                        return (server, conn);
                    }
                }
            }
            assert!(started.elapsed() < WAIT_LIMIT, "no attempt of {id}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Sends a request and serves it.
    fn exchange(&mut self, client: &mut Peer) {
        let id = self.send(client);
        let (server, mut conn) = self.receive(&id);
        conn.send(hit_reply(id.as_bytes()));
        assert_eq!(client.read_bulk(), id.as_bytes());
        self.conns[server].push(conn);
    }

    /// Sends a request whose hedged request is answered first; returns the connection of the attempt that is still out.
    fn request_with_losing_attempt(&mut self, client: &mut Peer) -> Peer {
        let id = self.send(client);
        let (_, losing) = self.receive(&id);
        let (server, mut winning) = self.receive(&id);
        winning.send(hit_reply(id.as_bytes()));
        assert_eq!(client.read_bulk(), id.as_bytes());
        self.conns[server].push(winning);
        losing
    }
}

/// What a server does with an attempt whose request has its final response already.
#[derive(Clone, Copy, Debug)]
enum LateOutcome {
    ShortValue,
    HalfOfShortValue,
    LongValue,
    LongValueBreaksOff,
    LongValueStalls,
    Error,
    Close,
    Reset,
    Silence,
}

const LATE_OUTCOMES: [LateOutcome; 9] = [
    LateOutcome::ShortValue,
    LateOutcome::HalfOfShortValue,
    LateOutcome::LongValue,
    LateOutcome::LongValueBreaksOff,
    LateOutcome::LongValueStalls,
    LateOutcome::Error,
    LateOutcome::Close,
    LateOutcome::Reset,
    LateOutcome::Silence,
];

impl LateOutcome {
    /// Returns the connection if the server leaves it open.
    fn apply(self, mut conn: Peer) -> Option<Peer> {
        let half = [format!("*3\r\n${LONG}\r\n").as_bytes(), &[b'v'; LONG / 2]].concat();
        match self {
            LateOutcome::ShortValue => conn.send(hit_reply(b"late")),
            LateOutcome::HalfOfShortValue => conn.send("*3\r\n$4\r\nla"),
            // The node may close the connection before it has taken all bytes.
            LateOutcome::LongValue => conn.try_send(&hit_reply(&[b'v'; LONG])),
            LateOutcome::LongValueStalls => conn.try_send(&half),
            LateOutcome::LongValueBreaksOff => {
                conn.try_send(&half);
                conn.reset();
                return None;
            }
            LateOutcome::Error => conn.send("-ERR failed\r\n"),
            LateOutcome::Close => {
                conn.close();
                return None;
            }
            LateOutcome::Reset => {
                conn.reset();
                return None;
            }
            LateOutcome::Silence => {}
        }
        Some(conn)
    }
}

// Guards against lost requests: the stream of a late long value, which nobody read, ended the connection of its client together
// with the requests that were open on it by then.
#[test]
fn late_outcome_ends_no_other_request_of_its_client() {
    std::thread::scope(|scope| {
        for late_outcome in LATE_OUTCOMES {
            scope.spawn(move || {
                let mut site = Site::new();
                let mut client = site.node.client();
                let losing = site.request_with_losing_attempt(&mut client);
                let _open = late_outcome.apply(losing);
                let late = Instant::now();
                while late.elapsed() < LONGEST_STREAM {
                    site.exchange(&mut client);
                    std::thread::sleep(Duration::from_millis(5));
                }
            });
        }
    });
}

// A late long value that nobody reads holds no connection to its server.
#[test]
fn late_long_value_is_given_up_at_once() {
    for late_outcome in [LateOutcome::LongValue, LateOutcome::LongValueStalls] {
        let mut site = Site::new();
        let mut client = site.node.client();
        let losing = site.request_with_losing_attempt(&mut client);
        let mut open = late_outcome.apply(losing).unwrap();
        let late = Instant::now();
        open.read_to_end();
        let closed_after = late.elapsed();
        assert!(
            closed_after < Duration::from_millis(300),
            "{late_outcome:?}: {closed_after:?}"
        );
    }
}

// The client of a late outcome may have left, and its slot may be that of another client.
#[test]
fn late_outcome_for_a_client_that_left_does_not_touch_the_next_client() {
    for disconnect in [Disconnect::Close, Disconnect::Reset] {
        let mut site = Site::new();
        let mut client = site.node.client();
        let losing = site.request_with_losing_attempt(&mut client);
        disconnect.apply(client);
        std::thread::sleep(Duration::from_millis(50));
        let mut next_client = site.node.client();
        let _open = LateOutcome::LongValue.apply(losing);
        let late = Instant::now();
        while late.elapsed() < LONGEST_STREAM {
            site.exchange(&mut next_client);
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

// What a late answer teaches about its server reaches the decision module, also if nobody reads the value.
#[test]
fn late_long_value_is_reported_as_an_answer_with_its_latency() {
    const LATE: Duration = Duration::from_millis(100);
    let mut traced = program();
    traced.arg("--trace").stderr(Stdio::piped());
    let mut site = Site::with_program(traced);
    let mut client = site.node.client();
    let mut losing = site.request_with_losing_attempt(&mut client);
    let id = format!("r{}", site.requests);
    std::thread::sleep(LATE);
    losing.try_send(&hit_reply(&[b'v'; LONG]));
    losing.read_to_end();
    drop(client);
    let stderr = site.node.shut_down_and_read_stderr();
    let outcome = format!("outcome id={id} n=0 ");
    let line = stderr.lines().find(|line| line.contains(&outcome)).unwrap();
    assert!(line.contains("how=Ok"), "{line}");
    let latency = line
        .split("us=")
        .nth(1)
        .and_then(|rest| rest.split(' ').next());
    let latency: u128 = latency.unwrap().parse().unwrap();
    assert!(latency >= LATE.as_micros(), "{line}");
}
