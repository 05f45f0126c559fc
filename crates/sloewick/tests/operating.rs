//! Operating the built node over loopback: calls, figures, draining, and a second process beside the first.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;
use support::*;

/// A node with an address for operators, and that address.
fn node(server: &TcpListener) -> (Node, SocketAddr) {
    let ops = close(listener());
    let edit = |config: &mut serde_json::Value| config["ops"] = json!(ops.to_string());
    (Node::start(settings(), &[target("s-1", server)], edit), ops)
}

/// The program with the clients' socket as descriptor 3, as the platform starts it at upgrades.
fn heir(socket: &TcpListener) -> Command {
    let mut shell = Command::new("/bin/sh");
    let program = env!("CARGO_BIN_EXE_sloewick");
    shell.args(["-c", &format!("exec 3<&0 </dev/null; exec {program} run")]);
    shell.stdin(Stdio::from(std::os::fd::OwnedFd::from(
        socket.try_clone().unwrap(),
    )));
    shell.env("BALANCER_ACCEPT_FD", "3");
    shell
}

/// A call's status and text.
fn call(ops: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let begun = Instant::now();
    let mut stream = loop {
        match TcpStream::connect(ops) {
            Ok(stream) => break stream,
            Err(_) => std::thread::sleep(Duration::from_millis(2)),
        }
        assert!(begun.elapsed() < PATIENCE, "nobody takes calls");
    };
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
        .write_all(format!("{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes())
        .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    (
        head.split(' ').nth(1).unwrap().parse().unwrap(),
        body.to_string(),
    )
}

fn ready(ops: SocketAddr) -> bool {
    call(ops, "GET", "/api/ready").0 == 200
}

/// Whether a process that was told to stop says so, or has ended, at any moment of the call.
fn stops(ops: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(ops) else {
        return true;
    };
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut text = String::new();
    let _ = stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: n\r\n\r\n");
    let _ = stream.read_to_string(&mut text);
    !text.starts_with("HTTP/1.1 200 ")
}

fn figure(ops: SocketAddr, name: &str) -> u64 {
    let text = call(ops, "GET", "/api/telemetry").1;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name}=")));
    line.unwrap_or_else(|| panic!("{name} in {text}"))
        .parse()
        .unwrap()
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn calls_are_answered_and_what_is_none_is_told() {
    let server = listener();
    let (_node, ops) = node(&server);
    assert!(ready(ops));
    assert_eq!(call(ops, "GET", "/api/evacuate").0, 405);
    assert_eq!(call(ops, "GET", "/api/nothing").0, 404);
    assert_eq!(
        call(ops, "GET", "/").1,
        "no such call; there are /api/ready, /api/telemetry, /api/evacuate, /api/rejoin\n"
    );
    let mut odd = TcpStream::connect(ops).unwrap();
    odd.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    let mut text = String::new();
    odd.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
    let mut long = TcpStream::connect(ops).unwrap();
    let _ = long.write_all(format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(20_000)).as_bytes());
    let mut text = String::new();
    let _ = long.read_to_string(&mut text);
    assert!(text.starts_with("HTTP/1.1 431 "), "{text}");
}

#[test]
fn callers_that_do_not_finish_keep_nobody_waiting_and_are_ended() {
    let server = listener();
    let (_node, ops) = node(&server);
    let mut rude: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(ops).unwrap()).collect();
    for stream in &mut rude {
        let _ = stream.write_all(b"GET /api/rea");
    }
    assert!(ready(ops));
    for mut stream in rude {
        // Ended by the node, whether to make room or because its time is over.
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.is_empty());
    }
}

