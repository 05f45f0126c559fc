//! A node with a listener for memcached clients, over real sockets.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

/// A node with a listener for memcached clients.
struct MemcachedNode {
    node: Node,
    /// Address of the listener for memcached clients.
    memcached: SocketAddr,
    /// The memcached configuration file, removed when this is dropped.
    file: PathBuf,
}

impl Drop for MemcachedNode {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts a node in front of one cache server, which speaks memcached if `memcached_server`, else RESP2. Memcached clients may
/// read keys `r/...` and write keys `w/...`.
fn start_node(server: &TcpListener, memcached_server: bool) -> MemcachedNode {
    let servers = std::slice::from_ref(server);
    start_node_with(servers, memcached_server, settings(), "")
}

/// The same with several servers, these settings, and this text at the end of the route of writes.
fn start_node_with(
    servers: &[TcpListener],
    memcached_server: bool,
    settings: Value,
    write_route: &str,
) -> MemcachedNode {
    let memcached = free_address();
    let route = |operation: &str, keys: &str, class: &str| {
        format!(
            "[[route]]\noperation = \"{operation}\"\nkeys = \"{keys}\"\nclass = \"{class}\"\ntenant = \"acme\"\n"
        )
    };
    let text = [
        format!("listen = \"{memcached}\"\n"),
        route("get", "r/*", "read"),
        route("set", "w/*", "once"),
        write_route.to_string(),
        "[[box]]\nmodel = \"mc\"\nprotocol = \"memcached\"\n".to_string(),
    ]
    .concat();
    let name = memcached.to_string().replace([':', '.'], "-");
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    std::fs::write(&file, text).unwrap();
    let mut program = program();
    program.arg("--memcached").arg(&file);
    let server_target = |(number, server)| {
        let mut server_target = target(&format!("s-{number}"), server);
        if memcached_server {
            server_target["model"] = json!("mc");
        }
        server_target
    };
    let targets: Vec<Value> = (1..).zip(servers).map(server_target).collect();
    let node = Node::builder()
        .command(program)
        .settings(settings)
        .targets(&targets)
        .set("/limits/memory_mb", 32)
        .start();
    MemcachedNode {
        node,
        memcached,
        file,
    }
}

/// Encodes a packet of the memcached binary protocol.
fn encode_packet(
    magic: u8,
    opcode: u8,
    status: u16,
    opaque: u32,
    extras: &[u8],
    key: &str,
    value: &[u8],
) -> Vec<u8> {
    let mut out = vec![magic, opcode];
    out.extend((key.len() as u16).to_be_bytes());
    out.extend([extras.len() as u8, 0]);
    out.extend(status.to_be_bytes());
    out.extend(((extras.len() + key.len() + value.len()) as u32).to_be_bytes());
    out.extend(opaque.to_be_bytes());
    out.extend([0; 8]);
    out.extend(extras);
    out.extend(key.as_bytes());
    out.extend(value);
    out
}

/// Reads a packet and returns its opcode, status and opaque, and the body without the extras. None if the connection ends
/// before a complete packet.
fn read_packet(stream: &mut impl Read) -> Option<(u8, u16, u32, Vec<u8>)> {
    let mut head = [0; 24];
    stream.read_exact(&mut head).ok()?;
    let number = |at: usize| u32::from_be_bytes(head[at..at + 4].try_into().unwrap());
    let mut body = vec![0; number(8) as usize];
    stream.read_exact(&mut body).ok()?;
    let status = u16::from_be_bytes([head[6], head[7]]);
    Some((
        head[1],
        status,
        number(12),
        body.split_off(head[4] as usize),
    ))
}

fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream
}

const GET: u8 = 0x00;
const SET: u8 = 0x01;

#[test]
fn pipeline_is_answered_in_order_up_to_its_noop() {
    let server = listener();
    let memcached_node = start_node(&server, false);
    let mut client = connect(memcached_node.memcached);
    let mut burst = encode_packet(0x80, 0x0d, 0, 1, b"", "r/1", b"");
    burst.extend(encode_packet(0x80, 0x04, 0, 2, b"", "r/1", b""));
    burst.extend(encode_packet(0x80, 0x0a, 0, 3, b"", "", b""));
    client.write_all(&burst).unwrap();
    let mut conn = accept(&server);
    let words = conn.read_command();
    assert_eq!((&words[0][..], &words[1][..]), ("C.GET", "r/1"));
    assert!(words[3].starts_with("c=read,t=acme,d="), "{words:?}");
    conn.send(hit_reply(b"seven"));
    assert_eq!(
        read_packet(&mut client),
        Some((0x0d, 0, 1, b"r/1seven".to_vec()))
    );
    assert_eq!(
        read_packet(&mut client),
        Some((0x04, 0x81, 2, b"Unknown command".to_vec()))
    );
    assert_eq!(read_packet(&mut client), Some((0x0a, 0, 3, Vec::new())));
}

