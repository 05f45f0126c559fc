//! Hot restart: a second process serves the inherited listener beside the first one, so that an upgrade loses no request.

mod support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;

use support::*;

/// A builder of a process that inherits the listener for clients.
fn inheriting_node(socket: &TcpListener, server: &TcpListener) -> NodeBuilder {
    Node::before(server)
        .command(program_inheriting(socket))
        .listen(socket.local_addr().unwrap())
}

/// Starts a process that inherits the listener for clients; returns it with the address of its admin interface.
fn start_inheriting_node(socket: &TcpListener, server: &TcpListener) -> (Node, SocketAddr) {
    let admin = free_address();
    (inheriting_node(socket, server).admin(admin).start(), admin)
}

/// Responds to the process's request to discovery with a complete list, which contains this server.
fn send_list(node: &Node, server: &TcpListener) {
    let list = endpoint_list(42, true, &[target("s-1", server)]);
    node.accept_discovery().1.send_http_json(&list);
}

/// Sends the list and waits until the process is ready.
fn make_ready(node: &Node, admin: SocketAddr, server: &TcpListener) {
    send_list(node, server);
    wait_until("the process is ready", || is_ready(admin));
}

/// Sends requests, each on its own connection, and asserts that the process that accepts the connection serves the request.
fn assert_serves(socket: &TcpListener, server: &TcpListener, ids: &str) {
    for i in 0..6 {
        let mut client = Peer::new(TcpStream::connect(socket.local_addr().unwrap()).unwrap());
        exchange(&mut client, server, &format!("{ids}-{i}")).close();
    }
}

#[test]
fn second_process_takes_over_the_inherited_socket_without_losing_requests() {
    let server = listener();
    let socket = listener();
    let address = socket.local_addr().unwrap();
    let mut nodes = Vec::new();
    let mut admins = Vec::new();
    for _ in 0..2 {
        let admin = free_address();
        let node = inheriting_node(&socket, &server)
            .settings(settings_with_deadline(2000.0))
            .admin(admin)
            .start();
        // The list from discovery makes the process ready. The list in its configuration alone would do so only later.
        assert!(!is_ready(admin));
        make_ready(&node, admin, &server);
        nodes.push(node);
        admins.push(admin);
        if nodes.len() == 1 {
            // Only the first process runs so far: it accepts this client.
            let mut client = Peer::new(TcpStream::connect(address).unwrap());
            let conn = exchange(&mut client, &server, "r1");
            drop((client, conn));
        }
    }
    let mut old = nodes.remove(0);
    let mut clients: Vec<Peer> = (0..8)
        .map(|_| Peer::new(TcpStream::connect(address).unwrap()))
        .collect();
    wait_until("the old process has answered the first request", || {
        metric(admins[0], "answered.once") == 1
    });
    old.signal("TERM");
    wait_until("the old process is stopping", || is_stopping(admins[0]));
    // Each request on an old connection is served by the process that has accepted it, and each on a new connection by the new
    // process.
    for (i, client) in clients.iter_mut().enumerate() {
        exchange(client, &server, &format!("kept-{i}")).close();
    }
    assert!(
        old.wait().success(),
        "the old process exits with success after it has closed its clients"
    );
    for i in 0..8 {
        let mut client = Peer::new(TcpStream::connect(address).unwrap());
        exchange(&mut client, &server, &format!("new-{i}")).close();
    }
    assert!(metric(admins[1], "answered.once") >= 8);
    assert!(is_ready(admins[1]));
}

