//! Tests of the checker on hand-written histories: for each rule, histories that satisfy it and histories that violate it.

use sloewick_testbed::checker::observations::{
    AnnouncedState, Answer, AttemptOutcome, Event, Id, Observation,
};
use sloewick_testbed::checker::{Checker, Rule, Violation};
use sloewick_testbed::site;

const ONE_WAY_DELAY: i64 = 1_000;
const READ: usize = 0;
const SET: usize = 1;
const ACK: usize = 2;

fn id(text: &str) -> Id {
    text.into()
}

/// Returns the rules that a history of (milliseconds, event) violates, checked up to the end of the first minute.
fn check(history: &[(i64, Event)]) -> Vec<Rule> {
    let violations = violations(history);
    violations.iter().map(|violation| violation.rule).collect()
}

fn violations(history: &[(i64, Event)]) -> Vec<Violation> {
    let mut checker = Checker::new(site::requirements(ONE_WAY_DELAY));
    for (ms, what) in history {
        checker.observe(&Observation {
            at: ms * 1000,
            event: what.clone(),
        });
    }
    checker.finish(60_000_000);
    checker.violations
}

fn request(name: &str, class: usize) -> Event {
    retry(name, class, name)
}

fn retry(name: &str, class: usize, first: &str) -> Event {
    let idempotency_key = (class == SET).then(|| id(&format!("key-{first}")));
    let budget = if class == READ { 400_000 } else { 2_000_000 };
    Event::RequestSent {
        id: id(name),
        node: 0,
        class,
        tenant: 0,
        key: 1,
        idempotency_key,
        first: id(first),
        budget,
    }
}

fn attempt(name: &str, number: u64, server: usize, ms: i64) -> (i64, Event) {
    let what = Event::Attempt {
        id: id(name),
        attempt: number,
        server,
        first_byte: ms * 1000,
        idempotency_key: None,
        work: 10_000,
    };
    (ms, what)
}

fn outcome(name: &str, number: u64, outcome: AttemptOutcome) -> Event {
    Event::AttemptOutcome {
        id: id(name),
        attempt: number,
        outcome,
    }
}

fn answered(name: &str, answer: Answer) -> Event {
    Event::Answered {
        id: id(name),
        answer,
    }
}

fn effect(name: &str, key: Option<&str>) -> Event {
    Event::Effect {
        id: id(name),
        idempotency_key: key.map(id),
    }
}

fn served_read() -> Vec<(i64, Event)> {
    vec![
        (10, request("a", READ)),
        attempt("a", 1, 0, 12),
        (30, outcome("a", 1, AttemptOutcome::Executed)),
        (32, answered("a", Answer::Served)),
    ]
}

#[test]
fn correct_histories_violate_no_rule() {
    assert_eq!(check(&served_read()), []);
    // Rejected without an attempt; failed within its budget; client disconnected; node killed before and after the request.
    assert_eq!(
        check(&[
            (0, request("a", ACK)),
            (5, answered("a", Answer::Busy(Some(5))))
        ]),
        []
    );
    assert_eq!(
        check(&[
            (0, request("a", READ)),
            (450, answered("a", Answer::Failed))
        ]),
        []
    );
    assert_eq!(
        check(&[
            (0, request("a", READ)),
            (50, Event::ClientDisconnected { id: id("a") })
        ]),
        []
    );
    let killed = Event::NodeEnded {
        node: 0,
        killed: true,
    };
    assert_eq!(check(&[(0, request("a", READ)), (50, killed.clone())]), []);
    assert_eq!(check(&[(0, killed), (1, request("a", READ))]), []);
    // Rejected by one cache server, executed by the next.
    let history = [
        (0, request("a", ACK)),
        attempt("a", 1, 0, 2),
        (3, outcome("a", 1, AttemptOutcome::Rejected)),
        attempt("a", 2, 1, 6),
        (20, outcome("a", 2, AttemptOutcome::Executed)),
        (20, effect("a", None)),
        (22, answered("a", Answer::Served)),
    ];
    assert_eq!(check(&history), []);
    // A write with an idempotency key is retried within the deduplication window; the server drops the repeat.
    let history = [
        (0, request("a", SET)),
        attempt("a", 1, 0, 2),
        (30, effect("a", Some("key-a"))),
        (31, outcome("a", 1, AttemptOutcome::Interrupted)),
        attempt("a", 2, 1, 300),
        (
            320,
            Event::RepeatDropped {
                id: id("a"),
                idempotency_key: id("key-a"),
            },
        ),
        (320, outcome("a", 2, AttemptOutcome::Executed)),
        (322, answered("a", Answer::Served)),
    ];
    assert_eq!(check(&history), []);
}

