//! Stand-ins for clients, cache servers and discovery, and control of node processes, for the cases of the
//! review. Only the standard library is used. The protocols are those of the operators' pages.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// The exit status of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and run, with the time since its start in seconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.4} {}\n", self.now(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Waits until so many seconds have passed since the start of the run.
    pub fn wait_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as i64)
}

static ADDRESSES: AtomicUsize = AtomicUsize::new(1);

/// A loopback address of its own with a free port. No other process uses the address, so that the port stays free.
pub fn free_address() -> SocketAddr {
    let process = std::process::id();
    let number = ADDRESSES.fetch_add(1, Ordering::SeqCst);
    let host = [
        127,
        64 + (process >> 8 & 127) as u8,
        (process & 255) as u8,
        number as u8,
    ];
    TcpListener::bind((Ipv4Addr::from(host), 0))
        .and_then(|listener| listener.local_addr())
        .expect("a free port")
}

// ---------------------------------------------------------------------------------------------------------
// RESP2

/// Reads a line without its end; None at the end of the connection.
pub fn read_line(input: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    input.read_until(b'\n', &mut line).ok()?;
    if !line.ends_with(b"\r\n") {
        return None;
    }
    line.truncate(line.len() - 2);
    String::from_utf8(line).ok()
}

/// Reads a command, an array of bulk strings; None at the end of the connection.
pub fn read_command(input: &mut impl BufRead) -> Option<Vec<String>> {
    let words: usize = read_line(input)?.strip_prefix('*')?.parse().ok()?;
    let mut command = Vec::new();
    for _ in 0..words {
        let len: usize = read_line(input)?.strip_prefix('$')?.parse().ok()?;
        let mut word = vec![0; len + 2];
        input.read_exact(&mut word).ok()?;
        word.truncate(len);
        command.push(String::from_utf8(word).ok()?);
    }
    Some(command)
}

pub fn encode_command(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len());
    for word in words {
        out.push_str(&format!("${}\r\n{word}\r\n", word.len()));
    }
    out.into_bytes()
}

/// The answer that a client gets.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Value(Vec<u8>),
    /// `-BUSY`: refused.
    Busy,
    /// Any other complete answer: failed.
    Failed(String),
    /// The connection ended with so many bytes of an answer.
    Ended(usize),
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::Value(value) => format!("served with {} bytes", value.len()),
            Answer::Busy => "refused (-BUSY)".to_string(),
            Answer::Failed(line) => format!("failed ({line})"),
            Answer::Ended(bytes) => {
                format!("NO WHOLE ANSWER, the connection ended after {bytes} bytes of it")
            }
        }
    }
}

/// Reads the answer to a request.
pub fn read_answer(input: &mut impl BufRead) -> Answer {
    let Some(line) = read_line(input) else {
        return Answer::Ended(0);
    };
    if line.starts_with("-BUSY") {
        return Answer::Busy;
    }
    let len: Option<usize> = line.strip_prefix('$').and_then(|len| len.parse().ok());
    let Some(len) = len else {
        return Answer::Failed(line);
    };
    let mut value = Vec::new();
    let mut chunk = [0; 16 << 10];
    while value.len() < len + 2 {
        let want = chunk.len().min(len + 2 - value.len());
        match input.read(&mut chunk[..want]) {
            Ok(n) if n > 0 => value.extend_from_slice(&chunk[..n]),
            _ => return Answer::Ended(line.len() + 2 + value.len()),
        }
    }
    value.truncate(len);
    Answer::Value(value)
}

/// The reading side of a connection.
pub struct Input(pub Arc<TcpStream>);

impl Read for Input {
    fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        (&*self.0).read(into)
    }
}

/// A client's connection to a node.
pub struct Client {
    pub stream: Arc<TcpStream>,
    pub input: BufReader<Input>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> std::io::Result<Client> {
        let stream = Arc::new(TcpStream::connect(to)?);
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        let input = BufReader::new(Input(stream.clone()));
        Ok(Client { stream, input })
    }

    pub fn send(&mut self, words: &[&str]) -> std::io::Result<()> {
        (&*self.stream).write_all(&encode_command(words))
    }

    pub fn ask(&mut self, words: &[&str]) -> Answer {
        if self.send(words).is_err() {
            return Answer::Ended(0);
        }
        read_answer(&mut self.input)
    }
}

static REQUESTS: AtomicI64 = AtomicI64::new(0);

/// An id for a request, new with each call.
pub fn new_id() -> String {
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{:08x}", std::process::id(), number)
}

// ---------------------------------------------------------------------------------------------------------
// Cache servers