/// The second process loads the snapshot of the first one. A file that is not a snapshot of this node is discarded.
#[test]
fn second_process_loads_the_snapshot_of_the_first_and_ignores_damaged_ones() {
    let server = listener();
    let socket = listener();
    let folder = tempfile::tempdir().unwrap();
    let snapshot_file = folder.path().join("sloewick-handover");
    let start = || {
        let mut command = program_inheriting(&socket);
        command.env("TMPDIR", folder.path()).stderr(Stdio::piped());
        let node = inheriting_node(&socket, &server).command(command).start();
        send_list(&node, &server);
        node
    };
    let mut first = start();
    wait_until("the first process has saved a snapshot", || {
        snapshot_file.exists()
    });
    let snapshot = std::fs::read(&snapshot_file).unwrap();
    assert!(snapshot.len() < 64 << 10, "{} bytes", snapshot.len());
    let stderr = start().shut_down_and_read_stderr();
    assert!(
        stderr.contains("handover: 1 servers, 0 positions, "),
        "{stderr}"
    );
    let stderr = first.shut_down_and_read_stderr();
    assert!(
        !stderr.contains("handover"),
        "the first process had no snapshot to load, and could save its own: {stderr}"
    );
    // All processes have exited, so that none overwrites the file.
    let first_half = &snapshot[..snapshot.len() / 2];
    for (bytes, why) in [
        (first_half, "is torn"),
        (&b"{}"[..], "is no snapshot"),
        (&snapshot[..0], "is torn"),
    ] {
        std::fs::write(&snapshot_file, bytes).unwrap();
        let stderr = start().shut_down_and_read_stderr();
        assert!(
            stderr.contains(&format!("handover: not taken up: {why}\n")),
            "{stderr}"
        );
    }
}

// Guards against an age that is computed from two readings of the wall clock, between which the clock was stepped.
#[test]
fn age_of_a_snapshot_is_right_although_the_wall_clock_is_stepped() {
    const SAVE_INTERVAL_MS: u64 = 1_000;
    let (server, socket) = (listener(), listener());
    let folder = tempfile::tempdir().unwrap();
    let snapshot_file = folder.path().join("sloewick-handover");
    let start = |step_seconds: i64| {
        let mut command = program_inheriting(&socket);
        command
            .env("TMPDIR", folder.path())
            .env("LD_PRELOAD", preload_library("stepped_clock"))
            .env("WALL_CLOCK_STEP", step_seconds.to_string())
            .stderr(Stdio::piped());
        let node = inheriting_node(&socket, &server).command(command).start();
        send_list(&node, &server);
        node
    };
    let _first = start(0);
    wait_until("the first process has saved a snapshot", || {
        snapshot_file.exists()
    });
    for step_seconds in [8, 3_600, -3_600] {
        let stderr = start(step_seconds).shut_down_and_read_stderr();
        let age = stderr
            .split_once("0 positions, ")
            .and_then(|(_, rest)| rest.split_once(" ms old"))
            .unwrap_or_else(|| panic!("a step of {step_seconds} s: {stderr}"))
            .0;
        let age: u64 = age.parse().unwrap();
        assert!(
            age < 3 * SAVE_INTERVAL_MS,
            "a step of {step_seconds} s: {age} ms"
        );
    }
}

/// The first system calls that write the snapshot or the endpoint list fail. The first save of each without a failure succeeds, and
/// no partly written file remains.
#[test]
fn snapshot_and_endpoint_list_are_saved_once_their_folder_can_be_written_again() {
    const ENOSPC: i32 = 28;
    const EIO: i32 = 5;
    const FAILURES: usize = 2;
    for (call, errno) in [("write", ENOSPC), ("write", EIO), ("rename", EIO)] {
        let (server, socket) = (listener(), listener());
        let folder = tempfile::tempdir().unwrap();
        let mut command = program_inheriting(&socket);
        command.env("TMPDIR", folder.path()).stderr(Stdio::piped());
        let_calls_fail(&mut command, call, errno, FAILURES);
        let mut node = inheriting_node(&socket, &server).command(command).start();
        send_list(&node, &server);
        let files = || -> Vec<String> {
            let entries = std::fs::read_dir(folder.path()).unwrap();
            let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
            let mut names: Vec<String> = names.collect();
            names.sort();
            names
        };
        let slots_file = format!("sloewick-slots-{}", socket.local_addr().unwrap());
        let is_list = |name: &str| name.starts_with("sloewick-endpoints-") && !name.contains('.');
        wait_until(
            "the folder contains only the list, the snapshot and the slots",
            || match &files()[..] {
                [list, snapshot, slots] => {
                    is_list(list) && snapshot == "sloewick-handover" && *slots == slots_file
                }
                _ => false,
            },
        );
        assert_serves(&socket, &server, "still");
        let stderr = node.shut_down_and_read_stderr();
        let failures = stderr.matches("handover: not kept: ").count();
        assert_eq!(failures, FAILURES, "{call}: errno {errno}: {stderr}");
    }
}

