use crate::api::{ConnectionChange, DeduplicationScope, Event, Idempotency, Settings, Status};
use crate::balancer::Balancer;
use crate::test_support::{end_attempt, node, send_request};

use super::*;

/// A node with four servers of one cell, whose first class is keyed and deduplicated by cells.
fn keyed_node() -> Balancer {
    let mut node = node(0.0, 4);
    let class = &mut node.settings.classes[0];
    class.idempotency = Idempotency::Keyed;
    class.deduplication_scope = DeduplicationScope::Cell;
    class.deduplication_window = 10_000_000;
    for server in &mut node.partition.servers {
        server.entry.cell = Some(1);
    }
    node
}

fn lose_connections(node: &mut Balancer, now: Micros, server: &ServerId) {
    let event = Event::ConnectionsChanged(server.clone(), ConnectionChange::Lost);
    node.handle(now, event, &mut Vec::new());
}

fn resume_connections(node: &mut Balancer, now: Micros, server: &ServerId) {
    let event = Event::ConnectionsChanged(server.clone(), ConnectionChange::Resumed);
    node.handle(now, event, &mut Vec::new());
}

/// Whether a keyed request whose first attempt fails at `now` gets another one, after `before` and, once it is sent, `meanwhile`.
fn is_retried(
    now: Micros,
    before: impl FnOnce(&mut Balancer),
    meanwhile: impl FnOnce(&mut Balancer, &ServerId),
) -> bool {
    let mut node = keyed_node();
    before(&mut node);
    let server = send_request(&mut node, now, 1).unwrap();
    meanwhile(&mut node, &server);
    let actions = end_attempt(&mut node, now + 1000, 1, &server, Status::Error);
    let sends = |action: &crate::api::Action| matches!(action, crate::api::Action::Send { .. });
    actions.iter().any(sends)
}

fn server_ids(node: &Balancer) -> Vec<ServerId> {
    let servers = node.partition.servers.iter();
    servers.map(|s| s.entry.server.clone()).collect()
}

fn lose_all(now: Micros) -> impl FnOnce(&mut Balancer) {
    move |node| {
        for id in server_ids(node) {
            lose_connections(node, now, &id);
        }
    }
}

/// All connections are closed long before `now`, and opened again at that time.
fn close_all_and_resume(now: Micros) -> impl FnOnce(&mut Balancer) {
    move |node| {
        for id in server_ids(node) {
            let closed = Event::ConnectionsChanged(id.clone(), ConnectionChange::Closed);
            node.handle(0, closed, &mut Vec::new());
            resume_connections(node, now, &id);
        }
    }
}

#[test]
fn keyed_request_is_not_retried_between_processes_that_are_unknown() {
    let nothing = |_: &mut Balancer| {};
    assert!(is_retried(0, nothing, |_, _| {}));
    assert!(!is_retried(0, lose_all(0), |_, _| {}));
    assert!(!is_retried(0, nothing, |node, server| {
        lose_connections(node, 500, server);
    }));
}

#[test]
fn process_is_known_again_when_a_change_would_have_been_announced() {
    let delay = announcement_delay(&node(0.0, 4).settings);
    let known_at = delay + node(0.0, 4).settings.connect_timeout;
    let lost_and_resumed = |node: &mut Balancer| {
        lose_all(0)(node);
        for id in server_ids(node) {
            resume_connections(node, 0, &id);
        }
    };
    assert!(!is_retried(known_at - 1, lost_and_resumed, |_, _| {}));
    assert!(is_retried(known_at, lost_and_resumed, |_, _| {}));
    // However long no connection has been open.
    assert!(!is_retried(10 * delay, lose_all(0), |_, _| {}));
    let resumed_at = 10 * delay;
    let resumed = || close_all_and_resume(resumed_at);
    assert!(!is_retried(resumed_at + known_at - 1, resumed(), |_, _| {}));
    assert!(is_retried(resumed_at + known_at, resumed(), |_, _| {}));
    let polling = Settings {
        poll_endpoint_list: true,
        poll_within: 2 * MAX_ANNOUNCEMENT_DELAY,
        ..node(0.0, 4).settings.clone()
    };
    assert_eq!(announcement_delay(&polling), 2 * MAX_ANNOUNCEMENT_DELAY);
}
