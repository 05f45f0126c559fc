//! A long value that its server still gives, in small pieces over some seconds, is cut off by the node.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

/// Length of the value; above 64 KiB the first bytes are timed.
const VALUE: usize = 80 << 10;
/// The rest of the value that is written in pieces, the length of a piece, and the time between two.
const SLOW_REST: usize = 4000;
const PIECE: usize = 400;
const BETWEEN_MS: u64 = 700;

pub fn run(record: &Record) -> i32 {
    let trouble = !without_trouble();
    let given: Arc<Mutex<Vec<(String, usize)>>> = Arc::default();
    let handler: Handler = {
        let (given, record) = (given.clone(), record.clone());
        Arc::new(move |server, stream, command| {
            let value = vec![b'v'; VALUE];
            let id = &command[2];
            record.note(format!("server {}: begins the value of {id}", server.uid));
            let mut out = format!("*3\r\n${VALUE}\r\n").into_bytes();
            let fast = if trouble { VALUE - SLOW_REST } else { VALUE };
            out.extend_from_slice(&value[..fast]);
            let mut written = 0;
            let mut write = |stream: &mut &std::net::TcpStream, bytes: &[u8], of_value: usize| {
                let is_ok = stream.write_all(bytes).is_ok();
                written += if is_ok { of_value } else { 0 };
                is_ok
            };
            let mut goes_on = write(stream, &out, fast);
            let mut rest = &value[fast..];
            while goes_on && !rest.is_empty() {
                sleep_ms(BETWEEN_MS);
                let (piece, left) = rest.split_at(PIECE.min(rest.len()));
                goes_on = write(stream, piece, piece.len());
                rest = left;
            }
            goes_on = goes_on && write(stream, b"\r\n$3\r\nhit\r\n$-1\r\n", 0);
            record.note(format!(
                "server {}: wrote {written} of {VALUE} bytes of the value of {id}{}",
                server.uid,
                if goes_on {
                    ""
                } else {
                    ", then the node had ended the connection"
                }
            ));
            given.lock().unwrap().push((id.clone(), written));
            goes_on
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
    let asked: Vec<_> = (0..4)
        .map(|number| {
            let (record, address) = (record.clone(), node.address);
            thread::spawn(move || {
                let mut client = Client::connect(address).expect("the node takes a connection");
                let (key, id) = (format!("item/long{number}"), new_id());
                record.note(format!("client: asks for {key}, request {id}"));
                let began = record.now();
                let answer = client.ask(&["C.GET", &key, &id, "c=trace-read,t=distribution,d=400"]);
                let took = record.now() - began;
                record.note(format!(
                    "client: request {id} after {took:.3} s -> {}",
                    answer.text()
                ));
                answer
            })
        })
        .collect();
    let answers: Vec<Answer> = asked
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    sleep_ms(2000);
    if node.has_ended() {
        return COULD_NOT_RUN;
    }
    node.record_log("n1", record);
    // Cut off: the client got a part of the value, and the server had not ended it.
    let cut = answers
        .iter()
        .filter(|answer| matches!(answer, Answer::Ended(bytes) if *bytes > 0))
        .count();
    let whole = answers
        .iter()
        .filter(|answer| matches!(answer, Answer::Value(value) if value.len() == VALUE))
        .count();
    record.note(format!(
        "{} values asked for, {whole} whole, {cut} CUT OFF while their server still gave them",
        answers.len()
    ));
    match (cut, whole) {
        (0, 0) => COULD_NOT_RUN,
        (0, _) => HELD,
        _ => BROKEN,
    }
}