#[test]
fn old_process_still_serves_when_the_new_one_is_never_ready_or_is_killed() {
    let (server, socket) = (listener(), listener());
    let (old, old_admin) = start_inheriting_node(&socket, &server);
    make_ready(&old, old_admin, &server);
    // Discovery does not respond to the new process, which is therefore not ready; it still serves the clients that it accepts.
    let (new, new_admin) = start_inheriting_node(&socket, &server);
    let _unanswered = new.accept_discovery();
    assert!(!is_ready(new_admin));
    assert_serves(&socket, &server, "beside");
    drop(new);
    assert!(is_ready(old_admin));
    assert_serves(&socket, &server, "alone");
    assert!(is_ready(old_admin));
}

/// The old process serves the requests that it has accepted, even if the new process is killed.
#[test]
fn kill_of_the_new_process_while_the_old_one_stops_loses_no_accepted_request() {
    let (server, socket) = (listener(), listener());
    let (mut old, old_admin) = start_inheriting_node(&socket, &server);
    make_ready(&old, old_admin, &server);
    let mut waiting: Vec<Peer> = (0..4).map(|_| old.client()).collect();
    let mut conns: Vec<(String, Peer)> = Vec::new();
    for (i, client) in waiting.iter_mut().enumerate() {
        client.send_get(&format!("held-{i}"));
        let mut conn = accept(&server);
        conns.push((conn.read_command()[2].clone(), conn));
    }
    let (new, new_admin) = start_inheriting_node(&socket, &server);
    make_ready(&new, new_admin, &server);
    old.signal("TERM");
    wait_until("the old process is stopping", || is_stopping(old_admin));
    drop(new);
    for (id, conn) in &mut conns {
        conn.send(hit_reply(id.as_bytes()));
    }
    for (i, client) in waiting.iter_mut().enumerate() {
        assert_eq!(client.read_bulk(), format!("held-{i}").into_bytes());
        assert_eq!(client.read_to_end(), "");
    }
    assert!(old.wait().success());
    // The inherited listener can still be used by a third process.
    let (third, third_admin) = start_inheriting_node(&socket, &server);
    make_ready(&third, third_admin, &server);
    assert_serves(&socket, &server, "third");
}

#[test]
fn second_upgrade_during_the_first_leaves_one_process_and_loses_no_request() {
    let (server, socket) = (listener(), listener());
    let (mut first, first_admin) = start_inheriting_node(&socket, &server);
    make_ready(&first, first_admin, &server);
    let mut waiting = first.client();
    waiting.send_get("held");
    let mut conn = accept_request(&server, "held");
    let (mut second, second_admin) = start_inheriting_node(&socket, &server);
    make_ready(&second, second_admin, &server);
    first.signal("TERM");
    let (third, third_admin) = start_inheriting_node(&socket, &server);
    make_ready(&third, third_admin, &server);
    second.signal("TERM");
    conn.send(hit_reply(b"held"));
    assert_eq!(
        waiting.read_bulk(),
        b"held",
        "the first process serves the request that it has accepted"
    );
    assert!(first.wait().success() && second.wait().success());
    assert_serves(&socket, &server, "third");
    assert!(is_ready(third_admin));
    assert_eq!(metric(third_admin, "answered.once"), 6);
}
