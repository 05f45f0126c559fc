//! The memcached binary protocol at a node, between scripted peers on virtual time: clients on one side, boxes of
//! either protocol on the other.

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use sloewick_codec::memcached::{
    write_request, write_response, DecodeEvent, Opcode, Request, RequestReader, Response,
    ResponseReader,
};
use sloewick_codec::resp2::ByteBudget;
use sloewick_decision::api::Status as Ended;
use sloewick_decision::{Action, Event};
use sloewick_node::config;
use sloewick_node::{DecisionEngine, Node};
use sloewick_testbed::emulators::discovery::Listed;
use sloewick_testbed::network::hosts::Hosts;
use sloewick_testbed::network::HostId;
use sloewick_testbed::site;
use support::*;

const SECOND: i64 = 1_000_000;

fn resp_port(host: u8) -> SocketAddr {
    address(host, 6379)
}

fn mc_port(host: u8) -> SocketAddr {
    address(host, 11211)
}

struct Scene {
    hosts: Hosts,
    nodes: Vec<HostId>,
    client: Peer,
    cache: Peer,
    known: Vec<Listed>,
    _discovery: Peer,
}

/// Nodes on hosts 100 and 101, one box on (1, 80) that speaks as told, a client connected to the memcached port of
/// the first node.
fn scene(memcached_box: bool) -> Scene {
    scene_with(memcached_box, |_| ())
}

fn scene_with(memcached_box: bool, change: impl Fn(&mut String)) -> Scene {
    let mut hosts = hosts();
    let cache = Peer::new(&mut hosts, "box", Some(address(1, 80)));
    let discovery = Peer::new(&mut hosts, "discovery", Some(address(2, 80)));
    let mut known = vec![listed(0, address(1, 80))];
    if memcached_box {
        known[0].kind = site::KINDS_MEMCACHED[0].to_string();
    }
    let mut nodes = Vec::new();
    for n in [100, 101] {
        let host = hosts
            .world
            .borrow_mut()
            .add_host(&format!("node-{n}"), 0, site::SOCKETS);
        let mut file = site::memcached_file(Some(mc_port(n)));
        change(&mut file);
        start_node_with(
            &mut hosts,
            host,
            resp_port(n),
            address(2, 80),
            &known,
            Some(&file),
        );
        nodes.push(host);
    }
    let client = Peer::new(&mut hosts, "client", None);
    client.connect(&mut hosts, mc_port(100));
    hosts.play_to(20 * WAY);
    assert_eq!(client.seen(), [(0, Seen::Up)]);
    Scene {
        hosts,
        nodes,
        client,
        cache,
        known,
        _discovery: discovery,
    }
}

fn request(opcode: Opcode, opaque: u32, key: &str, value: &str) -> Vec<u8> {
    let extras = if opcode.without_quiet() == Opcode::Set {
        Bytes::from_static(&[0; 8])
    } else {
        Bytes::new()
    };
    let mut out = Vec::new();
    let (key, value) = (key.to_string().into(), value.to_string().into());
    write_request(
        &mut out,
        &Request {
            opcode: opcode as u8,
            opaque,
            extras,
            key,
            value,
            ..Request::default()
        },
    );
    out
}

fn response(opcode: Opcode, status: u16, opaque: u32, value: &[u8]) -> Vec<u8> {
    let get = opcode == Opcode::Get && status == 0;
    let extras = if get {
        Bytes::from_static(&[0; 4])
    } else {
        Bytes::new()
    };
    let mut out = Vec::new();
    write_response(
        &mut out,
        &Response {
            opcode: opcode as u8,
            status,
            opaque,
            cas: 0,
            extras,
            key: Bytes::new(),
            value: Bytes::copy_from_slice(value),
        },
    );
    out
}

/// What a client was told: opaque, status, key, value.
type Announced = (u32, u16, String, String);

fn told(peer: &Peer, conn: usize) -> Vec<Announced> {
    let raw = peer
        .script
        .borrow()
        .raw
        .get(&conn)
        .cloned()
        .unwrap_or_default();
    let (mut reader, mut buf, mut out, mut long) = (
        ResponseReader::default(),
        BytesMut::from(&raw[..]),
        Vec::new(),
        Vec::new(),
    );
    while let Some(piece) = reader
        .next(&mut buf, 5 << 20)
        .expect("answers that can be read")
    {
        match piece {
            DecodeEvent::ValueStart(..) => {}
            DecodeEvent::ValueChunk(bytes) => long.extend_from_slice(&bytes),
            DecodeEvent::Complete(r) => {
                let value = if r.value.is_empty() {
                    std::mem::take(&mut long)
                } else {
                    r.value.to_vec()
                };
                let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
                out.push((r.opaque, r.status, text(&r.key), text(&value)));
            }
        }
    }
    assert!(buf.is_empty(), "part of an answer");
    out
}

