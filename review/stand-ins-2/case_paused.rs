//! Long values whose clients pause for some seconds while they read are cut off, since the node wants their connections for other
//! requests.

use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

const SERVERS: usize = 4;
/// Clients that read long values: under a third of the node's 1,024 descriptors.
const READERS: usize = 300;
const VALUE: usize = 4 << 20;
/// A server writes a long value in pieces, 4 s in all.
const PIECE: usize = 64 << 10;
const BETWEEN_MS: u64 = 60;
/// After so many bytes a client reads nothing for a while.
const BEFORE_PAUSE: usize = 64 << 10;
const PAUSE_MS: u64 = 3500;

pub fn run(record: &Record) -> i32 {
    let trouble = !without_trouble();
    let given: Arc<Mutex<HashMap<String, bool>>> = Arc::default();
    let handler: Handler = {
        let (given, record) = (given.clone(), record.clone());
        Arc::new(move |server, stream, command| {
            if !command[1].starts_with("item/long") {
                sleep_ms(5);
                return stream.write_all(&served("reading")).is_ok();
            }
            let id = &command[2];
            record.note(format!("server {}: begins the value of {id}", server.uid));
            let value = vec![b'v'; VALUE];
            let goes_on = stream
                .write_all(format!("*3\r\n${VALUE}\r\n").as_bytes())
                .is_ok()
                && value.chunks(PIECE).all(|piece| {
                    sleep_ms(BETWEEN_MS);
                    stream.write_all(piece).is_ok()
                })
                && stream.write_all(b"\r\n$3\r\nhit\r\n$-1\r\n").is_ok();
            let text = if goes_on {
                "has given the whole value"
            } else {
                "still gave the value, the node ended the connection"
            };
            record.note(format!("server {}: {text} of {id}", server.uid));
            given.lock().unwrap().insert(id.clone(), goes_on);
            goes_on
        })
    };
    let info = |number: usize| ServerInfo {
        uid: format!("s-{number}"),
        cell: 0,
        zone: "ops-center".to_string(),
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

    let whole = Arc::new(AtomicUsize::new(0));
    let refused = Arc::new(AtomicUsize::new(0));
    let cut: Arc<Mutex<Vec<(String, usize)>>> = Arc::default();
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let (record, address) = (record.clone(), node.address);
            let (whole, refused, cut) = (whole.clone(), refused.clone(), cut.clone());
            // 250 a second, and 50 short ones at the most (200 to 320 a second come to a node).
            sleep_ms(4);
            thread::spawn(move || {
                let mut client = Client::connect(address).expect("the node takes a connection");
                let (key, id) = (format!("item/long{number}"), new_id());
                if client
                    .send(&["C.GET", &key, &id, "c=trace-read,t=distribution,d=400"])
                    .is_err()
                {
                    return;
                }
                let head = read_line(&mut client.input).unwrap_or_default();
                if head != format!("${VALUE}") {
                    record.note(format!("client: request {id} -> {head}"));
                    refused.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                let (mut got, mut chunk) = (0, vec![0; 32 << 10]);
                let mut has_paused = !trouble;
                loop {
                    if !has_paused && got >= BEFORE_PAUSE {
                        has_paused = true;
                        sleep_ms(PAUSE_MS);
                    }
                    let want = chunk.len().min(VALUE + 2 - got);
                    match client.input.read(&mut chunk[..want]) {
                        Ok(n) if n > 0 => got += n,
                        _ => break,
                    }
                    if got == VALUE + 2 {
                        whole.fetch_add(1, Ordering::SeqCst);
                        record.note(format!("client: request {id} -> the whole value"));
                        return;
                    }
                }
                record.note(format!(
                    "client: request {id} -> the connection ended after {got} of {VALUE} bytes"
                ));
                cut.lock().unwrap().push((id, got));
            })
        })
        .collect();
    // Beside them short reads, for all of the time.
    let until = record.now() + 6.0;
    let mut short: HashMap<String, usize> = HashMap::new();
    let mut client = Client::connect(node.address).expect("the node takes a connection");
    let mut number = 0;
    while record.now() < until {
        number += 1;
        let (key, id) = (format!("item/short{}", number % 97), new_id());
        let answer = client.ask(&["C.GET", &key, &id, "c=trace-read,t=engineering,d=400"]);
        if matches!(answer, Answer::Ended(_)) {
            return COULD_NOT_RUN;
        }
        *short.entry(answer.text()).or_default() += 1;
        sleep_ms(20);
    }
    for reader in readers {
        let _ = reader.join();
    }
    if node.has_ended() {
        return COULD_NOT_RUN;
    }
    sleep_ms(200);
    node.record_log("n1", record);
    let given = given.lock().unwrap();
    let cut = cut.lock().unwrap();
    // No server breaks a value off: each that is cut off was given whole, or was still being written.
    let broken = cut.len();
    let still_written = cut
        .iter()
        .filter(|(id, _)| given.get(id) == Some(&false))
        .count();
    record.note(format!("short reads: {short:?}"));
    record.note(format!(
        "{READERS} long values asked for: {} whole, {} refused, {broken} CUT OFF, {still_written} of them while the server still wrote",
        whole.load(Ordering::SeqCst),
        refused.load(Ordering::SeqCst)
    ));
    match (broken, whole.load(Ordering::SeqCst)) {
        (0, 0) => COULD_NOT_RUN,
        (0, _) => HELD,
        _ => BROKEN,
    }
}
