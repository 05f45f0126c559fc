//! The built node over loopback against scripted peers. Every wait ends with what is waited for, or after
//! `PATIENCE` with a failed test.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

pub const PATIENCE: Duration = Duration::from_secs(30);

static TAKEN: AtomicU32 = AtomicU32::new(0);

/// An address of this test's own, so that tests side by side never meet.
fn own_ip() -> IpAddr {
    let n = TAKEN.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    Ipv4Addr::new(
        127,
        1 + (pid % 200) as u8,
        1 + (pid / 200 % 200) as u8,
        1 + (n % 250) as u8,
    )
    .into()
}

pub fn listener() -> TcpListener {
    TcpListener::bind((own_ip(), 0)).unwrap()
}

/// Settings under which nothing happens by time alone unless a test says so: classes `read` (free) and `once`
/// (unsafe: refused only if it cannot have run), one attempt each, the list pushed.
pub fn settings() -> Value {
    let class = |name: &str, repeat: &str| json!({"name": name, "aim": 20_000.0, "deadline": 20_000.0, "repeat": repeat, "worth": 1.0});
    json!({
        "classes": [class("read", "free"), class("once", "single_shot")],
        "discovery": "push",
        "replicas_of_me": 1,
        "realms": [{"name": "acme", "quota_per_s": 1000.0, "share": 1.0}],
        "policy_limits": {"try_limit": 1, "second_copies": false, "cancel": true, "connect_timeout": 5000.0,
                          "conn_idle": 60_000.0},
        "rules": {"stop_sending_within": 2000.0, "cold_from": 0.13, "cold": 24_000.0, "fall_multiple": 2.5,
                  "fall": 2000.0, "grace_to_answer": 8.0, "ask_within": 200.0},
    })
}

/// Closes a listener for good: a program that another test is just starting holds a copy until it runs.
pub fn close(listener: TcpListener) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    drop(listener);
    let begun = Instant::now();
    while TcpStream::connect(address).is_ok() {
        assert!(begun.elapsed() < PATIENCE, "still taken");
    }
    address
}

