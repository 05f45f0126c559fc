//! Graceful shutdown: each request gets its final response before the process is killed.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use support::*;

#[test]
fn request_that_crosses_the_close_of_an_idle_connection_is_not_forwarded() {
    let server = listener();
    let mut node = Node::with_server(&server);
    let mut resting = node.client();
    resting.send(command(&[b"PING"]));
    assert_eq!(resting.read_line(), "+PONG");
    node.signal("TERM");
    assert_eq!(resting.read_to_end(), "");
    assert!(!resting.was_reset);
    // The node keeps reading for a while and closes the connection with nothing unread.
    resting.send(read_request("r1"));
    resting.stream.shutdown(Shutdown::Write).unwrap();
    assert!(node.wait().success());
    assert_eq!(resting.read_to_end(), "");
    assert!(!resting.was_reset);
    server.set_nonblocking(true).unwrap();
    assert!(
        server
            .accept()
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock),
        "sent on"
    );
}

#[test]
fn request_in_flight_at_shutdown_gets_its_final_response_before_the_kill() {
    // Longest deadline: 20 s, of which 3 s count. SIGKILL comes at no more than 3.7 s.
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
    // Its deadline is longer than its class's.
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
fn deadline_sent_to_servers_at_shutdown_is_within_the_nodes_remaining_time() {
    let server = listener();
    let (node, mut trace) = Node::before(&server).start_traced();
    let mut client = node.client();
    node.signal("TERM");
    trace.wait_for("told to stop");
    client.send_get("r1");
    let fields = accept(&server).read_command().swap_remove(3);
    let wait: i64 = fields
        .split(',')
        .find_map(|f| f.strip_prefix("d="))
        .unwrap()
        .parse()
        .unwrap();
    // Of 20 s; the last answers are given 3.4 s after the signal.
    assert!((1..=3400).contains(&wait), "{fields}");
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
    // The exit of the node makes the writer fail.
    drop(client);
    assert!(node.wait().success());
    let sent = sender.join().unwrap();
    let answered = answers.lines().filter(|l| l.starts_with('-')).count();
    assert!(
        answers.lines().all(|l| l == BUSY || l == FAILED),
        "{answers:?}"
    );
    // Clients retry elsewhere what crossed the close of the connection; all that came well before has a response.
    assert!(
        answered + 40 >= sent && answered > 200,
        "{answered} of {sent}"
    );
}

// The client of the test above goes on after the end of the stream, which is why up to 40 of its requests have no response. One
// that looks for the end before each request has them all, but for what it wrote in the moment of the close.
#[test]
fn client_that_stops_at_the_end_of_the_stream_loses_at_most_what_crossed_it() {
    let request = ForwardedRequest::new();
    let (mut node, mut client) = (request.node, request.client);
    node.signal("TERM");
    client.stream.set_nonblocking(true).unwrap();
    let (mut sent, mut answered, mut last_sent) = (1, 0, Instant::now());
    let mut bytes = [0; 65536];
    let closed = loop {
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
            Err(e) => panic!("the connection broke: {e}"),
        }
    };
    drop(client);
    assert!(node.wait().success());
    println!(
        "{sent} requests, {answered} answered, closed {:?} after the last",
        closed - last_sent
    );
    assert!(sent > 100, "{sent}");
    // The node may be held up for so long between its last look and the close.
    let crossed = usize::from(closed - last_sent < Duration::from_millis(150));
    assert!(answered + crossed >= sent, "{answered} of {sent}");
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
    // Connections are accepted for 0.4 s more; this one comes well within that.
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
    // It is paused for longer than it accepts connections during a shutdown.
    std::thread::sleep(Duration::from_millis(700));
    node.signal("CONT");
    for client in &mut queued {
        assert_eq!(client.read_line(), "+PONG");
        assert_eq!(client.read_to_end(), "");
    }
    drop(queued);
    assert!(node.wait().success());
}
