//! Client connections: invalid commands, and limits on slots, memory and time.

mod support;

use std::time::{Duration, Instant};

use support::*;

/// Number of other clients, whose commands the node reads first: more than it reads in one iteration of its event loop.
const OTHER_CLIENTS: usize = 280;

#[test]
fn invalid_commands_are_reported_and_the_connection_stays_open() {
    let server = listener();
    let node = Node::with_server(&server);
    let mut client = node.client();
    let cases: [&[&[u8]]; 8] = [
        &[b"FLUSHALL"],
        &[b"C.GET", b"k"],
        &[b"C.GET", b"k", b"id", b"d=100"],
        &[b"C.GET", b"k", b"id", b"c=nothing,d=100"],
        &[b"C.GET", b"k", b"id", b"c=read"],
        &[b"C.GET", b"k", b"id", b"c=read,d=-1"],
        &[b"C.GET", b"k", b"id", b"c=read,d=nan"],
        &[b"C.GET", b"\xff", b"id", b"c=read,d=100"],
    ];
    for words in cases {
        client.send(command(words));
        assert!(client.read_line().starts_with("-ERR "), "{words:?}");
    }
    client.send(command(&[b"PING"]));
    assert_eq!(client.read_line(), "+PONG");
}

#[test]
fn protocol_error_is_reported_after_pending_replies_and_closes_the_connection() {
    let server = listener();
    let node = Node::with_server(&server);
    let mut client = node.client();
    client.send_get("r1");
    // More bytes follow than the node reads before it closes the connection. A close with unread input would reset the
    // connection, and the replies would be lost.
    client.send([&b"*1\r\n$99999999999\r\n"[..], &[b'x'; 200_000]].concat());
    let mut conn = accept_request(&server, "r1");
    conn.send(hit_reply(b"one"));
    assert_eq!(client.read_bulk(), b"one");
    assert!(client.read_line().starts_with("-ERR protocol"));
    assert_eq!(
        (client.read_to_end().as_str(), client.was_reset),
        ("", false)
    );
}

#[test]
fn idle_clients_are_evicted_for_new_ones() {
    let server = listener();
    let node = Node::before(&server).set("/limits/sockets", 64).start();
    let mut clients: Vec<Peer> = (0..80).map(|_| node.client()).collect();
    let last = clients.last_mut().unwrap();
    last.send(command(&[b"PING"]));
    assert_eq!(last.read_line(), "+PONG");
}

#[test]
fn values_over_the_memory_limit_are_rejected_until_memory_is_released() {
    let server = listener();
    let node = Node::before(&server).set("/limits/memory_mb", 32).start();
    let value = vec![b'v'; 3 << 20];
    let set = |id: &[u8]| command(&[b"C.SET", b"k1", id, b"c=once,d=20000", &value]);
    // The announced length of the first value counts against the limit before its bytes have arrived.
    let (mut first, mut second) = (node.client(), node.client());
    let first_set = set(b"r1");
    first.send([&command(&[b"PING"])[..], &first_set[..1000]].concat());
    assert_eq!(first.read_line(), "+PONG");
    for _ in 0..20 {
        second.send(set(b"r2"));
        assert_eq!(second.read_line(), BUSY);
    }
    assert!(node.memory_mb() < 32, "{} MB", node.memory_mb());
    first.send(&first_set[1000..]);
    let mut conn = accept_request(&server, "r1");
    conn.send(hit_reply(b"one"));
    assert_eq!(first.read_bulk(), b"one");
    second.send(set(b"r3"));
    let mut conns = vec![conn];
    assert_eq!(next_readable(&mut conns, &server).read_command()[2], "r3");
}

#[test]
fn accepting_resumes_when_descriptors_are_free_again() {
    let server = listener();
    let node = Node::before(&server)
        .command(program_with_descriptor_limit(32))
        .start();
    let clients: Vec<Peer> = (0..60).map(|_| node.client()).collect();
    let mut last = node.client();
    drop(clients);
    last.send(command(&[b"PING"]));
    assert_eq!(last.read_line(), "+PONG");
}

