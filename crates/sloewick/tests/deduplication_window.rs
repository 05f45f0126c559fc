//! Repeats of writes with an idempotency key: none reaches a cache server's program after the servers have forgotten the first
//! attempt, however slowly that program reads. The servers here read on from what the kernels hold, as a real program does.

mod support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

/// How long the servers deduplicate a write, counted from its first attempt.
const WINDOW: Duration = Duration::from_millis(500);
/// Later than the window by its tolerance: 50 ms for sockets, and 150 ms for which a node may be held up.
const AFTER_WINDOW: Duration = Duration::from_millis(WINDOW.as_millis() as u64 + 200);
/// How long a client waits for its response.
const DEADLINE_MS: u64 = 2_000;
/// Length of a write that the socket buffers do not hold.
const LONG: usize = 4 << 20;
/// Length of a write that one server has not read when the other one answers it.
const HEDGED: usize = 512 << 10;
/// Length of a write that a server reads at once.
const SHORT: usize = 100;

/// More than a server's kernel holds of a request that its program does not read.
const BUFFERED: usize = 64 << 10;
/// Writes that are served before a hedged request is expected.
const WRITES_BEFORE_HEDGING: usize = 30;

/// Settings with a class `keyed` whose writes are deduplicated by all servers, and whose late responses count.
fn keyed_settings() -> Value {
    let mut settings = settings();
    settings["classes"][1] = json!({
        "name": "keyed", "aim": 1_000.0, "deadline": DEADLINE_MS as f64, "repeat": "guarded", "dedup_scope": "all",
        "window": WINDOW.as_millis() as f64, "worth": 5.0, "late_share": 0.5,
    });
    settings["policy_limits"]["try_limit"] = json!(3);
    settings
}

/// A node before two cache servers with small receive buffers, and a client of it.
struct Site {
    servers: [TcpListener; 2],
    node: Node,
    client: Peer,
    /// Number of other requests that were served.
    others: usize,
}

impl Site {
    fn new(settings: Value) -> Site {
        let (servers, targets) = two_servers();
        for server in &servers {
            let socket = socket2::SockRef::from(server);
            socket.set_recv_buffer_size(4096).unwrap();
        }
        let node = Node::builder().settings(settings).targets(&targets).start();
        let client = node.client();
        Site {
            servers,
            node,
            client,
            others: 0,
        }
    }

    /// Sends a request of a new key on a connection of its own and serves it. Returns the number of the server.
    fn serve_other(&mut self, command_name: &[u8]) -> usize {
        self.others += 1;
        let id = format!("other-{}", self.others);
        let key = format!("key-{}", self.others);
        let fields = match command_name {
            b"C.SET" => format!("c=keyed,t=acme,d={DEADLINE_MS},k={id}"),
            _ => format!("c=read,t=acme,d={DEADLINE_MS}"),
        };
        let mut words = vec![
            command_name,
            key.as_bytes(),
            id.as_bytes(),
            fields.as_bytes(),
        ];
        if command_name == b"C.SET" {
            words.push(b"value");
        }
        let mut client = self.node.client();
        client.send(command(&words));
        let (server, mut conn) = accept_either(&self.servers);
        assert_eq!(conn.read_command()[2], id);
        conn.send(hit_reply(b"served"));
        assert_eq!(client.read_bulk(), b"served");
        conn.close();
        server
    }

    /// Sends a write with an idempotency key.
    fn send_write(&mut self, id: &str, key: &str, len: usize) {
        let fields = format!("c=keyed,t=acme,d={DEADLINE_MS},k=write-{id}");
        let value = vec![b'v'; len];
        let words = [
            b"C.SET",
            key.as_bytes(),
            id.as_bytes(),
            fields.as_bytes(),
            &value,
        ];
        self.client.send(command(&words));
    }

