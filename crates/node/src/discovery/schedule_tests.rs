use super::*;

#[test]
fn waits_at_a_shared_service_are_spread_by_the_phase() {
    let wait = |phase| PollSchedule::new(true, 400_000, phase).steady_wait;
    assert_eq!((wait(0.0), wait(1.0)), (MAX_SHARED_WAIT, MIN_SHARED_WAIT));
    assert_eq!(wait(0.5), 16_000_000);
    assert_eq!(wait(1.0 / 3.0) % 1_000, 0, "whole milliseconds");
}

#[test]
fn waits_and_pauses_at_an_agent_follow_the_drain_grace_within_their_bounds() {
    for (drain_grace, wait, retry_pause) in [
        (10_000, MIN_PUSHED_WAIT, MIN_RETRY_PAUSE),
        (400_000, 200_000, 100_000),
        (60_000_000, MAX_PUSHED_WAIT, MAX_RETRY_PAUSE),
    ] {
        let schedule = PollSchedule::new(false, drain_grace, 0.5);
        assert_eq!(
            (schedule.steady_wait, schedule.retry_pause),
            (wait, retry_pause)
        );
        assert_eq!(schedule.steady_wait_margin, retry_pause);
    }
}

#[test]
fn delays_after_failed_requests_double_up_to_the_limit() {
    let schedule = PollSchedule::new(true, 400_000, 0.5);
    let mut failures = Failures::default();
    let mut delays = Vec::new();
    for _ in 0..7 {
        failures.count(&DiscoveryError::InvalidList);
        delays.push(schedule.retry_delay(&DiscoveryError::InvalidList, failures) / 1_000);
    }
    assert_eq!(delays, [200, 400, 800, 1_600, 3_200, 4_500, 4_500]);
    for errors in (7..200).chain([u32::MAX]) {
        failures.errors = errors;
        let delay = schedule.retry_delay(&DiscoveryError::InvalidList, failures);
        assert_eq!(delay, schedule.backoff_limit, "{errors} errors");
    }
    assert_eq!(schedule.retry_delay(&DiscoveryError::Timeout, failures), 0);
}

#[test]
fn requests_after_successive_timeouts_get_a_longer_timeout() {
    let schedule = PollSchedule::new(true, 400_000, 0.5);
    let short_watch = DiscoveryRequest::Watch {
        since: 41,
        wait: schedule.watch_wait(WatchStage::Recovering),
    };
    let mut failures = Failures::default();
    let mut timeouts = Vec::new();
    for _ in 0..4 {
        timeouts.push(schedule.timeout(short_watch, failures) / 1_000);
        failures.count(&DiscoveryError::Timeout);
    }
    assert_eq!(timeouts, [4_000, 4_000, 5_500, 5_500]);
}

#[test]
fn waits_grow_while_discovery_answers_and_are_short_after_a_failure() {
    use WatchStage::{Answered, Recovering, Started, Steady};
    let polled = PollSchedule::new(true, 400_000, 0.5);
    let waits = [Started, Answered, Recovering, Steady].map(|stage| polled.watch_wait(stage));
    assert_eq!(waits, [500_000, 2_000_000, 500_000, 16_000_000]);
    assert_eq!(Started.after_response(false), Answered);
    for stage in [Answered, Recovering, Steady] {
        assert_eq!(stage.after_response(false), Steady);
    }
    assert_eq!(Started.after_response(true), Steady);
    let pushed = PollSchedule::new(false, 400_000, 0.5);
    assert_eq!(pushed.watch_wait(Started), pushed.watch_wait(Steady));
}
