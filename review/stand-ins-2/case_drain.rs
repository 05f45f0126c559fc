//! A server that begins to drain as discovery returns from an outage still gets requests more than 8.05 s later.

use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

const SERVERS: usize = 4;
const CLIENTS: usize = 20;
/// Reads a second.
const RATE: f64 = 200.0;
/// Told at the latest 6 s after discovery had it and could be reached; 2 s of grace; 50 ms on sockets.
const BOUND: f64 = 6.0 + 2.0 + 0.05;

pub fn run(record: &Record) -> i32 {
    let trouble = !without_trouble();
    let draining: Arc<AtomicBool> = Arc::default();
    // Times at which each server got commands.
    let received: Arc<Mutex<HashMap<String, Vec<f64>>>> = Arc::default();
    let handler: Handler = {
        let (received, record, draining) = (received.clone(), record.clone(), draining.clone());
        Arc::new(move |server, stream, command| {
            let now = record.now();
            received
                .lock()
                .unwrap()
                .entry(server.uid.clone())
                .or_default()
                .push(now);
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
    let mut node = Node::start("n1", &Settings::marlow(1, 0), &discovery, record);

    let stop: Arc<AtomicBool> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record, address) = (stop.clone(), record.clone(), node.address);
            thread::spawn(move || {
                let mut client = Client::connect(address).expect("the node takes a connection");
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
                            client = Client::connect(address).expect("the node takes a connection");
                            "ended"
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
    if trouble {
        record.note("discovery: goes down");
        discovery.mode.store(DOWN, Ordering::SeqCst);
        // An outage of 12 s and more. It ends between two calls of the node.
        let least = record.now() + 12.0;
        record.wait_until(least);
        let calls = discovery.refused_down.load(Ordering::SeqCst);
        let latest = record.now() + 30.0;
        while discovery.refused_down.load(Ordering::SeqCst) == calls && record.now() < latest {
            sleep_ms(5);
        }
        sleep_ms(200);
        // Back, and with too many callers: the node's next call is refused, all later ones are answered.
        discovery.refuse_next.store(1, Ordering::SeqCst);
    }
    draining.store(true, Ordering::SeqCst);
    discovery.change(&infos[0], "terminating", 0);
    discovery.mode.store(UP, Ordering::SeqCst);
    let had = record.now();
    record.note("discovery: can be reached and has the drain of s-0");
    let mut reachable = true;
    while record.now() < had + 14.0 {
        let answer = ask_discovery(discovery.address);
        let told = answer
            .is_some_and(|(status, body)| status.contains(" 200 ") && body.contains("terminating"));
        record.note(format!(
            "another caller: asks discovery, {}",
            if told {
                "200 with the drain"
            } else {
                "NO ANSWER"
            }
        ));
        reachable &= told;
        sleep_ms(500);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if node.has_ended() || !reachable {
        return COULD_NOT_RUN;
    }
    node.record_log("n1", record);
    let received = received.lock().unwrap();
    let at_drained = received.get("s-0").cloned().unwrap_or_default();
    let before = at_drained.iter().filter(|at| **at < had).count();
    let late: Vec<f64> = at_drained
        .iter()
        .map(|at| at - had)
        .filter(|after| *after > BOUND)
        .collect();
    record.note(format!(
        "s-0 got {before} requests before it drained, {} after, {} later than {BOUND} s after; the last {:.3} s after",
        at_drained.len() - before,
        late.len(),
        at_drained.last().map_or(0.0, |at| at - had)
    ));
    if before == 0 {
        return COULD_NOT_RUN;
    }
    if late.is_empty() {
        HELD
    } else {
        BROKEN
    }
}
