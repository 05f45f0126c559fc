//! System calls that fail temporarily while a node starts, reloads its configuration, serves clients or handles a signal.

mod support;

use std::time::{Duration, Instant};

use support::*;

const EINTR: i32 = 4;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const ENOBUFS: i32 = 105;

const VALUE: &str = "value";
/// The RESP2 header line of `VALUE`, which has five bytes.
const VALUE_HEADER: &str = "$5";

/// Number of calls that fail. The retries at startup last longer than all of these failures together.
const FAILURES: usize = 5;

/// Time after SIGHUP during which the configuration file is incomplete.
const INVALID_CONFIG_TIME: Duration = Duration::from_millis(300);
/// More calls than a starting process makes, so that all of them fail.
const ALL_CALLS_FAIL: usize = 1_000_000;

/// Limit on a shutdown without clients on a busy machine. The node waits 0.5 s for new connections before it exits.
const MAX_SHUTDOWN: Duration = Duration::from_secs(3);

/// Asserts that a request to the node is forwarded to the server and receives its reply.
fn assert_serves(node: &Node, server: &std::net::TcpListener) {
    let mut client = node.client();
    exchange(&mut client, server, "r1");
}

#[test]
fn process_starts_although_calls_fail_temporarily() {
    for (call, errors) in [
        ("socket", [ENFILE, EMFILE, ENOBUFS, ENOMEM].as_slice()),
        ("socketpair", &[ENFILE, EMFILE, ENOBUFS, ENOMEM]),
        ("epoll_create1", &[ENFILE, EMFILE, ENOMEM]),
        ("epoll_ctl", &[ENOMEM, ENOSPC]),
        ("open64", &[ENFILE, EMFILE, ENOMEM, EINTR]),
    ] {
        for errno in errors {
            let server = listener();
            let mut command = program();
            let_calls_fail(&mut command, call, *errno, FAILURES);
            println!("{call}: errno {errno}");
            let node = Node::before(&server)
                .command(command)
                .admin(free_address())
                .start();
            assert_serves(&node, &server);
        }
    }
}

#[test]
fn process_starts_although_duplicating_its_inherited_listener_fails_at_first() {
    for errno in [EMFILE, EINTR] {
        let (socket, server) = (listener(), listener());
        let mut command = program_inheriting(&socket);
        let_calls_fail(&mut command, "fcntl", errno, FAILURES);
        let node = Node::before(&server)
            .command(command)
            .listen(socket.local_addr().unwrap())
            .admin(free_address())
            .start();
        assert_serves(&node, &server);
    }
}

#[test]
fn process_that_cannot_create_a_socket_exits_with_the_reason() {
    let discovery = listener();
    let file = tempfile::NamedTempFile::new().unwrap();
    let config = serde_json::json!({
        "name": "n1", "listen": free_address().to_string(),
        "discovery": discovery.local_addr().unwrap().to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": endpoint_list(41, true, &[]), "settings": settings(),
    });
    std::fs::write(file.path(), config.to_string()).unwrap();
    let mut command = program();
    let_calls_fail(&mut command, "socket", EMFILE, ALL_CALLS_FAIL);
    let out = command
        .env("BALANCER_CONFIG", file.path())
        .output()
        .unwrap();
    let text = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(text.contains("field listen: "), "{text}");
}

// Guards against a change of the discovery address that is missed because the configuration file was invalid when SIGHUP
// arrived.
#[test]
fn reload_is_retried_until_the_configuration_is_valid() {
    let server = listener();
    let node = Node::before(&server).start();
    let next_discovery = listener();
    let address = next_discovery.local_addr().unwrap().to_string();
    let mut config: serde_json::Value = serde_json::from_str(&node.config()).unwrap();
    config["discovery"] = address.into();
    let complete_config = config.to_string();
    node.reload(&complete_config[..complete_config.len() / 2]);
    std::thread::sleep(INVALID_CONFIG_TIME);
    node.replace_config(&complete_config);
    let mut peer = accept(&next_discovery);
    peer.read_until(b"\r\n\r\n");
}

/// Sends one request each from 40 clients, one after the other, to a node in which 30% of these calls fail. Returns the
/// reply to each: the value, or the status line if the reply has no value.
fn replies_while_calls_fail(call: &str, errno: i32) -> Vec<String> {
    const CLIENTS: usize = 40;
    const PERCENT: u32 = 30;
    let server = listener();
    let mut command = program();
    let_calls_fail_at_random(&mut command, call, errno, PERCENT);
    let node = Node::before(&server).command(command).start();
    serve_all(server, VALUE.as_bytes());
    let request = |number| {
        let mut client = node.client();
        client.send_get(&format!("r{number}"));
        match client.read_line() {
            header if header == VALUE_HEADER => client.read_line(),
            line => line,
        }
    };
    (0..CLIENTS).map(request).collect()
}

// Guards against a client connection that is closed before its request is read because epoll_ctl failed to register it.
#[test]
fn client_gets_a_reply_although_registering_its_connection_fails_at_first() {
    for errno in [ENOMEM, ENOSPC] {
        for reply in replies_while_calls_fail("epoll_ctl", errno) {
            // Registering the connection to the server may fail in the same way; the client then gets BUSY.
            assert!(reply == BUSY || reply == VALUE, "{reply}");
        }
    }
}

// Guards against a reply that is lost because the kernel had no buffer space when the node wrote it.
#[test]
fn client_gets_its_value_although_writes_fail_for_lack_of_buffers() {
    for errno in [ENOBUFS, ENOMEM] {
        for reply in replies_while_calls_fail("writev", errno) {
            // Writes to the server fail in the same way and are retried too.
            assert_eq!(reply, VALUE);
        }
    }
}

// Guards against a signal that is lost because the write that wakes the event loop for it failed.
#[test]
fn signals_are_handled_although_every_write_that_wakes_the_event_loop_fails() {
    const FAILING_PERCENT: u32 = 100;
    let server = listener();
    let mut command = program();
    let_calls_fail_at_random(&mut command, "send", EINTR, FAILING_PERCENT);
    let mut node = Node::before(&server).command(command).start();
    let next_discovery = listener();
    let mut config: serde_json::Value = serde_json::from_str(&node.config()).unwrap();
    config["discovery"] = next_discovery.local_addr().unwrap().to_string().into();
    node.reload(&config.to_string());
    accept(&next_discovery).read_until(b"\r\n\r\n");
    let signalled = Instant::now();
    node.signal("TERM");
    assert!(node.wait().success());
    assert!(signalled.elapsed() < MAX_SHUTDOWN);
}