/// What a memcached box was sent: opcode, opaque, key, value.
fn asked(peer: &Peer, conn: usize) -> Vec<(u8, u32, String, String)> {
    let raw = peer
        .script
        .borrow()
        .raw
        .get(&conn)
        .cloned()
        .unwrap_or_default();
    let (mut reader, mut buf, mut out) = (
        RequestReader::default(),
        BytesMut::from(&raw[..]),
        Vec::new(),
    );
    while let Some(r) = reader
        .next(&mut buf, &mut ByteBudget::new(1 << 20), 1 << 20)
        .unwrap()
    {
        assert_eq!(r.error_status, None);
        let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
        out.push((r.opcode, r.opaque, text(&r.key), text(&r.value)));
    }
    out
}

impl Scene {
    fn after(&mut self, time: i64) {
        let now = self.hosts.now();
        self.hosts.play_to(now + time);
    }

    fn say(&mut self, conn: usize, bytes: Vec<u8>) {
        self.client.send(&mut self.hosts, conn, bytes);
        self.after(10 * WAY);
    }

    /// The opaque that the box was sent last on a connection.
    fn opaque(&self, conn: usize) -> u32 {
        asked(&self.cache, conn).last().expect("a request").1
    }

    /// The box answers on a connection.
    fn answer(&mut self, conn: usize, bytes: impl AsRef<[u8]>) {
        self.cache.send(&mut self.hosts, conn, bytes);
        self.after(10 * WAY);
    }

    /// Another connection of the client, to a node.
    fn connect(&mut self, node: u8) -> usize {
        let to = if node == 0 {
            mc_port(100)
        } else {
            mc_port(100 + node)
        };
        let before = self.client.script.borrow().seen.len();
        self.client.connect(&mut self.hosts, to);
        self.after(10 * WAY);
        let script = self.client.script.borrow();
        let (_, conn, seen) = &script.seen[before];
        assert_eq!(*seen, Seen::Up);
        *conn
    }

    /// How many bytes boxes have got so far.
    fn at_box(&self) -> usize {
        self.cache.script.borrow().raw.values().map(Vec::len).sum()
    }

    /// The last idempotency key that a RESP2 box has seen.
    fn last_key(&self) -> Option<String> {
        let text = self.cache.text();
        let from = text.rfind(",k=")? + 3;
        Some(
            text[from..]
                .chars()
                .take_while(|c| c.is_ascii_alphanumeric() || *c == '-')
                .collect(),
        )
    }
}

#[test]
fn a_get_goes_to_a_resp2_box_with_what_its_route_says() {
    let mut s = scene(false);
    s.say(0, request(Opcode::GetK, 0xabcd, "logger/1/7", ""));
    let text = s.cache.text();
    assert!(
        text.starts_with("*4\r\n$5\r\nC.GET\r\n$10\r\nlogger/1/7\r\n"),
        "{text:?}"
    );
    assert!(text.contains("c=trace-read,t=leak-crew,d="), "{text:?}");
    assert!(
        text.contains("-0000abcd\r\n"),
        "the opaque ends the id: {text:?}"
    );
    s.answer(0, served("4.2 bar"));
    assert_eq!(
        told(&s.client, 0),
        [(0xabcd, 0, "logger/1/7".into(), "4.2 bar".into())]
    );
}

#[test]
fn answers_come_in_order_and_quiet_requests_keep_quiet() {
    let mut s = scene(true);
    let mut burst = Vec::new();
    burst.extend(request(Opcode::Get, 1, "logger/0/a", ""));
    burst.extend(request(Opcode::GetQ, 2, "logger/0/b", ""));
    burst.extend(request(Opcode::GetKQ, 3, "logger/0/c", ""));
    burst.extend(request(Opcode::SetQ, 4, "ack/0/d", "x"));
    burst.extend(request(Opcode::GetQ, 5, "logger/0/e", ""));
    burst.extend(request(Opcode::Version, 6, "", ""));
    burst.extend(request(Opcode::Noop, 7, "", ""));
    s.say(0, burst);
    // Each attempt has a connection of its own; the box answers the last first.
    let at = |s: &Scene, opaque: u32| {
        (0..5)
            .find(|c| asked(&s.cache, *c)[0].1 & 0xffff == opaque)
            .unwrap()
    };
    for (opaque, opcode, status) in [
        (5, Opcode::Get, 0x84),
        (4, Opcode::Set, 0),
        (3, Opcode::Get, 0),
        (2, Opcode::Get, 1),
    ] {
        let conn = at(&s, opaque);
        let its = s.opaque(conn);
        s.answer(conn, response(opcode, status, its, b"v"));
        assert_eq!(told(&s.client, 0), [], "the first is not answered yet");
    }
    let conn = at(&s, 1);
    let its = s.opaque(conn);
    s.answer(conn, response(Opcode::Get, 0, its, b"w"));
    // The read that failed at the only box is refused in the end: an error speaks.
    s.after(SECOND);
    let said = told(&s.client, 0);
    let numbers: Vec<(u32, u16)> = said.iter().map(|t| (t.0, t.1)).collect();
    assert_eq!(
        numbers,
        [(1, 0), (3, 0), (5, 0x85), (6, 0), (7, 0)],
        "{said:?}"
    );
    assert_eq!((&said[1].2[..], &said[1].3[..]), ("logger/0/c", "v"));
}

