//! The processes of a node together hold no more file descriptors than its limit, while an upgrade replaces one by another and many
//! clients connect; and each serves as many clients as the others leave room for.
//!
//! A few seeds are played by default; `DESCRIPTOR_SEEDS=FIRST..END` plays others.

mod support;

use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use support::*;

/// The smallest limit on descriptors that a configuration may set.
const MIN_DESCRIPTORS: usize = 64;
/// The smallest limit that the deployments name.
const DESCRIPTORS: usize = 256;
/// Number of seeds that are played by default.
const DEFAULT_SEEDS: u64 = 4;
/// Number of seeds that are played at the same time.
const PARALLEL_SEEDS: usize = 4;

/// Number of open descriptors of a node's process; 0 if it has ended, or does not run the program yet and has copies of those of this
/// test.
fn open_descriptors(process: u32) -> usize {
    let executable = std::fs::read_link(format!("/proc/{process}/exe"));
    if !executable.is_ok_and(|path| path == Path::new(env!("CARGO_BIN_EXE_sloewick"))) {
        return 0;
    }
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

fn ping(client: &mut Peer) {
    client.send(command(&[b"PING"]));
    assert_eq!(client.read_line(), "+PONG");
}

/// A builder of a process of a node that may have several, in front of `server`, with this limit on the descriptors of all of them.
/// They share `folder`, if there is one.
fn process_of_upgrade(
    server: &TcpListener,
    socket: &TcpListener,
    folder: Option<&Path>,
    descriptors: usize,
) -> NodeBuilder {
    let mut command = program_inheriting(socket);
    command.env_remove("TMPDIR");
    if let Some(folder) = folder {
        command.env("TMPDIR", folder);
    }
    Node::before(server)
        .command(command)
        .listen(socket.local_addr().unwrap())
        .set("/limits/sockets", descriptors)
}

/// Connects so many clients, each of which gets a reply.
fn pinged_clients(node: &Node, count: usize) -> Vec<Peer> {
    let mut clients: Vec<Peer> = (0..count).map(|_| node.client()).collect();
    clients.iter_mut().for_each(ping);
    clients
}

/// The numbers of descriptors that two processes of a node hold while twice as many clients as `descriptors` connect. With `folder`,
/// the processes share one.
fn descriptors_during_upgrade(descriptors: usize, folder: Option<&Path>) -> [usize; 2] {
    let (server, socket) = (listener(), listener());
    let process = || process_of_upgrade(&server, &socket, folder, descriptors).start();
    let processes = [process(), process()];
    let clients: Vec<Peer> = (0..2 * descriptors)
        .map(|_| {
            let mut client = processes[0].client();
            client.send(command(&[b"PING"]));
            client
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let open = processes
        .each_ref()
        .map(|process| open_descriptors(process.id()));
    drop(clients);
    open
}

#[test]
fn two_processes_of_an_upgrade_together_stay_within_the_limit_on_descriptors() {
    let mut exceeded = Vec::new();
    let shared = tempfile::tempdir().unwrap();
    let missing = shared.path().join("missing");
    for folder in [None, Some(shared.path()), Some(missing.as_path())] {
        for descriptors in [MIN_DESCRIPTORS, DESCRIPTORS] {
            let open = descriptors_during_upgrade(descriptors, folder);
            println!("limit {descriptors}, folder {folder:?}: {open:?}");
            if open.iter().sum::<usize>() > descriptors {
                exceeded.push((descriptors, open));
            }
        }
    }
    assert!(
        exceeded.is_empty(),
        "limits, and numbers of descriptors that both processes hold: {exceeded:?}"
    );
}

#[test]
fn lone_process_of_a_node_that_may_have_two_serves_clients_on_a_third_of_the_descriptors() {
    let (server, socket) = (listener(), listener());
    let folder = tempfile::tempdir().unwrap();
    let node = process_of_upgrade(&server, &socket, Some(folder.path()), DESCRIPTORS).start();
    let mut clients = pinged_clients(&node, DESCRIPTORS / 3);
    clients.iter_mut().for_each(ping);
}

#[test]
fn lone_process_without_a_usable_folder_serves_half_as_many_clients() {
    let (server, socket) = (listener(), listener());
    let folder = Path::new("/nonexistent");
    let node = process_of_upgrade(&server, &socket, Some(folder), DESCRIPTORS).start();
    let mut clients = pinged_clients(&node, DESCRIPTORS / 6);
    clients.iter_mut().for_each(ping);
}

#[test]
fn new_process_serves_as_many_clients_as_the_old_one_once_that_has_ended() {
    let (server, socket) = (listener(), listener());
    let folder = tempfile::tempdir().unwrap();
    let process = || process_of_upgrade(&server, &socket, Some(folder.path()), DESCRIPTORS).start();
    let mut old = process();
    let _clients_of_old = pinged_clients(&old, DESCRIPTORS / 3);
    let new = process();
    old.signal("TERM");
    assert!(old.wait().success());
    let mut clients = pinged_clients(&new, DESCRIPTORS / 3);
    clients.iter_mut().for_each(ping);
}

/// Connects clients one after the other until `is_over`; each sends a command and stays as long as the node keeps its connection.
fn connect_crowd(node: std::net::SocketAddr, clients: usize, is_over: &AtomicBool) {
    let mut connections: Vec<TcpStream> = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        connections.retain(|connection| !has_closed(connection));
        if connections.len() < clients {
            let mut client = Peer::new(TcpStream::connect(node).unwrap());
            client.send(command(&[b"PING"]));
            client.stream.set_nonblocking(true).unwrap();
            connections.push(client.stream);
        } else {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Whether the other side has closed the connection.
fn has_closed(mut connection: &TcpStream) -> bool {
    let mut replies = [0; 256];
    match std::io::Read::read(&mut connection, &mut replies) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Upgrades a node several times while a crowd connects. Returns the limit and the greatest number of descriptors that its
/// processes, two at a time at most, were seen to hold together.
fn play_upgrades(seed: u64) -> (usize, usize) {
    let mut draw = Draw::new(seed);
    let descriptors = draw.within(96..1_025);
    let crowd = draw.within(descriptors / 4..descriptors * 2);
    let (server, socket) = (listener(), listener());
    let folder = tempfile::tempdir().unwrap();
    let start = || process_of_upgrade(&server, &socket, Some(folder.path()), descriptors).start();
    let address = socket.local_addr().unwrap();
    let is_over = AtomicBool::new(false);
    let mut greatest = 0;
    std::thread::scope(|scope| {
        scope.spawn(|| connect_crowd(address, crowd, &is_over));
        let mut old = start();
        for _ in 0..draw.within(2..5) {
            greatest = greatest.max(observe(&[old.id()], draw.millis(100..600)));
            let mut new = start();
            let processes = [old.id(), new.id()];
            greatest = greatest.max(observe(&processes, draw.millis(0..600)));
            old.signal(draw.pick(&["TERM", "TERM", "KILL"]));
            while !old.has_ended() {
                greatest = greatest.max(observe(&processes, Duration::from_millis(1)));
            }
            std::mem::swap(&mut old, &mut new);
        }
        is_over.store(true, Ordering::Relaxed);
    });
    (descriptors, greatest)
}

/// The greatest number of descriptors that these processes were seen to hold together within this time.
fn observe(processes: &[u32], time: Duration) -> usize {
    let started = Instant::now();
    let mut greatest = 0;
    while started.elapsed() < time {
        let open = processes.iter().map(|process| open_descriptors(*process));
        greatest = greatest.max(open.sum());
        std::thread::sleep(Duration::from_millis(2));
    }
    greatest
}

#[test]
fn processes_of_drawn_upgrades_together_stay_within_the_limit_on_descriptors() {
    raise_descriptor_limit();
    let mut exceeded = Vec::new();
    let seeds: Vec<u64> = seeds("DESCRIPTOR_SEEDS", DEFAULT_SEEDS).collect();
    for batch in seeds.chunks(PARALLEL_SEEDS) {
        for (seed, (limit, greatest)) in batch.iter().zip(play_in_parallel(batch)) {
            println!("seed {seed}: limit {limit}, greatest {greatest}");
            if greatest > limit {
                exceeded.push((seed, limit, greatest));
            }
        }
    }
    assert!(
        exceeded.is_empty(),
        "seeds, limits, and numbers of descriptors that the processes hold: {exceeded:?}"
    );
}

/// Plays each seed on a thread of its own, since most of the time is spent waiting.
fn play_in_parallel(seeds: &[u64]) -> Vec<(usize, usize)> {
    std::thread::scope(|scope| {
        let plays: Vec<_> = seeds
            .iter()
            .map(|seed| scope.spawn(|| play_upgrades(*seed)))
            .collect();
        let results = plays.into_iter().map(|play| play.join().unwrap());
        results.collect()
    })
}
