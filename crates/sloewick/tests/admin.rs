//! The admin interface of the built node: requests, metrics, evacuation and rejoin.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use support::*;

#[test]
fn admin_requests_are_served_and_invalid_ones_are_reported() {
    let server = listener();
    let (_node, admin) = Node::with_admin(&server);
    assert!(is_ready(admin));
    assert_eq!(admin_request(admin, "GET", "/api/evacuate").0, 405);
    assert_eq!(admin_request(admin, "GET", "/api/nothing").0, 404);
    assert_eq!(
        admin_request(admin, "GET", "/").1,
        "no such call; there are /api/ready, /api/telemetry, /api/evacuate, /api/rejoin\n"
    );
    let mut malformed = TcpStream::connect(admin).unwrap();
    malformed.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    let mut text = String::new();
    malformed.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
    let mut long = TcpStream::connect(admin).unwrap();
    let _ = long.write_all(format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(20_000)).as_bytes());
    let mut text = String::new();
    let _ = long.read_to_string(&mut text);
    assert!(text.starts_with("HTTP/1.1 431 "), "{text}");
}

#[test]
fn unfinished_admin_requests_block_nobody_and_are_closed() {
    let server = listener();
    let (_node, admin) = Node::with_admin(&server);
    let mut unfinished: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(admin).unwrap())
        .collect();
    for stream in &mut unfinished {
        let _ = stream.write_all(b"GET /api/rea");
    }
    assert!(is_ready(admin));
    for mut stream in unfinished {
        // Closed by the node, whether to free a slot or by timeout.
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        let mut remaining = Vec::new();
        let _ = stream.read_to_end(&mut remaining);
        assert!(remaining.is_empty());
    }
}

#[test]
fn metrics_count_each_response_and_attempt_once() {
    let server = listener();
    let (node, admin) = Node::with_admin(&server);
    let text = admin_request(admin, "GET", "/api/telemetry").1;
    let zeros = "answered.read=0\ndeferred.read=0\nerrored.read=0\nanswered.once=0\ndeferred.once=0\n\
                 errored.once=0\nsends=0\ncurrent=0\ncluster_size=1\ncluster_unhealthy=0\ncluster_outliers=0\n\
                 origin_jam=0\n";
    assert_eq!(text, zeros);
    let mut client = node.client();
    let mut conns = vec![exchange(&mut client, &server, "r1")];
    client.send_get("r2");
    let conn = next_readable(&mut conns, &server);
    assert_eq!(conn.read_command()[2], "r2");
    wait_until("the request counts as held", || {
        metric(admin, "current") == 1
    });
    conn.send("-ERR failed\r\n");
    assert_eq!(client.read_line(), FAILED);
    client.send_get("r3");
    let conn = next_readable(&mut conns, &server);
    assert_eq!(conn.read_command()[2], "r3");
    conn.send("-BUSY\r\n");
    assert_eq!(client.read_line(), BUSY);
    let name = |name: &str| metric(admin, name);
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
    let conn_of = close_listener(server);
    client.send_get("r4");
    drop(conns);
    client.read_line();
    client.send_get("r5");
    client.read_line();
    wait_until(&format!("{conn_of} is avoided"), || {
        metric(admin, "cluster_unhealthy") == 1
    });
    assert_eq!(metric(admin, "cluster_size"), 1);
}

/// All slots for admin clients are taken by silent ones; metrics are requested all the same, twice a second.
#[test]
fn metrics_are_served_while_all_admin_connections_hang() {
    let server = listener();
    let (node, admin) = Node::with_admin(&server);
    let mut client = node.client();
    let _conn = exchange(&mut client, &server, "r1");
    let begun = Instant::now();
    for _ in 0..4 {
        let hang: Vec<TcpStream> = (0..16)
            .map(|_| TcpStream::connect(admin).unwrap())
            .collect();
        for mut stream in &hang {
            let _ = stream.write_all(b"GET /api/telemetry HTTP/1.1\r\n");
        }
        assert_eq!(metric(admin, "answered.once"), 1);
        std::thread::sleep(Duration::from_millis(500));
        drop(hang);
    }
    assert!(begun.elapsed() < WAIT_LIMIT);
}

