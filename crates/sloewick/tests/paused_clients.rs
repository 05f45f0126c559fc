//! Long values whose clients or servers pause for seconds: none that has begun is cut off for another request, and they do not take
//! every connection from short reads. Uses real connections and processes.
//!
//! The environment variable `PAUSE_SEEDS` sets the seeds from which lengths, paces, pauses and limits are drawn.

mod support;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

const DEFAULT_SEEDS: u64 = 1;
/// The deadline of reads.
const DEADLINE: Duration = Duration::from_millis(400);
/// How late a final response may be.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// Percentage of the memory limit that a process may reach.
const MAX_MEMORY_PERCENT: usize = 90;
/// Time between two short reads.
const SHORT_INTERVAL: Duration = Duration::from_millis(20);
/// Time between the starts of two long reads.
const LONG_INTERVAL: Duration = Duration::from_millis(4);

/// Held by the test that runs: each one keeps hundreds of threads.
static TURN: Mutex<()> = Mutex::new(());

fn wait_for_turn() -> MutexGuard<'static, ()> {
    raise_descriptor_limit();
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn site_settings() -> Value {
    let mut settings = settings_with_deadline(DEADLINE.as_millis() as f64);
    settings["classes"][0]["aim"] = json!(150.0);
    settings["policy_limits"]["try_limit"] = json!(5);
    settings["policy_limits"]["connect_timeout"] = json!(75.0);
    settings["realms"][0]["quota_per_s"] = json!(100_000.0);
    settings
}

fn read_of(len: usize, id: &str) -> Vec<u8> {
    encode_reads(id, 1, len, DEADLINE.as_millis() as u32)
}

/// How reads ended.
#[derive(Debug, Default)]
struct Outcomes {
    whole: usize,
    rejected: usize,
    failed: usize,
    cut_off: Vec<usize>,
    longest: Duration,
}

impl Outcomes {
    fn add(&mut self, response: Response) {
        match response {
            Response::Value(_) => self.whole += 1,
            Response::Line(line) if line.starts_with(BUSY) => self.rejected += 1,
            Response::Line(_) => self.failed += 1,
            Response::Ended(bytes) => self.cut_off.push(bytes),
        }
    }

    fn total(&self) -> usize {
        self.whole + self.rejected + self.failed + self.cut_off.len()
    }
}

/// Sends one short read after the other until `is_over`.
fn run_short_reads(node: SocketAddr, is_over: impl Fn() -> bool) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut client = SlowClient::connect(node, Reading::AT_ONCE);
    for number in 0.. {
        if is_over() {
            break;
        }
        let started = Instant::now();
        client.send(read_of(7, &format!("short-{number}")));
        outcomes.add(client.read_response());
        outcomes.longest = outcomes.longest.max(started.elapsed());
        std::thread::sleep(SHORT_INTERVAL);
    }
    outcomes
}

/// The outcomes of long and of short reads that meet a node at the same time. `readings`: how the clients of the long values of this
/// length read.
fn run_load(node: SocketAddr, len: usize, readings: &[Reading]) -> (Outcomes, Outcomes) {
    std::thread::scope(|scope| {
        let mut readers = Vec::new();
        for (number, reading) in readings.iter().enumerate() {
            readers.push(scope.spawn(move || {
                let mut client = SlowClient::connect(node, *reading);
                client.send(read_of(len, &format!("long-{number}")));
                client.read_response()
            }));
            std::thread::sleep(LONG_INTERVAL);
        }
        let is_over = || {
            readers
                .iter()
                .all(std::thread::ScopedJoinHandle::is_finished)
        };
        let short = run_short_reads(node, is_over);
        let mut long = Outcomes::default();
        for reader in readers {
            long.add(reader.join().unwrap());
        }
        (long, short)
    })
}

fn assert_sound(long: &Outcomes, short: &Outcomes, what: &str) {
    println!("{what}: long {long:?}, short {short:?}");
    assert_eq!(long.cut_off, [0; 0], "{what}: {long:?}");
    assert!(long.whole > 0, "{what}: {long:?}");
    assert!(
        short.cut_off.is_empty() && short.longest < DEADLINE + MAX_LATENESS,
        "{what}: {short:?}"
    );
}

