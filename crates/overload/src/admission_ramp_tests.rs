use super::*;
use proptest::prelude::*;

#[test]
fn it_closes_in_a_jam_and_is_open_a_second_after_its_end() {
    let mut opening = Opening::new(0);
    let shares: Vec<f64> = (0..30).map(|n| opening.share(n * 100_000, true)).collect();
    assert!(
        shares.windows(2).all(|w| w[1] <= w[0]) && shares[29] < 1.1 * FAST,
        "{shares:?}"
    );
    let shares: Vec<f64> = (30..42)
        .map(|n| opening.share(n * 100_000, false))
        .collect();
    assert!(shares[1] < 0.5, "in steps");
    assert_eq!(shares[11], 1.0);
}

#[test]
fn a_load_that_stays_too_high_is_come_back_to_more_slowly_each_time() {
    let (mut opening, mut now) = (Opening::new(0), 0);
    let mut tops = Vec::new();
    for _ in 0..4 {
        for (jam, steps) in [(true, 20), (false, 8)] {
            for _ in 0..steps {
                now += 100_000;
                opening.share(now, jam);
            }
        }
        tops.push(opening.share(now, false));
    }
    assert!(tops.windows(2).all(|w| w[1] < w[0]), "{tops:?}");
    assert!(
        (0..600).any(|n| opening.share(now + n * 100_000, true) <= LEAST),
        "shut in the end"
    );
}

#[test]
fn from_the_least_it_is_whole_in_two_seconds_after_calm_and_in_five_otherwise() {
    for (half, most) in [(1.0, 20), (LEAST / 2.0, 50)] {
        let mut opening = Opening {
            share: LEAST,
            half,
            jam: true,
            at: 0,
        };
        let whole = (1..=most).find(|n| opening.share(n * 100_000, false) >= 1.0);
        assert!(whole.is_some(), "not whole after {most} tenths of a second");
    }
}

#[test]
fn a_process_that_was_stopped_does_not_wake_closed_for_its_pause() {
    let mut opening = Opening::new(0);
    assert!(opening.share(60_000_000, true) > 0.3);
}

proptest! {
    #[test]
    fn the_share_stays_within_its_bounds(steps in proptest::collection::vec((-5_000_000..5_000_000i64, any::<bool>()), 0..200)) {
        let (mut opening, mut now) = (Opening::new(0), 0);
        for (step, jam) in steps {
            now += step;
            let share = opening.share(now, jam);
            prop_assert!((LEAST..=1.0).contains(&share));
            prop_assert_eq!(opening.share(now, !jam), share);
        }
    }
}