#[test]
fn lost_requests_are_violations() {
    let lost = [Rule::NoRequestLost];
    assert_eq!(check(&[(0, request("a", READ))]), lost, "no final response");
    assert_eq!(
        check(&[
            (0, request("a", READ)),
            (470, answered("a", Answer::Failed))
        ]),
        lost,
        "response after the budget"
    );
    let mut twice = served_read();
    twice.push((40, answered("a", Answer::Failed)));
    assert_eq!(check(&twice), lost, "two final responses");
    let mut foreign = served_read();
    foreign[3].1 = answered("a", Answer::Foreign("b|x".into()));
    assert_eq!(check(&foreign), lost, "another request's value");
    assert_eq!(
        check(&[(0, request("a", READ)), (9, answered("a", Answer::Served))]),
        lost,
        "served without an attempt"
    );
    assert_eq!(
        check(&[(0, answered("a", Answer::Failed))]),
        lost,
        "response to an unknown request"
    );
    let unsolicited = Event::UnsolicitedBytes {
        node: 0,
        bytes: "+OK".into(),
    };
    assert_eq!(check(&[(0, unsolicited)]), lost, "unsolicited bytes");
    let mut after = served_read();
    after.push(attempt("a", 2, 1, 40));
    assert_eq!(check(&after), lost, "attempt after the response");
    assert_eq!(
        check(&[attempt("a", 1, 0, 0)]),
        lost,
        "attempt for an unknown request"
    );
    let ended = [
        (0, request("a", READ)),
        (9, answered("a", Answer::Ended { partial: false })),
    ];
    assert_eq!(check(&ended), lost, "closed before the response");
    let resent = [
        (0, request("a", READ)),
        attempt("a", 1, 0, 2),
        (
            9,
            Event::Resent {
                id: id("a"),
                node: 0,
            },
        ),
    ];
    assert_eq!(check(&resent), lost, "closed after forwarding");
}

#[test]
fn value_that_breaks_off_counts_as_failed_and_not_as_lost() {
    let mut history = served_read();
    history[3].1 = answered("a", Answer::Ended { partial: true });
    assert_eq!(check(&history), []);
}

#[test]
fn repeated_effects_are_violations() {
    let twice = [Rule::NoEffectTwice];
    let ran = |name: &str, class: usize| {
        let key = (class == SET).then(|| format!("key-{name}"));
        vec![
            (0, request(name, class)),
            attempt(name, 1, 0, 2),
            (30, effect(name, key.as_deref())),
            (31, outcome(name, 1, AttemptOutcome::Executed)),
        ]
    };
    let mut refused = ran("a", ACK);
    refused.push((40, answered("a", Answer::Busy(None))));
    assert_eq!(check(&refused), twice, "rejected after execution");
    let mut cut = vec![
        (0, request("a", ACK)),
        attempt("a", 1, 0, 2),
        (9, outcome("a", 1, AttemptOutcome::Interrupted)),
    ];
    cut.push((40, answered("a", Answer::Busy(None))));
    assert_eq!(check(&cut), twice, "rejected after an interruption");
    let mut again = ran("a", ACK);
    again.push(attempt("a", 2, 1, 50));
    again.push((90, answered("a", Answer::Failed)));
    assert_eq!(check(&again), twice, "second attempt");
    let mut second = ran("a", ACK);
    second.push((50, effect("a", None)));
    second.push((90, answered("a", Answer::Failed)));
    assert_eq!(check(&second), twice, "two effects of one request");
    let late = [
        (0, request("a", ACK)),
        attempt("a", 1, 0, 2),
        (3, outcome("a", 1, AttemptOutcome::Rejected)),
        (9, answered("a", Answer::Busy(None))),
        (50, effect("a", None)),
    ];
    assert_eq!(check(&late), twice, "effect after the rejection");
    let mut other = ran("a", ACK);
    other.push((90, answered("a", Answer::Failed)));
    other.push((100, retry("b", ACK, "a")));
    other.push(attempt("b", 2, 1, 102));
    other.push((120, outcome("b", 2, AttemptOutcome::Executed)));
    other.push((120, effect("b", None)));
    other.push((122, answered("b", Answer::Served)));
    assert_eq!(check(&other), twice, "effect of a client retry");
    let mut keyed = ran("a", SET);
    keyed.push((1_900, answered("a", Answer::Failed)));
    keyed.push(attempt("a", 2, 1, 10_050));
    let found = check(&keyed);
    assert!(
        found.contains(&Rule::NoEffectTwice),
        "retry after the deduplication window: {found:?}"
    );
}

