//! Replies of cache servers that are malformed, unsolicited, truncated or late: none is returned for another request.

mod support;

use std::io::Write;
use std::time::{Duration, Instant};

use support::*;

/// The first half of a reply with a value of 200,000 bytes.
fn half_of_long_value() -> Vec<u8> {
    [&b"*3\r\n$200000\r\n"[..], &[b'v'; 100_000]].concat()
}

#[test]
fn malformed_reply_is_reported_as_failed_and_closes_the_connection() {
    for malformed in [
        "$5\r\nvalue\r\n",
        "+OK\r\n",
        "*1\r\n$-1\r\n",
        "-SYNTAX\r\n",
        "!\r\n",
        "*9999999\r\n",
    ] {
        let reply = reply_when_server(|mut conn| {
            conn.send(malformed);
            assert_eq!(conn.read_to_end(), "", "{malformed:?}");
        });
        assert_eq!(reply, FAILED, "{malformed:?}");
    }
}

#[test]
fn unsolicited_reply_closes_the_connection_and_is_not_returned_to_a_client() {
    let mut request = ForwardedRequest::new();
    request
        .conn
        .send([hit_reply(b"one"), hit_reply(b"unsolicited")].concat());
    assert_eq!(request.client.read_bulk(), b"one");
    assert_eq!(request.conn.read_to_end(), "");
    exchange(&mut request.client, &request.server, "r2");
}

#[test]
fn start_of_an_unsolicited_reply_is_not_prepended_to_the_next_reply() {
    for unsolicited in ["*3\r\n$3\r\nt", "*3\r\n$3\r\n", "*3\r\n", "no"] {
        let mut request = ForwardedRequest::new();
        request
            .conn
            .send([&hit_reply(b"one"), unsolicited.as_bytes()].concat());
        assert_eq!(request.client.read_bulk(), b"one");
        assert_eq!(request.conn.read_to_end(), "", "{unsolicited:?}");
        exchange(&mut request.client, &request.server, "r2");
    }
}

#[test]
fn truncated_long_value_is_visible_to_the_client() {
    let mut request = ForwardedRequest::new();
    request.conn.send(half_of_long_value());
    assert_eq!(request.client.read_line(), "$200000");
    request.conn.reset();
    assert!(request.client.read_to_end().len() < 200_000);
}

#[test]
fn partial_reply_before_a_disconnect_serves_no_request() {
    for partial in ["*3\r\n$5\r\nhal", "*3\r\n$5", "-BUS", "*"] {
        for disconnect in Disconnect::ALL {
            let mut request = ForwardedRequest::new();
            request.conn.send(partial);
            let _disconnected = disconnect.apply(request.conn);
            // The server may have executed the request.
            assert_eq!(
                request.client.read_line(),
                FAILED,
                "{partial:?} {disconnect:?}"
            );
            // The same on an idle connection: the next request is sent on another connection and gets its own reply.
            let mut conn = exchange(&mut request.client, &request.server, "r2");
            conn.send(partial);
            let _disconnected = disconnect.apply(conn);
            exchange(&mut request.client, &request.server, "r3");
        }
    }
}

