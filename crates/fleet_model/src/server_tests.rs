//! Idle connections, core, backlog and cache of a server.

use crate::server::Server;

#[test]
fn idle_connection_is_reused_once_and_only_by_its_node() {
    let mut server = Server::default();
    server.return_connection(1);
    assert!(!server.take_idle_connection(2));
    assert!(server.take_idle_connection(1));
    assert!(!server.take_idle_connection(1));
}

#[test]
fn aborting_work_invalidates_its_serial_number() {
    let mut server = Server::default();
    let work_serial = server.start_work(5);
    assert_eq!(server.work_serial, work_serial);
    server.abort_work();
    assert_ne!(server.work_serial, work_serial);
    assert_eq!(server.active, None);
}

#[test]
fn backlog_counts_queued_and_active_attempts() {
    let mut server = Server::default();
    assert_eq!(server.backlog(), 0);
    server.queue.push_back(1);
    server.start_work(2);
    assert_eq!(server.backlog(), 2);
}

#[test]
fn server_created_with_cached_keys_has_exactly_those_keys_cached() {
    let server = Server::with_cached_keys(3);
    assert!((0..3).all(|key| server.cached.contains(&key)));
    assert_eq!(server.cached.len(), 3);
}