#[test]
fn attempts_to_a_draining_server_after_the_grace_are_violations() {
    let announced = |state: AnnouncedState| Event::AnnouncementSent {
        node: 0,
        server: 3,
        state,
    };
    let sent = |state_announced: AnnouncedState, ms: i64| {
        let mut history = vec![
            (1_000, announced(state_announced)),
            (ms - 2, request("a", READ)),
            attempt("a", 1, 3, ms),
        ];
        history.push((ms + 20, outcome("a", 1, AttemptOutcome::Executed)));
        history.push((ms + 22, answered("a", Answer::Served)));
        check(&history)
    };
    assert_eq!(sent(AnnouncedState::Draining, 3_050), []);
    assert_eq!(sent(AnnouncedState::InService { boot: 0 }, 9_000), []);
    assert_eq!(
        sent(AnnouncedState::Draining, 3_060),
        [Rule::DrainRespected]
    );
    assert_eq!(sent(AnnouncedState::Removed, 8_000), [Rule::DrainRespected]);
    // With a second, later announcement the grace runs from the first.
    let again = [
        (1_000, announced(AnnouncedState::Draining)),
        (2_500, announced(AnnouncedState::Removed)),
        (3_098, request("a", READ)),
        attempt("a", 1, 3, 3_100),
        (3_120, outcome("a", 1, AttemptOutcome::Executed)),
        (3_122, answered("a", Answer::Served)),
    ];
    assert_eq!(check(&again), [Rule::DrainRespected]);
}

#[test]
fn overload_of_a_cold_server_is_blamed_on_notified_nodes() {
    let overload = |notified: bool, node_of_rest: usize| {
        let mut history: Vec<(i64, Event)> = vec![(
            0,
            Event::ServerStarted {
                server: 3,
                cold: true,
                speed: 1.0,
            },
        )];
        if notified {
            history.push((
                1,
                Event::AnnouncementSent {
                    node: 0,
                    server: 3,
                    state: AnnouncedState::InService { boot: 1 },
                },
            ));
        }
        for n in 0..30i64 {
            let name = format!("r{n}");
            let mut request = request(&name, READ);
            if let (Event::RequestSent { node, .. }, true) = (&mut request, n % 3 == 0) {
                *node = node_of_rest;
            }
            history.push((100 + n, request));
            history.push(attempt(&name, n as u64, 3, 102 + n));
            history.push((103 + n, outcome(&name, n as u64, AttemptOutcome::Rejected)));
            history.push((104 + n, answered(&name, Answer::Busy(None))));
        }
        history.sort_by_key(|(ms, _): &(i64, Event)| *ms);
        history.push((500, Event::ServerOverloaded { server: 3 }));
        check(&history)
    };
    assert_eq!(overload(true, 0), [Rule::NoColdServerOverloaded]);
    // Two thirds of the attempts from notified nodes are enough; nodes that were not notified are not blamed.
    assert_eq!(overload(true, 1), [Rule::NoColdServerOverloaded]);
    assert_eq!(overload(false, 1), []);
}

