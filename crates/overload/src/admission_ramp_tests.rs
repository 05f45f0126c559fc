use super::*;
use proptest::prelude::*;

#[test]
fn fraction_falls_during_an_overload_and_is_one_within_1200_ms_after_its_end() {
    let mut ramp = AdmissionRamp::new(0);
    let fractions: Vec<f64> = (0..30)
        .map(|n| ramp.admitted_fraction(n * 100_000, true))
        .collect();
    assert!(
        fractions.windows(2).all(|w| w[1] <= w[0]) && fractions[29] < 1.1 * FAST_FALL_THRESHOLD,
        "{fractions:?}"
    );
    let fractions: Vec<f64> = (30..42)
        .map(|n| ramp.admitted_fraction(n * 100_000, false))
        .collect();
    assert!(fractions[1] < 0.5, "the fraction rises gradually");
    assert_eq!(fractions[11], 1.0);
}

#[test]
fn fraction_peaks_decline_while_the_load_stays_too_high() {
    let (mut ramp, mut now) = (AdmissionRamp::new(0), 0);
    let mut peaks = Vec::new();
    for _ in 0..4 {
        for (overloaded, steps) in [(true, 20), (false, 8)] {
            for _ in 0..steps {
                now += 100_000;
                ramp.admitted_fraction(now, overloaded);
            }
        }
        peaks.push(ramp.admitted_fraction(now, false));
    }
    assert!(peaks.windows(2).all(|w| w[1] < w[0]), "{peaks:?}");
    assert!(
        (0..600).any(|n| ramp.admitted_fraction(now + n * 100_000, true) <= MIN_FRACTION),
        "the fraction reaches its minimum"
    );
}

#[test]
fn fraction_rises_to_one_within_two_seconds_and_within_five_after_an_overload_during_the_rise() {
    for (fast_rise_threshold, max_steps) in [(1.0, 20), (MIN_FRACTION / 2.0, 50)] {
        let mut ramp = AdmissionRamp {
            fraction: MIN_FRACTION,
            fast_rise_threshold,
            overloaded: true,
            updated_at: 0,
        };
        let steps_to_one =
            (1..=max_steps).find(|n| ramp.admitted_fraction(n * 100_000, false) >= 1.0);
        assert!(
            steps_to_one.is_some(),
            "the fraction is below 1 after {max_steps} steps of 100 ms"
        );
    }
}

#[test]
fn suspension_of_the_process_lowers_the_fraction_by_at_most_one_step() {
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