#[test]
fn long_value_that_trickles_in_is_cut_off() {
    let server = listener();
    let node = Node::before(&server)
        .settings(settings_with_deadline(300.0))
        .start();
    let mut client = node.client();
    client.send(get_command("read", "r1", 300));
    let mut conn = accept(&server);
    assert_eq!(conn.read_command()[2], "r1");
    conn.send("*3\r\n$200000\r\nv");
    let started = Instant::now();
    assert_eq!(client.read_line(), "$200000");
    while conn.stream.write_all(b"v").is_ok() {
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "the node does not close the connection"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(client.read_to_end().len() < 200_000);
}

#[test]
fn truncated_long_value_does_not_lose_the_reply_before_it() {
    let server = listener();
    let node = Node::with_server(&server);
    let mut client = node.client();
    client.send([command(&[b"PING"]), read_request("r1")].concat());
    let mut conn = accept(&server);
    assert_eq!(conn.read_command()[2], "r1");
    conn.send(half_of_long_value());
    // The client has read nothing yet. Its next request stays unread in the node's socket buffer.
    while client.stream.peek(&mut [0; 64]).unwrap() < 64 {}
    client.send(read_request("r2"));
    let mut next = node.client();
    next.send(command(&[b"PING"]));
    assert_eq!(next.read_line(), "+PONG");
    conn.reset();
    let mut other = node.client();
    other.send(read_request("r3"));
    assert_eq!(accept(&server).read_command()[2], "r3");
    // The node has closed the client connection by now or closes it after the next bytes.
    assert_eq!(client.read_line(), "+PONG");
    let remaining = client.read_to_end();
    assert!(remaining.starts_with("$200000\r\n") && remaining.len() < 200_000);
    assert!(
        !client.was_reset,
        "the connection was closed with unread bytes and therefore reset"
    );
}

#[test]
fn late_second_reply_is_not_given_to_the_next_client() {
    let server = listener();
    let node = Node::with_server(&server);
    let (mut client, mut next) = (node.client(), node.client());
    for round in 0..20 {
        client.send_get(&format!("first-{round}"));
        let mut conns = Vec::new();
        let mut first = std::mem::replace(next_readable(&mut conns, &server), node.client());
        assert_eq!(first.read_command()[2], format!("first-{round}"));
        // When it resumes, the node finds the first reply and the next request at the same time; the second reply is sent
        // later.
        node.pause();
        first.send(hit_reply(b"first"));
        next.send_get(&format!("next-{round}"));
        node.signal("CONT");
        assert_eq!(client.read_bulk(), b"first");
        conns = vec![first];
        next_readable(&mut conns, &server).read_command();
        if conns.len() > 1 {
            conns[0].send(hit_reply(b"first"));
            assert_eq!(
                conns[0].read_to_end(),
                "",
                "the node writes nothing more to the first connection and closes it"
            );
            conns[1].send(hit_reply(b"next"));
            assert_eq!(next.read_bulk(), b"next");
            return;
        }
        // The node handled the reply so long before the request that it could reuse the connection. Try again.
        conns[0].send(hit_reply(b"next"));
        assert_eq!(next.read_bulk(), b"next");
        conns.remove(0).close();
    }
    panic!("in every round, the next request was sent on the connection that had just received the reply");
}

#[test]
fn reply_before_the_request_was_sent_completely_is_reported_as_failed() {
    for reply in [
        hit_reply(b"of another request"),
        [&b"*3\r\n$100000\r\n"[..], &[b'v'; 100_000]].concat(),
    ] {
        let mut request = ForwardedRequest::with_write_in_progress();
        request.conn.send(reply);
        assert_eq!(request.client.read_line(), FAILED);
    }
}

#[test]
fn command_pipelined_behind_a_truncated_long_value_is_not_forwarded() {
    let mut request = ForwardedRequest::new();
    request.conn.send(half_of_long_value());
    assert_eq!(request.client.read_line(), "$200000");
    request.client.send_get("r2");
    // Once a later client has its reply, the node has read the command.
    let mut next = request.node.client();
    next.send(command(&[b"PING"]));
    assert_eq!(next.read_line(), "+PONG");
    request.conn.reset();
    assert!(request.client.read_to_end().len() < 200_000);
    next.send_get("r3");
    assert_eq!(accept(&request.server).read_command()[2], "r3");
}

#[test]
fn command_pipelined_behind_a_complete_long_value_is_served() {
    let mut request = ForwardedRequest::new();
    request.conn.send(half_of_long_value());
    assert_eq!(request.client.read_line(), "$200000");
    request.client.send_get("r2");
    request
        .conn
        .send([&[b'v'; 100_000][..], b"\r\n$3\r\nhit\r\n$-1\r\n"].concat());
    assert_eq!(request.client.read_until(b"\r\n").len(), 200_002);
    let mut conn = accept_request(&request.server, "r2");
    conn.send(hit_reply(b"two"));
    assert_eq!(request.client.read_bulk(), b"two");
}
