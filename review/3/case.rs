//! Cache servers that now and then send an answer twice, the second time some milliseconds late: does a client ever get the
//! value of another request?

#[path = "../standin/mod.rs"]
mod standin;

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

/// One way between the node and a cache server of the other building (the pages: 4.2 to 7.8 ms).
const LINK: Duration = Duration::from_micros(6_000);
/// Work of a request at a cache server, which works on one at a time.
const WORK: Duration = Duration::from_micros(300);
/// One answer in so many comes a second time, so late.
const ONE_IN: u64 = 50;
const LATE: [u64; 3] = [3, 5, 8];
/// Clients that send so many commands at once, twice in a row and again after each interval: some 1,070 requests a second.
const CLIENTS: usize = 2;
const COMMANDS: usize = 80;
const INTERVAL: Duration = Duration::from_millis(300);
const LOAD: Duration = Duration::from_secs(20);
const LOGGERS: u64 = 400;

struct CacheServer {
    busy_until: Mutex<Instant>,
    requests: AtomicU64,
    twice: bool,
    record: Record,
}

impl CacheServer {
    fn serve(&self, request: &Request) -> Vec<(Duration, Vec<u8>)> {
        let ended = {
            let mut busy_until = self.busy_until.lock().unwrap();
            *busy_until = (*busy_until).max(request.at + LINK) + WORK;
            *busy_until
        };
        let answer = served(&value_for(&request.key, &request.id, 60), Some("hit"));
        let arrives = ended + LINK - request.at;
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        self.record.line(&format!("a server runs {} {}", request.key, request.id));
        let mut writes = vec![(arrives, answer.clone())];
        // The node has the answer one link later and what it sends then is here another link later: until then nothing else
        // waits on this connection, so the second copy goes out.
        if self.twice && number % ONE_IN == 0 {
            let late = ms(LATE[(number / ONE_IN) as usize % LATE.len()]);
            assert!(late < 2 * LINK);
            self.record.line(&format!("server answers {} twice, {} ms late", request.id, late.as_millis()));
            writes.push((arrives + late, answer));
        }
        writes
    }
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    other: AtomicU64,
    foreign: AtomicU64,
}

fn run_client(number: usize, listen: &str, ids: &Ids, counts: &Counts, record: &Record) {
    let started = Instant::now();
    let mut client = Client::connect(listen).expect("a connection");
    client.timeout(ms(5000));
    let mut next_key = number as u64 * 37;
    while started.elapsed() < LOAD {
        let round = Instant::now();
        for _ in 0..2 {
            let mut asked = Vec::new();
            let mut bytes = Vec::new();
            for _ in 0..COMMANDS {
                next_key = (next_key + 7) % LOGGERS;
                let (key, id) = (format!("logger/{next_key}"), ids.next());
                bytes.extend_from_slice(&encode_get(&key, &id, "engineering", 400));
                asked.push((key, id));
            }
            use std::io::Write;
            if client.stream.write_all(&bytes).is_err() {
                return record.say("a client's connection has ended");
            }
            for (key, id) in asked {
                let reply = client.reply();
                record.line(&format!("client {number} asked {key} {id} gets {}", reply.name()));
                match &reply {
                    Reply::Value(value) if value.starts_with(format!("{key}|{id}|").as_bytes()) => add(&counts.served),
                    Reply::Value(_) => {
                        add(&counts.foreign);
                        record.say(&format!("FOREIGN: client {number} asked for {key} with {id} and got {}", reply.name()));
                    }
                    Reply::Closed | Reply::Partial(_) | Reply::Silence => return record.say("a client's connection has ended"),
                    _ => add(&counts.other),
                }
            }
        }
        thread::sleep(INTERVAL.saturating_sub(round.elapsed()));
    }
}

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn run(root: &Path, record: &Record) -> i32 {
    let targets: Vec<Target> = (0..2)
        .map(|number| {
            let server = Arc::new(CacheServer {
                busy_until: Mutex::new(Instant::now()),
                requests: AtomicU64::new(0),
                twice: trouble(),
                record: record.clone(),
            });
            Target {
                uid: format!("s-{number:04}"),
                endpoint: start_cache_server(Arc::new(move |request: &Request| server.serve(request))),
                zone: "eastside-plant",
                kind: "std-box",
                state: "in_service",
            }
        })
        .collect();
    let discovery = start_discovery(targets.clone());
    let mut node = Node::start(root, &discovery, &targets, Limits { memory_mb: 64, sockets: 512, settings: MARLOW });
    watchdog(Duration::from_secs(100), node.pid());
    if !node.wait_until_ready() {
        record.say("the node did not get ready");
        return COULD_NOT_RUN;
    }
    let (counts, ids) = (Arc::new(Counts::default()), Arc::new(Ids::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (listen, ids, counts, record) = (node.listen.clone(), ids.clone(), counts.clone(), record.clone());
            thread::spawn(move || run_client(number, &listen, &ids, &counts, &record))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    record.say(&format!(
        "served {}, refused or failed {}, values of another request {}",
        count(&counts.served), count(&counts.other), count(&counts.foreign)
    ));
    record.line(&format!("log of the node:\n{}", node.log_tail(30)));
    if !node.is_running() {
        record.say("the node has ended");
        return BROKEN;
    }
    if count(&counts.foreign) > 0 { BROKEN } else if count(&counts.served) < 1000 { COULD_NOT_RUN } else { HELD }
}

fn main() {
    main_of_case(run)
}