#[test]
fn figures_count_each_answer_and_attempt_once() {
    let server = listener();
    let (node, ops) = node(&server);
    let text = call(ops, "GET", "/api/telemetry").1;
    let zeros = "answered.read=0\ndeferred.read=0\nerrored.read=0\nanswered.once=0\ndeferred.once=0\n\
                 errored.once=0\nsends=0\ncurrent=0\ncluster_size=1\ncluster_unhealthy=0\ncluster_outliers=0\n\
                 origin_jam=0\n";
    assert_eq!(text, zeros);
    let mut client = node.client();
    let mut conns = vec![exchange(&mut client, &server, "r1")];
    client.get("r2");
    let conn = any(&mut conns, &server);
    assert_eq!(conn.command()[2], "r2");
    until("the request counts as held", || figure(ops, "current") == 1);
    conn.send("-ERR failed\r\n");
    assert_eq!(client.line(), "-ERR failed");
    client.get("r3");
    let conn = any(&mut conns, &server);
    assert_eq!(conn.command()[2], "r3");
    conn.send("-BUSY\r\n");
    assert_eq!(client.line(), "-BUSY");
    let name = |name: &str| figure(ops, name);
    assert_eq!(
        (
            name("answered.once"),
            name("errored.once"),
            name("deferred.once")
        ),
        (1, 1, 1)
    );
    assert_eq!(
        (name("sends"), name("current"), name("answered.read")),
        (3, 0, 0)
    );
    // A server that takes no connections is avoided.
    let conn_of = close(server);
    client.get("r4");
    drop(conns);
    client.line();
    client.get("r5");
    client.line();
    until(&format!("{conn_of} is avoided"), || {
        figure(ops, "cluster_unhealthy") == 1
    });
    assert_eq!(figure(ops, "cluster_size"), 1);
}

#[test]
fn an_evacuated_node_says_no_lets_its_clients_go_and_comes_back() {
    let server = listener();
    let (node, ops) = node(&server);
    let mut used = node.client();
    exchange(&mut used, &server, "r1").close();
    let mut held = node.client();
    held.get("r2");
    let mut slow = accept(&server);
    assert_eq!(slow.command()[2], "r2");
    let mut idle = node.client();
    let begun = Instant::now();
    assert_eq!(call(ops, "POST", "/api/evacuate").0, 200);
    assert!(!ready(ops));
    // A front that asks hears no, and new connections are served still.
    let mut front = node.client();
    front.send(command(&[b"PING"]));
    assert_eq!(front.line(), "-ERR leaving");
    assert_eq!(front.end(), "", "the connection ends behind the answer");
    exchange(&mut used, &server, "r3");
    assert_eq!(used.end(), "");
    let lasted = begun.elapsed();
    assert!(
        lasted < Duration::from_millis(1500),
        "behind the answer, not by time: {lasted:?}"
    );
    assert_eq!(idle.end(), "");
    assert!(
        begun.elapsed() > Duration::from_millis(1500),
        "its client had time to write"
    );
    // What is owed is still answered.
    slow.send(served(b"two"));
    assert_eq!(held.bulk(), b"two");
    assert_eq!(held.end(), "");
    assert_eq!(call(ops, "POST", "/api/rejoin").0, 200);
    assert!(ready(ops));
    let mut back = node.client();
    back.send(command(&[b"PING"]));
    assert_eq!(back.line(), "+PONG");
    back.get("r4");
    let mut conns = vec![slow];
    let conn = any(&mut conns, &server);
    assert_eq!(conn.command()[2], "r4");
    conn.send(served(b"four"));
    assert_eq!(back.bulk(), b"four");
}

#[test]
fn a_rejoin_right_after_each_of_twenty_evacuations_leaves_a_node_that_serves() {
    let server = listener();
    let (node, ops) = node(&server);
    let mut first = node.client();
    let mut conns = vec![exchange(&mut first, &server, "r0")];
    drop(first);
    for round in 0..20 {
        let mut held = node.client();
        held.get(&format!("held-{round}"));
        let conn = any(&mut conns, &server);
        assert_eq!(conn.command()[2], format!("held-{round}"));
        assert_eq!(call(ops, "POST", "/api/evacuate").0, 200);
        std::thread::sleep(Duration::from_millis(10));
        assert_eq!(call(ops, "POST", "/api/rejoin").0, 200);
        assert!(ready(ops), "round {round}");
        // What was out meanwhile is answered on a connection that stays.
        conn.send(served(b"held"));
        assert_eq!(held.bulk(), b"held");
        held.send(command(&[b"PING"]));
        assert_eq!(held.line(), "+PONG", "round {round}");
    }
    assert_eq!(
        (figure(ops, "answered.once"), figure(ops, "current")),
        (21, 0)
    );
}

