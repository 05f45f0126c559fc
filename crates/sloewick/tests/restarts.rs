//! Many processes that start again at once, each with trouble of its own: whatever discovery does and whoever of the cache
//! servers lives, they listen, answer and say that they are ready.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

/// A restarted process has to be ready within this; nine in ten would do.
const READY: Duration = Duration::from_secs(10);

/// What a process meets where discovery should be.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Meets {
    /// Nobody listens there.
    Down,
    /// Calls are taken and not answered.
    Silent,
    Answer(&'static str),
    /// A 503 and the end.
    TurnedAway,
    /// The connection is reset.
    Reset,
    /// A list with no server.
    Empty,
}

const ALL: [Meets; 8] = [
    Meets::Down,
    Meets::Silent,
    Meets::Answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"rev\":41"),
    Meets::Answer("\u{1}\u{2}noise"),
    Meets::Answer("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\":42,\"all\":true,"),
    Meets::TurnedAway,
    Meets::Reset,
    Meets::Empty,
];

/// A discovery for one process, as long as the test runs.
fn discovery(meets: Meets) -> SocketAddr {
    let listener = listener();
    if meets == Meets::Down {
        return close(listener);
    }
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut held = Vec::new();
        while let Ok((stream, _)) = listener.accept() {
            let mut peer = Peer::new(stream);
            if meets == Meets::Silent {
                held.push(peer);
                continue;
            }
            if meets == Meets::Reset {
                peer.reset();
                continue;
            }
            peer.until(b"\r\n\r\n");
            match meets {
                Meets::Answer(text) => {
                    let _ = peer.stream.write_all(text.as_bytes());
                }
                Meets::TurnedAway => {
                    let _ = peer.stream.write_all(
                        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
                    );
                }
                _ => peer.answer_http(&list(42, true, &[])),
            }
            peer.close();
        }
    });
    address
}

fn ready(ops: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(ops) else {
        return false;
    };
    let mut caller = Peer::new(stream);
    caller.send("GET /api/ready HTTP/1.1\r\nHost: n1\r\n\r\n");
    caller.end().starts_with("HTTP/1.1 200 ")
}

/// Waits until a process says that it is ready; whether that was in time.
fn ready_in_time(ops: SocketAddr, begun: Instant) -> bool {
    while !ready(ops) {
        if begun.elapsed() > PATIENCE {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    begun.elapsed() < READY
}

/// Settings of a site that asks, or of one where lists are pushed.
fn settings_of(asks: bool) -> Value {
    let mut set = settings();
    if asks {
        set["discovery"] = json!("ask");
    }
    set
}

#[test]
fn processes_that_are_killed_and_start_again_at_once_are_ready_whatever_discovery_does() {
    // The list that they know names nothing but dead servers.
    let dead = close(listener());
    let known = |uid: &str| {
        json!({"uid": uid, "endpoint": dead.to_string(), "az": "a", "model": "m", "pod_group": 0,
               "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0})
    };
    let targets = [known("s-1"), known("s-2")];
    let late = std::thread::scope(|scope| {
        let one = |n: usize| {
            let (targets, meets) = (&targets, ALL[n % ALL.len()]);
            move || {
                let (address, ops) = (close(listener()), close(listener()));
                let start = || {
                    Node::start(
                        settings_of((n / ALL.len()).is_multiple_of(2)),
                        targets,
                        |config| {
                            config["listen"] = json!(address.to_string());
                            config["ops"] = json!(ops.to_string());
                            config["discovery"] = json!(discovery(meets).to_string());
                        },
                    )
                };
                let first = start();
                assert!(ready_in_time(ops, Instant::now()), "{meets:?}");
                // Killed with connections open: those hold its addresses, and it starts there again.
                let mut client = first.client();
                client.send(command(&[b"PING"]));
                assert_eq!(client.line(), "+PONG");
                drop(first);
                let begun = Instant::now();
                let second = start();
                let in_time = ready_in_time(ops, begun);
                let mut client = second.client();
                client.send(command(&[b"PING"]));
                assert_eq!(client.line(), "+PONG", "{meets:?}");
                (!in_time).then_some(meets)
            }
        };
        let all: Vec<_> = (0..64).map(|n| scope.spawn(one(n))).collect();
        all.into_iter()
            .filter_map(|one| one.join().unwrap())
            .collect::<Vec<Meets>>()
    });
    assert!(late.is_empty(), "late: {late:?}");
}

/// The process before still holds the listener and owes an answer when the next one starts.
#[test]
fn a_process_waits_for_the_address_that_the_one_before_is_about_to_leave() {
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let server = listener();
                let (address, ops) = (close(listener()), close(listener()));
                let start = |edit: &dyn Fn(&mut Value)| {
                    Node::start(settings(), &[target("s-1", &server)], |config| {
                        config["listen"] = json!(address.to_string());
                        edit(config);
                    })
                };
                let mut first = start(&|_| {});
                let mut client = first.client();
                client.get("r1");
                let mut conn = accept(&server);
                assert_eq!(conn.command()[2], "r1");
                first.signal("TERM");
                let begun = Instant::now();
                let second = start(&|config| config["ops"] = json!(ops.to_string()));
                assert!(ready_in_time(ops, begun));
                conn.send(served(b"one"));
                assert_eq!(client.bulk(), b"one");
                assert!(first.wait().success());
                let mut next = second.client();
                exchange(&mut next, &server, "r2");
            });
        }
    });
}

/// An address that stays taken ends the process, with the reason.
#[test]
fn an_address_that_stays_taken_is_told() {
    let held = listener();
    let discovery = listener();
    let config = json!({
        "name": "n1", "listen": held.local_addr().unwrap().to_string(),
        "discovery": discovery.local_addr().unwrap().to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": list(41, true, &[]), "settings": settings(),
    });
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), config.to_string()).unwrap();
    let out = program()
        .env("BALANCER_CONFIG", file.path())
        .output()
        .unwrap();
    let text = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(text.contains("Address already in use"), "{text}");
}
