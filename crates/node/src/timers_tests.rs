use super::*;

#[test]
fn due_in_order_of_time_then_of_setting() {
    let mut timers = Timers::default();
    for (at, token) in [(30, 1), (10, 2), (10, 3), (40, 4)] {
        timers.set(at, Due::DecisionEngine(token));
    }
    let mut due = Vec::new();
    while let Some(d) = timers.pop_due(30) {
        due.push(d);
    }
    assert_eq!(due, [2, 3, 1].map(Due::DecisionEngine));
    assert_eq!(timers.next(), Some(40));
}
