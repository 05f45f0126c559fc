//! A drain of a node resets the connection of a client that still reads a long value.

use std::io::{Read, Write};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

const READERS: usize = 4;
const VALUE: usize = 200 << 10;
/// A client reads this much, then nothing until the time below, then the rest. It sends its next command shortly before.
const BEFORE_PAUSE: usize = 16 << 10;
const READS_ON_AFTER: f64 = 4.5;
const NEXT_AFTER: f64 = 4.3;

pub fn run(record: &Record) -> i32 {
    let trouble = !without_trouble();
    let handler: Handler = {
        let record = record.clone();
        Arc::new(move |server, stream, command| {
            sleep_ms(30);
            if !command[1].starts_with("item/long") {
                record.note(format!(
                    "server {}: answers request {}",
                    server.uid, command[2]
                ));
                return stream.write_all(&served("reading")).is_ok();
            }
            let value = vec![b'v'; VALUE];
            let is_ok = stream
                .write_all(format!("*3\r\n${VALUE}\r\n").as_bytes())
                .is_ok()
                && stream.write_all(&value).is_ok()
                && stream.write_all(b"\r\n$3\r\nhit\r\n$-1\r\n").is_ok();
            record.note(format!(
                "server {}: has given the value of {}, {VALUE} bytes: {is_ok}",
                server.uid, command[2]
            ));
            is_ok
        })
    };
    let info = |number: usize| ServerInfo {
        uid: format!("s-{number}"),
        cell: 0,
        zone: "ops-center".to_string(),
        address: free_address(),
    };
    let infos: Vec<ServerInfo> = (0..3).map(info).collect();
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

    let results: Arc<Mutex<Vec<usize>>> = Arc::default();
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let (record, results, address) = (record.clone(), results.clone(), node.address);
            thread::spawn(move || {
                let mut client = Client::connect(address).expect("the node takes a connection");
                let long = new_id();
                let key = format!("item/long{number}");
                let fields = "c=trace-read,t=distribution,d=400";
                client.send(&["C.GET", &key, &long, fields]).unwrap();
                record.note(format!(
                    "client {number}: sends read {long} of a long value"
                ));
                let writer = client.stream.clone();
                let (asks, begun) = (record.clone(), record.now());
                thread::spawn(move || {
                    // The next command, while the value is still being read.
                    asks.wait_until(begun + NEXT_AFTER);
                    let next = new_id();
                    let command = encode_command(&["C.GET", "item/next", &next, fields]);
                    let sent = (&*writer).write_all(&command);
                    asks.note(format!("client {number}: sends read {next}: {sent:?}"));
                });
                let head = read_line(&mut client.input).unwrap_or_default();
                if head != format!("${VALUE}") {
                    record.note(format!("client {number}: {long} -> {head}"));
                    return;
                }
                let (mut got, mut piece) = (0, vec![0; BEFORE_PAUSE]);
                while got < VALUE + 2 {
                    let want = BEFORE_PAUSE.min(VALUE + 2 - got);
                    match client.input.read(&mut piece[..want]) {
                        Ok(n) if n > 0 => got += n,
                        other => {
                            record.note(format!("client {number}: reading ends with {other:?}"));
                            break;
                        }
                    }
                    if got >= BEFORE_PAUSE {
                        record.wait_until(begun + READS_ON_AFTER);
                    }
                }
                record.note(format!(
                    "client {number}: read {long} -> {got} of {} bytes",
                    VALUE + 2
                ));
                results.lock().unwrap().push(got);
            })
        })
        .collect();
    sleep_ms(700);
    if trouble {
        let status = call_operators(node.operators, "POST", "/api/evacuate");
        record.note(format!("operator: POST /api/evacuate -> {status:?}"));
    }
    for reader in readers {
        let _ = reader.join();
    }
    if node.has_ended() {
        return COULD_NOT_RUN;
    }
    node.record_log("n1", record);
    let results = results.lock().unwrap();
    let cut = results.iter().filter(|got| **got < VALUE + 2).count();
    record.note(format!(
        "{} of {READERS} values begun, {cut} CUT OFF",
        results.len()
    ));
    match (results.len(), cut) {
        (0, _) => COULD_NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
