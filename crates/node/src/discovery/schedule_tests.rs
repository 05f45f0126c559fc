use super::*;

#[test]
fn nodes_that_poll_spread_their_waits_over_the_phase() {
    let wait = |phase| PollSchedule::new(true, 400_000, phase).wait;
    assert_eq!((wait(0.0), wait(1.0)), (MAX_SHARED_WAIT, MIN_SHARED_WAIT));
    assert_eq!(wait(0.5), 16_000_000);
    assert_eq!(wait(1.0 / 3.0) % 1_000, 0, "whole milliseconds");
}

#[test]
fn waits_and_pauses_of_a_pushed_list_follow_the_grace_within_their_bounds() {
    for (grace, wait, retry_pause) in [
        (10_000, MIN_PUSHED_WAIT, MIN_RETRY_PAUSE),
        (400_000, 200_000, 100_000),
        (60_000_000, MAX_PUSHED_WAIT, MAX_RETRY_PAUSE),
    ] {
        let schedule = PollSchedule::new(false, grace, 0.5);
        assert_eq!((schedule.wait, schedule.retry_pause), (wait, retry_pause));
        assert_eq!(schedule.wait_margin, retry_pause);
    }
}