/// What a cache server does with a command, and its answer.
pub type Handler = Arc<dyn Fn(&ServerInfo, &mut &TcpStream, &[String]) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct ServerInfo {
    pub uid: String,
    pub cell: i64,
    pub zone: String,
    pub address: SocketAddr,
}

/// A cache server: a thread for each connection.
pub struct Server {
    connections: Arc<Mutex<Vec<Arc<TcpStream>>>>,
    stopped: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server. The handler returns false to end the connection.
    pub fn start(info: ServerInfo, handler: Handler) -> Server {
        let listener = TcpListener::bind(info.address).expect("the server's address is free");
        listener.set_nonblocking(true).unwrap();
        let connections: Arc<Mutex<Vec<Arc<TcpStream>>>> = Arc::default();
        let stopped: Arc<AtomicBool> = Arc::default();
        let (held, is_stopped, about) = (connections.clone(), stopped.clone(), info.clone());
        thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let _ = stream.set_nodelay(true);
                let stream = Arc::new(stream);
                held.lock().unwrap().push(stream.clone());
                let (handler, about) = (handler.clone(), about.clone());
                let held = held.clone();
                thread::spawn(move || {
                    serve_connection(&about, &stream, &handler);
                    held.lock()
                        .unwrap()
                        .retain(|other| !Arc::ptr_eq(other, &stream));
                });
            }
        });
        Server {
            connections,
            stopped,
        }
    }

    /// Ends the server's process: its listener is closed, its connections are ended.
    pub fn end(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        sleep_ms(20);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_connection(info: &ServerInfo, stream: &Arc<TcpStream>, handler: &Handler) {
    let mut input = BufReader::new(Input(stream.clone()));
    let mut stream = &**stream;
    while let Some(command) = read_command(&mut input) {
        let goes_on = match command[0].as_str() {
            "PING" => stream.write_all(b"+PONG\r\n").is_ok(),
            "C.GET" | "C.SET" => handler(info, &mut stream, &command),
            "INFO" => stream.write_all(b"-NOPERM\r\n").is_ok(),
            _ => stream.write_all(b"-ERR unknown\r\n").is_ok(),
        };
        if !goes_on {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// A served answer: a value or receipt, how it went, no load report.
pub fn served(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes()
}

/// A field of the list after the id of a command, for instance `k`.
pub fn field<'a>(command: &'a [String], name: &str) -> &'a str {
    let fields = command.get(3).map_or("", |fields| fields);
    let value = |field: &'a str| {
        field
            .split_once('=')
            .filter(|(n, _)| *n == name)
            .map(|(_, v)| v)
    };
    fields.split(',').find_map(value).unwrap_or("")
}

// ---------------------------------------------------------------------------------------------------------
// Discovery

#[derive(Clone)]
pub struct Target {
    pub info: ServerInfo,
    pub state: &'static str,
    pub boot_ms: i64,
    /// Version of the list in which it last changed.
    pub changed: i64,
}

fn target_json(target: &Target) -> String {
    let info = &target.info;
    format!(
        "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"std-box\",\"pod_group\":{},\"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
        info.uid, info.address, info.zone, info.cell, target.state, target.boot_ms
    )
}

pub fn list_json(rev: i64, all: bool, targets: &[Target]) -> String {
    let targets: Vec<String> = targets.iter().map(target_json).collect();
    format!(
        "{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}",
        targets.join(",")
    )
}

pub const UP: usize = 0;
/// Discovery is down: calls end with 503, watches end.
pub const DOWN: usize = 1;

/// Discovery that is asked: the whole list, or a watch on changes.
pub struct Discovery {
    pub address: SocketAddr,
    pub state: Mutex<(i64, Vec<Target>)>,
    pub mode: AtomicUsize,
    record: Record,
}

impl Discovery {
    pub fn start(targets: Vec<Target>, record: &Record) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            state: Mutex::new((41, targets)),
            mode: AtomicUsize::new(UP),
            record: record.clone(),
        });
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = shared.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// Changes or adds an entry.
    pub fn change(&self, info: &ServerInfo, state: &'static str, boot_ms: i64) {
        let mut list = self.state.lock().unwrap();
        list.0 += 1;
        let rev = list.0;
        list.1.retain(|target| target.info.uid != info.uid);
        list.1.push(Target {
            info: info.clone(),
            state,
            boot_ms,
            changed: rev,
        });
        self.record.note(format!(
            "discovery: from revision {rev} on {} at {} is {state}",
            info.uid, info.address
        ));
    }

    pub fn known(&self) -> String {
        let list = self.state.lock().unwrap();
        list_json(list.0, true, &list.1)
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let Some(line) = read_line(&mut input) else {
            return;
        };
        while read_line(&mut input).is_some_and(|line| !line.is_empty()) {}
        let path = line.split(' ').nth(1).unwrap_or("").to_string();
        let reply = |stream: &mut TcpStream, status: &str, body: &str| {
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.shutdown(Shutdown::Write);
        };
        let number = |name: &str| -> Option<i64> {
            let query = path.split_once('?')?.1;
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let note = |text: String| self.record.note(text);
        let since = number("since");
        let until =
            Instant::now() + Duration::from_millis(number("timeout_ms").unwrap_or(0) as u64);
        if self.mode.load(Ordering::SeqCst) == DOWN {
            note(format!("discovery: is down, answers 503 to {path}"));
            return reply(&mut stream, "503 Service Unavailable", "");
        }
        loop {
            if self.mode.load(Ordering::SeqCst) == DOWN {
                note(format!("discovery: goes down, ends the watch {path}"));
                return;
            }
            let (rev, targets) = self.state.lock().unwrap().clone();
            let body = match since {
                None => Some(list_json(rev, true, &targets)),
                Some(since) if rev > since || Instant::now() >= until => {
                    let changed: Vec<Target> =
                        targets.into_iter().filter(|t| t.changed > since).collect();
                    Some(list_json(rev, false, &changed))
                }
                _ => None,
            };
            if let Some(body) = body {
                note(format!("discovery: answers {path} with revision {rev}"));
                return reply(&mut stream, "200 OK", &body);
            }
            sleep_ms(2);
        }
    }
}

