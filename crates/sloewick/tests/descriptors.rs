//! Descriptors run short: the built node over loopback, under the system's own limit, so that it has no more of them than
//! its configuration says. Each fails without what it guards.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::time::Duration;

use serde_json::json;
use support::*;

const BUSY: &str = "-BUSY";
const VALUE: &[u8] = b"value";
/// The least that a node takes, and what it leaves for clients: three fifths of what it does not keep for itself.
const LEAST: usize = 64;
const PLACES: usize = 24;
/// Attempts that may be out at the same time.
const OUT: usize = 16;

/// The program with no more descriptors than this.
fn limited(sockets: usize) -> Command {
    let mut shell = Command::new("sh");
    let script = format!("ulimit -n {sockets} && exec \"$0\" run");
    shell.args(["-c", &script, env!("CARGO_BIN_EXE_sloewick")]);
    shell
}

fn node(sockets: usize, server: &TcpListener) -> Node {
    Node::start_by(
        limited(sockets),
        settings(),
        &[target("s-1", server)],
        |config| {
            config["limits"]["sockets"] = json!(sockets);
        },
    )
}

fn ping(client: &mut Peer) {
    client.send(command(&[b"PING"]));
    assert_eq!(client.line(), "+PONG");
}

fn get(id: &str) -> Vec<u8> {
    command(&[b"C.GET", b"k1", id.as_bytes(), b"c=read,t=acme,d=20000"])
}

/// Answers every request on this connection until it ends.
fn answer_on(mut stream: TcpStream) {
    std::thread::spawn(move || {
        let (mut bytes, mut lines) = ([0; 4096], 0);
        // A request has nine lines, and none comes before the one before is answered.
        while let Ok(n @ 1..) = stream.read(&mut bytes) {
            lines += bytes[..n].iter().filter(|b| **b == b'\n').count();
            if lines == 9 {
                lines = 0;
                let _ = stream.write_all(&served(VALUE));
            }
        }
    });
}

/// A cache server that answers at once, as long as the test runs.
fn answer_all(server: TcpListener) {
    server.set_nonblocking(false).unwrap();
    std::thread::spawn(move || server.incoming().map_while(Result::ok).for_each(answer_on));
}

/// Takes all places by clients to which something is owed: as many requests as may be out at servers, and clients that do
/// not read what they are sent. The first ones are handed back apart.
fn full(node: &Node) -> (Vec<Peer>, Vec<Peer>) {
    let mut clients: Vec<Peer> = (0..PLACES).map(|_| node.client()).collect();
    clients.iter_mut().for_each(ping);
    let deaf = clients.split_off(OUT);
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(get(&format!("held-{n}")));
    }
    let echo = command(&[b"PING", &[b'x'; 4000]]);
    for client in &deaf {
        socket2::SockRef::from(&client.stream)
            .set_recv_buffer_size(16 << 10)
            .unwrap();
        client.stream.set_nonblocking(true).unwrap();
        // Until nothing is taken any more: what it is owed has filled all that is between.
        let (mut stuck, mut at) = (0, 0);
        while stuck < 5 {
            match (&client.stream).write(&echo[at..]) {
                Ok(n) => (stuck, at) = (0, (at + n) % echo.len()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    stuck += 1;
                    std::thread::sleep(Duration::from_millis(5));
                }
                Err(e) => panic!("{e}"),
            }
        }
    }
    (clients, deaf)
}

#[test]
fn a_new_client_that_finds_no_place_is_refused_with_an_answer() {
    let server = listener();
    let node = node(LEAST, &server);
    let (mut clients, deaf) = full(&node);
    // One after the other, as fast as they are ended, and many at once.
    let refused = |client: &mut Peer| {
        assert_eq!((client.line().as_str(), client.end().as_str()), (BUSY, ""));
        assert!(!client.was_reset);
    };
    for n in 0..200 {
        let mut client = node.client();
        client.get(&format!("again-{n}"));
        refused(&mut client);
    }
    let mut crowd: Vec<Peer> = (0..100)
        .map(|n| {
            let mut client = node.client();
            client.get(&format!("crowd-{n}"));
            client
        })
        .collect();
    crowd.iter_mut().for_each(refused);
    // Several commands behind each other are all answered.
    let mut client = node.client();
    client.send(
        (0..50)
            .flat_map(|n| get(&format!("many-{n}")))
            .collect::<Vec<u8>>(),
    );
    (0..50).for_each(|_| assert_eq!(client.line(), BUSY));
    assert_eq!((client.end().as_str(), client.was_reset), ("", false));
    // What was there before is served, and then there are places again.
    answer_all(server);
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.bulk(), VALUE));
    drop(deaf);
    let mut next = node.client();
    next.send(get("next"));
    assert_eq!(next.bulk(), VALUE);
}

