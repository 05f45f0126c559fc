use super::*;

#[test]
fn timers_expire_by_time_and_then_in_the_order_in_which_they_were_set() {
    let mut timers = Timers::default();
    for (at, token) in [(30, 1), (10, 2), (10, 3), (40, 4)] {
        timers.set(at, TimerEvent::DecisionEngine(token));
    }
    let mut expired = Vec::new();
    while let Some(event) = timers.pop_expired(30) {
        expired.push(event);
    }
    assert_eq!(expired, [2, 3, 1].map(TimerEvent::DecisionEngine));
    assert_eq!(timers.next(), Some(40));
}