/// An HTTP call at a node's operators' address; returns the status line.
pub fn call_operators(address: SocketAddr, method: &str, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    stream
        .write_all(
            format!("{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n")
                .as_bytes(),
        )
        .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.lines().next().map(str::to_string)
}

// ---------------------------------------------------------------------------------------------------------
// The node

/// Settings of a small deployment: those of marlow-loggers, with changes that a case names.
pub struct Settings {
    pub fields: BTreeMap<&'static str, String>,
}

impl Settings {
    pub fn marlow(nodes: usize, me: usize) -> Settings {
        let mut fields = BTreeMap::new();
        fields.insert("trace-read", "{\"aim\":150.0,\"deadline\":400.0,\"dedup_scope\":\"all\",\"late_share\":0.0,\"name\":\"trace-read\",\"repeat\":\"free\",\"stream\":false,\"window\":5000.0,\"worth\":1.0}".to_string());
        fields.insert("alarm-set", "{\"aim\":500.0,\"deadline\":2000.0,\"dedup_scope\":\"all\",\"late_share\":0.0,\"name\":\"alarm-set\",\"repeat\":\"guarded\",\"stream\":false,\"window\":10000.0,\"worth\":10.0}".to_string());
        fields.insert("me", me.to_string());
        fields.insert("nodes", nodes.to_string());
        Settings { fields }
    }

    fn json(&self) -> String {
        let field = |name: &str| self.fields[name].as_str();
        format!(
            "{{\"classes\":[{},{}],\"clients\":{{\"marks_retry\":true}},\"discovery\":\"ask\",\
\"domain\":{{\"mode\":\"through\",\"origin_fall\":3000.0,\"origin_fall_multiple\":0.0,\"origin_kind\":-1}},\"family\":\"cache\",\
\"goal\":{{\"whole\":0.55,\"worst_class\":0.05,\"worst_tenant\":0.25,\"worst_window\":0.15}},\"kinds\":[\"std-box\",\"slow-box\"],\
\"load_report\":{{\"fields\":[],\"how\":\"silent\"}},\"me\":{},\"over_share_worth\":0.05,\"period\":2.0,\
\"policy_limits\":{{\"cancel\":true,\"conn_idle\":10000.0,\"connect_timeout\":75.0,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":400000,\"max_open\":100000,\
\"max_retry_after\":1000.0,\"peer_messages\":false,\"probes\":true,\"retry_after\":true,\"second_copies\":true,\"streams_per_conn\":100,\"try_limit\":5}},\
\"prices\":{{\"connection\":0.0,\"cross_zone\":0.01,\"discovery\":0.0,\"handshake\":0.0,\"late_fail\":0.03,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.03,\"waste\":0.02}},\
\"realms\":[{{\"name\":\"distribution\",\"quota_per_s\":5000.0,\"share\":0.37}},{{\"name\":\"leak-crew\",\"quota_per_s\":5000.0,\"share\":0.26}},\
{{\"name\":\"engineering\",\"quota_per_s\":5000.0,\"share\":0.21}},{{\"name\":\"customer-svc\",\"quota_per_s\":5000.0,\"share\":0.16}}],\
\"replicas_of_me\":{},\"rules\":{{\"ask_within\":10000.0,\"cold\":24000.0,\"cold_from\":0.13,\"fall\":2000.0,\"fall_multiple\":2.5,\"grace_to_answer\":8.0,\"stop_sending_within\":2000.0}},\
\"stages\":[\"logger-cache\"],\"tier\":0,\"value_by\":\"request\",\"weights\":\"silent\",\"zone\":\"ops-center\",\"zones\":[\"ops-center\",\"eastside-plant\"]}}",
            field("trace-read"), field("alarm-set"), field("me"), field("nodes")
        )
    }
}

