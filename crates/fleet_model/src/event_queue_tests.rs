//! Order, end time and cancellation of scheduled events, and serial numbers.

use crate::event_queue::{EventQueue, FleetEvent};

/// Pops all events due before `end`; returns the times and keys of the client retries among them.
fn pop_client_retries(queue: &mut EventQueue, end: i64) -> Vec<(i64, usize)> {
    let mut popped = Vec::new();
    while let Some((at, event)) = queue.pop_before(end) {
        if let FleetEvent::ClientRetry(key) = event {
            popped.push((at, key));
        }
    }
    popped
}

#[test]
fn events_are_popped_by_time_and_then_in_order_of_scheduling() {
    let mut queue = EventQueue::default();
    for (at, key) in [(20, 1), (10, 2), (20, 3), (10, 4)] {
        queue.schedule(at, FleetEvent::ClientRetry(key));
    }
    assert_eq!(
        pop_client_retries(&mut queue, 100),
        [(10, 2), (10, 4), (20, 1), (20, 3)]
    );
}

#[test]
fn event_due_at_the_end_stays_scheduled() {
    let mut queue = EventQueue::default();
    queue.schedule(10, FleetEvent::ClientRetry(1));
    assert!(queue.pop_before(10).is_none());
    assert_eq!(pop_client_retries(&mut queue, 11), [(10, 1)]);
}

#[test]
fn cancelling_timers_of_a_node_keeps_timers_of_other_nodes_and_other_events() {
    let mut queue = EventQueue::default();
    for node in [0, 1] {
        queue.schedule(10, FleetEvent::NodeTimer { node, token: 7 });
    }
    queue.schedule(10, FleetEvent::NodeRestart);
    queue.cancel_timers(0);
    let timer = queue.pop_before(100);
    assert!(matches!(
        timer,
        Some((10, FleetEvent::NodeTimer { node: 1, token: 7 }))
    ));
    let restart = queue.pop_before(100);
    assert!(matches!(restart, Some((10, FleetEvent::NodeRestart))));
    assert!(queue.pop_before(100).is_none());
}

#[test]
fn scheduled_event_takes_a_serial_number() {
    let mut queue = EventQueue::default();
    assert_eq!(queue.next_serial(), 1);
    queue.schedule(10, FleetEvent::Arrival);
    assert_eq!(queue.next_serial(), 3);
}