#[test]
fn evacuated_node_is_not_ready_closes_its_clients_and_rejoins() {
    let server = listener();
    let (node, admin) = Node::with_admin(&server);
    let mut used = node.client();
    exchange(&mut used, &server, "r1").close();
    let mut held = node.client();
    held.send_get("r2");
    let mut slow = accept(&server);
    assert_eq!(slow.read_command()[2], "r2");
    let mut idle = node.client();
    let begun = Instant::now();
    assert_eq!(admin_request(admin, "POST", "/api/evacuate").0, 200);
    assert!(!is_ready(admin));
    // A load balancer's PING is rejected, and requests on new connections are still served.
    let mut front = node.client();
    front.send(command(&[b"PING"]));
    assert_eq!(front.read_line(), "-ERR leaving");
    assert_eq!(
        front.read_to_end(),
        "",
        "the connection ends behind the answer"
    );
    exchange(&mut used, &server, "r3");
    assert_eq!(used.read_to_end(), "");
    let lasted = begun.elapsed();
    assert!(
        lasted < Duration::from_millis(1500),
        "behind the answer, not by time: {lasted:?}"
    );
    assert_eq!(idle.read_to_end(), "");
    assert!(
        begun.elapsed() > Duration::from_millis(1500),
        "its client had time to write"
    );
    // Pending responses are still sent.
    slow.send(hit_reply(b"two"));
    assert_eq!(held.read_bulk(), b"two");
    assert_eq!(held.read_to_end(), "");
    assert_eq!(admin_request(admin, "POST", "/api/rejoin").0, 200);
    assert!(is_ready(admin));
    let mut back = node.client();
    back.send(command(&[b"PING"]));
    assert_eq!(back.read_line(), "+PONG");
    back.send_get("r4");
    let mut conns = vec![slow];
    let conn = next_readable(&mut conns, &server);
    assert_eq!(conn.read_command()[2], "r4");
    conn.send(hit_reply(b"four"));
    assert_eq!(back.read_bulk(), b"four");
}

#[test]
fn node_serves_after_twenty_evacuations_each_followed_by_a_rejoin() {
    let server = listener();
    let (node, admin) = Node::with_admin(&server);
    let mut first = node.client();
    let mut conns = vec![exchange(&mut first, &server, "r0")];
    drop(first);
    for round in 0..20 {
        let mut held = node.client();
        held.send_get(&format!("held-{round}"));
        let conn = next_readable(&mut conns, &server);
        assert_eq!(conn.read_command()[2], format!("held-{round}"));
        assert_eq!(admin_request(admin, "POST", "/api/evacuate").0, 200);
        std::thread::sleep(Duration::from_millis(10));
        assert_eq!(admin_request(admin, "POST", "/api/rejoin").0, 200);
        assert!(is_ready(admin), "round {round}");
        // The request that was in flight is served on a connection that stays open.
        conn.send(hit_reply(b"held"));
        assert_eq!(held.read_bulk(), b"held");
        held.send(command(&[b"PING"]));
        assert_eq!(held.read_line(), "+PONG", "round {round}");
    }
    assert_eq!(
        (metric(admin, "answered.once"), metric(admin, "current")),
        (21, 0)
    );
}

#[test]
fn shutdown_during_an_evacuation_completes_requests_in_flight() {
    let server = listener();
    let (mut node, admin) = Node::with_admin(&server);
    let mut held = node.client();
    held.send_get("r1");
    let mut conn = accept_request(&server, "r1");
    assert_eq!(admin_request(admin, "POST", "/api/evacuate").0, 200);
    node.signal("TERM");
    wait_until("the stop has begun", || {
        admin_request(admin, "POST", "/api/evacuate").0 == 409
    });
    assert_eq!(admin_request(admin, "POST", "/api/rejoin").0, 409);
    conn.send(hit_reply(b"one"));
    assert_eq!(held.read_bulk(), b"one");
    assert_eq!(held.read_to_end(), "");
    assert!(node.wait().success());
}

/// A value that its client reads slowly arrives complete, and the connection ends behind it.
#[test]
fn long_value_in_transfer_during_an_evacuation_arrives_complete() {
    let server = listener();
    let (node, admin) = Node::with_admin(&server);
    let value: Vec<u8> = (0..4 << 20)
        .map(|i: u32| (i.wrapping_mul(2_654_435_761) >> 24) as u8)
        .collect();
    let mut client = node.client();
    client.send_get("r1");
    let mut conn = accept_request(&server, "r1");
    let sending = std::thread::spawn({
        let value = value.clone();
        // More than the node and the kernel take for a client that does not read.
        move || (conn.send(hit_reply(&value)), conn)
    });
    assert_eq!(client.read_line(), format!("${}", value.len()));
    assert_eq!(admin_request(admin, "POST", "/api/evacuate").0, 200);
    assert_eq!(metric(admin, "current"), 1);
    // An idle client is closed meanwhile; the slow reader is not.
    let mut idle = node.client();
    assert_eq!(idle.read_to_end(), "");
    assert_eq!(metric(admin, "current"), 1);
    let mut got = Vec::new();
    while got.len() < value.len() + 2 {
        got.extend(client.read_available());
    }
    assert!(
        got[..value.len()] == value && got[value.len()..] == *b"\r\n",
        "the value is not what was sent"
    );
    assert_eq!(client.read_to_end(), "", "the connection ends behind it");
    sending.join().unwrap();
    wait_until("nothing is held", || metric(admin, "current") == 0);
    assert_eq!(metric(admin, "answered.once"), 1);
}
