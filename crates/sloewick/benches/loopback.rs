//! `cargo bench -p sloewick --bench loopback`: measures a node between clients and cache servers on loopback, and the
//! same clients connected to the cache servers directly. Prints requests per second, the node's CPU time per request,
//! p50, p99 and peak memory. Each row runs once to warm up and then alternates with the others, so that other load on the
//! machine affects all rows alike.
//!
//! Two more rows measure the node with memcached clients, and with memcached clients and cache servers.
//!
//! `LOOPBACK_NODES=before=/path/one,after=/path/two` compares these programs; by default only the program just built is
//! measured. `LOOPBACK_REQUESTS` and `LOOPBACK_ROUNDS` set the number of requests per round (default 20,000) and of rounds
//! (default 5).

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
const CACHE_SERVERS: usize = 4;
/// Length of a value without the id or key at its start, in bytes.
const VALUE_BYTES: usize = 180;
/// Length of a memcached header, in bytes.
const HEADER_BYTES: usize = 24;

#[derive(Clone, Copy)]
enum Protocol {
    Resp,
    Memcached,
}

/// The value of an environment variable, or the default if it is unset or no number.
fn number_from_environment(name: &str, default: usize) -> usize {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

/// Starts a cache server that replies to each request at once, with one thread per connection, until the process ends.
/// Returns its address.
fn start_cache_server(protocol: Protocol) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to loopback");
    let address = listener.local_addr().expect("local address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || match protocol {
                Protocol::Resp => serve(stream, reply_resp),
                Protocol::Memcached => serve(stream, reply_memcached),
            });
        }
    });
    address
}

fn start_cache_servers(protocol: Protocol) -> Vec<SocketAddr> {
    (0..CACHE_SERVERS)
        .map(|_| start_cache_server(protocol))
        .collect()
}

/// Serves a connection until it ends. `reply` removes complete requests from the buffer and returns the replies to them.
fn serve(mut stream: TcpStream, reply: impl Fn(&mut Vec<u8>) -> Vec<u8>) {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut chunk) = (Vec::new(), [0; 65536]);
    while let Ok(n) = stream.read(&mut chunk) {
        if n == 0 {
            return;
        }
        buffer.extend_from_slice(&chunk[..n]);
        let replies = reply(&mut buffer);
        if !replies.is_empty() && stream.write_all(&replies).is_err() {
            return;
        }
    }
}

/// The complete RESP2 commands in `bytes`: the request id of each, and the offset of its end.
fn complete_commands(bytes: &[u8]) -> Vec<(String, usize)> {
    let (mut found, mut start) = (Vec::new(), 0);
    loop {
        let mut pos = start;
        let mut line = || {
            let end = bytes[pos..].windows(2).position(|w| w == b"\r\n")? + pos;
            let text = String::from_utf8_lossy(&bytes[pos..end]).into_owned();
            pos = end + 2;
            Some(text)
        };
        let Some(header) = line() else { return found };
        let words: usize = header[1..].parse().expect("number of words");
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
        start = pos;
        found.push((id, start));
    }
}

fn reply_resp(buffer: &mut Vec<u8>) -> Vec<u8> {
    let found = complete_commands(buffer);
    let Some(&(_, end)) = found.last() else {
        return Vec::new();
    };
    let mut replies = Vec::new();
    for (id, _) in found {
        let value = format!("{id}|{}", "v".repeat(VALUE_BYTES));
        replies
            .extend(format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).bytes());
    }
    buffer.drain(..end);
    replies
}

/// The length of the memcached packet at the start of `bytes`, or None if its header is incomplete.
fn packet_len(bytes: &[u8]) -> Option<usize> {
    let body = bytes.get(8..12)?;
    Some(HEADER_BYTES + u32::from_be_bytes(body.try_into().expect("four bytes")) as usize)
}

/// A memcached packet with opcode 0 (get).
struct Packet<'a> {
    magic: u8,
    key: &'a [u8],
    extras: &'a [u8],
    opaque: &'a [u8],
    value: &'a [u8],
}

impl Packet<'_> {
    fn write_to(&self, out: &mut Vec<u8>) {
        let body = (self.key.len() + self.extras.len() + self.value.len()) as u32;
        out.extend([self.magic, 0]);
        out.extend((self.key.len() as u16).to_be_bytes());
        out.extend([self.extras.len() as u8, 0, 0, 0]);
        out.extend(body.to_be_bytes());
        out.extend(self.opaque);
        out.extend([0; 8]);
        for part in [self.extras, self.key, self.value] {
            out.extend(part);
        }
    }
}

