//! What the deduplication window of a keyed request allows for its attempts and its final response.

use crate::api::{
    Action, Actions, AttemptOutcome, Event, Idempotency, Micros, Request, ServerId, Status,
};
use crate::balancer::Balancer;
use crate::test_support::node;

const WINDOW: Micros = 300_000;
const BUDGET: Micros = 900_000;

/// A node with four servers, whose first class is keyed, and deduplicated for [`WINDOW`].
fn keyed_node() -> Balancer {
    let mut node = node(0.0, 4);
    let class = &mut node.settings.classes[0];
    class.idempotency = Idempotency::Keyed;
    class.deduplication_window = WINDOW;
    class.deadline = BUDGET;
    class.late_weight = 0.5;
    node
}

fn send_write(node: &mut Balancer, now: Micros, earlier_request_sent: Option<Micros>) -> Actions {
    let request = Request {
        id: "w".into(),
        class: 0,
        tenant: None,
        key: Some("k".into()),
        budget: BUDGET,
        work: None,
        size: None,
        is_client_retry: false,
        write: true,
        earlier_request_sent,
    };
    let mut actions = Actions::new();
    node.handle(now, Event::Request(request), &mut actions);
    actions
}

fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    })
}

fn end_attempt(node: &mut Balancer, now: Micros, attempt: usize, status: Status) -> Actions {
    let server = node.in_flight.by_id(&"w".into()).unwrap().attempts[attempt]
        .server
        .clone();
    let mut actions = Actions::new();
    let outcome = AttemptOutcome {
        request: "w".into(),
        server,
        attempt,
        latency: 1000,
        status,
        is_final: false,
        cache_result: None,
        load: None,
    };
    node.handle(now, Event::AttemptEnded(outcome), &mut actions);
    actions
}

/// The timers among actions at `now`, by the time at which they expire.
fn timers(now: Micros, actions: &[Action]) -> Vec<(Micros, u64)> {
    let timer = |action: &Action| match action {
        Action::SetTimer { delay, token } => Some((now + delay, *token)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

/// Lets those timers expire that are due by `until`. Returns the attempts that are cancelled unless they were received.
fn cancelled_unreceived(
    node: &mut Balancer,
    timers: &[(Micros, u64)],
    until: Micros,
) -> Vec<usize> {
    let mut cancelled = Vec::new();
    for (at, token) in timers.iter().filter(|(at, _)| *at <= until) {
        let mut actions = Actions::new();
        node.handle(*at, Event::TimerExpired(*token), &mut actions);
        cancelled.extend(actions.iter().filter_map(|action| match action {
            Action::CancelUnreceived { attempt, .. } => Some(*attempt),
            _ => None,
        }));
    }
    cancelled
}

#[test]
fn repeat_is_cancelled_unless_received_when_the_servers_forget_the_first_attempt() {
    let mut node = keyed_node();
    let mut set = timers(1000, &send_write(&mut node, 1000, None));
    let repeated = end_attempt(&mut node, 101_000, 0, Status::Reset);
    assert!(sent_to(&repeated).is_some());
    set.extend(timers(101_000, &repeated));
    let window_end = 1000 + WINDOW;
    let early = cancelled_unreceived(&mut node, &set, window_end - 10_000);
    assert!(early.is_empty(), "{early:?}");
    assert_eq!(cancelled_unreceived(&mut node, &set, window_end), [1]);
}

#[test]
fn attempt_without_another_that_may_have_run_is_not_cancelled() {
    let mut node = keyed_node();
    let mut set = timers(1000, &send_write(&mut node, 1000, None));
    set.extend(timers(
        101_000,
        &end_attempt(&mut node, 101_000, 0, Status::Rejected),
    ));
    assert_eq!(cancelled_unreceived(&mut node, &set, BUDGET / 2).len(), 0);
}

#[test]
fn write_whose_repeat_was_cancelled_after_the_window_fails_and_is_not_rejected() {
    for status in [Status::Cancelled, Status::NotSent] {
        let mut node = keyed_node();
        send_write(&mut node, 1000, None);
        end_attempt(&mut node, 101_000, 0, Status::Reset);
        let actions = end_attempt(&mut node, 1000 + WINDOW, 1, status);
        assert_eq!(
            actions,
            [Action::Fail {
                request: "w".into()
            }],
            "{status:?}"
        );
    }
}

#[test]
fn rejection_does_not_tell_the_client_to_retry_after_the_window() {
    let mut node = keyed_node();
    send_write(&mut node, 1000, None);
    let request = node.in_flight.by_id(&"w".into()).unwrap();
    let rest = WINDOW - 10_000;
    let settings = node.settings.clone();
    let request = &*request;
    assert!(request.may_reject(&settings, 11_000, rest / 2));
    assert!(!request.may_reject(&settings, 11_000, rest));
}

#[test]
fn attempt_after_an_earlier_request_with_its_key_is_bound_by_the_window_of_that_request() {
    let mut node = keyed_node();
    let set = timers(201_000, &send_write(&mut node, 201_000, Some(1000)));
    assert!(node.may_start_attempt(1000 + WINDOW - 10_000, &"w".into(), 0));
    assert!(!node.may_start_attempt(1000 + WINDOW, &"w".into(), 0));
    assert_eq!(cancelled_unreceived(&mut node, &set, 1000 + WINDOW), [0]);
}

#[test]
fn request_that_ends_leaves_no_attempt_that_could_arrive_after_the_window() {
    let mut node = keyed_node();
    node.settings.cancel = false;
    send_write(&mut node, 1000, None);
    end_attempt(&mut node, 101_000, 0, Status::Reset);
    let mut actions = Actions::new();
    node.handle(102_000, Event::ClientDisconnected("w".into()), &mut actions);
    let cancelled = Action::CancelUnreceived {
        request: "w".into(),
        attempt: 1,
    };
    assert_eq!(actions, [cancelled]);
}

#[test]
fn repeat_is_not_cancelled_where_the_window_lasts_until_the_deadline() {
    for window in [BUDGET, 2 * BUDGET] {
        let mut node = keyed_node();
        node.settings.classes[0].deduplication_window = window;
        let mut set = timers(1000, &send_write(&mut node, 1000, None));
        let repeated = end_attempt(&mut node, 101_000, 0, Status::Reset);
        assert!(sent_to(&repeated).is_some(), "{window}");
        set.extend(timers(101_000, &repeated));
        let cancelled = cancelled_unreceived(&mut node, &set, 1000 + BUDGET);
        assert!(cancelled.is_empty(), "{window}: {cancelled:?}");
    }
}
