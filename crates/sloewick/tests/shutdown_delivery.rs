//! A process that is told to stop delivers what its clients are owed: it ends when their machines have acknowledged it, or when a
//! bound is reached. Uses real connections and processes.
//!
//! The environment variable `SHUTDOWN_SEEDS` sets the seeds from which lengths, paces, counts and moments are drawn.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

/// The longest deadline of the settings.
const LONGEST_DEADLINE_MS: u32 = 2000;
/// When the platform kills a process at the earliest: the longest deadline and 0.7 s after SIGTERM.
const EARLIEST_KILL: Duration = Duration::from_millis(2700);
/// How much later than the last acknowledgement a process may end.
const MAX_EXIT_DELAY: Duration = Duration::from_millis(1500);
/// How long a process may stay for a client that takes nothing.
const MAX_STAY: Duration = Duration::from_secs(20);
const DEFAULT_SEEDS: u64 = 2;
const CLIENTS_PER_SEED: u64 = 8;

fn site_settings() -> Value {
    let mut settings = settings_with_deadline(f64::from(LONGEST_DEADLINE_MS));
    settings["policy_limits"]["try_limit"] = json!(5);
    settings["policy_limits"]["connect_timeout"] = json!(75.0);
    settings["realms"][0]["quota_per_s"] = json!(100_000.0);
    settings
}

fn start_servers() -> Vec<PacedServer> {
    start_value_servers(3, Pace::UNLIMITED)
}

fn node_before(servers: &[PacedServer], memory_mb: usize) -> NodeBuilder {
    Node::builder()
        .settings(site_settings())
        .targets(&targets_of(servers))
        .set("/limits/memory_mb", memory_mb)
}

fn read_of(len: usize, id: &str) -> Vec<u8> {
    let (key, fields) = (
        format!("{len}/{id}"),
        format!("c=read,d={LONGEST_DEADLINE_MS}"),
    );
    command(&[b"C.GET", key.as_bytes(), id.as_bytes(), fields.as_bytes()])
}

fn write_of(id: &str) -> Vec<u8> {
    let (key, fields) = (format!("7/{id}"), format!("c=once,d={LONGEST_DEADLINE_MS}"));
    command(&[
        b"C.SET",
        key.as_bytes(),
        id.as_bytes(),
        fields.as_bytes(),
        b"value",
    ])
}