#[test]
fn fall_of_a_cold_server_states_the_requests_it_got_and_its_capacity() {
    let started = Event::ServerStarted {
        server: 3,
        cold: true,
        speed: 1.0,
    };
    let announced = Event::AnnouncementSent {
        node: 0,
        server: 3,
        state: AnnouncedState::InService { boot: 1 },
    };
    let violations = violations(&[
        (0, started),
        (1, announced),
        (100, request("r1", READ)),
        attempt("r1", 1, 3, 102),
        (103, outcome("r1", 1, AttemptOutcome::Rejected)),
        (104, answered("r1", Answer::Busy(None))),
        (105, Event::ServerOverloaded { server: 3 }),
    ]);
    // 2.5 times 13.4% of one core in 2 s are 47.8 reads of 14 ms; 2 x root of that + 2 are added for chance.
    let load = "(1.0 requests of mean work, with a capacity of 63.6)";
    let texts: Vec<&str> = violations
        .iter()
        .map(|violation| violation.why.as_str())
        .collect();
    assert!(texts.len() == 1 && texts[0].contains(load), "{texts:?}");
}

/// The rules violated when discovery sends the node no announcement and the node sends an attempt to server 3 at `ms`.
fn check_at(before: &[(i64, Event)], ms: i64) -> Vec<Rule> {
    let mut history = vec![
        (0, Event::DiscoveryReachable { reachable: true }),
        (0, Event::NodeStarted { node: 0 }),
    ];
    history.extend_from_slice(before);
    history.extend([(ms - 2, request("a", READ)), attempt("a", 1, 3, ms)]);
    history.extend([
        (ms + 20, outcome("a", 1, AttemptOutcome::Executed)),
        (ms + 22, answered("a", Answer::Served)),
    ]);
    history.sort_by_key(|(at, _)| *at);
    check(&history)
}

#[test]
fn change_counts_as_announced_after_discovery_had_it_and_was_reachable_for_six_seconds() {
    let updated = |state: AnnouncedState| Event::DiscoveryUpdated { server: 3, state };
    let reached = |reachable: bool| Event::DiscoveryReachable { reachable };
    let broken = [Rule::DrainRespected];
    let drains = (1_000, updated(AnnouncedState::Draining));
    // The node counts as notified after 6 s; the grace is 2.05 s.
    assert_eq!(check_at(std::slice::from_ref(&drains), 9_050), []);
    assert_eq!(check_at(std::slice::from_ref(&drains), 9_060), broken);
    let started = updated(AnnouncedState::InService { boot: 0 });
    assert_eq!(check_at(&[(1_000, started.clone())], 20_000), []);
    // A later removal does not extend the time; a later return to service ends the drain.
    let removed = updated(AnnouncedState::Removed);
    assert_eq!(check_at(&[drains.clone(), (5_000, removed)], 9_060), broken);
    assert_eq!(check_at(&[drains.clone(), (5_000, started)], 9_060), []);
    // While discovery is unreachable the node is not notified. A second report that it is reachable, as after
    // discovery moved, changes nothing.
    let down = [drains.clone(), (4_000, reached(false))];
    assert_eq!(check_at(&down, 30_000), []);
    let back = [
        drains.clone(),
        (4_000, reached(false)),
        (5_000, reached(true)),
    ];
    assert_eq!(check_at(&back, 13_050), []);
    assert_eq!(check_at(&back, 13_060), broken);
    assert_eq!(
        check_at(&[drains.clone(), (4_000, reached(true))], 9_060),
        broken
    );
    // The 6 s run anew for a process that started or was paused in the meantime. What the list that a process starts
    // with contains counts as known at once.
    let anew = [
        (3_000, Event::NodeStarted { node: 0 }),
        (3_001, Event::NodeReady { node: 0 }),
    ];
    assert_eq!(
        check_at(&[&[drains.clone()][..], &anew].concat(), 11_050),
        []
    );
    assert_eq!(
        check_at(&[&[drains.clone()][..], &anew].concat(), 11_060),
        broken
    );
    let still = [
        (2_000, Event::NodePaused { node: 0 }),
        (4_000, Event::NodeResumed { node: 0 }),
    ];
    assert_eq!(
        check_at(&[&[drains.clone()][..], &still].concat(), 12_050),
        []
    );
    assert_eq!(check_at(&[&[drains][..], &still].concat(), 12_060), broken);
    let known = Event::KnownAtNodeStart {
        node: 0,
        server: 3,
        state: AnnouncedState::Draining,
    };
    assert_eq!(check_at(&[(1_000, known.clone())], 3_050), []);
    assert_eq!(check_at(&[(1_000, known)], 3_060), broken);
}