#[test]
fn a_stop_during_an_evacuation_answers_what_is_held_and_ends() {
    let server = listener();
    let (mut node, ops) = node(&server);
    let mut held = node.client();
    held.get("r1");
    let mut conn = accept(&server);
    assert_eq!(conn.command()[2], "r1");
    assert_eq!(call(ops, "POST", "/api/evacuate").0, 200);
    node.signal("TERM");
    until("the stop has begun", || {
        call(ops, "POST", "/api/evacuate").0 == 409
    });
    assert_eq!(call(ops, "POST", "/api/rejoin").0, 409);
    conn.send(served(b"one"));
    assert_eq!(held.bulk(), b"one");
    assert_eq!(held.end(), "");
    assert!(node.wait().success());
}

#[test]
fn a_second_process_takes_over_the_inherited_socket_and_loses_nothing() {
    let server = listener();
    let socket = listener();
    let address = socket.local_addr().unwrap();
    let mut nodes = Vec::new();
    let mut all_ops = Vec::new();
    for _ in 0..2 {
        let ops = close(listener());
        let mut set = settings();
        set["classes"][0]["deadline"] = json!(2000.0);
        set["classes"][1]["deadline"] = json!(2000.0);
        let edit = |config: &mut serde_json::Value| {
            config["listen"] = json!(address.to_string());
            config["ops"] = json!(ops.to_string());
        };
        let node = Node::start_by(heir(&socket), set, &[target("s-1", &server)], edit);
        // Its list from discovery makes it ready; the one it was started with alone does not, yet.
        assert!(!ready(ops));
        node.call()
            .1
            .answer_http(&list(42, true, &[target("s-1", &server)]));
        until("the process is ready", || ready(ops));
        nodes.push(node);
        all_ops.push(ops);
        if nodes.len() == 1 {
            // The first one is alone so far: this client is its own.
            let mut client = Peer::new(TcpStream::connect(address).unwrap());
            let conn = exchange(&mut client, &server, "r1");
            drop((client, conn));
        }
    }
    let mut old = nodes.remove(0);
    let mut kept: Vec<Peer> = (0..8)
        .map(|_| Peer::new(TcpStream::connect(address).unwrap()))
        .collect();
    until("all are accepted", || {
        figure(all_ops[0], "answered.once") == 1
    });
    old.signal("TERM");
    until("the old one says no", || stops(all_ops[0]));
    // Old connections are served, whichever process has them, and so are new ones, by the new process.
    for (i, client) in kept.iter_mut().enumerate() {
        exchange(client, &server, &format!("kept-{i}")).close();
    }
    assert!(
        old.wait().success(),
        "it ends once its clients have been let go"
    );
    for i in 0..8 {
        let mut client = Peer::new(TcpStream::connect(address).unwrap());
        exchange(&mut client, &server, &format!("new-{i}")).close();
    }
    assert!(figure(all_ops[1], "answered.once") >= 8);
    assert!(ready(all_ops[1]));
}

#[test]
fn a_descriptor_or_an_address_that_can_not_be_used_is_told() {
    let run = |name: &str, value: &str| {
        let node = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/node.json");
        let out = program()
            .env("BALANCER_CONFIG", node)
            .env(name, value)
            .output()
            .unwrap();
        assert_eq!(out.status.code(), Some(2), "{name}={value}");
        String::from_utf8(out.stderr).unwrap()
    };
    assert!(run("BALANCER_ACCEPT_FD", "three").contains("\"three\" is no descriptor above 2"));
    assert!(run("BALANCER_ACCEPT_FD", "1").contains("is no descriptor above 2"));
    assert!(
        run("BALANCER_ACCEPT_FD", "987").contains("inherited descriptor 987: Bad file descriptor")
    );
    assert!(run("BALANCER_OPS", "here").contains("\"here\" is no address and port"));
}