pub fn target(uid: &str, server: &TcpListener) -> Value {
    json!({"uid": uid, "endpoint": server.local_addr().unwrap().to_string(), "az": "a", "model": "m",
           "pod_group": 0, "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0})
}

pub fn list(rev: i64, all: bool, targets: &[Value]) -> Value {
    json!({"rev": rev, "all": all, "targets": targets})
}

/// The program as a node.
pub fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_sloewick"));
    program.arg("run");
    program
}

pub struct Node {
    child: Child,
    pub address: SocketAddr,
    pub discovery: TcpListener,
    file: PathBuf,
}

impl Node {
    /// A node that knows one server.
    pub fn with_server(server: &TcpListener) -> Node {
        Node::start(settings(), &[target("s-1", server)], |_| {})
    }

    /// A node with these settings and known servers; `edit` may change the rest of its configuration.
    pub fn start(settings: Value, known: &[Value], edit: impl FnOnce(&mut Value)) -> Node {
        Node::start_by(program(), settings, known, edit)
    }

    pub fn start_by(
        mut command: Command,
        settings: Value,
        known: &[Value],
        edit: impl FnOnce(&mut Value),
    ) -> Node {
        let address = close(listener());
        let discovery = listener();
        let mut config = json!({
            "name": "n1", "listen": address.to_string(),
            "discovery": discovery.local_addr().unwrap().to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": list(41, true, known), "settings": settings,
        });
        edit(&mut config);
        let address: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
        let name = format!("{}-{}", config["discovery"].as_str().unwrap(), address);
        let name = name.replace([':', '.'], "-");
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        std::fs::write(&file, config.to_string()).unwrap();
        let child = command.env("BALANCER_CONFIG", &file).spawn().unwrap();
        let node = Node {
            child,
            address,
            discovery,
            file,
        };
        let begun = Instant::now();
        while TcpStream::connect(address).is_err() {
            assert!(begun.elapsed() < PATIENCE, "the node does not listen");
            std::thread::sleep(Duration::from_millis(5));
        }
        node
    }

    pub fn client(&self) -> Peer {
        Peer::new(TcpStream::connect(self.address).unwrap())
    }

    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(kill.unwrap().success());
    }

    /// Stops the process, and comes back when it stands still: what is done from now on is found by it all at once.
    pub fn stand_still(&self) {
        self.signal("STOP");
        let begun = Instant::now();
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        while !state().rsplit_once(')').unwrap().1.starts_with(" T") {
            assert!(begun.elapsed() < PATIENCE, "it goes on");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Replaces the file of the configuration, whole at each moment, and tells the node.
    pub fn reload(&self, text: &str) {
        let next = self.file.with_extension("next");
        std::fs::write(&next, text).unwrap();
        std::fs::rename(&next, &self.file).unwrap();
        self.signal("HUP");
    }

    /// The text of the node's configuration.
    pub fn config(&self) -> String {
        std::fs::read_to_string(&self.file).unwrap()
    }

    /// Tells it to stop; what it has written on standard error until its end, if that was piped.
    pub fn last_words(&mut self) -> String {
        self.signal("TERM");
        assert!(self.wait().success());
        let mut text = String::new();
        self.child
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut text)
            .unwrap();
        text
    }

    /// What it writes on standard error, if that was piped.
    pub fn stderr(&mut self) -> std::process::ChildStderr {
        self.child.stderr.take().unwrap()
    }

    /// Waits for the node to end by itself.
    pub fn wait(&mut self) -> ExitStatus {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(begun.elapsed() < PATIENCE, "the node does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Memory in use, in megabytes.
    pub fn memory(&self) -> usize {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
        line.split_whitespace()
            .nth(1)
            .unwrap()
            .parse::<usize>()
            .unwrap()
            / 1024
    }

    /// The next call to discovery: its path, and the connection to answer on.
    pub fn call(&self) -> (String, Peer) {
        let mut peer = accept(&self.discovery);
        let head = peer.until(b"\r\n\r\n");
        let text = String::from_utf8(head).unwrap();
        (text.split(' ').nth(1).unwrap().to_string(), peer)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// The node's next connection.
pub fn accept(listener: &TcpListener) -> Peer {
    accept_either(std::slice::from_ref(listener)).1
}

/// The node's next connection to one of these, and to which.
pub fn accept_either(listeners: &[TcpListener]) -> (usize, Peer) {
    let begun = Instant::now();
    loop {
        for (i, listener) in listeners.iter().enumerate() {
            listener.set_nonblocking(true).unwrap();
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                return (i, Peer::new(stream));
            }
        }
        assert!(begun.elapsed() < PATIENCE, "no connection came");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A request is served with its own id as the value, on a new connection, whose server's side is returned.
pub fn exchange(client: &mut Peer, server: &TcpListener, id: &str) -> Peer {
    client.get(id);
    let mut conn = accept(server);
    assert_eq!(conn.command()[2], id);
    conn.send(served(id.as_bytes()));
    assert_eq!(client.bulk(), id.as_bytes());
    conn
}

/// The next connection with news: one of these, which were open before, or a new one, which is added to them. Which of
/// them the node uses again, and when, is not what such a test is about.
pub fn any<'a>(conns: &'a mut Vec<Peer>, server: &TcpListener) -> &'a mut Peer {
    let begun = Instant::now();
    loop {
        server.set_nonblocking(true).unwrap();
        while let Ok((stream, _)) = server.accept() {
            stream.set_nonblocking(false).unwrap();
            conns.push(Peer::new(stream));
        }
        if let Some(at) = conns.iter().position(Peer::has_some) {
            return &mut conns[at];
        }
        assert!(begun.elapsed() < PATIENCE, "nothing came");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Asks until a request comes on a connection that is open already, which is used again when it has rested after its
/// last answer; that request's id. All others are served.
pub fn asked_again(client: &mut Peer, server: &TcpListener, conn: &mut Peer, id: &str) -> String {
    let begun = Instant::now();
    let mut others = Vec::new();
    for n in 0.. {
        assert!(
            begun.elapsed() < PATIENCE,
            "the connection is not used again"
        );
        let id = format!("{id}-{n}");
        client.get(&id);
        let other = loop {
            if conn.has_some() {
                break None;
            }
            server.set_nonblocking(true).unwrap();
            if let Ok((stream, _)) = server.accept() {
                stream.set_nonblocking(false).unwrap();
                break Some(Peer::new(stream));
            }
            assert!(begun.elapsed() < PATIENCE, "{id} did not come");
        };
        let Some(mut other) = other else {
            assert_eq!(conn.command()[2], id);
            return id;
        };
        assert_eq!(other.command()[2], id);
        other.send(served(b"other"));
        assert_eq!(client.bulk(), b"other");
        others.push(other);
    }
    unreachable!()
}

/// The other end of a connection with the node: a client, a cache server or discovery.
pub struct Peer {
    pub stream: TcpStream,
    buf: Vec<u8>,
    /// The connection ended with a reset, which may destroy what was sent before.
    pub was_reset: bool,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_write_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer {
            stream,
            buf: Vec::new(),
            was_reset: false,
        }
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).unwrap();
    }

    pub fn get(&mut self, id: &str) {
        self.send(command(&[
            b"C.GET",
            b"k1",
            id.as_bytes(),
            b"c=once,t=acme,d=20000",
        ]));
    }

    /// All up to and with this.
    pub fn until(&mut self, end: &[u8]) -> Vec<u8> {
        loop {
            if let Some(at) = self.buf.windows(end.len()).position(|w| w == end) {
                return self.buf.drain(..at + end.len()).collect();
            }
            assert!(
                self.more(),
                "the connection ended within a message: {:?}",
                self.text()
            );
        }
    }

    fn exactly(&mut self, n: usize) -> Vec<u8> {
        while self.buf.len() < n {
            assert!(self.more(), "the connection ended within a value");
        }
        self.buf.drain(..n).collect()
    }

    fn more(&mut self) -> bool {
        let mut bytes = [0; 65536];
        match self.stream.read(&mut bytes) {
            Ok(n) => {
                self.buf.extend_from_slice(&bytes[..n]);
                n > 0
            }
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => {
                self.was_reset = true;
                false
            }
            // A read with a time-out is not taken up again by itself.
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => self.more(),
            Err(e) => panic!("nothing came: {e}"),
        }
    }

    /// Whether bytes wait here, or the end of the other side's sending.
    pub fn has_some(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let waits = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        !self.buf.is_empty() || waits.is_ok()
    }

    /// What has come; if that is nothing, the next bytes.
    pub fn some(&mut self) -> Vec<u8> {
        assert!(!self.buf.is_empty() || self.more(), "the connection ended");
        std::mem::take(&mut self.buf)
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.buf).into_owned()
    }

    /// A line without its end.
    pub fn line(&mut self) -> String {
        let line = self.until(b"\r\n");
        String::from_utf8(line[..line.len() - 2].to_vec()).unwrap()
    }

    /// A bulk string.
    pub fn bulk(&mut self) -> Vec<u8> {
        let head = self.line();
        let len = head
            .strip_prefix('$')
            .unwrap_or_else(|| panic!("{head:?}"))
            .parse()
            .unwrap();
        let bytes = self.exactly(len);
        assert_eq!(self.exactly(2), b"\r\n");
        bytes
    }

    /// A command's words.
    pub fn command(&mut self) -> Vec<String> {
        let head = self.line();
        let count = head
            .strip_prefix('*')
            .unwrap_or_else(|| panic!("{head:?}"))
            .parse()
            .unwrap();
        (0..count)
            .map(|_| String::from_utf8_lossy(&self.bulk()).into_owned())
            .collect()
    }

    /// Waits for the end of the other side's sending; all that came before it.
    pub fn end(&mut self) -> String {
        while self.more() {}
        self.text()
    }

    pub fn answer_http(&mut self, body: &Value) {
        let body = body.to_string();
        self.send(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Ends the connection at once, also where a program that another test is just starting holds a copy of it: the
    /// node must not take it for one that can be used again.
    pub fn close(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Breaks the connection as a process that dies does.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).bytes());
        out.extend_from_slice(word);
        out.extend(b"\r\n");
    }
    out
}

/// A cache server's answer.
pub fn served(value: &[u8]) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out.extend(b"\r\n$3\r\nhit\r\n$-1\r\n");
    out
}