#[test]
fn what_is_not_served_is_told_in_its_turn() {
    let mut s = scene(false);
    let mut burst = Vec::new();
    burst.extend(request(Opcode::Get, 1, "other/1", ""));
    burst.extend(request(Opcode::Set, 2, "logger/0/1", "v"));
    let set = |extras: &'static [u8], cas: u64, opaque: u32| {
        let (key, value) = (Bytes::from_static(b"ack/0/1"), Bytes::from_static(b"v"));
        let extras = Bytes::from_static(extras);
        let mut out = Vec::new();
        let opcode = Opcode::Set as u8;
        write_request(
            &mut out,
            &Request {
                opcode,
                opaque,
                cas,
                extras,
                key,
                value,
                ..Request::default()
            },
        );
        out
    };
    burst.extend(set(&[0; 8], 9, 3));
    burst.extend(set(&[0, 0, 0, 1, 0, 0, 0, 0], 0, 4));
    burst.extend(set(&[0; 4], 0, 5));
    burst.extend(request(Opcode::Delete, 6, "logger/0/1", ""));
    burst.extend(request(Opcode::AppendQ, 7, "logger/0/1", "x"));
    let mut unknown = request(Opcode::Noop, 8, "", "");
    unknown[1] = 0x77;
    burst.extend(unknown);
    burst.extend(request(Opcode::Stat, 9, "", ""));
    burst.extend(request(Opcode::Quit, 10, "", ""));
    burst.extend(request(Opcode::Noop, 11, "", ""));
    s.say(0, burst);
    let said: Vec<(u32, u16)> = told(&s.client, 0).iter().map(|t| (t.0, t.1)).collect();
    let stats = [(9, 0); 5];
    let mut expected = vec![
        (1, 0x83),
        (2, 0x83),
        (3, 0x83),
        (4, 0x83),
        (5, 4),
        (6, 0x81),
        (7, 0x81),
        (8, 0x81),
    ];
    expected.extend(stats);
    expected.push((10, 0));
    assert_eq!(said, expected);
    assert!(s.client.saw(&Seen::Ended), "Quit ends the connection");
    assert_eq!(s.at_box(), 0);
}

#[test]
fn what_can_not_be_read_is_told_or_closed_and_the_other_protocol_is_turned_out() {
    let mut lying = request(Opcode::Set, 3, "ack/0/1", "v");
    lying[11] = 3;
    let mut huge = request(Opcode::Set, 3, "ack/0/1", "v");
    huge[8] = 0xff;
    let cases: [(Vec<u8>, Vec<u16>); 4] = [
        (lying, vec![4]),
        (huge, vec![3]),
        (get("r1", "trace-read", 100).into_bytes(), vec![]),
        (response(Opcode::Get, 0, 1, b"v"), vec![]),
    ];
    for (bytes, statuses) in cases {
        let mut s = scene(false);
        s.say(0, bytes);
        let said: Vec<u16> = told(&s.client, 0).iter().map(|t| t.1).collect();
        assert_eq!(said, statuses);
        assert!(s.client.saw(&Seen::Ended));
    }
    // Half a request, and binary bytes at the RESP2 port: within 3 s.
    let mut s = scene(false);
    s.say(
        0,
        request(Opcode::Set, 3, "ack/0/1", "value")[..30].to_vec(),
    );
    s.client.connect(&mut s.hosts, resp_port(100));
    s.after(10 * WAY);
    s.say(1, request(Opcode::Get, 3, "logger/0/1", ""));
    s.after(3 * SECOND);
    assert!(s.client.seen().contains(&(0, Seen::Ended)));
    assert!(s.client.seen().contains(&(1, Seen::Ended)));
    assert!(s.client.text().contains("-ERR protocol"));
    assert_eq!(s.at_box(), 0);
}

#[test]
fn a_refusal_tells_a_person_and_a_program_when_to_come_back() {
    let mut s = scene(true);
    s.say(0, request(Opcode::Set, 1, "ack/0/1", "x"));
    for turn in 0..20 {
        if !told(&s.client, 0).is_empty() {
            break;
        }
        // Busy, each time it is asked.
        let conn = turn.min(s.cache.script.borrow().raw.len() - 1);
        let its = s.opaque(conn);
        s.answer(conn, response(Opcode::Set, 0x85, its, b"busy"));
        s.after(100 * WAY);
    }
    let said = told(&s.client, 0);
    assert_eq!((said.len(), said[0].1), (1, 0x85), "{said:?}");
    assert!(
        said[0].3.starts_with("busy; nothing has run; try again"),
        "{said:?}"
    );
}