// 300 paused clients took the 256 connections to four servers, and 8 of their values were cut off for short reads.
#[test]
fn hundreds_of_paused_clients_leave_connections_to_short_reads_and_none_is_cut_off() {
    const LEN: usize = 1 << 20;
    let _turn = wait_for_turn();
    let pace = Pace::within(LEN, Duration::from_secs(4), 64);
    let servers = start_value_servers(4, pace);
    let node = Node::builder()
        .settings(site_settings())
        .targets(&targets_of(&servers))
        .start();
    let reading = Reading::AT_ONCE.with_rest(64 << 10, Duration::from_secs(5));
    let (long, short) = run_load(node.address, LEN, &[reading; 300]);
    assert_sound(&long, &short, "300 readers");
    assert!(10 * short.whole >= 9 * short.total(), "{short:?}");
}

fn draw_reading(draw: &mut Draw, len: usize) -> Reading {
    let pace = Pace::within(len, draw.millis(200..4000), draw.pick(&[10, 100]) as u32);
    let rest_after = draw.pick(&[1, len / 3, len.saturating_sub(8 << 10)]);
    let rests = draw.pick(&[1, 1, 2]) as u32;
    let rest = draw.millis(2000..10_000) / rests;
    Reading::paced(pace).with_rests(rest_after, rest, rests)
}

#[test]
fn drawn_pauses_cut_off_no_value_and_stay_within_the_memory_limit() {
    let _turn = wait_for_turn();
    for seed in seeds("PAUSE_SEEDS", DEFAULT_SEEDS) {
        let mut draw = Draw::new(seed);
        let len = draw.within(70 << 10..1200 << 10);
        let server_time = draw.millis(10..6000);
        let server_steps = draw.pick(&[2, 30]) as u32;
        let servers = start_value_servers(
            draw.within(1..5),
            Pace::within(len, server_time, server_steps),
        );
        let memory_mb = draw.pick(&[32, 64]);
        let descriptors = draw.pick(&[256, 1024]);
        let node = Node::builder()
            .settings(site_settings())
            .targets(&targets_of(&servers))
            .set("/limits/memory_mb", memory_mb)
            .set("/limits/sockets", descriptors)
            .start();
        let readers = draw.within(descriptors / 5..descriptors / 3);
        let common = draw_reading(&mut draw, len);
        let all_at_once = draw.below(3) == 0;
        let readings: Vec<Reading> = (0..readers)
            .map(|_| {
                if all_at_once {
                    common
                } else {
                    draw_reading(&mut draw, len)
                }
            })
            .collect();
        let what = format!(
            "seed {seed}: {readers} of {len} bytes, {} servers, {memory_mb} MB, {descriptors} descriptors",
            servers.len()
        );
        let (long, short) = run_load(node.address, len, &readings);
        assert_sound(&long, &short, &what);
        let peak_kb = node.peak_memory_kb();
        let limit_kb = memory_mb * 1024 * MAX_MEMORY_PERCENT / 100;
        assert!(peak_kb <= limit_kb, "{what}: {peak_kb} kB");
    }
}

// Fewer than 4 KiB in 5 s counted as a stall.
#[test]
fn value_that_comes_in_pieces_of_400_bytes_is_not_cut_off() {
    const PIECE: usize = 400;
    let _turn = wait_for_turn();
    let pace = Pace {
        bytes: PIECE,
        pause: Duration::from_millis(700),
    };
    let servers = start_value_servers(1, pace);
    let node = Node::builder()
        .settings(site_settings())
        .targets(&targets_of(&servers))
        .start();
    let mut client = Peer::new(std::net::TcpStream::connect(node.address).unwrap());
    client.send(read_of(100 << 10, "trickle"));
    let (started, mut received) = (Instant::now(), 0);
    while started.elapsed() < Duration::from_secs(9) {
        received += client.read_available().len();
    }
    assert!(received > 11 * PIECE, "{received}");
}