/// What the first process learns is there for the next one, and what is no snapshot of this node is thrown away.
#[test]
fn a_second_process_takes_up_what_the_first_one_kept_and_nothing_that_is_spoilt() {
    let server = listener();
    let socket = listener();
    let folder = tempfile::tempdir().unwrap();
    let kept = folder.path().join("sloewick-handover");
    let start = || {
        let mut command = heir(&socket);
        command.env("TMPDIR", folder.path()).stderr(Stdio::piped());
        let edit = |config: &mut serde_json::Value| {
            config["listen"] = json!(socket.local_addr().unwrap().to_string());
        };
        let node = Node::start_by(command, settings(), &[target("s-1", &server)], edit);
        node.call()
            .1
            .answer_http(&list(42, true, &[target("s-1", &server)]));
        node
    };
    let mut first = start();
    until("the first one keeps what it knows", || kept.exists());
    let snapshot = std::fs::read(&kept).unwrap();
    assert!(snapshot.len() < 64 << 10, "{} bytes", snapshot.len());
    let said = start().last_words();
    assert!(
        said.contains("handover: 1 servers, 0 positions, "),
        "{said}"
    );
    let said = first.last_words();
    assert!(
        !said.contains("handover"),
        "the first one found nothing and could keep all: {said}"
    );
    // Nobody writes any more: what lies there is what was put there.
    let half = &snapshot[..snapshot.len() / 2];
    for (bytes, why) in [
        (half, "is torn"),
        (&b"{}"[..], "is no snapshot"),
        (&snapshot[..0], "is torn"),
    ] {
        std::fs::write(&kept, bytes).unwrap();
        let said = start().last_words();
        assert!(
            said.contains(&format!("handover: not taken up: {why}\n")),
            "{said}"
        );
    }
}

/// A value that its client reads slowly goes through whole, and the connection ends behind it.
#[test]
fn a_long_value_half_way_through_an_evacuation_arrives_whole() {
    let server = listener();
    let (node, ops) = node(&server);
    let value: Vec<u8> = (0..4 << 20)
        .map(|i: u32| (i.wrapping_mul(2_654_435_761) >> 24) as u8)
        .collect();
    let mut client = node.client();
    client.get("r1");
    let mut conn = accept(&server);
    assert_eq!(conn.command()[2], "r1");
    let sending = std::thread::spawn({
        let value = value.clone();
        // More than the node and the kernel take for a client that does not read.
        move || (conn.send(served(&value)), conn)
    });
    assert_eq!(client.line(), format!("${}", value.len()));
    assert_eq!(call(ops, "POST", "/api/evacuate").0, 200);
    assert_eq!(figure(ops, "current"), 1);
    // An idle client is let go meanwhile; the slow reader is not.
    let mut idle = node.client();
    assert_eq!(idle.end(), "");
    assert_eq!(figure(ops, "current"), 1);
    let mut got = Vec::new();
    while got.len() < value.len() + 2 {
        got.extend(client.some());
    }
    assert!(
        got[..value.len()] == value && got[value.len()..] == *b"\r\n",
        "the value is not what was sent"
    );
    assert_eq!(client.end(), "", "the connection ends behind it");
    sending.join().unwrap();
    until("nothing is held", || figure(ops, "current") == 0);
    assert_eq!(figure(ops, "answered.once"), 1);
}

/// A process of the node that inherits its clients' socket, and its operators' address.
fn beside(socket: &TcpListener, server: &TcpListener) -> (Node, SocketAddr) {
    let ops = close(listener());
    let edit = |config: &mut serde_json::Value| {
        config["listen"] = json!(socket.local_addr().unwrap().to_string());
        config["ops"] = json!(ops.to_string());
    };
    (
        Node::start_by(heir(socket), settings(), &[target("s-1", server)], edit),
        ops,
    )
}

fn told(node: &Node, ops: SocketAddr, server: &TcpListener) {
    node.call()
        .1
        .answer_http(&list(42, true, &[target("s-1", server)]));
    until("the process is ready", || ready(ops));
}