#[test]
fn a_set_alarm_is_repeated_within_the_window_and_known_after_it() {
    let mut s = scene(false);
    let set = |opaque| request(Opcode::Set, opaque, "alarm/0/1", "high");
    s.say(0, set(1));
    let key = s.last_key().expect("an idempotency key");
    s.answer(0, served("ok"));
    assert_eq!(told(&s.client, 0), [(1, 0, String::new(), String::new())]);
    let ran = s.hosts.now();
    // 8.9 s later, on the same connection and on another: the boxes drop it, by the same key.
    let before = s.at_box();
    s.hosts.play_to(ran + 8_900 * 1_000);
    s.say(0, set(2));
    assert!(s.at_box() > before);
    assert_eq!(s.last_key().as_ref(), Some(&key));
    let conn = s.cache.script.borrow().raw.len() - 1;
    s.answer(conn, served("ok"));
    assert_eq!(told(&s.client, 0).len(), 2);
    // 9.5 s: too near to the end of the window. 11 s: beyond it. Neither is sent; both are known as served.
    let before = s.at_box();
    s.hosts.play_to(ran + 9_500 * 1_000);
    s.say(0, set(3));
    s.hosts.play_to(ran + 11 * SECOND);
    s.say(0, set(4));
    let other = s.connect(0);
    s.say(other, set(5));
    assert_eq!(s.at_box(), before);
    assert_eq!(
        told(&s.client, 0)[2..],
        [
            (3, 0, String::new(), String::new()),
            (4, 0, String::new(), String::new())
        ]
    );
    assert_eq!(
        told(&s.client, other),
        [(5, 0, String::new(), String::new())]
    );
    // Another value is another wish.
    s.say(other, request(Opcode::Set, 6, "alarm/0/1", "low"));
    assert!(s.at_box() > before);
    assert_ne!(s.last_key(), Some(key));
}

#[test]
fn another_attempt_does_not_leave_when_boxes_may_have_forgotten_the_first() {
    let mut s = scene(false);
    s.say(0, request(Opcode::Set, 1, "alarm/0/1", "high"));
    s.answer(0, served("ok"));
    // Asked again just before the end of what may be sent, and broken off just after it.
    s.hosts.play_to(9 * SECOND - 100 * WAY);
    let before = s.at_box();
    s.say(0, request(Opcode::Set, 2, "alarm/0/1", "high"));
    let sent = s.at_box();
    assert!(sent > before);
    s.after(150 * WAY);
    let conn = s.cache.script.borrow().raw.len() - 1;
    s.cache.close(&mut s.hosts, conn);
    s.after(3 * SECOND);
    assert_eq!(s.at_box(), sent);
    // It is answered all the same: nothing more has run, and a repeat is told what is known.
    assert_eq!(told(&s.client, 0).len(), 2);
    let other = s.connect(0);
    s.say(other, request(Opcode::Set, 3, "alarm/0/1", "high"));
    assert_eq!(told(&s.client, other)[0].1, 0);
}

/// The box answers every attempt so until the client has an answer; its status.
fn until_answered(s: &mut Scene, conn: usize, answer: Option<&str>) -> u16 {
    let before = told(&s.client, conn).len();
    let mut done = s.at_box();
    for _ in 0..400 {
        if let Some(answer) = told(&s.client, conn).get(before) {
            return answer.1;
        }
        if s.at_box() > done {
            done = s.at_box();
            let last = s
                .cache
                .script
                .borrow()
                .seen
                .iter()
                .rev()
                .find(|e| matches!(e.2, Seen::Bytes(_)))
                .unwrap()
                .1;
            match answer {
                Some(text) => s.cache.send(&mut s.hosts, last, text),
                None => s.cache.close(&mut s.hosts, last),
            }
        }
        s.after(5 * WAY);
    }
    panic!("no answer");
}

#[test]
fn what_was_turned_away_is_new_again_unless_an_earlier_one_may_have_run() {
    for broke_before in [false, true] {
        let mut s = scene(false);
        let set = |opaque| request(Opcode::Set, opaque, "alarm/0/1", "high");
        if broke_before {
            s.client.send(&mut s.hosts, 0, set(1));
            until_answered(&mut s, 0, None);
            s.hosts.play_to(5 * SECOND);
        }
        s.client.send(&mut s.hosts, 0, set(2));
        assert_eq!(until_answered(&mut s, 0, Some("-BUSY\r\n")), 0x85);
        s.hosts.play_to(12 * SECOND);
        let before = s.at_box();
        let other = s.connect(0);
        s.say(other, set(3));
        assert_eq!(s.at_box() > before, !broke_before);
        if broke_before {
            assert_eq!(told(&s.client, other)[0].1, 0x84);
        }
    }
}