/// The rules violated by `count` requests from `begin` (ms) on, ten per millisecond, to a cache server that is cold
/// from 0 on. Of each ten, node 0 sends `of_ten` and node 1 the rest.
fn cold_server_load(count: i64, of_ten: i64, begin: i64, before: &[(i64, Event)]) -> Vec<Rule> {
    let mut history: Vec<(i64, Event)> = vec![(
        0,
        Event::ServerStarted {
            server: 3,
            cold: true,
            speed: 1.0,
        },
    )];
    history.extend_from_slice(before);
    for n in 0..count {
        let (name, at) = (format!("r{n}"), begin + n / 10);
        let mut request = request(&name, READ);
        if let Event::RequestSent { node, .. } = &mut request {
            *node = usize::from(n % 10 >= of_ten);
        }
        history.push((at, request));
        history.push(attempt(&name, n as u64, 3, at));
        history.push((at, outcome(&name, n as u64, AttemptOutcome::Rejected)));
        history.push((at, answered(&name, Answer::Busy(None))));
    }
    history.sort_by_key(|(ms, _): &(i64, Event)| *ms);
    check(&history)
}

#[test]
fn cold_server_bound_applies_to_the_sum_of_all_attempts() {
    let announced = |node: usize| {
        (
            1,
            Event::AnnouncementSent {
                node,
                server: 3,
                state: AnnouncedState::InService { boot: 1 },
            },
        )
    };
    let both = [announced(0), announced(1)];
    let broken = [Rule::NoColdServerOverloaded];
    // One second after its start the server has 0.166 of its capacity. The bound is 2.5 times that in 2 s: 59.4 reads
    // of 14 ms, plus 17.4 for chance.
    assert_eq!(cold_server_load(76, 5, 1_000, &both), []);
    assert_eq!(
        cold_server_load(78, 5, 1_000, &both),
        broken,
        "reported once"
    );
    // The notified nodes are blamed if they sent two thirds of the requests.
    assert_eq!(cold_server_load(78, 7, 1_000, &[announced(0)]), broken);
    assert_eq!(cold_server_load(78, 6, 1_000, &[announced(0)]), []);
    // A node knows the server from the list that its process starts with, or 6 s after discovery had the change.
    let known = [0, 1].map(|node| {
        (
            1,
            Event::KnownAtNodeStart {
                node,
                server: 3,
                state: AnnouncedState::InService { boot: 1 },
            },
        )
    });
    assert_eq!(cold_server_load(78, 5, 1_000, &known), broken);
    let updated = |ms: i64| {
        let event = Event::DiscoveryUpdated {
            server: 3,
            state: AnnouncedState::InService { boot: 1 },
        };
        [
            (0, Event::DiscoveryReachable { reachable: true }),
            (ms, event),
        ]
    };
    // At 8 s the bound is 150.3 reads, plus 26.5 for chance.
    assert_eq!(cold_server_load(190, 5, 8_000, &updated(1_000)), broken);
    assert_eq!(cold_server_load(190, 5, 8_000, &updated(7_000)), []);
    assert_eq!(cold_server_load(170, 5, 8_000, &updated(1_000)), []);
    // A warm server bears more than these requests demand.
    assert_eq!(cold_server_load(400, 5, 25_000, &both), []);
}