fn reply_memcached(buffer: &mut Vec<u8>) -> Vec<u8> {
    let mut replies = Vec::new();
    while let Some(len) = packet_len(buffer).filter(|len| *len <= buffer.len()) {
        // The key is returned in the value, so that the client can tell whose reply it is.
        let value = [&buffer[HEADER_BYTES..len], b"|", &[b'v'; VALUE_BYTES]].concat();
        let packet = Packet {
            magic: 0x81,
            key: b"",
            extras: &[0; 4],
            opaque: &buffer[12..16],
            value: &value,
        };
        packet.write_to(&mut replies);
        buffer.drain(..len);
    }
    replies
}

/// A request of a benchmark client, and the check of its reply.
trait ClientRequest {
    /// Request number `n` of a client.
    fn new(client: usize, n: usize) -> Self;
    /// The request as sent on the wire.
    fn bytes(&self) -> Vec<u8>;
    /// Whether these bytes hold the whole reply.
    fn is_complete(&self, reply: &[u8]) -> bool;
    /// Panics if the reply belongs to another request or is an error.
    fn check(&self, reply: &[u8]);
}

fn key(n: usize) -> String {
    format!("logger/{:05}", n * 7919 % 2000)
}

struct MemcachedRequest {
    key: String,
    opaque: [u8; 4],
}

impl ClientRequest for MemcachedRequest {
    fn new(client: usize, n: usize) -> MemcachedRequest {
        MemcachedRequest {
            key: key(n),
            opaque: ((client << 24) as u32 + n as u32).to_be_bytes(),
        }
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let packet = Packet {
            magic: 0x80,
            key: self.key.as_bytes(),
            extras: b"",
            opaque: &self.opaque,
            value: b"",
        };
        packet.write_to(&mut bytes);
        bytes
    }

    fn is_complete(&self, reply: &[u8]) -> bool {
        packet_len(reply).is_some_and(|len| reply.len() >= len)
    }

    fn check(&self, reply: &[u8]) {
        assert!(
            reply[6..8] == [0, 0] && reply[12..16] == self.opaque,
            "{reply:?}"
        );
    }
}

struct RespRequest {
    key: String,
    id: String,
}

impl ClientRequest for RespRequest {
    fn new(client: usize, n: usize) -> RespRequest {
        RespRequest {
            key: key(n),
            id: format!("{client:04x}{n:012x}"),
        }
    }

    fn bytes(&self) -> Vec<u8> {
        let fields = "c=trace-read,t=distribution,d=4000";
        let mut bytes = b"*4\r\n".to_vec();
        for word in ["C.GET", &self.key, &self.id, fields] {
            bytes.extend(format!("${}\r\n{word}\r\n", word.len()).bytes());
        }
        bytes
    }

    fn is_complete(&self, reply: &[u8]) -> bool {
        assert!(
            !reply.starts_with(b"-"),
            "{}",
            String::from_utf8_lossy(reply)
        );
        // A cache server's reply ends with a null string, a node's reply with the value.
        reply.ends_with(b"$-1\r\n") || reply.ends_with(b"v\r\n")
    }

    fn check(&self, reply: &[u8]) {
        assert!(
            reply.windows(16).any(|w| w == self.id.as_bytes()),
            "reply to another request"
        );
    }
}

/// Latencies of the requests of all clients.
struct Latencies {
    /// In microseconds, ascending.
    sorted: Vec<u64>,
    /// Time from the start of the clients until all of them have finished.
    elapsed: Duration,
}

/// Runs all clients, each with a thread and a connection of its own, and measures their requests.
fn measure_clients<Request: ClientRequest>(at: SocketAddr, requests: usize) -> Latencies {
    let started = Instant::now();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            std::thread::spawn(move || run_client::<Request>(at, client, requests / CLIENTS))
        })
        .collect();
    let mut sorted: Vec<u64> = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("a client panicked"))
        .collect();
    let elapsed = started.elapsed();
    sorted.sort_unstable();
    Latencies { sorted, elapsed }
}