#[test]
fn through_another_node_a_repeat_carries_the_same_key() {
    let mut s = scene(false);
    s.say(0, request(Opcode::Set, 1, "alarm/0/1", "high"));
    let key = s.last_key();
    s.answer(0, served("ok"));
    let ran = s.hosts.now();
    s.hosts.play_to(ran + 9 * SECOND);
    let other = s.connect(1);
    let before = s.at_box();
    s.say(other, request(Opcode::Set, 2, "alarm/0/1", "high"));
    assert!(s.at_box() > before);
    assert_eq!(s.last_key(), key, "the boxes drop it");
    s.hosts.play_to(ran + 25 * SECOND);
    let other = s.connect(0);
    let before = s.at_box();
    s.say(other, request(Opcode::Set, 3, "alarm/0/1", "high"));
    assert_eq!(s.at_box(), before, "the first node knows it");
}

/// What a digest can't tell apart, as the docs state it: a change here has to change them.
#[test]
fn a_digest_that_comes_after_the_window_is_new_to_a_node_that_has_not_seen_it() {
    let mut s = scene(false);
    s.say(0, request(Opcode::Set, 1, "alarm/0/1", "high"));
    let key = s.last_key();
    s.answer(0, served("ok"));
    s.after(11 * SECOND);
    let (other, before) = (s.connect(1), s.at_box());
    s.say(other, request(Opcode::Set, 2, "alarm/0/1", "high"));
    assert!(s.at_box() > before);
    assert_eq!(s.last_key(), key);
}

#[test]
fn a_key_with_its_time_is_not_taken_for_new_by_a_node_that_never_saw_it() {
    let stamped = |file: &mut String| *file = file.replace("\"digest\"", "\"stamp\"");
    let mut s = scene_with(false, stamped);
    let made = (sloewick_testbed::network::EPOCH + s.hosts.now()) / 1000;
    let value = format!("{made}-a1:high");
    s.say(0, request(Opcode::Set, 1, "alarm/0/1", &value));
    assert_eq!(s.last_key(), Some(format!("{made}-a1")));
    s.answer(0, served("ok"));
    // The same node, restarted: it knows nothing.
    let host = s.nodes[0];
    s.hosts.end(host);
    s.hosts.world.borrow_mut().restart_host(host);
    let mut file = site::memcached_file(Some(mc_port(100)));
    stamped(&mut file);
    start_node_with(
        &mut s.hosts,
        host,
        resp_port(100),
        address(2, 80),
        &s.known,
        Some(&file),
    );
    s.after(5 * SECOND);
    let conn = s.connect(0);
    let before = s.at_box();
    s.say(conn, request(Opcode::Set, 2, "alarm/0/1", &value));
    assert!(s.at_box() > before, "the boxes still drop it");
    let at = s.cache.script.borrow().raw.len() - 1;
    s.answer(at, served("ok"));
    s.after(SECOND);
    let host = s.nodes[1];
    assert!(s.hosts.has(host));
    let other = s.connect(1);
    s.after(4 * SECOND);
    let other = if s.client.seen().contains(&(other, Seen::Ended)) {
        s.connect(1)
    } else {
        other
    };
    let before = s.at_box();
    s.say(other, request(Opcode::Set, 3, "alarm/0/1", &value));
    assert_eq!(s.at_box(), before, "too late: it is not sent as new");
    assert_eq!(told(&s.client, other)[0].1, 0x84);
    let made = (sloewick_testbed::network::EPOCH + s.hosts.now()) / 1000 + 60_000;
    s.say(
        other,
        request(Opcode::Set, 4, "alarm/0/1", &format!("{made}-a1:high")),
    );
    assert_eq!(told(&s.client, other)[1].1, 4, "a time in the future");
}

#[test]
fn what_may_have_run_fails_after_the_window_and_is_never_sent_as_new() {
    let mut s = scene(false);
    s.say(0, request(Opcode::SetQ, 1, "alarm/0/1", "high"));
    assert!(s.last_key().is_some());
    // The client's connection ends before its Noop: the write may have run.
    s.client.close(&mut s.hosts, 0);
    s.after(11 * SECOND);
    let conn = s.connect(0);
    let before = s.at_box();
    s.say(conn, request(Opcode::SetQ, 2, "alarm/0/1", "high"));
    assert_eq!(s.at_box(), before);
    let said = told(&s.client, conn);
    assert_eq!((said[0].0, said[0].1), (2, 0x84), "an error speaks");
    assert!(said[0].3.contains("may have taken effect"));
}