/// How a cache server handles a request.
#[derive(Clone, Copy, Debug)]
enum ServerAction {
    Serve,
    Reject,
    Fail,
    Disconnect,
    ReplyMalformed,
}

impl ServerAction {
    const ALL: [ServerAction; 5] = [
        ServerAction::Serve,
        ServerAction::Reject,
        ServerAction::Fail,
        ServerAction::Disconnect,
        ServerAction::ReplyMalformed,
    ];

    /// Sends the reply, if there is one, and closes the connection.
    fn apply(self, mut conn: Peer) {
        match self {
            ServerAction::Serve => conn.send(hit_reply(b"made")),
            ServerAction::Reject => conn.send("-BUSY\r\n"),
            ServerAction::Fail => conn.send("-ERR failed\r\n"),
            ServerAction::ReplyMalformed => conn.send("*3\r\n$-7\r\n"),
            ServerAction::Disconnect => {}
        }
    }
}

/// The final response to a request, independent of the protocol.
#[derive(Debug, PartialEq)]
enum FinalResponse {
    Served(Vec<u8>),
    Busy,
    Failed,
}

#[derive(Clone, Copy, Debug)]
enum Operation {
    Read,
    Write,
}

impl Operation {
    fn key(self, number: u32) -> String {
        match self {
            Operation::Read => format!("r/{number}"),
            Operation::Write => format!("w/{number}"),
        }
    }

    /// Number of words of the RESP2 command.
    fn word_count(self) -> usize {
        match self {
            Operation::Read => 4,
            Operation::Write => 5,
        }
    }

    fn send_memcached(self, client: &mut TcpStream, key: &str, opaque: u32) {
        let bytes = match self {
            Operation::Read => encode_packet(0x80, GET, 0, opaque, b"", key, b""),
            Operation::Write => encode_packet(0x80, SET, 0, opaque, &[0; 8], key, b"value"),
        };
        client.write_all(&bytes).unwrap();
    }

    fn memcached_response(self, client: &mut TcpStream, sent_opaque: u32) -> FinalResponse {
        let (opcode, status, opaque, body) = read_packet(client).unwrap();
        let sent_opcode = match self {
            Operation::Read => GET,
            Operation::Write => SET,
        };
        assert_eq!((opcode, opaque), (sent_opcode, sent_opaque));
        match (status, self) {
            (0, Operation::Write) => FinalResponse::Served(b"made".to_vec()),
            (0, Operation::Read) => FinalResponse::Served(body),
            (0x85, _) => FinalResponse::Busy,
            (0x84, _) => FinalResponse::Failed,
            _ => panic!("{status:#x}"),
        }
    }

    fn send_resp2(self, client: &mut Peer, key: &str) {
        let key = key.as_bytes();
        client.send(match self {
            Operation::Read => command(&[b"C.GET", key, key, b"c=read,t=acme,d=20000"]),
            Operation::Write => command(&[b"C.SET", key, key, b"c=once,t=acme,d=20000", b"value"]),
        });
    }
}

fn resp2_response(client: &mut Peer) -> FinalResponse {
    match client.read_line() {
        line if line.starts_with('$') => {
            assert_eq!(line, "$4");
            FinalResponse::Served(client.read_line().into_bytes())
        }
        line if line.starts_with(BUSY) => FinalResponse::Busy,
        line => {
            assert_eq!(line, FAILED);
            FinalResponse::Failed
        }
    }
}

/// Receives the request for this key on a new connection, and handles it.
fn serve_request(server: &TcpListener, operation: Operation, key: &str, action: ServerAction) {
    let mut conn = accept(server);
    let words = conn.read_command();
    assert_eq!((&words[1][..], words.len()), (key, operation.word_count()));
    action.apply(conn);
}

