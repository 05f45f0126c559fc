use super::*;

const S: Micros = 1_000_000;

#[test]
fn node_with_its_own_listener_is_ready_with_a_list_and_accepts_for_500_ms_after_a_stop() {
    let mut lifecycle = Lifecycle::new(false, false);
    assert!(!lifecycle.is_ready(0), "no endpoint list yet");
    lifecycle.endpoint_list_received();
    assert!(lifecycle.is_ready(0) && lifecycle.answers_ping());
    assert!(lifecycle.stop(10 * S, 2 * S) && !lifecycle.stop(11 * S, 2 * S));
    assert!(!lifecycle.is_ready(10 * S) && lifecycle.answers_ping());
    assert_eq!(lifecycle.accepts(10 * S + 499_999, false), AcceptMode::Yes);
    assert_eq!(
        lifecycle.accepts(10 * S + 500_000, false),
        AcceptMode::DrainQueue
    );
    assert!(
        !lifecycle.should_exit(10 * S + 500_000, false, false),
        "its listener is still open"
    );
    lifecycle.listeners_closed();
    assert_eq!(lifecycle.accepts(11 * S, false), AcceptMode::No);
    assert!(
        lifecycle.should_exit(11 * S, false, false) && !lifecycle.should_exit(11 * S, true, false)
    );
    assert!(
        !lifecycle.should_exit(12 * S + 499_999, true, false)
            && lifecycle.should_exit(12 * S + 500_000, true, false)
    );
}

#[test]
fn process_with_an_inherited_listener_waits_for_discovery_and_stops_accepting_at_once() {
    let mut lifecycle = Lifecycle::new(true, true);
    assert!(
        !lifecycle.is_ready(0)
            && !lifecycle.is_ready(MAX_WAIT_FOR_LIST - 1)
            && !lifecycle.saves_snapshots(MAX_WAIT_FOR_LIST - 1)
    );
    assert!(
        lifecycle.is_ready(MAX_WAIT_FOR_LIST),
        "it uses the list of its configuration"
    );
    lifecycle.endpoint_list_received();
    assert!(lifecycle.is_ready(0));
    assert_eq!(lifecycle.accepts(0, true), AcceptMode::Yes);
    assert!(
        lifecycle.saves_snapshots(0)
            && lifecycle.evacuate(S)
            && lifecycle.saves_snapshots(S)
            && !lifecycle.is_ready(S)
    );
    lifecycle.stop(S, 2 * S);
    assert!(
        !lifecycle.saves_snapshots(S),
        "its successor already serves"
    );
    assert_eq!(
        (lifecycle.accepts(S, true), lifecycle.accepts(S, false)),
        (AcceptMode::No, AcceptMode::Yes)
    );
    let mut without_list = Lifecycle::new(true, false);
    assert!(!without_list.is_ready(60 * S), "it has no list");
    without_list.endpoint_list_received();
    assert!(without_list.is_ready(60 * S));
}

#[test]
fn evacuation_closes_connections_after_responses_and_idle_ones_after_2_s() {
    let mut lifecycle = Lifecycle::new(false, true);
    assert!(
        !lifecycle.should_close_idle(99 * S, 0, Some(98 * S)),
        "serving"
    );
    assert!(
        lifecycle.evacuate(10 * S)
            && !lifecycle.is_ready(10 * S)
            && !lifecycle.answers_ping()
            && lifecycle.closes_clients()
    );
    assert!(
        lifecycle.evacuate(11 * S),
        "requested twice: the first request counts"
    );
    assert_eq!(
        lifecycle.accepts(12 * S, true),
        AcceptMode::Yes,
        "new connections are still accepted"
    );
    assert!(
        lifecycle.should_close_idle(10 * S, 0, Some(10 * S)),
        "its request since the evacuation began has been answered"
    );
    assert!(
        !lifecycle.should_close_idle(12 * S - 1, 0, Some(10 * S - 1)),
        "its client may be about to send a request"
    );
    assert!(
        lifecycle.should_close_idle(12 * S, 0, Some(10 * S - 1))
            && lifecycle.should_close_idle(12 * S, 0, None)
    );
    assert!(
        !lifecycle.should_close_idle(12 * S, 12 * S, None)
            && lifecycle.should_close_idle(13 * S, 12 * S, None)
    );
    assert!(
        !lifecycle.ends_busy_connections(12 * S - 1, 0)
            && lifecycle.ends_busy_connections(12 * S, 0)
            && !lifecycle.ends_busy_connections(13 * S, 13 * S)
    );
    assert!(
        lifecycle.rejoin()
            && !lifecycle.ends_busy_connections(99 * S, 0)
            && lifecycle.is_ready(13 * S)
            && !lifecycle.should_close_idle(99 * S, 0, None)
    );
    assert!(lifecycle.rejoin());
}

// Guards against long deadlines that count in full: with a deadline of 20 s the process would end after 20.6 s, but it is
// killed after 3.7 s.
#[test]
fn final_responses_and_exit_precede_the_kill_for_any_deadline() {
    for (longest, kill) in [
        (0, 700_000),
        (400_000, 1_100_000),
        (3 * S, 3_700_000),
        (20 * S, 3_700_000),
    ] {
        let mut lifecycle = Lifecycle::new(false, true);
        assert_eq!(
            lifecycle.respond_by(),
            Micros::MAX,
            "no request is ended early while the node serves"
        );
        lifecycle.stop(10 * S, longest);
        let by = lifecycle.respond_by();
        // Requests accepted before the shutdown have their full time, up to the deadline limit of 3 s.
        assert!(by > 10 * S + longest.min(3 * S) && by < 10 * S + kill - 200_000);
        assert!(
            lifecycle.should_close_idle(by, by, None),
            "also a connection that has just been accepted"
        );
        // A process that is delayed by 0.15 s at its end still exits before it is killed.
        let exit_by = lifecycle.exit_by();
        assert!(by < exit_by && exit_by < 10 * S + kill - 150_000);
        assert!(
            !lifecycle.should_exit(by, true, false) && lifecycle.should_exit(exit_by, true, false)
        );
    }
}

#[test]
fn shutdown_ends_an_evacuation_and_cannot_be_cancelled() {
    let mut lifecycle = Lifecycle::new(false, true);
    lifecycle.evacuate(S);
    assert!(lifecycle.stop(2 * S, S));
    assert!(!lifecycle.rejoin() && !lifecycle.evacuate(2 * S));
    assert!(
        !lifecycle.should_close_idle(3 * S - 1, 0, None)
            && lifecycle.should_close_idle(3 * S, 0, None)
    );
}

#[test]
fn shutdown_waits_a_bounded_time_for_undelivered_responses() {
    let mut lifecycle = Lifecycle::new(false, true);
    lifecycle.stop(0, 2 * S);
    lifecycle.listeners_closed();
    let exit_by = lifecycle.exit_by();
    assert!(lifecycle.should_exit(exit_by, true, false));
    assert!(!lifecycle.should_exit(exit_by, true, true));
    assert!(lifecycle.should_exit(exit_by + MAX_DELIVERY_TIME_STOPPING, true, true));
    assert!(lifecycle.should_exit(S, false, false));
}
