//! `cargo bench -p sloewick --bench loopback`: the node between clients and boxes on loopback, beside the same
//! clients on the same boxes directly. Prints requests a second, the node's CPU for a request, p50, p99 and peak
//! memory, each run once for warmth and then in turns, so that what the machine does meanwhile hits all alike.
//!
//! Beside them the same node with memcached clients, and with boxes that speak the protocol, too.
//!
//! `LOOPBACK_NODES=before=/path/one,after=/path/two` compares built programs; without it the one just built runs
//! alone. `LOOPBACK_REQUESTS` and `LOOPBACK_ROUNDS` set how much (20,000 and 5).

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
const BOXES: usize = 4;

fn setting(name: &str, usual: usize) -> usize {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(usual)
}

/// A box that answers at once, one thread a connection; it lives as long as the process.
fn cache_box(memcached: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                if memcached {
                    serve_memcached(stream)
                } else {
                    serve(stream)
                }
            });
        }
    });
    address
}

/// Whole commands in `bytes`, each with its id and end.
fn commands(bytes: &[u8]) -> Vec<(String, usize)> {
    let (mut found, mut at) = (Vec::new(), 0);
    loop {
        let mut pos = at;
        let mut line = || {
            let end = bytes[pos..].windows(2).position(|w| w == b"\r\n")? + pos;
            let text = String::from_utf8_lossy(&bytes[pos..end]).into_owned();
            pos = end + 2;
            Some(text)
        };
        let Some(head) = line() else { return found };
        let words: usize = head[1..].parse().expect("a count");
        let mut id = String::new();
        for word in 0..words {
            if line().is_none() {
                return found;
            }
            match line() {
                Some(text) if word == 2 => id = text,
                Some(_) => {}
                None => return found,
            }
        }
        at = pos;
        found.push((id, at));
    }
}

fn serve(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (mut buf, mut chunk) = (Vec::new(), [0; 65536]);
    while let Ok(n) = stream.read(&mut chunk) {
        if n == 0 {
            return;
        }
        buf.extend_from_slice(&chunk[..n]);
        let found = commands(&buf);
        let Some((_, end)) = found.last().cloned() else {
            continue;
        };
        let mut out = Vec::new();
        for (id, _) in found {
            let value = format!("{id}|{}", "v".repeat(180));
            out.extend(
                format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).bytes(),
            );
        }
        buf.drain(..end);
        if stream.write_all(&out).is_err() {
            return;
        }
    }
}

/// The length of the packet that begins here, if its header is there.
fn packet(bytes: &[u8]) -> Option<usize> {
    let body = bytes.get(8..12)?;
    Some(24 + u32::from_be_bytes(body.try_into().expect("four bytes")) as usize)
}

fn put_packet(
    out: &mut Vec<u8>,
    magic: u8,
    key: &[u8],
    extras: &[u8],
    opaque: &[u8],
    value: &[u8],
) {
    let body = (key.len() + extras.len() + value.len()) as u32;
    out.extend([
        magic,
        0,
        (key.len() >> 8) as u8,
        key.len() as u8,
        extras.len() as u8,
        0,
        0,
        0,
    ]);
    out.extend(body.to_be_bytes());
    out.extend(opaque);
    out.extend([0; 8]);
    for part in [extras, key, value] {
        out.extend(part);
    }
}

fn serve_memcached(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (mut buf, mut chunk) = (Vec::new(), [0; 65536]);
    while let Ok(n) = stream.read(&mut chunk) {
        if n == 0 {
            return;
        }
        buf.extend_from_slice(&chunk[..n]);
        let mut out = Vec::new();
        while let Some(len) = packet(&buf).filter(|len| *len <= buf.len()) {
            // The key comes back in the value, so that the client can tell whose answer it is.
            let value = [&buf[24..len], b"|", &[b'v'; 180]].concat();
            put_packet(&mut out, 0x81, b"", &[0; 4], &buf[12..16], &value);
            buf.drain(..len);
        }
        if stream.write_all(&out).is_err() {
            return;
        }
    }
}

