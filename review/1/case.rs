//! A cache server dies under writes that it has run: does one of them take effect a second time, when the cache servers have
//! forgotten the first?

#[path = "../standin/mod.rs"]
mod standin;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use standin::*;

/// Templates that are saved at once, each on a connection of its own, and their length.
const SAVES: usize = 12;
const TEMPLATE: usize = 1 << 20;
/// How long a client's try lasts: 0.8 of the class's deadline of 3 s.
const TRY_MS: u64 = 2400;
/// How long the two servers of the kind `old` take to read such a value; the third reads it at once.
const READING: Duration = Duration::from_millis(2220);
/// Work of a save at a cache server. It has passed the write on to the historian when the work begins.
const WORK: Duration = Duration::from_millis(90);
/// When the third server dies after it has begun its first save: all that reached it by then have run or are running.
const DIES_AFTER: Duration = Duration::from_millis(30);
/// How long the cache servers drop a repeat; the slack of time limits on sockets (50 ms), and the time for which a node may be held
/// up between reading its clock and writing (150 ms), which windows allow for.
const WINDOW_MS: f64 = 2000.0;
const SLACK_MS: f64 = 50.0 + 150.0;

const KINDS: [&str; 3] = ["standard", "old", "old"];

fn unix_micros() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros()
}

/// A cache server is a process of its own: it prints its address, then a line for each write whose last byte has come.
fn serve_as_process(pace: Option<Duration>) {
    let serve: Serve = Arc::new(|request: &Request| {
        if request.write {
            println!("{} {} {}", unix_micros(), request.fields["k"], request.fields["d"]);
        }
        let value = value_for(&request.key, &request.id, 60);
        vec![(if request.write { WORK } else { ms(60) }, served(&value, (!request.write).then_some("hit")))]
    });
    println!("{}", start_paced_cache_server(serve, pace));
    // Ends with its parent: its standard input is a pipe that ends then.
    let _ = std::io::stdin().lock().read_line(&mut String::new());
}

/// The writes that ran, by idempotency key: when the last byte had come, and at which server.
type Ran = Arc<Mutex<BTreeMap<String, Vec<(u128, usize)>>>>;

struct CacheServer {
    process: Child,
    address: String,
}

fn start_server(number: usize, ran: &Ran, record: &Record) -> CacheServer {
    let program = std::env::current_exe().expect("this program");
    let mut process = Command::new(program)
        .args(["serve", KINDS[number]])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("a cache server");
    let mut lines = BufReader::new(process.stdout.take().expect("its output")).lines();
    let address = lines.next().expect("its address").expect("its address");
    let (ran, record) = (ran.clone(), record.clone());
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            let words: Vec<&str> = line.split(' ').collect();
            let at: u128 = words[0].parse().unwrap_or(0);
            record.line(&format!("server {number} ({}) runs write k={} d={}", KINDS[number], words[1], words[2]));
            ran.lock().unwrap().entry(words[1].to_string()).or_default().push((at, number));
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

fn save_template(number: usize, listen: &str, id: &str, record: &Record) -> Reply {
    let key = format!("template/{number}");
    let fields = format!("c=template-save,d={TRY_MS},k=k{id}");
    let value = value_for(&key, id, TEMPLATE);
    let Ok(mut client) = Client::connect(listen) else {
        return Reply::Closed;
    };
    client.timeout(ms(TRY_MS + 500));
    record.line(&format!("client {number} sends {id} {key} {fields}"));
    let sent = client.send(&[b"C.SET", key.as_bytes(), id.as_bytes(), fields.as_bytes(), &value]);
    let reply = if sent.is_ok() { client.reply() } else { Reply::Closed };
    record.line(&format!("client {number} gets {id} {}", reply.name()));
    reply
}

/// The effects of one write: a repeat within the window after the last effect is dropped.
fn effects(runs: &[(u128, usize)]) -> Vec<(u128, usize)> {
    let mut effects: Vec<(u128, usize)> = Vec::new();
    for run in runs {
        let is_remembered = |last: &(u128, usize)| (run.0 - last.0) as f64 / 1000.0 <= WINDOW_MS + SLACK_MS;
        if !effects.last().is_some_and(is_remembered) {
            effects.push(*run);
        }
    }
    effects
}

fn run(root: &Path, record: &Record) -> i32 {
    let ran: Ran = Arc::default();
    let mut servers: Vec<CacheServer> = (0..KINDS.len()).map(|number| start_server(number, &ran, record)).collect();
    let targets: Vec<Target> = servers
        .iter()
        .enumerate()
        .map(|(number, server)| Target {
            uid: format!("s-{number:04}"),
            endpoint: server.address.clone(),
            zone: "catania-nord",
            kind: KINDS[number],
            state: "in_service",
        })
        .collect();
    let discovery = start_discovery(targets.clone());
    let mut node = Node::start(root, &discovery, &targets, Limits { memory_mb: 128, sockets: 512, settings: CATANIA });
    watchdog(Duration::from_secs(60), node.pid());
    if !node.wait_until_ready() {
        record.say("the node did not get ready");
        return COULD_NOT_RUN;
    }
    let ids = Ids::new();
    let clients: Vec<_> = (0..SAVES)
        .map(|number| {
            let (listen, id, record) = (node.listen.clone(), ids.next(), record.clone());
            thread::spawn(move || save_template(number, &listen, &id, &record))
        })
        .collect();
    let has_begun = || ran.lock().unwrap().values().flatten().any(|(_, server)| *server == 0);
    let begun = wait_until(ms(1000), has_begun);
    if trouble() && begun {
        thread::sleep(DIES_AFTER);
        record.say("server 0 dies");
        drop(servers.remove(0));
    }
    let replies: Vec<Reply> = clients.into_iter().map(|client| client.join().unwrap_or(Reply::Closed)).collect();
    thread::sleep(ms(500));
    let served = replies.iter().filter(|reply| matches!(reply, Reply::Value(_))).count();
    let mut twice = 0;
    for (key, runs) in ran.lock().unwrap().iter_mut() {
        runs.sort_unstable();
        let effects = effects(runs);
        if effects.len() > 1 {
            twice += 1;
            let after = (effects[1].0 - effects[0].0) as f64 / 1000.0;
            record.say(&format!("TWICE: the write {key} ran at server {}, and {after:.0} ms later at server {}", effects[0].1, effects[1].1));
        }
    }
    record.say(&format!("{SAVES} saves: {served} served, {} otherwise, {twice} took effect twice", SAVES - served));
    record.line(&format!("log of the node:\n{}", node.log_tail(30)));
    if !node.is_running() {
        record.say("the node has ended");
        return BROKEN;
    }
    if twice > 0 { BROKEN } else if !begun || ran.lock().unwrap().is_empty() { COULD_NOT_RUN } else { HELD }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|word| word == "serve") {
        return serve_as_process((arguments[2] == "old").then_some(READING));
    }
    main_of_case(run)
}