#[test]
fn restarts_are_violations_if_more_than_one_in_ten_is_ready_late() {
    // On each node a process is killed and another starts at 1 s, which is ready `took` ms later, or never if None.
    let started = |took: &[Option<i64>], more: &[(i64, Event)]| {
        let mut history = Vec::new();
        for (node, took) in took.iter().enumerate() {
            history.push((0, Event::NodeStarted { node }));
            history.push((500, Event::NodeEnded { node, killed: true }));
            history.push((1_000, Event::NodeStarted { node }));
            history.extend(took.map(|took| (1_000 + took, Event::NodeReady { node })));
        }
        history.extend_from_slice(more);
        history.sort_by_key(|(at, _)| *at);
        check(&history)
    };
    let late = [Rule::ProtocolAndLifecycle];
    assert_eq!(started(&[Some(9_900); 10], &[]), []);
    assert_eq!(started(&[Some(10_100)], &[]), late);
    assert_eq!(started(&[None], &[]), late);
    // One process in ten may be late.
    let one = [&[Some(10_100)][..], &[Some(100); 9]].concat();
    assert_eq!(started(&one, &[]), []);
    assert_eq!(started(&one[..9], &[]), late);
    // A process observed for less than 10 s has 6 s to become ready; one observed for less than 6 s is not checked.
    let stopping = |ms: i64| [(ms, Event::NodeStopping { node: 0 })];
    assert_eq!(started(&[None], &stopping(6_500)), []);
    assert_eq!(started(&[None], &stopping(7_500)), late);
    assert_eq!(started(&[Some(6_100)], &stopping(8_000)), late);
    // The first process of a node is not a restart.
    assert_eq!(check(&[(0, Event::NodeStarted { node: 0 })]), []);
}

#[test]
fn ignored_or_served_misbehaving_clients_and_malformed_commands_are_violations() {
    let ignored = Event::MisbehavingClientIgnored {
        node: 0,
        what: "noise".into(),
    };
    assert_eq!(check(&[(0, ignored.clone())]), [Rule::ProtocolAndLifecycle]);
    assert_eq!(
        check(&[
            (
                0,
                Event::NodeEnded {
                    node: 0,
                    killed: true
                }
            ),
            (1, ignored)
        ]),
        []
    );
    let ended = |served: bool| Event::MisbehavingClientEnded {
        node: 0,
        after: 5,
        got_error: !served,
        served,
    };
    assert_eq!(check(&[(0, ended(false))]), []);
    assert_eq!(check(&[(0, ended(true))]), [Rule::NoRequestLost]);
    let syntax = Event::MalformedCommand {
        server: 1,
        bytes: "C.GET".into(),
    };
    assert_eq!(check(&[(0, syntax)]), [Rule::ProtocolAndLifecycle]);
}

#[test]
fn violation_text_contains_the_observations_of_its_request() {
    let mut checker = Checker::new(site::requirements(ONE_WAY_DELAY));
    let mut history = served_read();
    history.push((40, answered("a", Answer::Failed)));
    for (ms, what) in history {
        checker.observe(&Observation {
            at: ms * 1000,
            event: what,
        });
    }
    let text = checker.violations[0].to_string();
    assert!(
        text.starts_with("0.040000 s: no request is lost: a second final answer (request a)"),
        "{text}"
    );
    assert!(
        text.contains("0.012000 Attempt {") && text.contains("server: 0"),
        "{text}"
    );
}

#[test]
fn late_attempt_for_a_disconnected_client_is_a_violation() {
    let history = |ms: i64| {
        let disconnected = Event::ClientDisconnected { id: id("a") };
        vec![
            (0, request("a", READ)),
            attempt("a", 1, 0, 5),
            (100, disconnected),
            attempt("a", 2, 1, ms),
        ]
    };
    // The limit is 0.3 s, plus 50 ms on sockets; an attempt that had begun to leave the node before is allowed.
    assert_eq!(check(&history(440)), []);
    assert_eq!(check(&history(470)), [Rule::NoRequestLost]);
    // A paused node detects the disconnect when it resumes.
    let still = [
        (0, request("a", READ)),
        (50, Event::NodePaused { node: 0 }),
        (100, Event::ClientDisconnected { id: id("a") }),
        (900, Event::NodeResumed { node: 0 }),
        attempt("a", 1, 0, 910),
    ];
    assert_eq!(check(&still), []);
    let mut checker = Checker::new(site::requirements(ONE_WAY_DELAY));
    for (ms, what) in history(470) {
        checker.observe(&Observation {
            at: ms * 1000,
            event: what,
        });
    }
    assert_eq!(
        (
            checker.statistics().disconnects.requests,
            checker.statistics().disconnects.late,
            checker.statistics().disconnects.sent_on
        ),
        (1, 1, 1)
    );
}

