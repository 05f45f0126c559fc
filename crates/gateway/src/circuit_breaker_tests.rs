use super::*;

const LIMITS: Limits = Limits {
    failures: 3,
    pause: 1_000,
    pause_most: 4_000,
    budget: 10.0,
    earned: 0.1,
};

fn crossed(b: &mut Breaker, now: Micros, how: Crossing) {
    assert!(b.cross(now));
    b.ended(now, how);
}

#[test]
fn it_opens_after_failures_in_a_row_and_lets_one_trial_through() {
    let mut b = Breaker::new(LIMITS);
    for how in [
        Crossing::Failed,
        Crossing::Failed,
        Crossing::Served,
        Crossing::Failed,
        Crossing::Failed,
    ] {
        crossed(&mut b, 0, how);
        assert!(!b.open());
    }
    crossed(&mut b, 0, Crossing::Failed);
    assert!(b.open() && !b.cross(999));
    assert!(b.cross(1_000), "a trial");
    assert!(!b.cross(1_000), "one at a time");
    b.ended(1_100, Crossing::Failed);
    assert!(!b.cross(3_000) && b.cross(3_100), "twice the pause");
    b.ended(3_100, Crossing::Refused);
    assert!(!b.cross(7_000) && b.cross(7_100));
    b.ended(7_100, Crossing::Failed);
    assert!(
        !b.cross(11_000) && b.cross(11_100),
        "no longer than the longest"
    );
    b.ended(11_100, Crossing::Withdrawn);
    assert!(b.cross(11_101), "which told nothing");
    b.ended(11_200, Crossing::Served);
    assert!(!b.open() && b.cross(11_200));
    assert!(!b.cross(11_200), "few at first");
}

#[test]
fn refusals_use_the_budget_up_and_successes_earn_it() {
    let mut b = Breaker::new(LIMITS);
    for _ in 0..10 {
        crossed(&mut b, 0, Crossing::Refused);
    }
    assert!(!b.open() && !b.cross(0));
    let mut b = Breaker::new(LIMITS);
    for _ in 0..1_000 {
        crossed(&mut b, 0, Crossing::Served);
    }
    assert!((b.tokens - 10.0).abs() < 1e-9);
}

#[test]
fn what_comes_in_late_does_not_close_it() {
    let mut b = Breaker::new(LIMITS);
    assert!((0..5).all(|_| b.cross(0)));
    (0..3).for_each(|_| b.ended(10, Crossing::Failed));
    b.ended(20, Crossing::Served);
    assert!(b.open() && !b.cross(20));
}

#[test]
fn traffic_comes_home_as_the_fleet_warms() {
    let mut home = Homecoming::new(0.13, 24_000);
    assert_eq!(home.part(5), 1.0);
    home.gone();
    assert_eq!(home.part(1_000_000), 0.0);
    home.back(10_000);
    home.back(20_000);
    assert!((home.part(10_000) - 0.13).abs() < 1e-9);
    assert!((home.part(22_000) - 0.565).abs() < 1e-9);
    assert_eq!(home.part(50_000), 1.0);
    home.gone();
    assert_eq!(home.part(50_000), 0.0);
}
