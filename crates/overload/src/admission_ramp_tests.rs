use super::*;
use proptest::prelude::*;

#[test]
fn fraction_falls_in_an_overload_and_is_one_a_second_after_its_end() {
    let mut ramp = AdmissionRamp::new(0);
    let fractions: Vec<f64> = (0..30)
        .map(|n| ramp.admitted_fraction(n * 100_000, true))
        .collect();
    assert!(
        fractions.windows(2).all(|w| w[1] <= w[0]) && fractions[29] < 1.1 * FAST_FALL_ABOVE,
        "{fractions:?}"
    );
    let fractions: Vec<f64> = (30..42)
        .map(|n| ramp.admitted_fraction(n * 100_000, false))
        .collect();
    assert!(fractions[1] < 0.5, "in steps");
    assert_eq!(fractions[11], 1.0);
}

#[test]
fn fraction_rises_less_each_time_while_the_load_stays_too_high() {
    let (mut ramp, mut now) = (AdmissionRamp::new(0), 0);
    let mut tops = Vec::new();
    for _ in 0..4 {
        for (overloaded, steps) in [(true, 20), (false, 8)] {
            for _ in 0..steps {
                now += 100_000;
                ramp.admitted_fraction(now, overloaded);
            }
        }
        tops.push(ramp.admitted_fraction(now, false));
    }
    assert!(tops.windows(2).all(|w| w[1] < w[0]), "{tops:?}");
    assert!(
        (0..600).any(|n| ramp.admitted_fraction(now + n * 100_000, true) <= MIN_FRACTION),
        "shut in the end"
    );
}

#[test]
fn fraction_rises_from_its_minimum_to_one_in_two_seconds_after_calm_and_in_five_otherwise() {
    for (fast_rise_below, most) in [(1.0, 20), (MIN_FRACTION / 2.0, 50)] {
        let mut ramp = AdmissionRamp {
            fraction: MIN_FRACTION,
            fast_rise_below,
            overloaded: true,
            updated: 0,
        };
        let complete = (1..=most).find(|n| ramp.admitted_fraction(n * 100_000, false) >= 1.0);
        assert!(
            complete.is_some(),
            "not whole after {most} tenths of a second"
        );
    }
}

#[test]
fn pause_of_the_process_does_not_lower_the_fraction_by_its_length() {
    let mut ramp = AdmissionRamp::new(0);
    assert!(ramp.admitted_fraction(60_000_000, true) > 0.3);
}

proptest! {
    #[test]
    fn fraction_stays_within_its_bounds(steps in proptest::collection::vec((-5_000_000..5_000_000i64, any::<bool>()), 0..200)) {
        let (mut ramp, mut now) = (AdmissionRamp::new(0), 0);
        for (step, overloaded) in steps {
            now += step;
            let fraction = ramp.admitted_fraction(now, overloaded);
            prop_assert!((MIN_FRACTION..=1.0).contains(&fraction));
            prop_assert_eq!(ramp.admitted_fraction(now, !overloaded), fraction);
        }
    }
}