/// The same requests by a memcached client.
fn drive_memcached(at: SocketAddr, requests: usize) -> (Vec<u64>, Duration) {
    let began = Instant::now();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(at).expect("connect");
                let _ = stream.set_nodelay(true);
                let (mut times, mut chunk) = (Vec::new(), [0; 4096]);
                for n in 0..requests / CLIENTS {
                    let key = format!("logger/{:05}", n * 7919 % 2000);
                    let opaque = ((client << 24) as u32 + n as u32).to_be_bytes();
                    let mut out = Vec::new();
                    put_packet(&mut out, 0x80, key.as_bytes(), b"", &opaque, b"");
                    let asked = Instant::now();
                    stream.write_all(&out).expect("write");
                    let mut got = Vec::new();
                    while packet(&got).is_none_or(|len| got.len() < len) {
                        let n = stream.read(&mut chunk).expect("an answer");
                        assert!(n > 0, "the node closed");
                        got.extend_from_slice(&chunk[..n]);
                    }
                    assert!(got[6..8] == [0, 0] && got[12..16] == opaque, "{got:?}");
                    times.push(asked.elapsed().as_micros() as u64);
                }
                times
            })
        })
        .collect();
    let mut all: Vec<u64> = threads
        .into_iter()
        .flat_map(|t| t.join().expect("a client"))
        .collect();
    let took = began.elapsed();
    all.sort_unstable();
    (all, took)
}

/// Asks one after another on its connections, one thread each; all latencies in microseconds.
fn drive(at: SocketAddr, requests: usize) -> (Vec<u64>, Duration) {
    let began = Instant::now();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(at).expect("connect");
                let _ = stream.set_nodelay(true);
                let (mut times, mut chunk) = (Vec::new(), [0; 4096]);
                for n in 0..requests / CLIENTS {
                    let id = format!("{client:04x}{n:012x}");
                    let key = format!("logger/{:05}", n * 7919 % 2000);
                    let fields = "c=trace-read,t=distribution,d=4000";
                    let mut out = String::from("*4\r\n");
                    for word in ["C.GET", &key, &id, fields] {
                        out += &format!("${}\r\n{word}\r\n", word.len());
                    }
                    let asked = Instant::now();
                    stream.write_all(out.as_bytes()).expect("write");
                    let mut got = Vec::new();
                    // The end of a box's answer, and of a node's.
                    while !(got.ends_with(b"$-1\r\n") || got.ends_with(b"v\r\n")) {
                        let n = stream.read(&mut chunk).expect("an answer");
                        assert!(
                            n > 0 && !got.starts_with(b"-"),
                            "{}",
                            String::from_utf8_lossy(&got)
                        );
                        got.extend_from_slice(&chunk[..n]);
                    }
                    assert!(
                        got.windows(16).any(|w| w == id.as_bytes()),
                        "another's answer"
                    );
                    times.push(asked.elapsed().as_micros() as u64);
                }
                times
            })
        })
        .collect();
    let mut all: Vec<u64> = threads
        .into_iter()
        .flat_map(|t| t.join().expect("a client"))
        .collect();
    let took = began.elapsed();
    all.sort_unstable();
    (all, took)
}

struct Node {
    child: Child,
    address: SocketAddr,
    /// Where memcached clients are listened for.
    memcached: Option<SocketAddr>,
    files: Vec<PathBuf>,
}

impl Node {
    /// `memcached`: memcached clients are listened for; `model` of the boxes.
    fn start(program: &Path, boxes: &[SocketAddr], memcached: bool, model: &str) -> Node {
        let address = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("an address");
        let text = std::fs::read_to_string(concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../examples/node.json"
        ));
        let mut config: serde_json::Value =
            serde_json::from_str(&text.expect("the example")).expect("JSON");
        config["listen"] = address.to_string().into();
        config["settings"]["classes"][0]["aim"] = 4000.0.into();
        config["settings"]["classes"][0]["deadline"] = 4000.0.into();
        config["settings"]["realms"][0]["quota_per_s"] = 1e9.into();
        let target = config["known"]["targets"][0].clone();
        let targets: Vec<_> = boxes
            .iter()
            .enumerate()
            .map(|(n, at)| {
                let mut t = target.clone();
                t["uid"] = format!("s-{n}").into();
                t["endpoint"] = at.to_string().into();
                t["model"] = model.into();
                t
            })
            .collect();
        config["known"]["targets"] = targets.into();
        let name = |kind: &str| {
            let name = format!(
                "sloewick-loopback-{}-{}.{kind}",
                std::process::id(),
                address.port()
            );
            std::env::temp_dir().join(name)
        };
        let mut files = vec![name("json")];
        std::fs::write(&files[0], config.to_string()).expect("a file");
        let mut command = Command::new(program);
        command
            .arg("run")
            .env("BALANCER_CONFIG", &files[0])
            .stderr(Stdio::null());
        let memcached = memcached.then(|| {
            let at = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
            let text = format!(
                "listen = \"{at}\"\n[[route]]\noperation = \"get\"\nkeys = \"logger/*\"\nclass = \"trace-read\"\n\
                 tenant = \"distribution\"\n[[box]]\nmodel = \"memcached-box\"\nprotocol = \"memcached\"\n"
            );
            files.push(name("toml"));
            std::fs::write(&files[1], text).expect("a file");
            command.arg("--memcached").arg(&files[1]);
            at
        });
        let node = Node {
            child: command.spawn().expect("the program"),
            address,
            memcached,
            files,
        };
        let began = Instant::now();
        while TcpStream::connect(address).is_err() {
            assert!(
                began.elapsed() < Duration::from_secs(10),
                "the node does not listen"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        node
    }

    /// CPU used so far, in microseconds (nanoseconds of run time from schedstat, all its threads together).
    fn cpu(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))
            .unwrap_or_default();
        text.split(' ')
            .next()
            .and_then(|n| n.parse::<u64>().ok())
            .unwrap_or(0)
            / 1000
    }

    fn peak_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmHWM:"));
        line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files
            .iter()
            .for_each(|file| drop(std::fs::remove_file(file)));
    }
}

