//! A connection that the node closes still delivers its output, whatever its client sends meanwhile, and for a bounded time.
//! Uses real connections and processes.
//!
//! The environment variable `DELIVERY_SEEDS` sets the seeds from which lengths, moments and counts are drawn.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

const DEFAULT_SEEDS: u64 = 2;
const CLIENTS_PER_SEED: u64 = 12;
const DEADLINE_MS: u32 = 2000;
/// After the call to send clients away, no connection may be idle or have a request from the last 2 s when this is over.
const EVACUATION_TIME: Duration = Duration::from_secs(4);
/// How long a client that takes nothing may hold its connection: the time of a stall and some for the sweep.
const MAX_STALL: Duration = Duration::from_secs(17);
/// The smallest limit on descriptors that a configuration may set, and the slots for clients that it leaves.
const MIN_DESCRIPTORS: usize = 64;
const CLIENT_SLOTS: usize = 24;

fn site_settings() -> Value {
    let mut settings = settings_with_deadline(f64::from(DEADLINE_MS));
    settings["realms"][0]["quota_per_s"] = json!(100_000.0);
    settings
}

fn node_before(servers: &[PacedServer]) -> NodeBuilder {
    Node::builder()
        .settings(site_settings())
        .targets(&targets_of(servers))
}

fn read_of(len: usize, id: &str) -> Vec<u8> {
    encode_reads(id, 1, len, DEADLINE_MS)
}

fn evacuate(admin: SocketAddr) {
    assert_eq!(admin_request(admin, "POST", "/api/evacuate").0, 200);
}

/// Sends commands on a connection from a thread: `count` at a time, `times` times, from `after` on.
fn send_later(client: &SlowClient, after: Duration, count: usize, times: usize, pause: Duration) {
    let mut writer = client.stream.try_clone().unwrap();
    std::thread::spawn(move || {
        std::thread::sleep(after);
        for _ in 0..times {
            if writer
                .write_all(&command(&[b"PING"]).repeat(count))
                .is_err()
            {
                return;
            }
            std::thread::sleep(pause);
        }
    });
}

// The node shut its side 2 s after the call and closed it 1 s later; a command that came then destroyed what the system still held.
#[test]
fn value_that_its_client_still_reads_outlives_an_evacuation_and_later_commands() {
    const LEN: usize = 200 << 10;
    let servers = start_value_servers(2, Pace::UNLIMITED);
    let admin = free_address();
    let node = node_before(&servers).admin(admin).start();
    // Just before the end of sending, between it and the close, after the close; one, many, and without end.
    let sent = [
        (1990, 1, 1),
        (2500, 1, 1),
        (3100, 300, 1),
        (4300, 1, 1),
        (1500, 20, 2000),
    ];
    let clients = sent.map(|(after_ms, count, times)| {
        let reading = Reading::paced(Pace::within(LEN, Duration::ZERO, 13))
            .with_rest(16 << 10, Duration::from_secs(5));
        let mut client = SlowClient::connect(node.address, reading);
        client.send(read_of(LEN, &format!("r-{after_ms}")));
        let after = Duration::from_millis(after_ms);
        send_later(&client, after, count, times, Duration::from_millis(2));
        std::thread::spawn(move || client.read_response())
    });
    std::thread::sleep(Duration::from_millis(100));
    evacuate(admin);
    let responses = clients.map(|client| client.join().unwrap());
    assert!(
        responses.iter().all(|r| *r == Response::Value(LEN)),
        "{responses:?}"
    );
}

#[test]
fn drawn_evacuations_and_commands_destroy_no_value() {
    for seed in seeds("DELIVERY_SEEDS", DEFAULT_SEEDS) {
        let mut draw = Draw::new(seed);
        let servers = start_value_servers(3, Pace::UNLIMITED);
        let admin = free_address();
        let node = node_before(&servers).admin(admin).start();
        let clients: Vec<_> = (0..CLIENTS_PER_SEED)
            .map(|number| {
                let max_len = draw.pick(&[200 << 10, 400 << 10, 2 << 20]);
                let len = draw.within(70 << 10..max_len);
                let pace = Pace::within(len, draw.millis(1..4000), draw.pick(&[8, 100]) as u32);
                let rest_after = draw.pick(&[1, len / 2, len - (10 << 10)]);
                let reading = Reading::paced(pace).with_rest(rest_after, draw.millis(2000..7000));
                let mut client = SlowClient::connect(node.address, reading);
                client.send(read_of(len, &format!("{seed}-{number}")));
                for _ in 0..draw.below(4) {
                    let (count, times) = (draw.pick(&[1, 50, 500]), draw.pick(&[1, 30]));
                    let (after, pause) = (draw.millis(1..7000), draw.millis(1..100));
                    send_later(&client, after, count, times, pause);
                }
                std::thread::spawn(move || (client.read_response(), len, reading))
            })
            .collect();
        std::thread::sleep(draw.millis(50..2000));
        match draw.below(3) {
            0 => node.signal("TERM"),
            _ => evacuate(admin),
        }
        for client in clients {
            let (response, len, reading) = client.join().unwrap();
            assert_eq!(response, Response::Value(len), "seed {seed}: {reading:?}");
        }
    }
}

