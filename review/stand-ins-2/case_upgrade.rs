//! A node that was told of a drain is upgraded while discovery is down: its new process sends to the draining server.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

const SERVERS: usize = 4;
const CLIENTS: usize = 20;
/// Reads a second.
const RATE: f64 = 200.0;
/// Length of the outage of discovery, in seconds.
const OUTAGE: f64 = 12.0;

pub fn run(record: &Record) -> i32 {
    let trouble = !without_trouble();
    let draining: Arc<AtomicBool> = Arc::default();
    let received: Arc<Mutex<Vec<f64>>> = Arc::default();
    let handler: Handler = {
        let (received, record, draining) = (received.clone(), record.clone(), draining.clone());
        Arc::new(move |server, stream, command| {
            if server.uid == "s-0" {
                received.lock().unwrap().push(record.now());
            }
            if server.uid == "s-0" && draining.load(Ordering::SeqCst) {
                record.note(format!(
                    "server s-0 (drains): gets request {}, answers -BUSY",
                    command[2]
                ));
                return stream.write_all(b"-BUSY\r\n").is_ok();
            }
            sleep_ms(5);
            stream.write_all(&served("reading")).is_ok()
        })
    };
    let info = |number: usize| ServerInfo {
        uid: format!("s-{number}"),
        cell: 0,
        zone: ["ops-center", "eastside-plant"][number % 2].to_string(),
        address: free_address(),
    };
    let infos: Vec<ServerInfo> = (0..SERVERS).map(info).collect();
    let _servers: Vec<Server> = infos
        .iter()
        .map(|info| Server::start(info.clone(), handler.clone()))
        .collect();
    let target = |info: &ServerInfo| Target {
        info: info.clone(),
        state: "in_service",
        boot_ms: 0,
        changed: 1,
    };
    let discovery = Discovery::start(infos.iter().map(target).collect(), record);
    let socket = TcpListener::bind(free_address()).unwrap();
    let address = socket.local_addr().unwrap();
    // The list in the configuration is that of the start; the new process is started with the same configuration.
    let config = write_configuration("n1", address, &Settings::marlow(1, 0), &discovery);
    let mut old = Node::spawn_inheriting("old", &config, &socket, &discovery, record);
    if !old.wait_until_ready(record, "old", 10.0) {
        return COULD_NOT_RUN;
    }
    let stop: Arc<AtomicBool> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record) = (stop.clone(), record.clone());
            thread::spawn(move || {
                let mut client = Client::connect(address).expect("a connection");
                let mut answers: HashMap<&'static str, usize> = HashMap::new();
                let mut sent = 0;
                let began = record.now() + number as f64 / RATE;
                while !stop.load(Ordering::SeqCst) {
                    record.wait_until(began + sent as f64 * CLIENTS as f64 / RATE);
                    sent += 1;
                    let (key, id) = (
                        format!("item/{}", (sent * 7919 + number * 131) % 997),
                        new_id(),
                    );
                    let words = ["C.GET", &key, &id, "c=trace-read,t=distribution,d=400"];
                    let kind = match client.ask(&words) {
                        Answer::Value(_) => "served",
                        Answer::Busy => "refused",
                        Answer::Failed(_) => "failed",
                        Answer::Ended(_) => {
                            client = Client::connect(address).expect("a connection");
                            "ended, new connection"
                        }
                    };
                    *answers.entry(kind).or_default() += 1;
                }
                record.note(format!("client {number}: sent {sent}, answers {answers:?}"));
            })
        })
        .collect();
    let warm = record.now() + 3.0;
    record.wait_until(warm);
    // The drain is told to the node on its open watch.
    draining.store(true, Ordering::SeqCst);
    discovery.change(&infos[0], "terminating", 0);
    let told = record.now();
    record.wait_until(told + 3.0);
    let stopped = received.lock().unwrap().iter().all(|at| *at < told + 2.05);
    record.note(format!(
        "3 s after the drain was told: the node has stopped sending to s-0: {stopped}"
    ));
    let outage_ends = record.now() + OUTAGE;
    if trouble {
        record.note("discovery: goes down");
        discovery.mode.store(DOWN, Ordering::SeqCst);
    }
    sleep_ms(500);
    let mut new = Node::spawn_inheriting("new", &config, &socket, &discovery, record);
    if !new.wait_until_ready(record, "new", 6.0) {
        return COULD_NOT_RUN;
    }
    let yes = record.now();
    old.signal(SIGTERM);
    record.note("platform: SIGTERM to the old process");
    record.wait_until(yes + 2.7);
    old.signal(SIGKILL);
    record.note("platform: SIGKILL to the old process, if it still runs");
    record.wait_until(outage_ends);
    discovery.mode.store(UP, Ordering::SeqCst);
    record.note("discovery: is back");
    record.wait_until(outage_ends + 1.0);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if new.has_ended() || !stopped {
        return COULD_NOT_RUN;
    }
    old.has_ended();
    new.record_log("new", record);
    let received = received.lock().unwrap();
    let since_told = received.iter().filter(|at| **at > told + 2.05).count();
    // News of discovery binds from 2 s after the yes on.
    let late = received.iter().filter(|at| **at > yes + 2.05).count();
    record.note(format!(
        "the node was told at {told:.3} s, its new process said yes at {yes:.3} s; s-0 got {since_told} requests later than 2.05 s after the first, {late} later than 2.05 s after the second"
    ));
    if late == 0 {
        HELD
    } else {
        BROKEN
    }
}
