//! A cache server dies while it sends long values: are the requests answered that stand behind such a value?

#[path = "../standin/mod.rs"]
mod standin;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

const SERVERS: usize = 3;
/// When one cache server is killed, and how much longer the load lasts: the list is told of it 4.9 to 13 s later.
const CRASH_AFTER: Duration = Duration::from_secs(6);
const LOAD_AFTER_CRASH: Duration = Duration::from_millis(4500);
/// Clients that send so many commands at once, the last an alarm-set, and again after each interval: 240 requests a second.
const CLIENTS: usize = 10;
const COMMANDS: usize = 12;
const INTERVAL: Duration = Duration::from_millis(500);
const LOGGERS: u64 = 400;
/// One logger in four has a long value, which comes in pieces with a pause after each.
const LONG: usize = 200 << 10;
const PIECES: usize = 4;
const PIECE_PAUSE: Duration = Duration::from_millis(60);
const SHORT: usize = 200;
const WORK: Duration = Duration::from_millis(18);

/// A cache server is a process of its own: it prints its address, then a line for each request that it has begun.
fn serve_as_process() {
    let address = start_cache_server(Arc::new(|request: &Request| {
        println!("{} {}", if request.write { "write" } else { "read" }, request.id);
        let number: u64 = request.key[7..].parse().unwrap_or(0);
        let is_long = !request.write && number % 4 == 0;
        let answer = served(&value_for(&request.key, &request.id, if is_long { LONG } else { SHORT }), "hit");
        let piece = answer.len().div_ceil(if is_long { PIECES } else { 1 });
        let acts = answer.chunks(piece).enumerate();
        acts.map(|(n, bytes)| (WORK + PIECE_PAUSE * n as u32, Act::Write(bytes.to_vec()))).collect()
    }));
    println!("{address}");
    // Ends with its parent: its standard input is a pipe that ends then.
    let _ = std::io::stdin().lock().read_line(&mut String::new());
}

struct CacheServer {
    process: Child,
    address: String,
}

type Seen = Arc<Mutex<HashMap<String, usize>>>;

fn start_server(number: usize, seen: &Seen, record: &Record) -> CacheServer {
    let program = std::env::current_exe().expect("this program");
    let mut process = Command::new(program)
        .arg("serve")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("a cache server");
    let mut lines = BufReader::new(process.stdout.take().expect("its output")).lines();
    let address = lines.next().expect("its address").expect("its address");
    let (seen, record) = (seen.clone(), record.clone());
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            record.line(&format!("server {number} runs {line}"));
            if let Some((_, id)) = line.split_once(' ') {
                seen.lock().unwrap().entry(id.to_string()).or_insert(number);
            }
        }
    });
    CacheServer { process, address }
}

impl Drop for CacheServer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    other: AtomicU64,
    /// Values that broke off where the client can tell: failed, not lost.
    broken_off: AtomicU64,
    lost: AtomicU64,
}

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// One client: groups of commands at once, on a connection that it keeps, and on a new one when that has ended.
fn run_client(number: usize, listen: &str, ids: &Ids, seen: &Seen, counts: &Counts, ends: &AtomicBool, record: &Record) {
    thread::sleep(INTERVAL * number as u32 / CLIENTS as u32);
    let mut next_key = number as u64 * 37;
    let mut client = None;
    while !ends.load(Ordering::Relaxed) {
        let round = Instant::now();
        let Ok(mut open) = client.take().map_or_else(|| Client::connect(listen), Ok) else {
            thread::sleep(ms(20));
            continue;
        };
        open.timeout(ms(4000));
        let (mut asked, mut bytes) = (Vec::new(), Vec::new());
        for command in 0..COMMANDS {
            next_key = (next_key + 7) % LOGGERS;
            let (key, id) = (format!("logger/{next_key}"), ids.next());
            let write = command + 1 == COMMANDS;
            bytes.extend(if write {
                encode_set(&key, &id, "leak-crew", 2000, b"level=4")
            } else {
                encode_get(&key, &id, "leak-crew", 400)
            });
            record.line(&format!("client {number} sends {id} {key} write={write}"));
            asked.push((key, id, write));
        }
        let mut is_open = open.stream.write_all(&bytes).is_ok();
        for (key, id, write) in asked {
            let reply = if is_open { open.reply() } else { Reply::Closed };
            record.line(&format!("client {number} gets {id} {}", reply.name()));
            match &reply {
                Reply::Value(value) if value.starts_with(format!("{key}|{id}|").as_bytes()) => add(&counts.served),
                Reply::Partial(_) => {
                    add(&counts.broken_off);
                    is_open = false;
                }
                Reply::Closed | Reply::Silence => {
                    is_open = false;
                    // The lines of the cache servers may be a moment late.
                    wait_until(ms(200), || seen.lock().unwrap().contains_key(&id));
                    if let Some(server) = seen.lock().unwrap().get(&id).copied() {
                        add(&counts.lost);
                        record.say(&format!("LOST: {id} (write={write}) ran at server {server}, and client {number} got {}", reply.name()));
                    }
                }
                _ => add(&counts.other),
            }
        }
        client = is_open.then_some(open);
        thread::sleep(INTERVAL.saturating_sub(round.elapsed()));
    }
}

fn run(root: &Path, record: &Record) -> i32 {
    let seen: Seen = Arc::default();
    let mut servers: Vec<CacheServer> = (0..SERVERS).map(|number| start_server(number, &seen, record)).collect();
    let targets: Vec<Target> = servers
        .iter()
        .enumerate()
        .map(|(number, server)| Target {
            uid: format!("s-{number:04}"),
            endpoint: server.address.clone(),
            zone: "ops-center",
            kind: "std-box",
            state: "in_service",
        })
        .collect();
    let discovery = start_discovery(targets.clone());
    let mut node = Node::start(root, &discovery, &targets, Limits { memory_mb: 64, sockets: 512 });
    watchdog(Duration::from_secs(100), node.pid());
    if !node.wait_until_ready() {
        record.say("the node did not get ready");
        return COULD_NOT_RUN;
    }
    let (counts, ids, ends) = (Arc::new(Counts::default()), Arc::new(Ids::new()), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (listen, ids, seen) = (node.listen.clone(), ids.clone(), seen.clone());
            let (counts, ends, record) = (counts.clone(), ends.clone(), record.clone());
            thread::spawn(move || run_client(number, &listen, &ids, &seen, &counts, &ends, &record))
        })
        .collect();
    thread::sleep(CRASH_AFTER);
    if trouble() {
        record.say("server 0 is killed");
        drop(servers.remove(0));
    }
    thread::sleep(LOAD_AFTER_CRASH);
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    record.say(&format!(
        "served {}, refused or failed {}, values that broke off {}, lost {}",
        count(&counts.served), count(&counts.other), count(&counts.broken_off), count(&counts.lost)
    ));
    record.line(&format!("log of the node:\n{}", node.log_tail(30)));
    if !node.is_running() {
        record.say("the node has ended");
        return BROKEN;
    }
    if count(&counts.lost) > 0 { BROKEN } else if count(&counts.served) < 1000 { COULD_NOT_RUN } else { HELD }
}

fn main() {
    if std::env::args().nth(1).as_deref() == Some("serve") {
        return serve_as_process();
    }
    let folder = case_folder();
    let record = Record::create(&folder);
    let root = std::env::current_dir().expect("the root");
    let code = run(&root, &record);
    record.say(&format!("exit {code}"));
    std::process::exit(code);
}