    /// Accepts the first attempt, reads it completely and lets `fail` end it.
    fn fail_first_attempt(&mut self, fail: impl FnOnce(Peer)) -> Instant {
        let (_, mut conn) = accept_either(&self.servers);
        conn.read_command();
        let ran = Instant::now();
        fail(conn);
        ran
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Reads what the kernels hold of a request. Returns whether all of it arrived on a connection that had not ended, so that the
/// server runs it.
fn runs_what_arrives(conn: &mut Peer, len: usize) -> bool {
    conn.stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let mut received = 0;
    loop {
        match std::io::Read::read(&mut conn.stream, &mut [0; 65536]) {
            Ok(0) => return false,
            Ok(n) => received += n,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return received >= len,
            Err(_) => return false,
        }
    }
}

/// Whether a complete request reaches a server that does not look at the state of its connection.
fn receives_all(conn: &mut Peer, len: usize) -> bool {
    conn.stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let mut received = 0;
    while let Ok(n @ 1..) = std::io::Read::read(&mut conn.stream, &mut [0; 65536]) {
        received += n;
    }
    received >= len
}

// Guards against a second effect: a server that reads slowly got the last byte of a repeat after the window.
#[test]
fn long_repeat_does_not_reach_a_slow_reader_after_the_window() {
    for fail in [Peer::reset, Peer::close] {
        let mut site = Site::new(keyed_settings());
        site.send_write("w1", "k1", LONG);
        let ran = site.fail_first_attempt(fail);
        let (_, mut repeat) = accept_either(&site.servers);
        let response = site.client.read_line();
        assert_eq!(response, FAILED, "the write may have run");
        let answered_after = ran.elapsed();
        assert!(
            answered_after < Duration::from_millis(DEADLINE_MS),
            "{answered_after:?}"
        );
        sleep_until(ran + AFTER_WINDOW);
        assert!(!receives_all(&mut repeat, LONG));
    }
}

// The same, if the repeat is in the kernel of a server whose program stands still: it sees that the connection has ended.
#[test]
fn short_repeat_at_a_server_that_stands_still_is_cancelled_at_the_end_of_the_window() {
    for fail in [Peer::reset, Peer::close, |mut conn: Peer| {
        conn.send("!\r\n");
    }] {
        let mut site = Site::new(keyed_settings());
        site.send_write("w1", "k1", SHORT);
        let ran = site.fail_first_attempt(fail);
        let (_, mut repeat) = accept_either(&site.servers);
        sleep_until(ran + AFTER_WINDOW);
        assert!(!runs_what_arrives(&mut repeat, SHORT));
        assert_eq!(site.client.read_line(), FAILED);
    }
}

// The first attempt can be the one that arrives last: it is bound by the window of the repeat that ran before it.
#[test]
fn slow_first_attempt_does_not_arrive_after_the_hedged_request_was_answered() {
    for cancel in [true, false] {
        let mut settings = keyed_settings();
        settings["policy_limits"]["second_copies"] = json!(true);
        settings["policy_limits"]["cancel"] = json!(cancel);
        let mut site = Site::new(settings);
        // A node hedges only while it has seen most requests answered in time.
        for _ in 0..WRITES_BEFORE_HEDGING {
            site.serve_other(b"C.SET");
        }
        site.send_write("w1", "k1", HEDGED);
        let (first, mut slow) = accept_either(&site.servers);
        let mut hedged = accept(&site.servers[1 - first]);
        let socket = socket2::SockRef::from(&hedged.stream);
        socket.set_recv_buffer_size(HEDGED).unwrap();
        hedged.read_command();
        let ran = Instant::now();
        hedged.send(hit_reply(b"receipt"));
        assert_eq!(site.client.read_bulk(), b"receipt");
        sleep_until(ran + AFTER_WINDOW);
        assert!(!receives_all(&mut slow, HEDGED), "cancel {cancel}");
    }
}

// The first attempt may have run at a server that is silent: its hedged request is bound by its window.
#[test]
fn hedged_request_does_not_arrive_after_the_window_of_a_silent_first_attempt() {
    let mut settings = keyed_settings();
    settings["policy_limits"]["second_copies"] = json!(true);
    let mut site = Site::new(settings);
    for _ in 0..WRITES_BEFORE_HEDGING {
        site.serve_other(b"C.SET");
    }
    site.send_write("w1", "k1", HEDGED);
    let (first, mut silent) = accept_either(&site.servers);
    let socket = socket2::SockRef::from(&silent.stream);
    socket.set_recv_buffer_size(HEDGED).unwrap();
    silent.read_command();
    let ran = Instant::now();
    let mut hedged = accept(&site.servers[1 - first]);
    sleep_until(ran + AFTER_WINDOW);
    assert!(!receives_all(&mut hedged, HEDGED));
    // The first attempt, which the server has read, is bound by the window of the hedged request: it ends as well.
    assert_eq!(site.client.read_line(), FAILED);
}

// A repeat that was read within the window keeps its time: its server has answered a request that was written later.
#[test]
fn repeat_that_its_server_has_read_is_answered_after_the_window() {
    let mut site = Site::new(keyed_settings());
    site.send_write("w1", "k1", SHORT);
    let ran = site.fail_first_attempt(Peer::reset);
    let (server, mut repeat) = accept_either(&site.servers);
    assert_eq!(repeat.read_command()[2], "w1");
    while site.serve_other(b"C.GET") != server {}
    sleep_until(ran + AFTER_WINDOW);
    repeat.send(hit_reply(b"receipt"));
    assert_eq!(site.client.read_bulk(), b"receipt");
}

// What a process leaves in its kernel would arrive after its end, when another node repeats the write.
#[test]
fn rest_of_a_write_does_not_arrive_after_the_end_of_the_process() {
    for len in [100 << 10, 300 << 10, 1 << 20] {
        for signal in ["TERM", "KILL"] {
            let mut site = Site::new(keyed_settings());
            site.send_write("w1", "k1", len);
            let (_, mut conn) = accept_either(&site.servers);
            let started = conn.read_until(b"C.SET");
            assert!(started.len() < len);
            site.node.signal(signal);
            site.node.wait();
            assert!(!receives_all(&mut conn, len - BUFFERED), "{len} {signal}");
        }
    }
}

/// How the first attempt of a drawn play ends, after it has run.
const FAILURES: [fn(Peer); 4] = [
    Peer::reset,
    Peer::close,
    |mut conn| conn.send("!\r\n"),
    |mut conn| conn.send("-ERR failed\r\n"),
];
/// Sizes of the writes of drawn plays, in bytes.
const SIZES: [usize; 6] = [SHORT, 5_000, 60_000, 200_000, 1 << 20, 3 << 20];
/// Plays that CI draws. `DEDUPLICATION_SEEDS` sets another number, for a long run by hand.
const DEFAULT_SEEDS: u64 = 8;
/// Plays that run at once.
const PARALLEL_PLAYS: u64 = 8;

/// Reads a request evenly over `span`. Returns when its last byte came, if the connection had not ended by then: the server
/// runs the request.
fn read_over(conn: &mut Peer, len: usize, span: Duration) -> Option<Instant> {
    const PIECES: u32 = 40;
    let piece = len / PIECES as usize + 1;
    let (started, mut received) = (Instant::now(), 0);
    conn.stream
        .set_read_timeout(Some(Duration::from_millis(3 * DEADLINE_MS)))
        .unwrap();
    let mut buffer = vec![0; piece];
    while received < len {
        match std::io::Read::read(&mut conn.stream, &mut buffer) {
            Ok(n @ 1..) => received += n,
            _ => return None,
        }
        sleep_until(started + span.mul_f64(received as f64 / len as f64));
    }
    let last_byte = Instant::now();
    runs_what_arrives(conn, 0).then_some(last_byte)
}

/// Plays a write whose first attempt has run and whose repeat is read at a pace that the seed draws.
fn play_repeat(seed: u64) {
    let draw = |salt: u64, below: u64| {
        let mixed = (seed * 31 + salt + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 33) % below
    };
    let len = SIZES[draw(1, SIZES.len() as u64) as usize];
    let stands_still = Duration::from_millis(draw(2, 900));
    let span = Duration::from_millis(draw(3, 900));
    let mut site = Site::new(keyed_settings());
    let sent = Instant::now();
    site.send_write("w1", "k1", len);
    let ran = site.fail_first_attempt(FAILURES[draw(4, FAILURES.len() as u64) as usize]);
    let (_, mut repeat) = accept_either(&site.servers);
    let reader = std::thread::spawn(move || {
        std::thread::sleep(stands_still);
        let last_byte = read_over(&mut repeat, len, span);
        if last_byte.is_some() {
            repeat.send(hit_reply(b"receipt"));
        }
        (last_byte, repeat)
    });
    let response = site.client.read_line();
    let answered = Instant::now();
    let (last_byte, _repeat) = reader.join().unwrap();
    let play = format!("seed {seed}: {len} bytes, still for {stands_still:?}, read over {span:?}");
    if let Some(last_byte) = last_byte {
        let after = last_byte - ran;
        assert!(
            ran + AFTER_WINDOW >= last_byte,
            "{play}: ran again after {after:?}"
        );
    }
    let answered_after = answered - sent;
    assert!(
        answered_after < Duration::from_millis(DEADLINE_MS + 50),
        "{play}: answered after {answered_after:?}"
    );
    assert!(
        !response.starts_with(BUSY) || answered < ran + WINDOW,
        "{play}: {response}"
    );
}

// The same with sizes, paces and kinds of failure drawn from seeds.
#[test]
fn no_drawn_repeat_runs_after_the_window() {
    let seeds = std::env::var("DEDUPLICATION_SEEDS");
    let seeds = seeds.map_or(DEFAULT_SEEDS, |seeds| seeds.parse().unwrap());
    std::thread::scope(|scope| {
        for first in 0..PARALLEL_PLAYS {
            scope.spawn(move || {
                (first..seeds)
                    .step_by(PARALLEL_PLAYS as usize)
                    .for_each(play_repeat);
            });
        }
    });
}