/// Waits for the end of a process that was told to stop at `told`, and kills it if it stays longer than `limit`. Returns when it
/// ended after `told`; None if it was killed.
fn wait_for_exit(node: &mut Node, told: Instant, limit: Duration) -> Option<Duration> {
    while told.elapsed() < limit {
        if node.has_ended() {
            return Some(told.elapsed());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    None
}

#[test]
fn long_values_and_the_responses_behind_them_outlive_sigterm() {
    const LEN: usize = 2 << 20;
    let servers = start_servers();
    let mut node = node_before(&servers, 192).start();
    let address = node.address;
    let reading = Reading::paced(Pace::within(LEN, Duration::from_millis(4200), 120));
    let clients: Vec<_> = (0..6)
        .map(|number| {
            std::thread::spawn(move || {
                let mut client = SlowClient::connect(address, reading);
                let commands = [
                    read_of(LEN, &format!("r-{number}")),
                    write_of(&format!("w-{number}")),
                    command(&[b"PING"]),
                ];
                client.send(commands.concat());
                (client.read_responses(3), Instant::now())
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    node.signal("TERM");
    let told = Instant::now();
    let ended = wait_for_exit(&mut node, told, Duration::from_secs(9));
    let mut last_delivered = told;
    for client in clients {
        let (responses, at) = client.join().unwrap();
        let expected = [
            Response::Value(LEN),
            Response::Value(7),
            Response::Line("+PONG".to_string()),
        ];
        assert_eq!(responses, expected);
        last_delivered = last_delivered.max(at);
    }
    let ended = ended.expect("the process stays although it owes nothing");
    assert!(ended < last_delivered - told + MAX_EXIT_DELAY, "{ended:?}");
}

// The system's buffers hold the whole value when the process is told to stop; a command after that must not destroy it.
#[test]
fn value_that_the_system_holds_outlives_sigterm_and_a_later_command() {
    const LEN: usize = 200 << 10;
    let servers = start_servers();
    let mut node = node_before(&servers, 192).start();
    let reading = Reading::paced(Pace::within(LEN, Duration::ZERO, 13))
        .with_rest(16 << 10, Duration::from_secs(4));
    let mut client = SlowClient::connect(node.address, reading);
    client.send(read_of(LEN, "r1"));
    let mut writer = client.stream.try_clone().unwrap();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(3800));
        let _ = writer.write_all(&command(&[b"PING"]));
    });
    std::thread::sleep(Duration::from_millis(300));
    node.signal("TERM");
    assert_eq!(client.read_response(), Response::Value(LEN));
    assert!(node.wait().success());
}

#[test]
fn response_that_is_forced_at_the_end_comes_behind_the_value_that_is_still_read() {
    const LEN: usize = 1 << 20;
    let log = ReceivedLog::default();
    let reply_to: Arc<ReplyTo> = Arc::new(|received| {
        let is_silent = received.id.contains("silent");
        (!is_silent).then(|| PacedReply::value(LEN))
    });
    let servers = [PacedServer::start(1, Pace::UNLIMITED, &log, reply_to)];
    // The deadlines are so long that the end of the process comes first.
    let node = node_before(&servers, 192).settings(settings()).start();
    let reading = Reading::paced(Pace::within(LEN, Duration::from_secs(6), 100));
    let mut client = SlowClient::connect(node.address, reading);
    client.send([read_of(LEN, "r1"), write_of("silent"), read_of(LEN, "r2")].concat());
    std::thread::sleep(Duration::from_millis(300));
    node.signal("TERM");
    let expected = [
        Response::Value(LEN),
        Response::Line(FAILED.to_string()),
        Response::Value(LEN),
    ];
    assert_eq!(client.read_responses(3), expected);
}

#[test]
fn clients_that_are_owed_nothing_do_not_hold_up_a_shutdown() {
    let servers = start_servers();
    let mut node = node_before(&servers, 192).start();
    let idle: Vec<SlowClient> = (0..5)
        .map(|number| {
            let mut client = SlowClient::connect(node.address, Reading::AT_ONCE);
            client.send(read_of(100, &format!("i-{number}")));
            assert_eq!(client.read_response(), Response::Value(100));
            client
        })
        .collect();
    let mut unfinished = SlowClient::connect(node.address, Reading::AT_ONCE);
    unfinished.send(b"*4\r\n$5\r\nC.GET\r\n$3\r\nk");
    let flood = TcpStream::connect(node.address).unwrap();
    flood.set_write_timeout(Some(WAIT_LIMIT)).unwrap();
    let is_over = Arc::new(AtomicBool::new(false));
    let threads = [
        spawn_flood(flood.try_clone().unwrap(), &is_over),
        spawn_reader(flood),
    ];
    std::thread::sleep(Duration::from_millis(300));
    node.signal("TERM");
    let ended = wait_for_exit(&mut node, Instant::now(), EARLIEST_KILL);
    is_over.store(true, Ordering::Relaxed);
    drop(idle);
    drop(node);
    for thread in threads {
        thread.join().unwrap();
    }
    assert!(ended.is_some(), "the process stays and owes nothing");
}

/// Sends PING without end.
fn spawn_flood(mut stream: TcpStream, is_over: &Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    let is_over = Arc::clone(is_over);
    std::thread::spawn(move || {
        let commands = command(&[b"PING"]).repeat(50);
        while !is_over.load(Ordering::Relaxed) && stream.write_all(&commands).is_ok() {}
    })
}

/// Reads up to the end of the connection.
fn spawn_reader(mut stream: TcpStream) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let _ = std::io::copy(&mut stream, &mut std::io::sink());
    })
}

#[test]
fn client_that_takes_nothing_holds_up_a_shutdown_for_a_bounded_time() {
    let servers = start_servers();
    let mut node = node_before(&servers, 192).start();
    let mut clients: Vec<SlowClient> = (0..4)
        .map(|_| SlowClient::connect(node.address, Reading::AT_ONCE))
        .collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(read_of(1 << 20, &format!("a-{number}")));
        client.send(read_of(1 << 20, &format!("b-{number}")));
    }
    std::thread::sleep(Duration::from_millis(300));
    node.signal("TERM");
    let ended = wait_for_exit(&mut node, Instant::now(), MAX_STAY);
    assert!(ended.is_some(), "a client that reads nothing holds it up");
}

/// What a client does around a shutdown.
#[derive(Clone, Debug)]
struct Plan {
    reading: Reading,
    /// Lengths of the values that it reads, one behind the other.
    lens: Vec<usize>,
    /// Writes, and a PING, behind them.
    writes: usize,
    /// When it sends further commands after its first ones, and how many.
    later: Vec<(Duration, usize)>,
}

