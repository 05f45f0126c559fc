use super::*;

#[test]
fn far_site_budget_excludes_both_directions_and_the_margin() {
    let mut delay = LinkDelay::default();
    assert_eq!(
        delay.far_site_budget(400_000, 0, 1),
        None,
        "the delay of the link is unknown"
    );
    delay.record_round_trip(20_000);
    assert_eq!(
        delay.far_site_budget(400_000, 5_000, 30_000),
        Some(400_000 - 20_002 - 5_000)
    );
    // A delay of 300 ms in each direction leaves no budget of 400 ms.
    delay.record_round_trip(600_000);
    assert_eq!(delay.far_site_budget(400_000, 5_000, 30_000), None);
    // One fast heartbeat after a slow one suffices for a budget again.
    delay.record_round_trip(20_000);
    assert!(delay.far_site_budget(400_000, 5_000, 30_000).is_some());
    for n in 0..20 {
        delay.record_round_trip(n);
    }
    assert_eq!(
        (delay.round_trips.len(), delay.one_way_delay()),
        (MAX_ROUND_TRIPS, Some(19 / 2 + 1))
    );
}