#[test]
fn new_clients_in_a_crowd_are_served_or_refused_and_never_closed_unheard() {
    let server = listener();
    let node = node(LEAST, &server);
    answer_all(server);
    // All knock before the first asks: whoever is let in is given time for its first bytes.
    let mut crowd: Vec<Peer> = (0..500).map(|_| node.client()).collect();
    for (n, client) in crowd.iter_mut().enumerate() {
        // Refused before it asks, it hears so all the same.
        let _ = client.stream.write_all(&get(&format!("crowd-{n}")));
    }
    let (mut served, mut refused) = (0, 0);
    for client in &mut crowd {
        match client.line().as_str() {
            BUSY => refused += 1,
            "$5" => served += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(served + refused, 500);
    assert!(served > 0);
}

#[test]
fn half_commands_make_room_for_new_clients() {
    let server = listener();
    let node = node(LEAST, &server);
    answer_all(server);
    let half = || {
        let mut client = node.client();
        client.send("*4\r\n$5\r\nC.G");
        client
    };
    let mut halves: Vec<Peer> = (0..2 * PLACES).map(|_| half()).collect();
    for n in 0..5 {
        // Refused as long as the halves may yet become whole; they come back as soon as they are ended.
        let served = (0..).find(|tries| {
            let mut client = node.client();
            client.send(get(&format!("new-{n}-{tries}")));
            let line = client.line();
            for held in &mut halves {
                if held.has_some() {
                    // A refusal, not the error that ends it when nobody needs its place.
                    assert_eq!(held.end(), format!("{BUSY}\r\n"));
                    *held = half();
                }
            }
            if line == BUSY {
                assert_eq!((client.end().as_str(), client.was_reset), ("", false));
            }
            line == "$5"
        });
        assert!(served.is_some());
    }
}

/// Clients that asked once and rest hold nothing that others need.
#[test]
fn discovery_operators_servers_and_new_clients_find_descriptors_among_resting_clients() {
    for (sockets, resting) in [(64, 50), (256, 180), (1024, 640)] {
        let servers = [listener(), listener()];
        let ops = close(listener());
        let node = Node::start_by(
            limited(sockets),
            settings(),
            &[target("s-1", &servers[0])],
            |config| {
                config["limits"]["sockets"] = json!(sockets);
                config["ops"] = json!(ops.to_string());
            },
        );
        // The watch at the first address stays open, as silent as one that is down.
        let (_, _watch) = node.call();
        let mut crowd: Vec<Peer> = (0..resting).map(|_| node.client()).collect();
        // Some never ask, and some send half a command, as many as the operators' callers.
        for (n, client) in crowd.iter_mut().enumerate() {
            match n % 8 {
                0 => {}
                1 => client.send("*4\r\n$5\r\nC.G"),
                _ => client.send(command(&[b"PING"])),
            }
        }
        let _callers: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(ops).unwrap()).collect();
        // Discovery comes back elsewhere and is called at once.
        let moved = listener();
        let mut config: serde_json::Value = serde_json::from_str(&node.config()).unwrap();
        config["discovery"] = json!(moved.local_addr().unwrap().to_string());
        node.reload(&config.to_string());
        let mut call = accept(&moved);
        call.until(b"\r\n\r\n");
        call.answer_http(&list(1, true, &[target("s-2", &servers[1])]));
        // The watch that follows says that the list has been taken up.
        accept(&moved).until(b"\r\n\r\n");
        let mut caller = Peer::new(TcpStream::connect(ops).unwrap());
        caller.send("GET /api/ready HTTP/1.1\r\nHost: n1\r\n\r\n");
        assert!(caller.end().starts_with("HTTP/1.1 200 "), "{sockets}");
        let [_, server] = servers;
        answer_all(server);
        let mut tries = 0;
        let served = loop {
            let mut client = node.client();
            client.send(get(&format!("new-{tries}")));
            tries += 1;
            match client.line() {
                line if line == BUSY && tries < 1000 => {}
                line => break line,
            }
        };
        assert_eq!(served, "$5", "{sockets}");
    }
}