/// Requests on connections of their own, which whichever process accepts them has to answer.
fn serves(socket: &TcpListener, server: &TcpListener, ids: &str) {
    for i in 0..6 {
        let mut client = Peer::new(TcpStream::connect(socket.local_addr().unwrap()).unwrap());
        exchange(&mut client, server, &format!("{ids}-{i}")).close();
    }
}

#[test]
fn a_new_process_that_never_becomes_ready_or_is_killed_leaves_the_old_one_serving() {
    let (server, socket) = (listener(), listener());
    let (old, old_ops) = beside(&socket, &server);
    told(&old, old_ops, &server);
    // Discovery takes its call and does not answer: it is not ready, and it serves what it accepts all the same.
    let (new, new_ops) = beside(&socket, &server);
    let _unanswered = new.call();
    assert!(!ready(new_ops));
    serves(&socket, &server, "beside");
    drop(new);
    assert!(ready(old_ops));
    serves(&socket, &server, "alone");
    assert!(ready(old_ops));
}

/// What the old process has taken is answered whatever becomes of the new one.
#[test]
fn a_new_process_that_dies_when_the_old_one_stops_costs_no_request_that_was_taken() {
    let (server, socket) = (listener(), listener());
    let (mut old, old_ops) = beside(&socket, &server);
    told(&old, old_ops, &server);
    let mut held: Vec<Peer> = (0..4).map(|_| old.client()).collect();
    let mut conns: Vec<(String, Peer)> = Vec::new();
    for (i, client) in held.iter_mut().enumerate() {
        client.get(&format!("held-{i}"));
        let mut conn = accept(&server);
        conns.push((conn.command()[2].clone(), conn));
    }
    let (new, new_ops) = beside(&socket, &server);
    told(&new, new_ops, &server);
    old.signal("TERM");
    until("the old one stops", || stops(old_ops));
    drop(new);
    for (id, conn) in &mut conns {
        conn.send(served(id.as_bytes()));
    }
    for (i, client) in held.iter_mut().enumerate() {
        assert_eq!(client.bulk(), format!("held-{i}").into_bytes());
        assert_eq!(client.end(), "");
    }
    assert!(old.wait().success());
    // A third one finds the clients' socket as it was.
    let (third, third_ops) = beside(&socket, &server);
    told(&third, third_ops, &server);
    serves(&socket, &server, "third");
}

#[test]
fn a_second_upgrade_during_the_first_leaves_one_process_and_loses_nothing() {
    let (server, socket) = (listener(), listener());
    let (mut first, first_ops) = beside(&socket, &server);
    told(&first, first_ops, &server);
    let mut held = first.client();
    held.get("held");
    let mut conn = accept(&server);
    assert_eq!(conn.command()[2], "held");
    let (mut second, second_ops) = beside(&socket, &server);
    told(&second, second_ops, &server);
    first.signal("TERM");
    let (third, third_ops) = beside(&socket, &server);
    told(&third, third_ops, &server);
    second.signal("TERM");
    conn.send(served(b"held"));
    assert_eq!(
        held.bulk(),
        b"held",
        "the first one still answers what it has taken"
    );
    assert!(first.wait().success() && second.wait().success());
    serves(&socket, &server, "third");
    assert!(ready(third_ops));
    assert_eq!(figure(third_ops, "answered.once"), 6);
}

/// All places for callers are taken by some that say nothing; figures are asked for all the same, twice a second.
#[test]
fn figures_are_told_while_every_place_for_callers_hangs() {
    let server = listener();
    let (node, ops) = node(&server);
    let mut client = node.client();
    let _conn = exchange(&mut client, &server, "r1");
    let begun = Instant::now();
    for _ in 0..4 {
        let hang: Vec<TcpStream> = (0..16).map(|_| TcpStream::connect(ops).unwrap()).collect();
        for mut stream in &hang {
            let _ = stream.write_all(b"GET /api/telemetry HTTP/1.1\r\n");
        }
        assert_eq!(figure(ops, "answered.once"), 1);
        std::thread::sleep(Duration::from_millis(500));
        drop(hang);
    }
    assert!(begun.elapsed() < PATIENCE);
}
