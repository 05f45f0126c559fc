use super::*;
use crate::api::{Action, AttemptOutcome, Event, Request};
use crate::hash::hash;
use crate::retry::MAX_TOKENS;
use crate::test_support::{end_attempt, node, send_request, set_failing_fraction};
use crate::timer_token::TimerToken;

#[test]
fn failing_origin_causes_rejection_of_uncached_keys_before_recently_served_ones() {
    let mut node = node(0.0, 8);
    set_failing_fraction(&mut node, 0.5);
    for n in 0..200 {
        if let Some(server) = send_request(&mut node, i64::from(n) * 1000, n) {
            end_attempt(&mut node, i64::from(n) * 1000, n, &server, Status::Error);
        }
    }
    node.recently_served
        .served_at
        .extend((1000..1200).map(|n| (hash(&format!("k{n}")), 0)));
    let uncached = (500..700)
        .filter(|n| send_request(&mut node, 300_000, *n).is_some())
        .count();
    let recently_served = (1000..1200)
        .filter(|n| send_request(&mut node, 300_000, *n).is_some())
        .count();
    assert!(
        uncached < 50 && recently_served > 120,
        "{uncached} uncached, {recently_served} recently served, sent of 200 each"
    );
}

#[test]
fn failed_fetches_alone_do_not_lower_the_admitted_fraction() {
    // A single miss may exceed the latency objective without a fault. While recently served keys are
    // answered, nothing is rejected because of it.
    let mut node = node(0.0, 8);
    for n in 0..200 {
        let now = i64::from(n) * 1000;
        let server = send_request(&mut node, now, n).expect("sent");
        end_attempt(&mut node, now, n, &server, Status::Error);
        node.recently_served
            .served_at
            .insert(hash(&format!("k{}", 1000 + n)), now);
        let server = send_request(&mut node, now, 1000 + n).expect("sent");
        end_attempt(&mut node, now, 1000 + n, &server, Status::Ok);
    }
    assert_eq!(node.origin_health.admitted_fraction, 1.0);
}

#[test]
fn late_fetches_lower_the_admitted_fraction() {
    for (latency, least, most) in [(100_000, 1.0, 1.0), (400_000, 0.0, 0.5)] {
        let mut node = node(0.0, 8);
        set_failing_fraction(&mut node, 0.5);
        node.settings.classes[0].late_weight = 0.25;
        for n in 0..100 {
            let now = i64::from(n) * 1000;
            if let Some(server) = send_request(&mut node, now, n) {
                end_attempt(&mut node, now + latency, n, &server, Status::Ok);
            }
        }
        assert!(
            (least..=most).contains(&node.origin_health.admitted_fraction),
            "{} after {latency}",
            node.origin_health.admitted_fraction
        );
    }
}

#[test]
fn failing_origin_is_probed_and_failed_keys_are_no_longer_recently_served() {
    let mut node = node(0.0, 8);
    set_failing_fraction(&mut node, 0.5);
    node.origin_health.admitted_fraction = MIN_ADMITTED_FRACTION;
    let sent = (0..100)
        .filter(|n| send_request(&mut node, 700_000 * i64::from(*n), *n).is_some())
        .count();
    assert_eq!(sent, 99, "one probe in each deadline");
    node.origin_health.admitted_fraction = 1.0;
    let server = send_request(&mut node, 80_000_000, 500).expect("sent");
    end_attempt(&mut node, 80_001_000, 500, &server, Status::Ok);
    assert!(node.recently_served.served_at.contains_key(&hash("k500")));
    let (n, key) = (501, hash("k500"));
    send_request(&mut node, 80_002_000, n);
    if let Some(request) = node.in_flight.requests.values_mut().last() {
        request.key = Some(key);
        request.likely_uncached = false;
    }
    end_attempt(&mut node, 80_003_000, n, &server, Status::Error);
    assert!(!node.recently_served.served_at.contains_key(&key));
}

#[test]
fn failures_of_all_servers_lower_the_admitted_fraction_and_those_of_a_few_do_not() {
    for (failing, lowered) in [(2, false), (8, true)] {
        let mut node = node(0.0, 8);
        node.partition
            .servers
            .iter_mut()
            .take(failing)
            .for_each(|s| s.failing_fraction = 0.9);
        for n in 0..100 {
            node.record_fetch(n % 4 != 0);
        }
        assert_eq!(
            node.origin_health.admitted_fraction < 0.9,
            lowered,
            "{failing} of 8: {}",
            node.origin_health.admitted_fraction
        );
    }
}