// A client whose output the system still held was closed for another client's place.
#[test]
fn client_that_has_not_taken_its_value_keeps_its_place() {
    const LEN: usize = 190 << 10;
    let servers = start_value_servers(1, Pace::UNLIMITED);
    let node = node_before(&servers)
        .command(program_with_descriptor_limit(MIN_DESCRIPTORS))
        .set("/limits/sockets", MIN_DESCRIPTORS)
        .start();
    let mut holders: Vec<SlowClient> = Vec::new();
    for number in 0..CLIENT_SLOTS {
        let mut client = SlowClient::connect(node.address, Reading::AT_ONCE);
        client.send(read_of(LEN, &format!("holder-{number}")));
        // The value has been written by the node when its first bytes have come and the next is served.
        client.stream.peek(&mut [0]).unwrap();
        std::thread::sleep(Duration::from_millis(20));
        holders.push(client);
    }
    let mut rejected = 0;
    for number in 0..3 * CLIENT_SLOTS {
        let mut newcomer = SlowClient::connect(node.address, Reading::AT_ONCE);
        newcomer.send(read_of(7, &format!("newcomer-{number}")));
        match newcomer.read_response() {
            Response::Line(line) if line == BUSY => rejected += 1,
            response => assert_eq!(response, Response::Value(7)),
        }
    }
    assert!(rejected > 0, "the places are not taken");
    for holder in &mut holders {
        let _ = holder.stream.write_all(&command(&[b"PING"]));
        assert_eq!(holder.read_response(), Response::Value(LEN));
    }
}

#[test]
fn clients_that_take_nothing_hold_their_places_for_no_longer_than_a_stall() {
    const LEN: usize = 190 << 10;
    let servers = start_value_servers(1, Pace::UNLIMITED);
    let admin = free_address();
    let mut settings = site_settings();
    settings["policy_limits"]["conn_idle"] = json!(1000.0);
    let node = node_before(&servers)
        .settings(settings)
        .admin(admin)
        .command(program_with_descriptor_limit(128))
        .set("/limits/sockets", 128)
        .start();
    let holders: Vec<SlowClient> = (0..200)
        .map(|number| {
            let mut client = SlowClient::connect(node.address, Reading::AT_ONCE);
            client.send(read_of(LEN, &format!("holder-{number}")));
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    evacuate(admin);
    let called = Instant::now();
    let folder = format!("/proc/{}/fd", node.id());
    let descriptors = || std::fs::read_dir(&folder).unwrap().count();
    let filled = descriptors();
    while descriptors() > 30 {
        assert!(
            called.elapsed() < EVACUATION_TIME + MAX_STALL,
            "{filled} descriptors, then {}",
            descriptors()
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    drop(holders);
}

// A connection on which commands are always under way outlived the call.
#[test]
fn connection_with_commands_under_way_ends_in_time_after_an_evacuation() {
    let log = ReceivedLog::default();
    let reply_to: Arc<ReplyTo> =
        Arc::new(|_| Some(PacedReply::value(7).after(Duration::from_millis(30))));
    let servers = [PacedServer::start(1, Pace::UNLIMITED, &log, reply_to)];
    let admin = free_address();
    let node = node_before(&servers).admin(admin).start();
    let stream = TcpStream::connect(node.address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut writer = stream.try_clone().unwrap();
    let over = Arc::clone(&is_over);
    let sender = std::thread::spawn(move || {
        for number in 0.. {
            let request = read_of(7, &format!("r-{number}"));
            if over.load(Ordering::Relaxed) || writer.write_all(&request).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    std::thread::sleep(Duration::from_millis(300));
    evacuate(admin);
    let called = Instant::now();
    let (mut bytes, mut reader) = ([0; 65536], stream);
    while reader.read(&mut bytes).is_ok_and(|n| n > 0) {
        assert!(called.elapsed() < EVACUATION_TIME, "the connection is held");
    }
    is_over.store(true, Ordering::Relaxed);
    sender.join().unwrap();
}