/// Sends one client's requests, one at a time, and returns their latencies in microseconds.
fn run_client<Request: ClientRequest>(at: SocketAddr, client: usize, requests: usize) -> Vec<u64> {
    let mut stream = TcpStream::connect(at).expect("connect");
    let _ = stream.set_nodelay(true);
    let (mut latencies, mut chunk) = (Vec::new(), [0; 4096]);
    for n in 0..requests {
        let request = Request::new(client, n);
        let bytes = request.bytes();
        let sent = Instant::now();
        stream.write_all(&bytes).expect("write");
        let mut reply = Vec::new();
        while !request.is_complete(&reply) {
            let n = stream.read(&mut chunk).expect("read");
            assert!(n > 0, "connection closed before the reply");
            reply.extend_from_slice(&chunk[..n]);
        }
        request.check(&reply);
        latencies.push(sent.elapsed().as_micros() as u64);
    }
    latencies
}

/// A node process, killed when dropped.
struct Node {
    child: Child,
    address: SocketAddr,
    /// Address of the listener for memcached clients.
    memcached: Option<SocketAddr>,
    /// Configuration files, removed when the node is dropped.
    files: Vec<PathBuf>,
}

impl Node {
    /// Starts a node with these cache servers, all of this model, and optionally a listener for memcached clients.
    fn start(program: &Path, servers: &[SocketAddr], memcached: bool, model: &str) -> Node {
        let address = free_address();
        let memcached = memcached.then(free_address);
        let mut files = vec![temporary_file(address, "json")];
        std::fs::write(&files[0], node_config(address, servers, model))
            .expect("write configuration");
        let mut command = Command::new(program);
        command
            .arg("run")
            .env("BALANCER_CONFIG", &files[0])
            .stderr(Stdio::null());
        if let Some(listen) = memcached {
            files.push(temporary_file(address, "toml"));
            std::fs::write(&files[1], memcached_config(listen)).expect("write configuration");
            command.arg("--memcached").arg(&files[1]);
        }
        let node = Node {
            child: command.spawn().expect("start the node"),
            address,
            memcached,
            files,
        };
        let started = Instant::now();
        while TcpStream::connect(address).is_err() {
            assert!(
                started.elapsed() < Duration::from_secs(10),
                "the node does not listen"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        node
    }

    fn run_clients(&self, requests: usize) -> Latencies {
        match self.memcached {
            Some(listener) => measure_clients::<MemcachedRequest>(listener, requests),
            None => measure_clients::<RespRequest>(self.address, requests),
        }
    }

    /// CPU time used so far, in microseconds (schedstat reports nanoseconds).
    fn cpu_us(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))
            .unwrap_or_default();
        text.split(' ')
            .next()
            .and_then(|n| n.parse::<u64>().ok())
            .unwrap_or(0)
            / 1000
    }

    /// Peak resident memory in kilobytes.
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

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("free port on loopback")
}

fn temporary_file(address: SocketAddr, extension: &str) -> PathBuf {
    let (pid, port) = (std::process::id(), address.port());
    std::env::temp_dir().join(format!("sloewick-loopback-{pid}-{port}.{extension}"))
}

/// The example configuration with these addresses, and with deadlines and quotas that the benchmark does not reach.
fn node_config(listen: SocketAddr, servers: &[SocketAddr], model: &str) -> String {
    let text = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/node.json"
    ));
    let mut config: serde_json::Value =
        serde_json::from_str(&text.expect("read examples/node.json"))
            .expect("parse examples/node.json");
    config["listen"] = listen.to_string().into();
    config["settings"]["classes"][0]["aim"] = 4000.0.into();
    config["settings"]["classes"][0]["deadline"] = 4000.0.into();
    config["settings"]["realms"][0]["quota_per_s"] = 1e9.into();
    let example = config["known"]["targets"][0].clone();
    let target = |(n, address): (usize, &SocketAddr)| {
        let mut target = example.clone();
        target["uid"] = format!("s-{n}").into();
        target["endpoint"] = address.to_string().into();
        target["model"] = model.into();
        target
    };
    let targets: Vec<_> = servers.iter().enumerate().map(target).collect();
    config["known"]["targets"] = targets.into();
    config.to_string()
}