/// Sends a request for a key that was not served recently and lets it end unanswered; returns the actions
/// at its arrival and at its end.
fn send_unanswered(node: &mut Balancer, now: Micros, n: u32) -> (Vec<Action>, Vec<Action>) {
    let (mut sent, mut ended) = (Vec::new(), Vec::new());
    let request = Request {
        id: format!("r{n}").into(),
        class: 0,
        tenant: None,
        key: Some(format!("k{n}").into()),
        budget: 500_000,
        work: None,
        size: None,
        is_client_retry: false,
        earlier_request_sent: None,
        write: false,
    };
    node.handle(now, Event::Request(request), &mut sent);
    let token = TimerToken::Deadline(node.in_flight.next_serial - 1).into();
    node.handle(now + 146_000, Event::TimerExpired(token), &mut ended);
    (sent, ended)
}

// Guards against an overload that outlives its cause: a fetch that is cancelled with its request is dropped
// by the server, no cache is filled, and each further request becomes a fetch again.
#[test]
fn fetch_outlives_its_request_while_the_origin_is_overloaded() {
    let mut node = node(0.0, 8);
    let cancels = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    let rejections = |actions: &[Action]| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count()
    };
    let timeout = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        })
    };
    let (sent, ended) = send_unanswered(&mut node, 0, 0);
    assert!(cancels(&ended) && rejections(&ended) == 1 && timeout(&sent).unwrap() < 150_000);
    let overloaded_at = (1..100).find(|n| {
        send_unanswered(&mut node, 150_000 * i64::from(*n), *n);
        node.origin_health.is_overloaded_for(
            150_000 * i64::from(*n) + 146_000,
            RequestKind::LikelyUncached,
        )
    });
    assert!(
        overloaded_at.is_some_and(|n| n > 3),
        "an overload after {overloaded_at:?} requests without an answer"
    );
    // Most requests are now rejected at once, with a Retry-After, and a fraction is admitted.
    let now = 20_000_000;
    (200..220).for_each(|n| {
        send_unanswered(&mut node, now - 200_000, n);
    });
    let all: Vec<_> = (300..400)
        .map(|n| send_unanswered(&mut node, now, n))
        .collect();
    let (admitted, shed): (Vec<_>, Vec<_>) = all
        .into_iter()
        .partition(|(sent, _)| timeout(sent).is_some());
    assert!(
        (10..60).contains(&admitted.len()),
        "{} of 100 admitted",
        admitted.len()
    );
    assert!(shed.iter().all(|(sent, _)| rejections(sent) == 1));
    let (sent, ended) = &admitted[0];
    assert_eq!(
        (cancels(ended), rejections(ended)),
        (false, 1),
        "the request is rejected and its fetch continues"
    );
    // The timeout is the client's budget, which is shorter here than the deadline of the class.
    assert_eq!(timeout(sent), Some(500_000));
    assert!(
        node.in_flight.requests.is_empty()
            && node
                .partition
                .servers
                .iter()
                .all(|s| s.pending_attempts == 0)
    );
}

// Guards against an overload detected at a node with little traffic because of a single write that every
// server rejects.
#[test]
fn one_request_that_fails_at_many_servers_is_no_overload() {
    let mut node = node(0.0, 8);
    for n in 0..3 {
        node.retry_budget.tokens = MAX_TOKENS;
        send_request(&mut node, 1000, n).expect("sent");
        for attempt in 0..4 {
            let Some(request) = node.in_flight.requests.values().last() else {
                break;
            };
            let server = request.attempts[attempt].server.clone();
            let event = Event::AttemptEnded(AttemptOutcome {
                request: format!("r{n}").into(),
                server,
                attempt,
                latency: 1_000,
                status: Status::Rejected,
                is_final: false,
                cache_result: None,
                load: None,
            });
            node.in_flight
                .requests
                .values_mut()
                .last()
                .expect("request in flight")
                .request
                .write = true;
            node.handle(2_000, event, &mut Vec::new());
        }
    }
    assert!(!node
        .origin_health
        .is_overloaded_for(2_000, RequestKind::Write));
}