#[test]
fn two_of_one_key_are_not_out_at_once_and_a_full_ledger_refuses() {
    let mut s = scene_with(false, |file| file.push_str("[ledger]\nentries = 1\n"));
    s.say(0, request(Opcode::Set, 1, "alarm/0/1", "high"));
    let before = s.at_box();
    let other = s.connect(0);
    s.say(other, request(Opcode::Set, 2, "alarm/0/1", "high"));
    assert_eq!(told(&s.client, other)[0].1, 0x85, "the first is out");
    s.say(other, request(Opcode::Set, 3, "alarm/0/2", "high"));
    assert_eq!(
        told(&s.client, other)[1].1,
        0x85,
        "there is no room to remember it"
    );
    assert_eq!(s.at_box(), before);
    s.answer(0, served("ok"));
    s.say(other, request(Opcode::Set, 4, "alarm/0/2", "high"));
    assert_eq!(
        told(&s.client, other)[2].1,
        0x85,
        "what is remembered stays"
    );
}

#[test]
fn a_memcached_box_is_sent_the_idempotency_key_before_the_value() {
    let mut s = scene(true);
    s.client.connect(&mut s.hosts, resp_port(100));
    s.after(10 * WAY);
    s.say(1, set("r1", "alarm-set", 2000, Some("k77")).into_bytes());
    let got = asked(&s.cache, 0);
    assert_eq!(got.len(), 1);
    let (opcode, opaque, key, value) = got[0].clone();
    assert_eq!(
        (opcode, &key[..], &value[..]),
        (Opcode::Set as u8, "logger/1", "k77:value")
    );
    s.answer(0, response(Opcode::Set, 0, opaque, b""));
    assert_eq!(s.client.text(), "$0\r\n\r\n");
    s.say(1, set("r2", "alarm-ack", 2000, None).into_bytes());
    assert_eq!(asked(&s.cache, 0)[1].3, "-:value");
    let opaque = asked(&s.cache, 0)[1].1;
    // It may have run: no second attempt, and no refusal.
    s.answer(0, response(Opcode::Set, 0x82, opaque, b"out of memory"));
    s.after(SECOND);
    assert_eq!(s.client.text(), "$0\r\n\r\n-ERR failed\r\n");
    assert_eq!(asked(&s.cache, 0).len(), 2);
}

#[test]
fn what_a_memcached_box_could_not_tell_apart_is_not_sent_there() {
    let mut s = scene(true);
    s.client.connect(&mut s.hosts, resp_port(100));
    s.after(10 * WAY);
    // Cut at the first colon the key would be another's; a hyphen says that there is none.
    for (n, key) in ["a:b", "-", ""].into_iter().enumerate() {
        s.say(
            1,
            set(&format!("r{n}"), "alarm-set", 500, Some(key)).into_bytes(),
        );
        s.after(SECOND);
        assert_eq!(
            s.client.text().matches("-BUSY").count(),
            n + 1,
            "{:?}",
            s.client.text()
        );
    }
    let long = format!("logger/{}", "x".repeat(250));
    s.say(
        1,
        command(&["C.GET", &long, "r9", "c=trace-read,t=distribution,d=300"]).into_bytes(),
    );
    s.after(SECOND);
    assert_eq!(s.client.text().matches("-BUSY").count(), 4);
    assert_eq!(s.at_box(), 0);
}

#[test]
fn a_read_without_a_value_is_an_answer_in_both_protocols() {
    let mut s = scene(true);
    s.client.connect(&mut s.hosts, resp_port(100));
    s.after(10 * WAY);
    s.say(1, get("r1", "trace-read", 400).into_bytes());
    let opaque = asked(&s.cache, 0)[0].1;
    s.answer(0, response(Opcode::Get, 1, opaque, b"Not found"));
    assert_eq!(s.client.text(), "$-1\r\n");
    s.say(0, request(Opcode::Get, 5, "logger/0/1", ""));
    let its = s.opaque(0);
    assert_eq!(its & 0xffff, 5);
    s.answer(0, response(Opcode::Get, 1, its, b"Not found"));
    assert_eq!(
        told(&s.client, 0),
        [(5, 1, String::new(), "Not found".into())]
    );
}

