//! Long values and long requests that a server or a client moves slowly: as long as they move, none is cut off, and each request
//! gets its final response in time. Uses real connections and processes.
//!
//! The environment variable `SLOW_TRANSFER_SEEDS` sets the number of seeds, from which lengths, times and paces are drawn.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

/// The longest deadline of the settings.
const LONGEST_DEADLINE: Duration = Duration::from_secs(2);
/// How late a final response may be.
const MAX_LATENESS: Duration = Duration::from_millis(500);
const DEFAULT_SEEDS: u64 = 2;
/// Transfers that run side by side.
const TRANSFERS_PER_SEED: u64 = 8;
const MIN_VALUE: usize = 70 << 10;
const MAX_VALUE: usize = 4 << 20;
/// The longest pause of a peer that is slow and sound.
const MAX_PAUSE: Duration = Duration::from_millis(1400);

/// A transfer that is drawn from a number.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    len: usize,
    time: Duration,
    /// Number of pieces in which the bytes are moved.
    steps: u32,
}

impl Transfer {
    fn draw(number: u64) -> Transfer {
        let mut draw = Draw::new(number);
        let scale = draw.pick(&[1 << 17, 1 << 20, MAX_VALUE]);
        let len = draw.within(MIN_VALUE..scale);
        let time = draw.millis(2600..7600);
        let fewest = (time.as_millis() / MAX_PAUSE.as_millis()) as u32 + 1;
        let steps = fewest + draw.pick(&[0, 20, 200]);
        Transfer { len, time, steps }
    }

    fn pace(self) -> Pace {
        Pace::within(self.len, self.time, self.steps)
    }
}

fn numbers() -> impl Iterator<Item = u64> {
    let seeds = std::env::var("SLOW_TRANSFER_SEEDS").map_or(DEFAULT_SEEDS, |n| n.parse().unwrap());
    0..seeds * TRANSFERS_PER_SEED
}

/// Runs `play` for each number, side by side in groups of [`TRANSFERS_PER_SEED`].
fn play_all(play: impl Fn(u64) + Sync) {
    let numbers: Vec<u64> = numbers().collect();
    for group in numbers.chunks(TRANSFERS_PER_SEED as usize) {
        std::thread::scope(|scope| {
            let play = &play;
            let threads: Vec<_> = group
                .iter()
                .map(|n| scope.spawn(move || play(*n)))
                .collect();
            for thread in threads {
                thread.join().unwrap();
            }
        });
    }
}

/// Settings with deadlines as a site has them: reads 400 ms, writes 2 s and once.
fn site_settings() -> Value {
    let mut settings = settings_with_deadline(LONGEST_DEADLINE.as_millis() as f64);
    settings["classes"][0]["deadline"] = json!(400.0);
    settings["classes"][0]["aim"] = json!(150.0);
    settings["classes"][1]["aim"] = json!(500.0);
    let mut keyed = settings["classes"][1].clone();
    keyed["name"] = json!("keyed");
    keyed["repeat"] = json!("guarded");
    keyed["dedup_scope"] = json!("all");
    keyed["window"] = json!(10_000.0);
    settings["classes"].as_array_mut().unwrap().push(keyed);
    settings["policy_limits"]["try_limit"] = json!(5);
    settings["policy_limits"]["second_copies"] = json!(true);
    settings["policy_limits"]["connect_timeout"] = json!(75.0);
    settings
}

fn start_node(servers: &[PacedServer], memory_mb: usize) -> Node {
    let targets: Vec<Value> = servers.iter().map(|server| server.target.clone()).collect();
    Node::builder()
        .settings(site_settings())
        .targets(&targets)
        .set("/limits/memory_mb", memory_mb)
        .start()
}

