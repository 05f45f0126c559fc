use super::*;
use proptest::prelude::*;

const LIFE: Micros = 500_000;

#[test]
fn a_lease_is_good_for_its_life_and_one_start() {
    let mut far = Issuer::new(7, LIFE);
    let lease = far.issue(1_000).unwrap();
    assert_eq!(far.admit(1_000 + LIFE - 1, lease), Ok(()));
    assert_eq!(far.admit(1_000 + LIFE, lease), Err(Late::Over));
    assert_eq!(
        far.admit(1_000, Lease { number: 9, ..lease }),
        Err(Late::Unknown)
    );
    assert_eq!(
        Issuer::new(8, LIFE).admit(1_000, lease),
        Err(Late::OtherStart)
    );
    let newer = far.issue(400_000).unwrap();
    assert_eq!(far.admit(600_000, lease), Err(Late::Over));
    assert_eq!(far.admit(600_000, newer), Ok(()));
}

#[test]
fn no_more_are_out_than_are_kept() {
    let mut far = Issuer::new(7, LIFE);
    assert_eq!((0..2_000).filter_map(|_| far.issue(0)).count(), ISSUED_MOST);
    assert!(far.issue(LIFE).is_some());
}

#[test]
fn a_sender_without_a_new_lease_sends_nothing() {
    let mut near = Holder::new(LIFE);
    assert_eq!(near.current(0, 0), None);
    let lease = |number| Lease { epoch: 7, number };
    near.got(0, lease(4));
    near.got(10, lease(3));
    assert_eq!(near.current(0, 100).map(|(l, _)| l), Some(lease(4)));
    assert_eq!(near.current(LIFE - 100, 100), None);
    near.got(
        LIFE,
        Lease {
            epoch: 8,
            number: 0,
        },
    );
    assert!(near.current(LIFE, 0).is_some(), "another start");
    near.lost();
    assert_eq!(near.current(LIFE, 0), None);
}

proptest! {
    /// Real time drives two clocks that run apart; messages take any time and overtake each other. What is admitted
    /// begins before the sender's own clock says that it can't.
    #[test]
    fn nothing_begins_after_the_sender_knows_that_it_can_not(
        near_offset in -1_000_000_000i64..1_000_000_000,
        near_ppm in -250i64..=250,
        far_ppm in -250i64..=250,
        steps in prop::collection::vec((0i64..200_000, 0i64..700_000, 0i64..2_000_000), 1..60),
    ) {
        let near_at = |t: Micros| near_offset + t + t * near_ppm / 1_000_000;
        let far_at = |t: Micros| t + t * far_ppm / 1_000_000;
        let mut far = Issuer::new(1, LIFE);
        // Real times: when leases arrive at the sender, and when messages arrive at the receiver.
        let (mut leases, mut messages) = (Vec::new(), Vec::new());
        let mut real = 0;
        for (pause, lease_way, message_way) in steps {
            real += pause;
            if let Some(lease) = far.issue(far_at(real)) {
                leases.push((real + lease_way, lease));
            }
            messages.push((real, message_way));
        }
        leases.sort_by_key(|(at, _)| *at);
        let mut near = Holder::new(LIFE);
        let mut arriving = Vec::new();
        let mut come = leases.into_iter().peekable();
        for (at, way) in messages {
            while let Some((got, lease)) = come.next_if(|(got, _)| *got <= at) {
                near.got(near_at(got), lease);
            }
            if let Some((lease, over)) = near.current(near_at(at), 0) {
                arriving.push((at + way, lease, over));
            }
        }
        arriving.sort_by_key(|(at, ..)| *at);
        // The receiver's clock goes on from its last issue.
        for (at, lease, over) in arriving.into_iter().filter(|(at, ..)| *at >= real) {
            if far.admit(far_at(at), lease).is_ok() {
                prop_assert!(near_at(at) < over, "began at {} of the sender, over at {over}", near_at(at));
            }
        }
    }
}