#[test]
fn an_answer_that_belongs_to_something_else_spoils_its_connection() {
    let cases: [fn(u32) -> Vec<u8>; 5] = [
        // Another opaque, another opcode, a request, a value out of place, a length that lies.
        |opaque| response(Opcode::Set, 0, opaque + 1, b""),
        |opaque| response(Opcode::Get, 0, opaque, b"wrong"),
        |opaque| request(Opcode::Get, opaque, "logger/0/1", ""),
        |opaque| response(Opcode::Get, 0, opaque ^ 7, &vec![b'x'; 100_000]),
        |opaque| {
            let mut bytes = response(Opcode::Set, 0, opaque, b"");
            bytes[3] = 1;
            bytes
        },
    ];
    for (n, spoilt) in cases.into_iter().enumerate() {
        let mut s = scene(true);
        s.say(0, request(Opcode::Set, 9, "ack/0/1", "x"));
        let its = s.opaque(0);
        s.answer(0, spoilt(its));
        assert!(
            s.cache
                .seen()
                .iter()
                .any(|(c, e)| *c == 0 && matches!(e, Seen::Ended | Seen::Broke { .. })),
            "{n}"
        );
        let said = told(&s.client, 0);
        assert_eq!(
            (said.len(), said[0].1),
            (1, 0x84),
            "{n}: it may have run: {said:?}"
        );
    }
    // A surplus answer behind a good one: the next request does not get it.
    let mut s = scene(true);
    s.say(0, request(Opcode::Get, 1, "logger/0/1", ""));
    let its = s.opaque(0);
    let mut both = response(Opcode::Get, 0, its, b"good");
    both.extend(response(Opcode::Get, 0, its + 0x10000, b"stale"));
    s.answer(0, both);
    s.say(0, request(Opcode::Get, 2, "logger/0/1", ""));
    let last = s.cache.script.borrow().raw.len() - 1;
    assert_eq!(last, 1, "on another connection");
    let its = s.opaque(last);
    s.answer(last, response(Opcode::Get, 0, its, b"fresh"));
    let values: Vec<String> = told(&s.client, 0).into_iter().map(|t| t.3).collect();
    assert_eq!(values, ["good", "fresh"]);
    // Nor does one whose client gives every request the same opaque.
    let mut s = scene(true);
    s.say(0, request(Opcode::Get, 0, "logger/0/1", ""));
    let first = s.opaque(0);
    s.answer(0, response(Opcode::Get, 0, first, b"good"));
    s.say(0, request(Opcode::Get, 0, "logger/0/1", ""));
    assert_ne!(s.opaque(0), first);
    s.answer(0, response(Opcode::Get, 0, first, b"stale"));
    assert!(told(&s.client, 0).iter().all(|t| t.3 != "stale"));
}

#[test]
fn a_long_value_passes_between_the_protocols() {
    let long = vec![b'x'; 200_000];
    for memcached_box in [false, true] {
        let mut s = scene(memcached_box);
        s.say(0, request(Opcode::GetKQ, 3, "logger/0/1", ""));
        if memcached_box {
            let its = s.opaque(0);
            s.answer(0, response(Opcode::Get, 0, its, &long));
        } else {
            s.answer(0, served(std::str::from_utf8(&long).unwrap()));
        }
        s.after(SECOND);
        let said = told(&s.client, 0);
        assert_eq!((said.len(), said[0].1, said[0].3.len()), (1, 0, long.len()));
        assert_eq!(said[0].2, "logger/0/1");
        // The connection goes on.
        s.say(0, request(Opcode::Noop, 4, "", ""));
        assert_eq!(told(&s.client, 0).len(), 2);
    }
    // A long value of a memcached box to a RESP2 client, and one that breaks off.
    for whole in [true, false] {
        let mut s = scene(true);
        s.client.connect(&mut s.hosts, resp_port(100));
        s.after(10 * WAY);
        s.say(1, get("r1", "trace-read", 400).into_bytes());
        let opaque = asked(&s.cache, 0)[0].1;
        let answer = response(Opcode::Get, 0, opaque, &long);
        s.answer(0, &answer[..if whole { answer.len() } else { 150_000 }]);
        if !whole {
            s.cache.close(&mut s.hosts, 0);
        }
        s.after(SECOND);
        let text = s.client.text();
        assert!(text.starts_with("$200000\r\nxxx"));
        assert_eq!(text.len() == 9 + long.len() + 2, whole, "{}", text.len());
        assert_eq!(
            s.client.saw(&Seen::Ended) || s.client.saw(&Seen::Broke { refused: false }),
            !whole
        );
    }
}

