//! A keyed write is sent to servers of two cells: a cold server of another cell has taken over the address of one that has gone,
//! while the node had no connection to it. The node sends a hedged request to a server of the cell that the list names.

use std::collections::{BTreeMap, HashSet};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

/// Mean work of an alarm-set and of a trace-read on a standard core (marlow-loggers: 24 to 43 ms and 13 to 23 ms).
const WRITE_WORK_MS: f64 = 33.0;
const READ_WORK_MS: f64 = 16.0;
/// Speed of a core of a slow-box (0.51 to 0.69), and the part of its capacity that a cold server has (13% or more).
const SPEED: f64 = 0.6;
const COLD: f64 = 0.14;

/// What the servers have seen, by idempotency key.
#[derive(Default)]
struct Seen {
    /// The keys that the servers of a cell remember.
    remembered: HashSet<(i64, String)>,
    attempts: BTreeMap<String, Vec<(String, i64)>>,
    effects: BTreeMap<String, Vec<(String, i64)>>,
}

pub fn run(record: &Record) -> i32 {
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let trouble = !without_trouble();
    let info = |uid: &str, cell: i64, address| ServerInfo {
        uid: uid.to_string(),
        cell,
        zone: "ops-center".to_string(),
        address,
    };
    let (a, b) = (
        info("s-a", 0, free_address()),
        info("s-b", 0, free_address()),
    );
    let successor = info("s-c", 1, b.address);
    let handler: Handler = {
        let (seen, record) = (seen.clone(), record.clone());
        Arc::new(move |server, stream, command| {
            let speed = SPEED * if server.uid == "s-c" { COLD } else { 1.0 };
            if command[0] == "C.GET" {
                sleep_ms((READ_WORK_MS / speed) as u64);
                return stream.write_all(&served("reading")).is_ok();
            }
            let (id, key) = (command[2].clone(), field(command, "k").to_string());
            record.note(format!(
                "server {} (cell {}): begins request {id} with key {key}",
                server.uid, server.cell
            ));
            let place = (server.uid.clone(), server.cell);
            seen.lock()
                .unwrap()
                .attempts
                .entry(key.clone())
                .or_default()
                .push(place.clone());
            // Half of the work is before the write is passed to the origin, half of it after.
            sleep_ms((WRITE_WORK_MS / speed / 2.0) as u64);
            if has_ended(stream) {
                record.note(format!(
                    "server {}: request {id} was given up, does not run",
                    server.uid
                ));
                return false;
            }
            let mut state = seen.lock().unwrap();
            if state.remembered.insert((server.cell, key.clone())) {
                state.effects.entry(key.clone()).or_default().push(place);
                record.note(format!(
                    "server {}: request {id} with key {key} RUNS",
                    server.uid
                ));
            } else {
                record.note(format!(
                    "server {}: key {key} is a repeat, dropped",
                    server.uid
                ));
            }
            drop(state);
            sleep_ms((WRITE_WORK_MS / speed / 2.0) as u64);
            let is_ok = stream.write_all(&served("receipt")).is_ok();
            record.note(format!("server {}: request {id} is answered", server.uid));
            is_ok
        })
    };
    let _server_a = Server::start(a.clone(), handler.clone());
    let server_b = Server::start(b.clone(), handler.clone());
    let target = |info: &ServerInfo| Target {
        info: info.clone(),
        state: "in_service",
        boot_ms: 0,
        changed: 1,
    };
    let discovery = Discovery::start(vec![target(&a), target(&b)], record);
    let mut settings = Settings::marlow(1, 0);
    let class = settings.fields.get_mut("alarm-set").unwrap();
    *class = class.replace("\"dedup_scope\":\"all\"", "\"dedup_scope\":\"cell\"");
    let mut node = Node::start("n1", &settings, &discovery, record);

    let ask = |words: &[&str], what: &str| {
        let mut client = Client::connect(node.address).expect("the node takes a connection");
        let answer = client.ask(words);
        record.note(format!("client: {what} {} -> {}", words[2], answer.text()));
        answer
    };
    // The node works with both servers; then nobody asks for a while, and connections that rest are closed.
    for number in 0..20 {
        let (key, id) = (format!("item/r{number}"), new_id());
        ask(
            &["C.GET", &key, &id, "c=trace-read,t=distribution,d=400"],
            "read",
        );
    }
    record.note("clients: quiet for 11 s");
    let quiet_until = record.now() + 11.0;
    record.wait_until(quiet_until);

    let mut successor_runs = None;
    if trouble {
        server_b.end();
        record.note(format!("server s-b (cell 0): has gone from {}", b.address));
        sleep_ms(200);
        successor_runs = Some(Server::start(successor.clone(), handler.clone()));
        record.note(format!(
            "server s-c (cell 1): starts at {}, cold",
            b.address
        ));
        let (discovery, b, successor) = (discovery.clone(), b.clone(), successor.clone());
        let started = unix_ms();
        thread::spawn(move || {
            // Discovery notices after 3 s (marlow-loggers: 1.5 to 4 s).
            sleep_ms(3000);
            discovery.change(&b, "terminated", 0);
            discovery.change(&successor, "in_service", started);
        });
    }
    // Traffic comes back: reads, and 12 writes in 2.4 s.
    let stop: Arc<AtomicBool> = Arc::default();
    let reader = {
        let (stop, record, address) = (stop.clone(), record.clone(), node.address);
        thread::spawn(move || {
            let mut client = Client::connect(address).expect("the node takes a connection");
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let (key, id) = (format!("item/r{}", number % 20), new_id());
                let answer = client.ask(&["C.GET", &key, &id, "c=trace-read,t=distribution,d=400"]);
                record.note(format!("client: read {id} -> {}", answer.text()));
                sleep_ms(100);
            }
        })
    };
    let writers: Vec<_> = (0..12)
        .map(|number| {
            let (record, address) = (record.clone(), node.address);
            sleep_ms(200);
            thread::spawn(move || {
                let mut client = Client::connect(address).expect("the node takes a connection");
                let (key, id) = (format!("item/w{number}"), new_id());
                let fields = format!("c=alarm-set,t=leak-crew,d=2000,k=k{number:06}");
                let answer = client.ask(&["C.SET", &key, &id, &fields, "level=3"]);
                record.note(format!("client: write {id} -> {}", answer.text()));
            })
        })
        .collect();
    for writer in writers {
        let _ = writer.join();
    }
    stop.store(true, Ordering::SeqCst);
    let _ = reader.join();
    sleep_ms(500);
    if node.has_ended() {
        record.note("node n1: has ended by itself");
        return COULD_NOT_RUN;
    }
    node.record_log("n1", record);
    drop(successor_runs);
    let state = seen.lock().unwrap();
    let text = |places: &[(String, i64)]| {
        let texts: Vec<String> = places
            .iter()
            .map(|(uid, cell)| format!("{uid} (cell {cell})"))
            .collect();
        texts.join(" and ")
    };
    let (mut outside, mut twice) = (0, 0);
    for (key, places) in &state.attempts {
        if places.iter().any(|place| place.1 != places[0].1) {
            outside += 1;
            record.note(format!(
                "BROKEN: the write with key {key} was sent to {}",
                text(places)
            ));
        }
    }
    for (key, places) in state.effects.iter().filter(|(_, places)| places.len() > 1) {
        twice += 1;
        record.note(format!(
            "BROKEN: the write with key {key} RAN at {}",
            text(places)
        ));
    }
    record.note(format!(
        "{} writes; {outside} sent again outside of the cell of an attempt that might have run; {twice} ran twice",
        state.attempts.len()
    ));
    if state.attempts.len() < 6 {
        return COULD_NOT_RUN;
    }
    if outside + twice == 0 {
        HELD
    } else {
        BROKEN
    }
}

/// Whether the node has ended a connection, by which it gives the attempt up.
fn has_ended(stream: &std::net::TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
