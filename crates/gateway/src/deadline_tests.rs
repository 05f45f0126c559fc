use super::*;

#[test]
fn what_is_left_is_less_both_ways_and_the_margin() {
    let mut delay = Delay::default();
    assert_eq!(
        delay.left(400_000, 0, 1),
        None,
        "nothing is known of the link"
    );
    delay.measured(20_000);
    assert_eq!(
        delay.left(400_000, 5_000, 30_000),
        Some(400_000 - 20_002 - 5_000)
    );
    // 300 ms each way of 400 ms: it is not sent.
    delay.measured(600_000);
    assert_eq!(delay.left(400_000, 5_000, 30_000), None);
    // One quick heartbeat after a slow one counts.
    delay.measured(20_000);
    assert!(delay.left(400_000, 5_000, 30_000).is_some());
    for n in 0..20 {
        delay.measured(n);
    }
    assert_eq!(
        (delay.round_trips.len(), delay.one_way()),
        (KEPT, Some(19 / 2 + 1))
    );
}