#[test]
fn same_requests_have_the_same_outcome_in_both_protocols() {
    let mut number = 0;
    for action in ServerAction::ALL {
        for operation in [Operation::Read, Operation::Write] {
            // Each request has its own node, since a node sends no requests to a server for a while after the server has failed.
            let resp2 = {
                let server = listener();
                let memcached_node = start_node(&server, false);
                let mut client = memcached_node.node.client();
                number += 1;
                let key = operation.key(number);
                operation.send_resp2(&mut client, &key);
                serve_request(&server, operation, &key, action);
                resp2_response(&mut client)
            };
            let memcached = {
                let server = listener();
                let memcached_node = start_node(&server, false);
                let mut client = connect(memcached_node.memcached);
                number += 1;
                let key = operation.key(number);
                operation.send_memcached(&mut client, &key, number);
                serve_request(&server, operation, &key, action);
                operation.memcached_response(&mut client, number)
            };
            assert_eq!(resp2, memcached, "{action:?}, {operation:?}");
        }
    }
}

#[test]
fn memcached_cache_server_serves_clients_of_both_protocols() {
    let server = listener();
    let memcached_node = start_node(&server, true);
    let mut resp2 = memcached_node.node.client();
    resp2.send(command(&[
        b"C.SET",
        b"w/1",
        b"id-1",
        b"c=once,t=acme,d=20000",
        b"value",
    ]));
    server.set_nonblocking(false).unwrap();
    let (mut conn, _) = server.accept().unwrap();
    conn.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let (opcode, _, opaque, body) = read_packet(&mut conn).unwrap();
    assert_eq!((opcode, &body[..]), (SET, &b"w/1-:value"[..]));
    conn.write_all(&encode_packet(0x81, SET, 0, opaque, b"", "", b""))
        .unwrap();
    assert_eq!(resp2.read_line(), "$0");
    assert_eq!(resp2.read_line(), "");
    let mut client = connect(memcached_node.memcached);
    client
        .write_all(&encode_packet(0x80, GET, 0, 0, b"", "r/1", b""))
        .unwrap();
    let (opcode, _, opaque, body) = read_packet(&mut conn).unwrap();
    assert_eq!((opcode, &body[..]), (GET, &b"r/1"[..]));
    conn.write_all(&encode_packet(0x81, GET, 0, opaque, &[0; 4], "", b"seven"))
        .unwrap();
    assert_eq!(
        read_packet(&mut client),
        Some((GET, 0, 0, b"seven".to_vec()))
    );
}