/// Servers that reply to key `N/...` as the transfer with the number N says.
fn start_servers(
    read_pace: Pace,
    reply: fn(Transfer) -> PacedReply,
) -> (Vec<PacedServer>, ReceivedLog) {
    let log = ReceivedLog::default();
    let reply_to: Arc<ReplyTo> = Arc::new(move |received| {
        let number = received.key.split('/').next().unwrap().parse().unwrap();
        Some(reply(Transfer::draw(number)))
    });
    let start = |number| PacedServer::start(number, read_pace, &log, Arc::clone(&reply_to));
    ((1..=4).map(start).collect(), log)
}

fn connect(node: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(node).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Reads a long value at this pace. Returns its length as the header announces it, and the bytes that have come until the
/// connection rested or ended.
fn read_value(stream: &mut TcpStream, pace: Pace) -> (usize, usize) {
    let mut bytes = vec![0; pace.bytes.clamp(1, 256 << 10)];
    let mut start = Vec::new();
    let (mut expected, mut received) = (0, 0);
    loop {
        let n = stream.read(&mut bytes).unwrap_or(0);
        if n == 0 {
            return (expected, received);
        }
        received += n;
        if expected == 0 {
            start.extend_from_slice(&bytes[..n]);
            let Some(end) = start.windows(2).position(|w| w == b"\r\n") else {
                continue;
            };
            let header = String::from_utf8_lossy(&start[..end]).into_owned();
            assert!(header.starts_with('$'), "{header}");
            expected = header[1..].parse().unwrap();
            received = start.len() - end - 2;
        }
        if received >= expected + 2 {
            return (expected, received - 2);
        }
        std::thread::sleep(pace.pause);
    }
}

fn read_command(number: u64) -> Vec<u8> {
    let (key, id) = (format!("{number}/k"), format!("r-{number}"));
    command(&[
        b"C.GET",
        key.as_bytes(),
        id.as_bytes(),
        b"c=read,t=acme,d=400",
    ])
}

#[test]
fn long_value_that_its_server_writes_slowly_is_passed_on_whole() {
    let reply = |transfer: Transfer| PacedReply::value(transfer.len).paced(transfer.pace());
    let (servers, _) = start_servers(Pace::UNLIMITED, reply);
    let node = start_node(&servers, 192);
    play_all(|number| {
        let transfer = Transfer::draw(number);
        let mut client = connect(node.address);
        client.write_all(&read_command(number)).unwrap();
        let received = read_value(&mut client, Pace::UNLIMITED);
        assert_eq!(
            received,
            (transfer.len, transfer.len),
            "{number}: {transfer:?}"
        );
    });
    assert_eq!(servers.iter().map(PacedServer::cut_off).sum::<usize>(), 0);
}

#[test]
fn long_value_that_its_client_reads_slowly_is_passed_on_whole() {
    let (servers, _) = start_servers(Pace::UNLIMITED, |transfer| PacedReply::value(transfer.len));
    let node = start_node(&servers, 192);
    play_all(|number| {
        let transfer = Transfer::draw(number);
        let mut client = connect(node.address);
        client.write_all(&read_command(number)).unwrap();
        let received = read_value(&mut client, transfer.pace());
        assert_eq!(
            received,
            (transfer.len, transfer.len),
            "{number}: {transfer:?}"
        );
    });
}

#[test]
fn long_request_that_its_client_writes_slowly_is_served() {
    let (servers, log) = start_servers(Pace::UNLIMITED, |_| PacedReply::value(2));
    let node = start_node(&servers, 192);
    play_all(|number| {
        let transfer = Transfer::draw(number);
        let len = transfer.len.min(1 << 20);
        let (key, id) = (format!("{number}/k"), format!("w-{number}"));
        let value = vec![b'v'; len];
        let request = command(&[
            b"C.SET",
            key.as_bytes(),
            id.as_bytes(),
            b"c=once,d=2000",
            &value,
        ]);
        let mut client = connect(node.address);
        let pace = Pace::within(request.len(), transfer.time, transfer.steps);
        for piece in request.chunks(pace.bytes) {
            if client.write_all(piece).is_err() {
                break;
            }
            std::thread::sleep(pace.pause);
        }
        let answer = Peer::new(client).read_line();
        assert_eq!(answer, "$2", "{number}: {transfer:?}");
    });
    assert_eq!(log.lock().unwrap().len(), numbers().count());
}

#[test]
fn request_that_its_server_reads_slowly_gets_its_final_response_in_time_and_no_second_effect() {
    // From half a minute for a long request to half a second.
    for (bytes, pause_ms) in [(1 << 10, 20), (16 << 10, 20), (256 << 10, 500)] {
        let pause = Duration::from_millis(pause_ms);
        for class in ["once", "keyed"] {
            assert_slow_reader_is_bounded(Pace { bytes, pause }, class);
        }
    }
}

/// Sends writes of this class to servers that read at this pace.
fn assert_slow_reader_is_bounded(read_pace: Pace, class: &str) {
    let (servers, log) = start_servers(read_pace, |_| PacedReply::value(2));
    let node = start_node(&servers, 32);
    play_all(|number| {
        let len = Transfer::draw(number).len.min(2 << 20);
        let (key, id) = (format!("{number}/k"), format!("w-{number}"));
        let value = vec![b'v'; len];
        let fields = format!("c={class},d=2000,k={id}");
        let request = command(&[
            b"C.SET",
            key.as_bytes(),
            id.as_bytes(),
            fields.as_bytes(),
            &value,
        ]);
        let mut client = Peer::new(connect(node.address));
        client.send(&request);
        let sent = Instant::now();
        let answer = client.read_line();
        let waited = sent.elapsed();
        assert!(
            waited < LONGEST_DEADLINE + MAX_LATENESS,
            "{number}: {answer} after {waited:?}, {len} bytes"
        );
    });
    if class == "keyed" {
        return;
    }
    let mut ids: Vec<String> = log.lock().unwrap().iter().map(|r| r.id.clone()).collect();
    ids.sort_unstable();
    let received = ids.len();
    ids.dedup();
    assert_eq!(ids.len(), received, "a request reached servers twice");
}

// A server that wrote less than 4 KiB in 5 s counted as stalled.
#[test]
fn long_value_whose_server_pauses_for_ten_seconds_is_passed_on_whole() {
    const LEN: usize = 200 << 10;
    let pace = Pace {
        bytes: LEN / 2,
        pause: Duration::from_secs(10),
    };
    let servers = start_value_servers(1, pace);
    let node = start_node(&servers, 32);
    let mut client = connect(node.address);
    client.write_all(&encode_reads("r", 1, LEN, 400)).unwrap();
    assert_eq!(read_value(&mut client, Pace::UNLIMITED), (LEN, LEN));
}

/// Lets `act` happen 0.3 s after the start of a value that takes 4 s, and asserts that its client gets all of it.
fn assert_value_outlives(act: impl FnOnce(&Node, SocketAddr)) {
    const LEN: usize = 400 << 10;
    let log = ReceivedLog::default();
    let pace = Pace::within(LEN, Duration::from_secs(4), 40);
    let reply_to: Arc<ReplyTo> = Arc::new(move |_| Some(PacedReply::value(LEN).paced(pace)));
    let server = PacedServer::start(1, Pace::UNLIMITED, &log, reply_to);
    let admin = free_address();
    let node = Node::builder()
        .settings(site_settings())
        .targets(std::slice::from_ref(&server.target))
        .admin(admin)
        .start();
    let mut client = connect(node.address);
    client.write_all(&read_command(0)).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    act(&node, admin);
    assert_eq!(read_value(&mut client, Pace::UNLIMITED), (LEN, LEN));
}

#[test]
fn long_value_outlives_sigterm_until_the_process_is_killed() {
    assert_value_outlives(|node, _| node.signal("TERM"));
}

#[test]
fn long_value_outlives_an_evacuation() {
    assert_value_outlives(|_, admin| {
        assert_eq!(admin_request(admin, "POST", "/api/evacuate").0, 200);
    });
}
