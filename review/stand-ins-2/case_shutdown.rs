//! A planned restart cuts off a long value that its client is reading, and the answer to the write behind it, which has run.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

const READERS: usize = 6;
const VALUE: usize = 2 << 20;
/// A client reads its long value in pieces, some 4 s in all.
const PIECE: usize = 64 << 10;
const BETWEEN_MS: u64 = 125;
/// SIGKILL comes so many seconds after SIGTERM: no sooner than the longest deadline (2 s) and 0.7 s.
const SIGKILL_AFTER: f64 = 9.0;

pub fn run(record: &Record) -> i32 {
    let trouble = !without_trouble();
    // The writes that a server has got: only these can count as lost.
    let run: Arc<Mutex<HashSet<String>>> = Arc::default();
    let handler: Handler = {
        let (run, record) = (run.clone(), record.clone());
        Arc::new(move |server, stream, command| {
            sleep_ms(30);
            if command[0] == "C.SET" {
                run.lock().unwrap().insert(command[2].clone());
                record.note(format!(
                    "server {}: write {} RUNS and is answered",
                    server.uid, command[2]
                ));
                return stream.write_all(&served("receipt")).is_ok();
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

    // What each client got: the whole value or not, and the answer behind it.
    let results: Arc<Mutex<Vec<(bool, String, Answer)>>> = Arc::default();
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let (record, results, address) = (record.clone(), results.clone(), node.address);
            thread::spawn(move || {
                let mut client = Client::connect(address).expect("the node takes a connection");
                let (long, write) = (new_id(), new_id());
                let (long_key, write_key) =
                    (format!("item/long{number}"), format!("item/w{number}"));
                let fields = format!("c=alarm-set,t=leak-crew,d=2000,k=k{number:06}");
                let mut commands =
                    encode_command(&["C.GET", &long_key, &long, "c=trace-read,t=leak-crew,d=400"]);
                commands.extend(encode_command(&[
                    "C.SET", &write_key, &write, &fields, "level=3",
                ]));
                (&*client.stream).write_all(&commands).unwrap();
                record.note(format!(
                    "client {number}: sends read {long} of a long value and write {write} behind it"
                ));
                let head = read_line(&mut client.input).unwrap_or_default();
                if head != format!("${VALUE}") {
                    record.note(format!("client {number}: read {long} -> {head}"));
                    return;
                }
                let (mut got, mut piece) = (0, vec![0; PIECE]);
                while got < VALUE + 2 {
                    let want = PIECE.min(VALUE + 2 - got);
                    match client.input.read(&mut piece[..want]) {
                        Ok(n) if n > 0 => got += n,
                        _ => break,
                    }
                    // As slow as the bytes that came, however they were cut.
                    thread::sleep(std::time::Duration::from_secs_f64(
                        BETWEEN_MS as f64 / 1000.0 * want.min(got) as f64 / PIECE as f64,
                    ));
                }
                let is_whole = got == VALUE + 2;
                record.note(format!(
                    "client {number}: read {long} -> {got} of {} bytes",
                    VALUE + 2
                ));
                let answer = read_answer(&mut client.input);
                record.note(format!(
                    "client {number}: write {write} -> {}",
                    answer.text()
                ));
                results.lock().unwrap().push((is_whole, write, answer));
            })
        })
        .collect();
    sleep_ms(500);
    if trouble {
        node.signal(SIGTERM);
        let told = record.now();
        record.note("platform: SIGTERM");
        while record.now() < told + SIGKILL_AFTER && !node.has_ended() {
            sleep_ms(5);
        }
        if node.has_ended() {
            record.note(format!(
                "node n1: has ended {:.3} s after SIGTERM",
                record.now() - told
            ));
        } else {
            node.signal(SIGKILL);
            record.note("platform: SIGKILL");
        }
    }
    for reader in readers {
        let _ = reader.join();
    }
    node.record_log("n1", record);
    let results = results.lock().unwrap();
    let cut = results.iter().filter(|(is_whole, _, _)| !is_whole).count();
    let unanswered = results
        .iter()
        .filter(|(_, write, answer)| {
            matches!(answer, Answer::Ended(_)) && run.lock().unwrap().contains(write)
        })
        .count();
    record.note(format!(
        "{} of {READERS} clients got the head of their long value; {cut} values CUT OFF, {unanswered} writes behind them WITHOUT AN ANSWER",
        results.len()
    ));
    match (results.len(), cut + unanswered) {
        (0, _) => COULD_NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