fn memcached_config(listen: SocketAddr) -> String {
    format!(
        "listen = \"{listen}\"\n[[route]]\noperation = \"get\"\nkeys = \"logger/*\"\nclass = \"trace-read\"\n\
         tenant = \"distribution\"\n[[box]]\nmodel = \"memcached-box\"\nprotocol = \"memcached\"\n"
    )
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// A row of the results: measurements of a node, or of the cache servers directly if `node` is None. Each vector has one
/// value per round.
struct Row {
    name: String,
    node: Option<Node>,
    /// Requests per second.
    rates: Vec<f64>,
    /// CPU time of the node per request.
    cpu_us: Vec<f64>,
    p50_us: Vec<f64>,
    p99_us: Vec<f64>,
}

impl Row {
    fn new(name: &str, node: Option<Node>) -> Row {
        Row {
            name: name.to_string(),
            node,
            rates: Vec::new(),
            cpu_us: Vec::new(),
            p50_us: Vec::new(),
            p99_us: Vec::new(),
        }
    }

    /// Runs one round of the clients; stores the results if `record` is true.
    fn run(&mut self, server: SocketAddr, requests: usize, record: bool) {
        let cpu_us = |node: &Option<Node>| node.as_ref().map_or(0, Node::cpu_us);
        let before = cpu_us(&self.node);
        let Latencies { sorted, elapsed } = match &self.node {
            Some(node) => node.run_clients(requests),
            None => measure_clients::<RespRequest>(server, requests),
        };
        if !record {
            return;
        }
        let used = cpu_us(&self.node) - before;
        self.rates.push(sorted.len() as f64 / elapsed.as_secs_f64());
        self.cpu_us.push(used as f64 / sorted.len() as f64);
        self.p50_us.push(sorted[sorted.len() / 2] as f64);
        self.p99_us.push(sorted[sorted.len() * 99 / 100] as f64);
    }

    fn print(&mut self) {
        let peak = self.node.as_ref().map_or(0, Node::peak_kb);
        println!(
            "{:10} {:10.0} {:14.1} {:8.0} {:8.0} {:10.1}",
            self.name,
            median(&mut self.rates),
            median(&mut self.cpu_us.clone()),
            median(&mut self.p50_us),
            median(&mut self.p99_us),
            peak as f64 / 1024.0
        );
    }
}

/// A program to measure, and the name of its row.
struct Program {
    name: String,
    path: PathBuf,
}

/// The programs to measure: those named by `LOOPBACK_NODES`, by default the one just built.
fn programs() -> Vec<Program> {
    let Ok(list) = std::env::var("LOOPBACK_NODES") else {
        return vec![Program {
            name: "node".to_string(),
            path: env!("CARGO_BIN_EXE_sloewick").into(),
        }];
    };
    list.split(',')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, path)| Program {
            name: name.to_string(),
            path: path.into(),
        })
        .collect()
}

/// Creates the rows: the cache servers directly, each program, and with a single program also its memcached variants.
fn rows(servers: &[SocketAddr]) -> Vec<Row> {
    let programs = programs();
    let mut rows = vec![Row::new("direct", None)];
    for program in &programs {
        let node = Node::start(&program.path, servers, false, "std-box");
        rows.push(Row::new(&program.name, Some(node)));
    }
    if let [program] = &programs[..] {
        let front = Node::start(&program.path, servers, true, "std-box");
        rows.push(Row::new("mc-front", Some(front)));
        let servers = start_cache_servers(Protocol::Memcached);
        let both = Node::start(&program.path, &servers, true, "memcached-box");
        rows.push(Row::new("mc-both", Some(both)));
    }
    rows
}

fn main() {
    let requests = number_from_environment("LOOPBACK_REQUESTS", 20_000);
    let rounds = number_from_environment("LOOPBACK_ROUNDS", 5);
    let servers = start_cache_servers(Protocol::Resp);
    let mut rows = rows(&servers);
    for round in 0..=rounds {
        for row in &mut rows {
            // The first round is a warm-up and is not recorded.
            row.run(servers[0], requests, round > 0);
        }
    }
    println!(
        "medians of {rounds} rounds of {requests} requests, {CLIENTS} clients, {CACHE_SERVERS} cache servers"
    );
    println!(
        "{:10} {:>10} {:>14} {:>8} {:>8} {:>10}",
        "", "req/s", "CPU us/req", "p50 us", "p99 us", "peak MB"
    );
    rows.iter_mut().for_each(Row::print);
    let Some((first, others)) = rows[1..].split_first() else {
        return;
    };
    for row in others {
        let ratios = first.cpu_us.iter().zip(&row.cpu_us).map(|(a, b)| b / a);
        let ratio = median(&mut ratios.collect::<Vec<f64>>());
        println!(
            "CPU time per request, {} relative to {}: {ratio:.3}",
            row.name, first.name
        );
    }
}
