//! A connection on which a client always has some commands under way outlives the drain of its node.

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

const CLIENTS: usize = 3;
/// Time between two commands of a client, less than any answer takes.
const BETWEEN_MS: u64 = 10;

#[derive(Default)]
struct Connection {
    last_request: Mutex<f64>,
    ended_at: Mutex<Option<f64>>,
    answered: AtomicUsize,
    refused: AtomicUsize,
}

pub fn run(record: &Record) -> i32 {
    let trouble = !without_trouble();
    let work = Arc::new(AtomicUsize::new(0));
    let handler: Handler = Arc::new(move |_, stream, _| {
        // 30 to 60 ms, evenly mixed.
        let number = work.fetch_add(1, Ordering::SeqCst);
        sleep_ms(30 + (number * 37 % 31) as u64);
        stream.write_all(&served("reading")).is_ok()
    });
    let info = |number: usize| ServerInfo {
        uid: format!("s-{number}"),
        cell: 0,
        zone: "ops-center".to_string(),
        address: free_address(),
    };
    let infos: Vec<ServerInfo> = (0..4).map(info).collect();
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
    let connections: Vec<Arc<Connection>> = (0..CLIENTS).map(|_| Arc::default()).collect();
    for (number, connection) in connections.iter().enumerate() {
        let mut client = Client::connect(node.address).expect("the node takes a connection");
        let (connection, stop, record) = (connection.clone(), stop.clone(), record.clone());
        let writer = client.stream.try_clone().unwrap();
        let (asked, record_asked, is_stopped) = (connection.clone(), record.clone(), stop.clone());
        let (answered, answers) = std::sync::mpsc::channel();
        thread::spawn(move || {
            let mut writer = writer;
            for sent in 0.. {
                let (key, id) = (format!("item/{number}-{sent}"), new_id());
                let command =
                    encode_command(&["C.GET", &key, &id, "c=trace-read,t=engineering,d=400"]);
                if is_stopped.load(Ordering::SeqCst)
                    || asked.ended_at.lock().unwrap().is_some()
                    || writer.write_all(&command).is_err()
                {
                    return;
                }
                *asked.last_request.lock().unwrap() = record_asked.now();
                // With trouble the client sends its commands one behind another; without, it waits for each answer.
                if trouble {
                    sleep_ms(BETWEEN_MS);
                } else if answers.recv().is_err() {
                    return;
                }
            }
        });
        thread::spawn(move || loop {
            let answer = read_answer(&mut client.input);
            if matches!(answer, Answer::Ended(_)) {
                *connection.ended_at.lock().unwrap() = Some(record.now());
                let answers = connection.answered.load(Ordering::SeqCst);
                let refused = connection.refused.load(Ordering::SeqCst);
                record.note(format!("client {number}: the node ended its connection after {answers} answers, {refused} of them not served"));
                return;
            }
            connection.answered.fetch_add(1, Ordering::SeqCst);
            if !matches!(answer, Answer::Value(_)) {
                connection.refused.fetch_add(1, Ordering::SeqCst);
            }
            let _ = answered.send(());
        });
    }
    let warm = record.now() + 2.0;
    record.wait_until(warm);
    let status = call_operators(node.operators, "POST", "/api/evacuate");
    let called = record.now();
    record.note(format!("operator: POST /api/evacuate -> {status:?}"));
    if !status.is_some_and(|status| status.contains(" 200 ")) {
        return COULD_NOT_RUN;
    }
    let mut broken = 0;
    for check in 1..=8 {
        record.wait_until(called + f64::from(check) * 0.5);
        let mut ping = Client::connect(node.address).expect("the node takes a connection");
        let answer = ping.ask(&["PING"]);
        let open = connections
            .iter()
            .filter(|c| c.ended_at.lock().unwrap().is_none())
            .count();
        record.note(format!(
            "{:.1} s after the call: PING -> {answer:?}, {open} of {CLIENTS} connections open",
            record.now() - called
        ));
    }
    // 4 s after the call, and some time for the threads of the stand-ins.
    record.wait_until(called + 4.25);
    for (number, connection) in connections.iter().enumerate() {
        if connection.ended_at.lock().unwrap().is_none() {
            let now = record.now();
            let since = now - *connection.last_request.lock().unwrap();
            let answered = connection.answered.load(Ordering::SeqCst);
            record.note(format!(
                "BROKEN: {:.2} s after the call the node holds the connection of client {number}, last request {since:.3} s ago, {answered} answers so far",
                now - called
            ));
            broken += 1;
        }
    }
    // How long it goes on so.
    record.wait_until(called + 12.0);
    let open = connections
        .iter()
        .filter(|c| c.ended_at.lock().unwrap().is_none())
        .count();
    record.note(format!(
        "12 s after the call {open} of {CLIENTS} connections are open"
    ));
    stop.store(true, Ordering::SeqCst);
    sleep_ms(300);
    if node.has_ended() {
        return COULD_NOT_RUN;
    }
    node.record_log("n1", record);
    record.note(format!(
        "{broken} of {CLIENTS} connections held 4 s after the call, {open} of them 12 s after it"
    ));
    if broken == 0 {
        HELD
    } else {
        BROKEN
    }
}