/// A node's process.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    pub operators: SocketAddr,
}

/// The folder for the files of a run, which `run.sh` makes and removes.
pub fn temporary_folder() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP is set by run.sh"))
}

/// The command that the deploy file names under `run`.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text
        .lines()
        .find(|line| line.starts_with("run ") || line.starts_with("run="));
    line.and_then(|line| line.split('"').nth(1))
        .expect("run in the deploy file")
        .to_string()
}

/// Writes the configuration of a node; returns the path of the file.
pub fn write_configuration(
    name: &str,
    address: SocketAddr,
    settings: &Settings,
    discovery: &Discovery,
) -> PathBuf {
    let config = temporary_folder().join(format!("{name}.json"));
    let text = format!(
        "{{\"name\":\"n1\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"peer_listen\":\"{address}\",\"peers\":[\"{address}\"],\"known\":{},\"settings\":{}}}",
        discovery.address,
        discovery.known(),
        settings.json()
    );
    fs::write(&config, text).unwrap();
    config
}

impl Node {
    /// Starts a node as the platform does, and waits until it answers PING.
    pub fn start(name: &str, settings: &Settings, discovery: &Discovery, record: &Record) -> Node {
        let address = free_address();
        let config = write_configuration(name, address, settings, discovery);
        let node = Node::spawn(name, &config, address, None, discovery, record);
        node.wait_for_pong(record, name);
        node
    }

    /// Starts a process of a node whose clients' socket is held by the platform. Processes of a node share the configuration and
    /// the folder for temporary files.
    pub fn spawn_inheriting(
        name: &str,
        config: &Path,
        socket: &TcpListener,
        discovery: &Discovery,
        record: &Record,
    ) -> Node {
        let address = socket.local_addr().unwrap();
        Node::spawn(name, config, address, Some(socket), discovery, record)
    }

    fn spawn(
        name: &str,
        config: &Path,
        address: SocketAddr,
        socket: Option<&TcpListener>,
        discovery: &Discovery,
        record: &Record,
    ) -> Node {
        let operators = free_address();
        let folder = temporary_folder();
        let private = folder.join("node.tmp");
        fs::create_dir_all(&private).unwrap();
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        let run = run_command();
        match socket {
            None => command.args(["-c", &run]).stdin(Stdio::null()),
            Some(socket) => command
                .args(["-c", &format!("exec 3<&0 </dev/null; {run}")])
                .env("BALANCER_ACCEPT_FD", "3")
                .stdin(Stdio::from(OwnedFd::from(socket.try_clone().unwrap()))),
        };
        let child = command
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_DISCOVERY", discovery.address.to_string())
            .env("BALANCER_CONFIG", config)
            .env("BALANCER_OPS", operators.to_string())
            .env("TMPDIR", &private)
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the node can be started");
        let pids = folder.join("pids");
        let mut known = fs::read_to_string(&pids).unwrap_or_default();
        known.push_str(&format!("{}\n", child.id()));
        fs::write(&pids, known).unwrap();
        record.note(format!("node {name}: started, listens on {address}"));
        Node {
            child,
            address,
            operators,
        }
    }

    fn wait_for_pong(&self, record: &Record, name: &str) {
        for _ in 0..1500 {
            let client = Client::connect(self.address);
            if client.is_ok_and(|mut client| {
                client.ask(&["PING"]) == Answer::Failed("+PONG".to_string())
            }) {
                return record.note(format!("node {name}: ready"));
            }
            sleep_ms(20);
        }
        panic!("the node is not ready after 30 s");
    }

    /// Waits until the process says at the operators' address that it is ready; returns false after so many seconds.
    pub fn wait_until_ready(&self, record: &Record, name: &str, seconds: f64) -> bool {
        let until = record.now() + seconds;
        while record.now() < until {
            let status = call_operators(self.operators, "GET", "/api/ready");
            if status.is_some_and(|status| status.contains(" 200 ")) {
                record.note(format!("node {name}: says that it is ready"));
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for, so that the id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Appends what the node has logged to the record.
    pub fn record_log(&self, name: &str, record: &Record) {
        let log =
            fs::read_to_string(temporary_folder().join(format!("{name}.log"))).unwrap_or_default();
        for line in log.lines().take(200) {
            record.note(format!("node {name} logged: {line}"));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }
}

/// Whether the disruption is left out.
pub fn without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
