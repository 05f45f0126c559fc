//! Graceful shutdown: each request gets its final response before the process would be killed.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use support::*;

#[test]
fn request_that_crosses_the_close_of_an_idle_connection_is_not_forwarded() {
    let server = listener();
    let mut node = Node::with_server(&server);
    let mut idle = node.client();
    idle.send(command(&[b"PING"]));
    assert_eq!(idle.read_line(), "+PONG");
    node.signal("TERM");
    assert_eq!(idle.read_to_end(), "");
    assert!(!idle.was_reset);
    // The node reads on for a while, so that no data is unread when it closes the connection (which would cause a reset).
    idle.send(read_request("r1"));
    idle.stream.shutdown(Shutdown::Write).unwrap();
    assert!(node.wait().success());
    assert_eq!(idle.read_to_end(), "");
    assert!(!idle.was_reset);
    server.set_nonblocking(true).unwrap();
    assert!(
        server
            .accept()
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock),
        "the request was forwarded to the server"
    );
}

#[test]
fn request_in_flight_at_shutdown_gets_its_final_response_before_the_kill() {
    // The longest deadline is 20 s, of which a shutdown counts at most 3 s. The process may be killed 0.7 s later: 3.7 s
    // after SIGTERM.
    let request = ForwardedRequest::new();
    let (mut node, mut client) = (request.node, request.client);
    let begun = Instant::now();
    node.signal("TERM");
    assert_eq!(client.read_line(), FAILED);
    assert_eq!(client.read_to_end(), "");
    assert!(
        begun.elapsed() < Duration::from_millis(3700),
        "{:?}",
        begun.elapsed()
    );
    drop(client);
    assert!(node.wait().success());
    assert!(
        begun.elapsed() < Duration::from_millis(3700),
        "{:?}",
        begun.elapsed()
    );
}

#[test]
fn request_without_a_server_at_shutdown_is_rejected_before_the_kill() {
    let mut node = Node::builder()
        .settings(settings_with_deadline(400.0))
        .start();
    let mut client = node.client();
    // The deadline of this request is longer than that of its class.
    client.send_get("r1");
    client.send(command(&[b"PING"]));
    let begun = Instant::now();
    node.signal("TERM");
    assert_eq!(
        (client.read_line().as_str(), client.read_line().as_str()),
        (BUSY, "+PONG")
    );
    assert!(
        begun.elapsed() < Duration::from_millis(1100),
        "{:?}",
        begun.elapsed()
    );
    drop(client);
    assert!(node.wait().success());
}

#[test]
fn deadline_sent_to_servers_during_shutdown_is_within_the_nodes_remaining_time() {
    let server = listener();
    let (node, mut trace) = Node::before(&server).start_traced();
    let mut client = node.client();
    node.signal("TERM");
    trace.wait_for("told to stop");
    client.send_get("r1");
    let fields = accept(&server).read_command().swap_remove(3);
    let deadline_ms: i64 = fields
        .split(',')
        .find_map(|f| f.strip_prefix("d="))
        .unwrap()
        .parse()
        .unwrap();
    // The client's deadline is 20 s, but the node sends its last responses 3.4 s after the signal.
    assert!((1..=3400).contains(&deadline_ms), "{fields}");
}

#[test]
fn every_request_until_the_end_of_a_shutdown_gets_a_response() {
    let request = ForwardedRequest::new();
    let (mut node, mut client) = (request.node, request.client);
    node.signal("TERM");
    // The connection stays open for its pending response, and its client sends more requests.
    let mut sent = 1;
    let mut writer = client.stream.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        while sent < 2000
            && writer
                .write_all(&get_command("once", &format!("q{sent}"), 20_000))
                .is_ok()
        {
            sent += 1;
            std::thread::sleep(Duration::from_millis(10));
        }
        sent
    });
    let answers = client.read_to_end();
    // Writes of the sender thread fail once the node has exited.
    drop(client);
    assert!(node.wait().success());
    let sent = sender.join().unwrap();
    let answered = answers.lines().filter(|l| l.starts_with('-')).count();
    assert!(
        answers.lines().all(|l| l == BUSY || l == FAILED),
        "{answers:?}"
    );
    // Requests that were on their way when the node closed the connection get no response, and clients retry them on
    // another node; each request that arrived well before the close has a response.
    assert!(
        answered + 40 >= sent && answered > 200,
        "{answered} of {sent}"
    );
}

// The client of the test above continues to send after the end of the stream, which is why up to 40 of its requests have
// no response. A client that checks for the end of the stream before each request gets all responses, except to a request
// that it wrote while the node was closing the connection.
#[test]
fn client_that_stops_at_the_end_of_the_stream_loses_at_most_one_response() {
    let request = ForwardedRequest::new();
    let (mut node, mut client) = (request.node, request.client);
    node.signal("TERM");
    client.stream.set_nonblocking(true).unwrap();
    let (mut sent, mut answered, mut last_sent) = (1, 0, Instant::now());
    let mut bytes = [0; 65536];
    let closed_at = loop {
        match client.stream.read(&mut bytes) {
            Ok(0) => break Instant::now(),
            Ok(n) => answered += String::from_utf8_lossy(&bytes[..n]).lines().count(),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                if last_sent.elapsed() < Duration::from_millis(10) {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                }
                client.send(get_command("once", &format!("q{sent}"), 20_000));
                (sent, last_sent) = (sent + 1, Instant::now());
            }
            Err(e) => panic!("reading the client connection failed: {e}"),
        }
    };
    drop(client);
    assert!(node.wait().success());
    println!(
        "{sent} requests, {answered} responses, connection closed {:?} after the last request",
        closed_at - last_sent
    );
    assert!(sent > 100, "{sent}");
    // On a busy machine, up to 150 ms may pass between the node's last read and the close.
    let in_transit = usize::from(closed_at - last_sent < Duration::from_millis(150));
    assert!(answered + in_transit >= sent, "{answered} of {sent}");
}

#[test]
fn shutdown_serves_requests_in_flight_and_new_ones() {
    let server = listener();
    let mut node = Node::with_server(&server);
    let (mut client, mut idle) = (node.client(), node.client());
    client.send_get("r1");
    let mut first = accept(&server);
    assert_eq!(first.read_command()[2], "r1");
    node.signal("TERM");
    // New connections may arrive for 0.4 s after the signal; this one arrives well within that time.
    let mut late = node.client();
    late.send_get("r2");
    let mut second = accept(&server);
    assert_eq!(second.read_command()[2], "r2");
    assert_eq!(idle.read_to_end(), "");
    second.send(hit_reply(b"two"));
    first.send(hit_reply(b"one"));
    assert_eq!(
        (client.read_bulk(), late.read_bulk()),
        (b"one".to_vec(), b"two".to_vec())
    );
    assert_eq!(
        (client.read_to_end(), late.read_to_end()),
        (String::new(), String::new())
    );
    drop((client, late, idle));
    assert!(node.wait().success());
}

#[test]
fn shutdown_serves_connections_in_the_accept_queue() {
    let server = listener();
    let mut node = Node::with_server(&server);
    node.signal("TERM");
    node.signal("STOP");
    let mut queued: Vec<Peer> = (0..100).map(|_| node.client()).collect();
    for q in &mut queued {
        q.send(command(&[b"PING"]));
    }
    // The pause is longer than the time for which the node accepts connections during a shutdown.
    std::thread::sleep(Duration::from_millis(700));
    node.signal("CONT");
    for client in &mut queued {
        assert_eq!(client.read_line(), "+PONG");
        assert_eq!(client.read_to_end(), "");
    }
    drop(queued);
    assert!(node.wait().success());
}