#[test]
fn third_late_attempt_for_disconnected_clients_is_a_violation() {
    // Each attempt begins this many ms after its client disconnected; 2 ms of them are network delay.
    let history = |late: &[i64]| {
        let of = |(n, ms): (usize, &i64)| {
            let (name, at) = (format!("r{n}"), 1_000 * n as i64);
            let disconnected = Event::ClientDisconnected { id: id(&name) };
            vec![
                (at, request(&name, READ)),
                (at + 10, disconnected),
                attempt(&name, n as u64, 0, at + 10 + ms),
            ]
        };
        late.iter().enumerate().flat_map(of).collect::<Vec<_>>()
    };
    assert_eq!(check(&history(&[102; 8])), []);
    assert_eq!(check(&history(&[103, 103])), []);
    assert_eq!(check(&history(&[103, 103, 102])), []);
    assert_eq!(check(&history(&[103, 103, 103])), [Rule::NoRequestLost]);
    assert_eq!(
        check(&history(&[103, 200, 103, 340])),
        [Rule::NoRequestLost, Rule::NoRequestLost]
    );
    // Beyond 0.35 s each attempt is a violation, reported once.
    assert_eq!(check(&history(&[360])), [Rule::NoRequestLost]);
    assert_eq!(check(&history(&[103, 103, 360])), [Rule::NoRequestLost]);
}

#[test]
fn new_connections_closed_without_a_response_are_violations_above_the_limit() {
    // New connections are closed for the first `shut` of `of` requests, which their clients resend to another node;
    // `begun`: the node had forwarded them.
    let history = |shut: usize, of: usize, before: &[(i64, Event)], begun: bool| {
        let mut history = before.to_vec();
        for n in 0..of {
            let (name, at) = (format!("r{n}"), 10 + 5 * n as i64);
            history.push((at, request(&name, READ)));
            if n < shut {
                if begun {
                    history.push(attempt(&name, n as u64, 0, at + 1));
                }
                history.push((
                    at + 1,
                    Event::NewConnectionClosed {
                        id: id(&name),
                        node: 0,
                    },
                ));
                history.push((
                    at + 1,
                    Event::Resent {
                        id: id(&name),
                        node: 1,
                    },
                ));
            }
            history.push((at + 2, answered(&name, Answer::Busy(None))));
        }
        check(&history)
    };
    assert_eq!(history(2, 400, &[], false), []);
    assert_eq!(history(3, 400, &[], false), [Rule::NoRequestLost]);
    // Connections closed by the death of their node are allowed. A request that had been forwarded counts as lost,
    // however few there are.
    assert_eq!(
        history(
            30,
            400,
            &[(
                0,
                Event::NodeEnded {
                    node: 0,
                    killed: true
                }
            )],
            false
        ),
        []
    );
    assert_eq!(history(1, 400, &[], true), [Rule::NoRequestLost]);
}

/// The client sees the connection end `after_ms` after it wrote the request on it.
fn closed_unanswered(name: &str, after_ms: i64, is_first: bool, partial: bool) -> Event {
    Event::ClosedUnanswered {
        id: id(name),
        node: 0,
        after: after_ms * 1000,
        is_first,
        partial,
    }
}

#[test]
fn connection_that_ends_before_the_answer_to_a_request_that_did_not_cross_it_is_a_violation() {
    let history = |after_ms: i64, is_first: bool| {
        [
            (0, request("a", ACK)),
            (after_ms, closed_unanswered("a", after_ms, is_first, false)),
        ]
    };
    // Allowed: the request crossed the end of the connection, or the node read nothing from a new connection.
    assert_eq!(check(&history(150, false)), []);
    let mut many: Vec<(i64, Event)> = (0..200)
        .flat_map(|n| {
            let name = format!("r{n}");
            [
                (0, request(&name, ACK)),
                (0, answered(&name, Answer::Busy(None))),
            ]
        })
        .collect();
    many.extend(history(1_000, true));
    assert_eq!(check(&many), []);
    // With so few requests, one closed new connection exceeds the limit.
    assert_eq!(check(&history(1_000, true)), [Rule::NoRequestLost]);
    assert_eq!(check(&history(151, false)), [Rule::NoRequestLost]);
    // The node was killed.
    let killed = Event::NodeEnded {
        node: 0,
        killed: true,
    };
    let history = [
        (0, request("a", ACK)),
        (100, killed),
        (1_000, closed_unanswered("a", 1_000, false, false)),
    ];
    assert_eq!(check(&history), []);
}

