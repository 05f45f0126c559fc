use super::*;
use proptest::prelude::*;

const TTL: Micros = 500_000;

#[test]
fn lease_is_admitted_within_its_ttl_and_only_by_the_incarnation_that_issued_it() {
    let mut receiver = LeaseIssuer::new(7, TTL);
    let lease = receiver.issue(1_000).unwrap();
    assert_eq!(receiver.admit(1_000 + TTL - 1, lease), Ok(()));
    assert_eq!(receiver.admit(1_000 + TTL, lease), Err(LeaseError::Expired));
    assert_eq!(
        receiver.admit(1_000, Lease { number: 9, ..lease }),
        Err(LeaseError::NeverIssued)
    );
    assert_eq!(
        LeaseIssuer::new(8, TTL).admit(1_000, lease),
        Err(LeaseError::OtherIncarnation)
    );
    let newer = receiver.issue(400_000).unwrap();
    assert_eq!(receiver.admit(600_000, lease), Err(LeaseError::Expired));
    assert_eq!(receiver.admit(600_000, newer), Ok(()));
}

#[test]
fn number_of_unexpired_leases_is_bounded() {
    let mut receiver = LeaseIssuer::new(7, TTL);
    assert_eq!(
        (0..2_000).filter_map(|_| receiver.issue(0)).count(),
        MAX_ISSUED_LEASES
    );
    assert!(receiver.issue(TTL).is_some());
}

#[test]
fn sender_without_an_unexpired_lease_cannot_send() {
    let mut sender = LeaseHolder::new(TTL);
    assert_eq!(sender.current(0, 0), None);
    let lease = |number| Lease { epoch: 7, number };
    sender.receive(0, lease(4));
    sender.receive(10, lease(3));
    assert_eq!(
        sender.current(0, 100).map(|current| current.lease),
        Some(lease(4))
    );
    assert_eq!(sender.current(TTL - 100, 100), None);
    sender.receive(
        TTL,
        Lease {
            epoch: 8,
            number: 0,
        },
    );
    assert!(
        sender.current(TTL, 0).is_some(),
        "the lease of another incarnation replaces the expired one"
    );
    sender.invalidate();
    assert_eq!(sender.current(TTL, 0), None);
}

proptest! {
    /// Two clocks run at different rates of real time; messages take any time and overtake each other. Each message
    /// that is admitted is admitted before its lease expires on the sender's clock.
    #[test]
    fn no_message_is_admitted_after_its_lease_has_expired_on_the_senders_clock(
        sender_offset in -1_000_000_000i64..1_000_000_000,
        sender_ppm in -250i64..=250,
        receiver_ppm in -250i64..=250,
        steps in prop::collection::vec((0i64..200_000, 0i64..700_000, 0i64..2_000_000), 1..60),
    ) {
        let sender_clock = |time: Micros| sender_offset + time + time * sender_ppm / 1_000_000;
        let receiver_clock = |time: Micros| time + time * receiver_ppm / 1_000_000;
        let mut receiver = LeaseIssuer::new(1, TTL);
        // In real time: when leases arrive at the sender, and when messages are sent and how long they take.
        let (mut leases, mut messages) = (Vec::new(), Vec::new());
        let mut last_issue = 0;
        for (pause, lease_delay, message_delay) in steps {
            last_issue += pause;
            if let Some(lease) = receiver.issue(receiver_clock(last_issue)) {
                leases.push((last_issue + lease_delay, lease));
            }
            messages.push((last_issue, message_delay));
        }
        leases.sort_by_key(|(arrives_at, _)| *arrives_at);
        let mut sender = LeaseHolder::new(TTL);
        let mut in_transit = Vec::new();
        let mut leases = leases.into_iter().peekable();
        for (sent_at, delay) in messages {
            while let Some((arrived_at, lease)) = leases.next_if(|(at, _)| *at <= sent_at) {
                sender.receive(sender_clock(arrived_at), lease);
            }
            if let Some(current) = sender.current(sender_clock(sent_at), 0) {
                in_transit.push((sent_at + delay, current));
            }
        }
        in_transit.sort_by_key(|(arrives_at, _)| *arrives_at);
        // The receiver's clock does not go back, so messages that arrive before its last issue are not checked.
        for (arrives_at, current) in in_transit.into_iter().filter(|(at, _)| *at >= last_issue) {
            if receiver.admit(receiver_clock(arrives_at), current.lease).is_ok() {
                let admitted_at = sender_clock(arrives_at);
                let expires_at = current.expires_at;
                prop_assert!(admitted_at < expires_at, "admitted at {admitted_at}, lease expires at {expires_at}");
            }
        }
    }
}