impl Plan {
    fn draw(draw: &mut Draw) -> Plan {
        let max_len = draw.pick(&[256 << 10, 1 << 20, 3 << 20]);
        let mut lens = vec![draw.within(70 << 10..max_len)];
        if draw.below(3) == 0 {
            lens.push(draw.within(10..300 << 10));
        }
        let total: usize = lens.iter().sum();
        let steps = draw.pick(&[12, 60, 400]);
        let pace = Pace::within(total, draw.millis(500..6000), steps);
        let mut reading = Reading::paced(pace);
        if draw.below(2) == 0 {
            let rest_after = draw.pick(&[1, total / 2, total.saturating_sub(20 << 10)]);
            reading = reading.with_rest(rest_after, draw.millis(2000..5000));
        }
        let mut later = Vec::new();
        for _ in 0..draw.below(4) {
            later.push((draw.millis(300..7000), draw.within(1..30)));
        }
        Plan {
            reading,
            lens,
            writes: draw.within(0..4),
            later,
        }
    }
}

/// Plays a plan. Returns the responses to the requests that were sent first, and when they were complete.
fn play(address: SocketAddr, name: &str, plan: &Plan) -> (Vec<Response>, Instant) {
    let mut client = SlowClient::connect(address, plan.reading);
    let mut commands = Vec::new();
    for (number, len) in plan.lens.iter().enumerate() {
        commands.extend(read_of(*len, &format!("{name}-r{number}")));
    }
    for number in 0..plan.writes {
        commands.extend(write_of(&format!("{name}-w{number}")));
    }
    client.send(commands);
    for (after, count) in plan.later.clone() {
        let mut writer = client.stream.try_clone().unwrap();
        std::thread::spawn(move || {
            std::thread::sleep(after);
            let _ = writer.write_all(&command(&[b"PING"]).repeat(count));
        });
    }
    let responses = client.read_responses(plan.lens.len() + plan.writes);
    (responses, Instant::now())
}

// Drawn lengths, paces, rests, commands that arrive until the end, and moments of SIGTERM, also within an evacuation, twice, and at
// the old process of an upgrade.
#[test]
fn drawn_shutdowns_lose_no_response() {
    for seed in seeds("SHUTDOWN_SEEDS", DEFAULT_SEEDS) {
        let mut draw = Draw::new(seed);
        let servers = start_servers();
        let admin = free_address();
        let memory_mb = draw.pick(&[64, 192]);
        let mut builder = node_before(&servers, memory_mb).admin(admin);
        let socket = listener();
        if draw.below(3) == 0 {
            // The old process of an upgrade.
            builder = builder
                .command(program_inheriting(&socket))
                .listen(socket.local_addr().unwrap());
        }
        let mut node = builder.start();
        let address = node.address;
        let clients: Vec<_> = (0..CLIENTS_PER_SEED)
            .map(|number| {
                let plan = Plan::draw(&mut draw);
                std::thread::spawn(move || {
                    let name = format!("{seed}-{number}");
                    (play(address, &name, &plan), plan)
                })
            })
            .collect();
        std::thread::sleep(draw.millis(250..1200));
        if draw.below(3) == 0 {
            assert_eq!(admin_request(admin, "POST", "/api/evacuate").0, 200);
            std::thread::sleep(draw.millis(1..3000));
        }
        node.signal("TERM");
        let told = Instant::now();
        if draw.below(3) == 0 {
            std::thread::sleep(draw.millis(1..1000));
            node.signal("TERM");
        }
        let (mut last_delivered, mut values) = (told, 0);
        let ended = wait_for_exit(&mut node, told, MAX_STAY);
        for client in clients {
            let ((responses, at), plan) = client.join().unwrap();
            assert!(
                responses.iter().all(Response::is_final),
                "seed {seed}: {responses:?} of {plan:?}"
            );
            // Where there is no memory in which it can be collected, a value fails.
            values += usize::from(matches!(responses[0], Response::Value(_)));
            last_delivered = last_delivered.max(at);
        }
        assert!(values > 0, "seed {seed}: no value");
        let ended = ended.unwrap_or_else(|| panic!("seed {seed}: the process stays"));
        let limit = (last_delivered - told).max(EARLIEST_KILL) + MAX_EXIT_DELAY;
        assert!(
            ended < limit,
            "seed {seed}: ended after {ended:?}, {limit:?}"
        );
    }
}