#[test]
fn five_hundred_quiet_gets_with_one_key_hot_are_fenced_by_a_noop() {
    let mut s = scene(true);
    let mut burst = Vec::new();
    for n in 0..500u32 {
        let key = if n % 2 == 0 {
            "logger/0/hot".to_string()
        } else {
            format!("logger/0/{n}")
        };
        burst.extend(request(Opcode::GetKQ, n, &key, ""));
    }
    burst.extend(request(Opcode::Noop, 1000, "", ""));
    s.client.send(&mut s.hosts, 0, burst);
    let mut answered: std::collections::BTreeMap<usize, usize> =
        std::collections::BTreeMap::default();
    for _ in 0..400 {
        s.after(5 * WAY);
        let conns: Vec<usize> = s.cache.script.borrow().raw.keys().copied().collect();
        for conn in conns {
            let got = asked(&s.cache, conn);
            let done = answered.entry(conn).or_default();
            for (opcode, opaque, ..) in &got[*done..] {
                assert_eq!(*opcode, Opcode::Get as u8);
                // Every third has no value.
                let status = u16::from((opaque & 0xffff) % 3 == 0);
                s.cache.send(
                    &mut s.hosts,
                    conn,
                    response(Opcode::Get, status, *opaque, b"v"),
                );
            }
            *done = got.len();
        }
    }
    let said = told(&s.client, 0);
    let last = said.last().unwrap();
    assert_eq!((last.0, last.1), (1000, 0), "the fence comes last");
    let hits: Vec<u32> = said.iter().filter(|t| t.1 == 0).map(|t| t.0).collect();
    assert!(hits.windows(2).all(|w| w[0] < w[1]), "in order");
    // Whatever had no value was passed over in silence; every other one was told of, once.
    let mut spoke: Vec<u32> = said.iter().map(|t| t.0).filter(|n| *n < 500).collect();
    spoke.sort_unstable();
    let silent: Vec<u32> = (0..500).filter(|n| !spoke.contains(n)).collect();
    assert!(silent.iter().all(|n| n % 3 == 0), "{silent:?}");
    assert!(hits.iter().all(|n| n % 3 != 0 || *n == 1000));
    assert!(spoke.windows(2).all(|w| w[0] != w[1]));
    assert!(said.iter().all(|t| [0, 0x85].contains(&t.1)), "{said:?}");
}

#[test]
fn a_planned_stop_answers_what_is_held() {
    let mut s = scene(true);
    s.say(0, request(Opcode::Set, 1, "ack/0/1", "x"));
    let host = s.nodes[0];
    s.hosts.world.borrow_mut().signal(
        host,
        sloewick_node::transport::PendingSignals {
            reload: false,
            stop: true,
        },
    );
    s.hosts.wake(host);
    s.after(450 * WAY);
    // The listener is still there for a while, then closed; what has come is still held then.
    let late = s.connect(0);
    s.say(late, request(Opcode::Set, 2, "ack/0/1", "x"));
    s.after(200 * WAY);
    s.client.connect(&mut s.hosts, mc_port(100));
    s.after(10 * WAY);
    assert_eq!(
        s.client.seen().last(),
        Some(&(2, Seen::Broke { refused: true }))
    );
    let its = s.opaque(1);
    s.answer(1, response(Opcode::Set, 0, its, b""));
    assert_eq!(
        told(&s.client, late),
        [(2, 0, String::new(), String::new())]
    );
    s.after(3 * SECOND);
    assert_eq!(told(&s.client, 0).len(), 1);
    assert!(s.client.saw(&Seen::Ended));
    assert!(!s.hosts.has(host));
}

/// A module that probes what it is told of, and keeps what came of it.
struct Prober(Rc<RefCell<Vec<Ended>>>);

impl DecisionEngine for Prober {
    fn handle(&mut self, _now: i64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(_, list) => {
                actions.extend(list.iter().map(|e| Action::Probe(e.server.clone())));
            }
            Event::ProbeEnded { status, .. } => self.0.borrow_mut().push(status),
            _ => {}
        }
    }
}

#[test]
fn a_memcached_box_is_probed_by_a_noop() {
    for (status, expected) in [
        (0, Ended::Ok),
        (0x85, Ended::Rejected),
        (0x84, Ended::Error),
    ] {
        let mut hosts = hosts();
        let cache = Peer::new(&mut hosts, "box", Some(address(1, 80)));
        let mut known = listed(0, address(1, 80));
        known.kind = site::KINDS_MEMCACHED[0].to_string();
        let text = site::node_config(
            0,
            &calm(),
            address(9, 80),
            address(2, 80),
            7,
            (41, &[known]),
        );
        let mut config = config::parse(&text).unwrap();
        config::enable_memcached(&mut config, &site::memcached_file(None)).unwrap();
        let host = hosts.world.borrow_mut().add_host("node", 0, site::SOCKETS);
        hosts.world.borrow_mut().add_address(host, address(9, 80));
        let seen = Rc::new(RefCell::new(Vec::new()));
        let module = Prober(seen.clone());
        let source = Box::new(move || config::parse(&text));
        let node = Node::with_engine(config, hosts.net(host), source, |_| module).unwrap();
        hosts.place(host, Box::new(node));
        hosts.play_to(20 * WAY);
        let got = asked(&cache, 0);
        assert_eq!((got.len(), got[0].0), (1, Opcode::Noop as u8));
        cache.send(&mut hosts, 0, response(Opcode::Noop, status, got[0].1, b""));
        hosts.play_to(40 * WAY);
        assert_eq!(*seen.borrow(), [expected]);
    }
}