#[test]
fn connection_that_ends_before_the_answer_to_a_forwarded_request_is_a_violation() {
    for first in [false, true] {
        let history = [
            (0, request("a", ACK)),
            attempt("a", 1, 0, 2),
            (10, closed_unanswered("a", 10, first, false)),
        ];
        assert_eq!(check(&history), [Rule::NoRequestLost]);
    }
    // This also holds if the server reads the attempt only later. A value that breaks off part way is not a violation.
    let history = [
        (0, request("a", ACK)),
        (10, closed_unanswered("a", 10, false, false)),
        attempt("a", 1, 0, 11),
    ];
    assert_eq!(check(&history), [Rule::NoRequestLost]);
    let history = [
        (0, request("a", READ)),
        attempt("a", 1, 0, 2),
        (20, outcome("a", 1, AttemptOutcome::Executed)),
        (30, closed_unanswered("a", 30, false, true)),
    ];
    assert_eq!(check(&history), []);
}

#[test]
fn refused_connection_is_a_violation_unless_the_process_has_ended() {
    let refused = Event::ConnectionRefused { node: 0 };
    assert_eq!(check(&[(5, refused.clone())]), [Rule::ProtocolAndLifecycle]);
    let stopping = Event::NodeStopping { node: 0 };
    let history = [(1, stopping), (300, refused.clone())];
    assert_eq!(check(&history), [Rule::ProtocolAndLifecycle]);
    let ended = Event::NodeEnded {
        node: 0,
        killed: true,
    };
    assert_eq!(check(&[(1, ended), (5, refused)]), []);
}

#[test]
fn node_that_rejects_all_that_it_gets_for_four_seconds_is_a_violation_where_service_is_required() {
    let find = |rejections: i64, interval: i64, attempt_at: Option<i64>| {
        let mut checker = Checker::new(site::requirements(ONE_WAY_DELAY));
        checker.require_service();
        let mut history = vec![(0, Event::NodeStarted { node: 0 })];
        for number in 0..rejections {
            let name = format!("r{number}");
            let at = 100 + number * interval;
            history.push((at, request(&name, READ)));
            if attempt_at == Some(number) {
                history.push(attempt(&name, 1, 0, at));
            }
            history.push((at + 1, answered(&name, Answer::Busy(None))));
        }
        for (ms, event) in history {
            checker.observe(&Observation {
                at: ms * 1000,
                event,
            });
        }
        checker.finish(60_000_000);
        checker
            .violations
            .iter()
            .filter(|v| v.why.contains("rejected all"))
            .count()
    };
    assert_eq!(find(20, 250, None), 1);
    // Too few rejections, too short a time, or one attempt in between.
    assert_eq!(find(14, 400, None), 0);
    assert_eq!(find(20, 150, None), 0);
    assert_eq!(find(20, 250, Some(10)), 0);
}

#[test]
fn retry_that_its_server_reads_after_the_window_is_a_violation() {
    // Sent within the window of 10 s.
    for (received, is_violation) in [(10_100, false), (10_250, true)] {
        let mut slow = ran_keyed("a");
        slow.push((1_900, answered("a", Answer::Failed)));
        let (at, mut event) = attempt("a", 2, 1, received);
        if let Event::Attempt { first_byte, .. } = &mut event {
            *first_byte = 9_000_000;
        }
        slow.push((at, event));
        let found = check(&slow).contains(&Rule::NoEffectTwice);
        assert_eq!(found, is_violation, "received at {received} ms");
    }
}

/// The observations of a keyed write that has run.
fn ran_keyed(name: &str) -> Vec<(i64, Event)> {
    vec![
        (0, request(name, SET)),
        attempt(name, 1, 0, 2),
        (30, effect(name, Some(&format!("key-{name}")))),
        (31, outcome(name, 1, AttemptOutcome::Executed)),
    ]
}
