//! Long values that break off while their client waits for responses behind them: each of those responses arrives.

mod support;

use std::net::TcpListener;
use std::time::Duration;

use serde_json::json;
use support::*;

/// Length of a value that would be streamed to a client without further requests.
const LONG: usize = 200_000;

/// How a long value ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ValueEnd {
    Complete,
    Close,
    Reset,
    Malformed,
    Stall,
}

impl ValueEnd {
    const ALL: [ValueEnd; 5] = [
        ValueEnd::Complete,
        ValueEnd::Close,
        ValueEnd::Reset,
        ValueEnd::Malformed,
        ValueEnd::Stall,
    ];

    /// Sends the value in two parts. Returns the connection if it stays open.
    fn apply(self, mut conn: Peer, value: &[u8], sent_first: usize) -> Option<Peer> {
        let reply = hit_reply(value);
        conn.send(&reply[..sent_first]);
        std::thread::sleep(Duration::from_millis(20));
        match self {
            ValueEnd::Complete => conn.send(&reply[sent_first..]),
            ValueEnd::Close => {
                conn.close();
                return None;
            }
            ValueEnd::Reset => {
                conn.reset();
                return None;
            }
            ValueEnd::Malformed => {
                conn.send(&reply[sent_first..LONG]);
                conn.try_send(&[b'!'; 64]);
            }
            ValueEnd::Stall => {}
        }
        Some(conn)
    }
}

/// A request of class `read` for a key of its own.
fn read_of(id: &str) -> Vec<u8> {
    let key = format!("key-{id}");
    command(&[
        b"C.GET",
        key.as_bytes(),
        id.as_bytes(),
        b"c=read,t=acme,d=4000",
    ])
}

/// Receives these requests, in whichever order and on whichever connections; returns a connection for each.
fn receive_all(server: &TcpListener, ids: &[String]) -> Vec<Peer> {
    let mut conns: Vec<Option<Peer>> = ids.iter().map(|_| None).collect();
    for _ in ids {
        let mut conn = accept(server);
        let words = conn.read_command();
        let at = ids.iter().position(|id| *id == words[2]).unwrap();
        conns[at] = Some(conn);
    }
    conns.into_iter().flatten().collect()
}

/// Sends requests at once, ends the long value of one of them as `end` says, and checks the responses to all.
fn play(end: ValueEnd, behind: usize, sent_first: usize, memory_mb: usize) {
    let server = listener();
    let mut settings = settings_with_deadline(4000.0);
    for class in settings["classes"].as_array_mut().unwrap() {
        class["aim"] = json!(4000.0);
    }
    let node = Node::before(&server)
        .settings(settings)
        .set("/limits/memory_mb", memory_mb)
        .start();
    let mut client = node.client();
    let ids: Vec<String> = (0..=behind).map(|n| format!("r{n}")).collect();
    client.send(ids.iter().flat_map(|id| read_of(id)).collect::<Vec<u8>>());
    let mut conns = receive_all(&server, &ids);
    let mut others = conns.split_off(1);
    let value = vec![b'v'; LONG];
    let _open = end.apply(conns.remove(0), &value, sent_first);
    for (conn, id) in others.iter_mut().zip(&ids[1..]) {
        conn.send(hit_reply(id.as_bytes()));
    }
    let play = format!("{end:?}, {behind} behind, {sent_first} bytes first");
    if end == ValueEnd::Complete {
        assert!(client.read_bulk() == value, "{play}");
    } else {
        let response = client.read_line();
        assert!([FAILED, BUSY].contains(&&*response), "{play}: {response}");
    }
    for id in &ids[1..] {
        assert_eq!(client.read_bulk(), id.as_bytes(), "{play}");
    }
    // The connection carries on.
    client.send(read_of("after"));
    let mut conns = vec![];
    conns.append(&mut others);
    let conn = next_readable(&mut conns, &server);
    assert_eq!(conn.read_command()[2], "after");
    conn.send(hit_reply(b"after"));
    assert_eq!(client.read_bulk(), b"after", "{play}");
}

// Guards against lost requests: a value that broke off ended the connection, and the requests behind it got no answer.
#[test]
fn requests_behind_a_value_that_breaks_off_get_their_responses() {
    std::thread::scope(|scope| {
        for end in ValueEnd::ALL {
            for (behind, sent_first) in [(1, 100_000), (2, 70_000), (5, 20), (11, 199_000)] {
                scope.spawn(move || play(end, behind, sent_first, 64));
            }
        }
    });
}

// A value for which there is no memory yet stays with its server until there is some.
#[test]
fn values_of_a_pipeline_that_do_not_fit_the_memory_together_are_all_returned() {
    let server = listener();
    let node = Node::before(&server).set("/limits/memory_mb", 32).start();
    let mut client = node.client();
    let ids: Vec<String> = (0..40).map(|n| format!("r{n}")).collect();
    client.send(ids.iter().flat_map(|id| read_of(id)).collect::<Vec<u8>>());
    let conns = receive_all(&server, &ids);
    let value = vec![b'v'; LONG];
    std::thread::scope(|scope| {
        for mut conn in conns {
            let value = &value;
            scope.spawn(move || conn.send(hit_reply(value)));
        }
        for id in &ids {
            assert!(client.read_bulk() == value, "{id}");
        }
    });
}