fn median(list: &mut [f64]) -> f64 {
    list.sort_by(f64::total_cmp);
    list.get(list.len() / 2).copied().unwrap_or(0.0)
}

fn main() {
    let (requests, rounds) = (
        setting("LOOPBACK_REQUESTS", 20_000),
        setting("LOOPBACK_ROUNDS", 5),
    );
    let programs: Vec<(String, PathBuf)> = match std::env::var("LOOPBACK_NODES") {
        Ok(list) => {
            let pairs = list.split(',').filter_map(|pair| pair.split_once('='));
            pairs
                .map(|(name, path)| (name.to_string(), path.into()))
                .collect()
        }
        Err(_) => vec![("node".to_string(), env!("CARGO_BIN_EXE_sloewick").into())],
    };
    let boxes: Vec<SocketAddr> = (0..BOXES).map(|_| cache_box(false)).collect();
    let mut nodes: Vec<(String, Node)> = programs
        .iter()
        .map(|(name, path)| (name.clone(), Node::start(path, &boxes, false, "std-box")))
        .collect();
    if programs.len() == 1 {
        let program = &programs[0].1;
        nodes.push((
            "mc-front".to_string(),
            Node::start(program, &boxes, true, "std-box"),
        ));
        let boxes: Vec<SocketAddr> = (0..BOXES).map(|_| cache_box(true)).collect();
        nodes.push((
            "mc-both".to_string(),
            Node::start(program, &boxes, true, "memcached-box"),
        ));
    }
    let mut rows: Vec<(String, [Vec<f64>; 4])> = vec![("direct".to_string(), Default::default())];
    rows.extend(
        nodes
            .iter()
            .map(|(name, _)| (name.clone(), Default::default())),
    );
    for round in 0..=rounds {
        for (row, (_, figures)) in rows.iter_mut().enumerate() {
            let node = row.checked_sub(1).map(|n| &nodes[n].1);
            let at = node.map_or(boxes[0], |n| n.address);
            let before = node.map_or(0, Node::cpu);
            let (times, took) = match node.and_then(|n| n.memcached) {
                Some(at) => drive_memcached(at, requests),
                None => drive(at, requests),
            };
            if round == 0 {
                continue;
            }
            let cpu = node.map_or(0, Node::cpu) - before;
            figures[0].push(times.len() as f64 / took.as_secs_f64());
            figures[1].push(cpu as f64 / times.len() as f64);
            figures[2].push(times[times.len() / 2] as f64);
            figures[3].push(times[times.len() * 99 / 100] as f64);
        }
    }
    println!("medians of {rounds} rounds of {requests} requests, {CLIENTS} clients, {BOXES} boxes");
    println!(
        "{:10} {:>10} {:>14} {:>8} {:>8} {:>10}",
        "", "req/s", "CPU us/req", "p50 us", "p99 us", "peak MB"
    );
    for (row, (name, figures)) in rows.iter_mut().enumerate() {
        let [rate, cpu, p50, p99] = figures.each_mut().map(|f| median(f));
        let peak = row.checked_sub(1).map_or(0, |n| nodes[n].1.peak_kb());
        println!(
            "{name:10} {rate:10.0} {cpu:14.1} {p50:8.0} {p99:8.0} {:10.1}",
            peak as f64 / 1024.0
        );
    }
    for row in 2..rows.len() {
        let cpu = rows[1].1[1].iter().zip(&rows[row].1[1]).map(|(a, b)| b / a);
        let ratio = median(&mut cpu.collect::<Vec<f64>>());
        println!(
            "CPU a request, {} over {}: {ratio:.3}",
            rows[row].0, rows[1].0
        );
    }
}
