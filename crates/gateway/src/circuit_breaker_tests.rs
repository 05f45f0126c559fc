use super::*;

const LIMITS: CircuitBreakerLimits = CircuitBreakerLimits {
    failure_threshold: 3,
    initial_backoff: 1_000,
    max_backoff: 4_000,
    max_tokens: 10.0,
    tokens_per_success: 0.1,
};

fn cross_with_outcome(breaker: &mut CircuitBreaker, now: Micros, outcome: CrossingOutcome) {
    assert!(breaker.try_cross(now));
    breaker.record(now, outcome);
}

#[test]
fn breaker_opens_after_consecutive_failures_and_admits_one_probe_request() {
    let mut breaker = CircuitBreaker::new(LIMITS);
    for outcome in [
        CrossingOutcome::Failed,
        CrossingOutcome::Failed,
        CrossingOutcome::Served,
        CrossingOutcome::Failed,
        CrossingOutcome::Failed,
    ] {
        cross_with_outcome(&mut breaker, 0, outcome);
        assert!(!breaker.is_open());
    }
    cross_with_outcome(&mut breaker, 0, CrossingOutcome::Failed);
    assert!(breaker.is_open() && !breaker.try_cross(999));
    assert!(breaker.try_cross(1_000), "a probe request");
    assert!(!breaker.try_cross(1_000), "one probe request at a time");
    breaker.record(1_100, CrossingOutcome::Failed);
    assert!(
        !breaker.try_cross(3_000) && breaker.try_cross(3_100),
        "twice the backoff"
    );
    breaker.record(3_100, CrossingOutcome::Rejected);
    assert!(!breaker.try_cross(7_000) && breaker.try_cross(7_100));
    breaker.record(7_100, CrossingOutcome::Failed);
    assert!(
        !breaker.try_cross(11_000) && breaker.try_cross(11_100),
        "the maximum backoff"
    );
    breaker.record(11_100, CrossingOutcome::Cancelled);
    assert!(
        breaker.try_cross(11_101),
        "the cancelled probe request is repeated"
    );
    breaker.record(11_200, CrossingOutcome::Served);
    assert!(!breaker.is_open() && breaker.try_cross(11_200));
    assert!(!breaker.try_cross(11_200), "a single request at first");
}

#[test]
fn rejections_exhaust_the_tokens_and_successes_refill_them() {
    let mut breaker = CircuitBreaker::new(LIMITS);
    for _ in 0..10 {
        cross_with_outcome(&mut breaker, 0, CrossingOutcome::Rejected);
    }
    assert!(!breaker.is_open() && !breaker.try_cross(0));
    let mut breaker = CircuitBreaker::new(LIMITS);
    for _ in 0..1_000 {
        cross_with_outcome(&mut breaker, 0, CrossingOutcome::Served);
    }
    assert!((breaker.tokens - 10.0).abs() < 1e-9);
}

#[test]
fn late_success_does_not_close_an_open_breaker() {
    let mut breaker = CircuitBreaker::new(LIMITS);
    assert!((0..5).all(|_| breaker.try_cross(0)));
    (0..3).for_each(|_| breaker.record(10, CrossingOutcome::Failed));
    breaker.record(20, CrossingOutcome::Served);
    assert!(breaker.is_open() && !breaker.try_cross(20));
}

#[test]
fn near_fleet_serves_a_growing_fraction_after_an_outage() {
    let mut ramp = RecoveryRamp::new(0.13, 24_000);
    assert_eq!(ramp.fraction(5), 1.0);
    ramp.fail();
    assert_eq!(ramp.fraction(1_000_000), 0.0);
    ramp.recover(10_000);
    ramp.recover(20_000);
    assert!((ramp.fraction(10_000) - 0.13).abs() < 1e-9);
    assert!((ramp.fraction(22_000) - 0.565).abs() < 1e-9);
    assert_eq!(ramp.fraction(50_000), 1.0);
    ramp.fail();
    assert_eq!(ramp.fraction(50_000), 0.0);
}