#[test]
fn connection_with_an_incomplete_command_gets_an_error_and_is_closed() {
    let server = listener();
    let node = Node::with_server(&server);
    let mut client = node.client();
    let started = Instant::now();
    client.send("*4\r\n$5\r\nC.G");
    let reply = client.read_to_end();
    assert!(
        reply.starts_with("-ERR protocol: ") && reply.ends_with("\r\n"),
        "{reply:?}"
    );
    // The error is due within 3 s of connecting.
    assert!(
        started.elapsed() < Duration::from_secs(6),
        "{:?}",
        started.elapsed()
    );
}

#[test]
fn silent_client_is_closed_and_one_that_sent_a_command_stays_connected() {
    let server = listener();
    let node = Node::with_server(&server);
    let mut active = node.client();
    active.send(command(&[b"PING"]));
    assert_eq!(active.read_line(), "+PONG");
    let started = Instant::now();
    assert_eq!(node.client().read_to_end(), "");
    assert!(
        started.elapsed() < Duration::from_secs(6),
        "{:?}",
        started.elapsed()
    );
    active.send(command(&[b"PING"]));
    assert_eq!(active.read_line(), "+PONG");
}

#[test]
fn client_with_an_unread_command_is_not_evicted() {
    let server = listener();
    let node = Node::before(&server).set("/limits/sockets", 664).start();
    // Three fifths of the 640 descriptors that are not reserved are slots for clients. All but one are taken; the new client
    // takes the last.
    let active_client = || {
        let mut client = node.client();
        client.send(command(&[b"PING"]));
        assert_eq!(client.read_line(), "+PONG");
        client
    };
    let mut oldest = active_client();
    let mut others: Vec<Peer> = (0..382).map(|_| active_client()).collect();
    node.pause();
    // The new client is accepted first. The oldest client's command is not among those that are read in that iteration.
    let mut new_client = node.client();
    for client in &mut others[..OTHER_CLIENTS] {
        client.send(command(&[b"PING"]));
    }
    oldest.send_get("r1");
    node.signal("CONT");
    let mut conn = accept_request(&server, "r1");
    conn.send(hit_reply(b"one"));
    assert_eq!(oldest.read_bulk(), b"one");
    new_client.send(command(&[b"PING"]));
    assert_eq!(new_client.read_line(), "+PONG");
}

#[test]
fn client_with_an_unread_first_command_is_not_closed_as_silent() {
    let server = listener();
    let node = Node::with_server(&server);
    let mut others: Vec<Peer> = (0..OTHER_CLIENTS).map(|_| node.client()).collect();
    for client in &mut others {
        client.send(command(&[b"PING"]));
        assert_eq!(client.read_line(), "+PONG");
    }
    let (mut silent, mut incomplete) = (node.client(), node.client());
    incomplete.send("*4\r\n$5\r\nC.G");
    // The node has accepted both before it is paused.
    others[0].send(command(&[b"PING"]));
    assert_eq!(others[0].read_line(), "+PONG");
    node.pause();
    std::thread::sleep(Duration::from_millis(2600));
    for client in &mut others {
        client.send(command(&[b"PING"]));
    }
    silent.send_get("r1");
    incomplete.send("ET\r\n$2\r\nk1\r\n$2\r\nr2\r\n$14\r\nc=once,d=20000\r\n");
    node.signal("CONT");
    let mut conns = [accept(&server), accept(&server)];
    let mut ids: Vec<String> = conns
        .iter_mut()
        .map(|conn| conn.read_command()[2].clone())
        .collect();
    ids.sort();
    assert_eq!(ids, ["r1", "r2"]);
    for conn in &mut conns {
        conn.send(hit_reply(b"value"));
    }
    assert_eq!(
        (silent.read_bulk(), incomplete.read_bulk()),
        (b"value".to_vec(), b"value".to_vec())
    );
}