#[test]
fn announced_lengths_reserve_no_memory() {
    let server = listener();
    let memcached_node = start_node(&server, false);
    let before = memcached_node.node.memory_mb();
    // Each client announces the longest value that is accepted, and sends the first bytes of the request.
    let clients: Vec<TcpStream> = (0..100)
        .map(|n| {
            let mut client = connect(memcached_node.memcached);
            let mut bytes = encode_packet(0x80, SET, 0, n, &[0; 8], "w/1", b"");
            bytes[8..12].copy_from_slice(&(1_000_000u32).to_be_bytes());
            client.write_all(&bytes).unwrap();
            client
        })
        .collect();
    let mut oversized = connect(memcached_node.memcached);
    let mut bytes = encode_packet(0x80, SET, 0, 7, &[0; 8], "w/1", b"");
    bytes[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    oversized.write_all(&bytes).unwrap();
    assert_eq!(
        read_packet(&mut oversized).map(|p| (p.0, p.1, p.2)),
        Some((SET, 3, 7))
    );
    assert_eq!(
        read_packet(&mut oversized),
        None,
        "the connection is closed"
    );
    let growth_mb = memcached_node.node.memory_mb().saturating_sub(before);
    assert!(
        growth_mb < 8,
        "{growth_mb} MB for {} clients",
        clients.len()
    );
}

// Guards against a second effect: the retry of a client is bound by the window of its earlier request, also while it is written.
#[test]
fn retry_of_a_client_does_not_reach_a_slow_reader_after_the_window_of_its_first_request() {
    const WINDOW: Duration = Duration::from_secs(2);
    // The window, and by how much time limits are longer on sockets and for a node that is held up.
    const AFTER_WINDOW: Duration = Duration::from_millis(2_200);
    let mut keyed = settings();
    keyed["classes"][1]["repeat"] = json!("guarded");
    keyed["classes"][1]["dedup_scope"] = json!("all");
    keyed["classes"][1]["window"] = json!(WINDOW.as_millis() as f64);
    keyed["classes"][1]["late_share"] = json!(0.5);
    for (memcached_server, len) in [(false, 100), (false, 1 << 19), (true, 100), (true, 1 << 19)] {
        let servers = [listener(), listener()];
        for server in &servers {
            let socket = socket2::SockRef::from(server);
            socket.set_recv_buffer_size(4096).unwrap();
        }
        let route = "key_from = \"digest\"\n";
        let memcached_node = start_node_with(&servers, memcached_server, keyed.clone(), route);
        let value = vec![b'v'; len];
        let set = |opaque| encode_packet(0x80, SET, 0, opaque, &[0; 8], "w/1", &value);
        let mut client = connect(memcached_node.memcached);
        client.write_all(&set(1)).unwrap();
        let (_, mut first) = accept_either(&servers);
        let ran = Instant::now();
        read_long_request(&mut first, len);
        first.reset();
        let (_, status, ..) = read_packet(&mut client).unwrap();
        assert!([0x84, 0x85].contains(&status), "failed or busy: {status}");
        client.write_all(&set(2)).unwrap();
        let (_, mut retry) = accept_either(&servers);
        std::thread::sleep((ran + AFTER_WINDOW).saturating_duration_since(Instant::now()));
        assert!(
            !read_long_request(&mut retry, len),
            "{memcached_server} {len}"
        );
        let (_, status, ..) = read_packet(&mut client).unwrap();
        assert_eq!(status, 0x84, "failed");
    }
}

/// Reads a request until no more arrives or the connection has ended. Returns whether all of it came and the connection has not
/// ended, so that the server runs it.
fn read_long_request(conn: &mut Peer, len: usize) -> bool {
    conn.stream
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    let mut received = 0;
    let mut buffer = [0; 65536];
    loop {
        match conn.stream.read(&mut buffer) {
            Ok(n @ 1..) => received += n,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return received >= len,
            _ => return false,
        }
    }
}

// Guards against failed writes: a key without a time counted as too old where margin and clock skew take up the window.
#[test]
fn write_with_a_digest_key_is_forwarded_where_margin_and_skew_take_up_the_window() {
    let mut keyed = settings();
    keyed["classes"][1]["repeat"] = json!("guarded");
    keyed["classes"][1]["dedup_scope"] = json!("all");
    keyed["classes"][1]["window"] = json!(1_200.0);
    let server = listener();
    let servers = std::slice::from_ref(&server);
    let memcached_node = start_node_with(servers, false, keyed, "key_from = \"digest\"\n");
    let mut client = connect(memcached_node.memcached);
    let set = encode_packet(0x80, SET, 0, 1, &[0; 8], "w/1", b"value");
    client.write_all(&set).unwrap();
    serve_request(&server, Operation::Write, "w/1", ServerAction::Serve);
    assert_eq!(read_packet(&mut client), Some((SET, 0, 1, Vec::new())));
}

/// Reads at a pace.
struct PacedStream {
    stream: TcpStream,
    pace: Pace,
}

impl Read for PacedStream {
    fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        let len = into.len().min(self.pace.bytes);
        let n = self.stream.read(&mut into[..len])?;
        let fraction = n as f64 / self.pace.bytes as f64;
        std::thread::sleep(self.pace.pause.mul_f64(fraction));
        Ok(n)
    }
}

// The process ended 3.5 s after SIGTERM with a collected value, and the packets behind it, in its memory.
#[test]
fn long_values_and_the_packets_behind_them_outlive_sigterm() {
    const LEN: usize = 600 << 10;
    let server = listener();
    let memcached_node = start_node(&server, false);
    let mut client = connect(memcached_node.memcached);
    let mut burst = Vec::new();
    for opaque in [1, 2] {
        burst.extend(encode_packet(0x80, GET, 0, opaque, b"", "r/1", b""));
    }
    burst.extend(encode_packet(0x80, 0x0a, 0, 3, b"", "", b""));
    client.write_all(&burst).unwrap();
    for _ in 0..2 {
        let mut connection = accept(&server);
        connection.read_command();
        std::thread::spawn(move || {
            connection.send(hit_reply(&[b'v'; LEN]));
            connection.read_to_command();
        });
    }
    std::thread::sleep(Duration::from_millis(300));
    memcached_node.node.signal("TERM");
    let pace = Pace::within(2 * LEN, Duration::from_secs(6), 100);
    let mut client = PacedStream {
        stream: client,
        pace,
    };
    for opaque in [1, 2] {
        let (opcode, status, echoed, body) = read_packet(&mut client).expect("a whole value");
        assert_eq!((opcode, status, echoed, body.len()), (GET, 0, opaque, LEN));
    }
    assert_eq!(read_packet(&mut client), Some((0x0a, 0, 3, Vec::new())));
}
