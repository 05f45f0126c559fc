//! The judge on histories written by hand: for each rule some that keep it and some that break it.

use sloewick_testbed::checker::observations::{
    AnnouncedState, Answer, AttemptOutcome, Event, Id, Observation,
};
use sloewick_testbed::checker::{Checker, Rule};
use sloewick_testbed::site;

const WAY: i64 = 1_000;
const READ: usize = 0;
const SET: usize = 1;
const ACK: usize = 2;

fn id(text: &str) -> Id {
    text.into()
}

/// What the judge finds in a history of (milliseconds, what), looked at until a minute is over.
fn rules(history: &[(i64, Event)]) -> Vec<Rule> {
    let mut checker = Checker::new(site::requirements(WAY));
    for (ms, what) in history {
        checker.observe(&Observation {
            at: ms * 1000,
            event: what.clone(),
        });
    }
    checker.finish(60_000_000);
    checker.violations.iter().map(|b| b.rule).collect()
}

fn asked(name: &str, class: usize) -> Event {
    asked_again(name, class, name)
}

fn asked_again(name: &str, class: usize, first: &str) -> Event {
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
        (10, asked("a", READ)),
        attempt("a", 1, 0, 12),
        (30, outcome("a", 1, AttemptOutcome::Executed)),
        (32, answered("a", Answer::Served)),
    ]
}

#[test]
fn good_histories_break_nothing() {
    assert_eq!(rules(&served_read()), []);
    // Refused unseen; failed in time; left; killed with its node.
    assert_eq!(
        rules(&[
            (0, asked("a", ACK)),
            (5, answered("a", Answer::Busy(Some(5))))
        ]),
        []
    );
    assert_eq!(
        rules(&[(0, asked("a", READ)), (450, answered("a", Answer::Failed))]),
        []
    );
    assert_eq!(
        rules(&[
            (0, asked("a", READ)),
            (50, Event::ClientDisconnected { id: id("a") })
        ]),
        []
    );
    let killed = Event::NodeEnded {
        node: 0,
        killed: true,
    };
    assert_eq!(rules(&[(0, asked("a", READ)), (50, killed.clone())]), []);
    assert_eq!(rules(&[(0, killed), (1, asked("a", READ))]), []);
    // Turned away by one box, run by the next.
    let history = [
        (0, asked("a", ACK)),
        attempt("a", 1, 0, 2),
        (3, outcome("a", 1, AttemptOutcome::Rejected)),
        attempt("a", 2, 1, 6),
        (20, outcome("a", 2, AttemptOutcome::Executed)),
        (20, effect("a", None)),
        (22, answered("a", Answer::Served)),
    ];
    assert_eq!(rules(&history), []);
    // A keyed write goes again within the window, and is dropped there.
    let history = [
        (0, asked("a", SET)),
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
    assert_eq!(rules(&history), []);
}

#[test]
fn lost_requests_are_seen() {
    let lost = [Rule::NoRequestLost];
    assert_eq!(rules(&[(0, asked("a", READ))]), lost, "never answered");
    assert_eq!(
        rules(&[(0, asked("a", READ)), (470, answered("a", Answer::Failed))]),
        lost,
        "late"
    );
    let mut twice = served_read();
    twice.push((40, answered("a", Answer::Failed)));
    assert_eq!(rules(&twice), lost, "two answers");
    let mut foreign = served_read();
    foreign[3].1 = answered("a", Answer::Foreign("b|x".into()));
    assert_eq!(rules(&foreign), lost, "another request's value");
    assert_eq!(
        rules(&[(0, asked("a", READ)), (9, answered("a", Answer::Served))]),
        lost,
        "made by nobody"
    );
    assert_eq!(
        rules(&[(0, answered("a", Answer::Failed))]),
        lost,
        "asked by nobody"
    );
    let unasked = Event::UnsolicitedBytes {
        node: 0,
        bytes: "+OK".into(),
    };
    assert_eq!(rules(&[(0, unasked)]), lost, "unasked");
    let mut after = served_read();
    after.push(attempt("a", 2, 1, 40));
    assert_eq!(rules(&after), lost, "sent on after the answer");
    assert_eq!(
        rules(&[attempt("a", 1, 0, 0)]),
        lost,
        "sent on, asked by nobody"
    );
    let ended = [
        (0, asked("a", READ)),
        (9, answered("a", Answer::Ended { partial: false })),
    ];
    assert_eq!(rules(&ended), lost, "closed on");
    let resent = [
        (0, asked("a", READ)),
        attempt("a", 1, 0, 2),
        (
            9,
            Event::Resent {
                id: id("a"),
                node: 0,
            },
        ),
    ];
    assert_eq!(rules(&resent), lost, "read, sent on and closed on");
}

#[test]
fn a_value_that_breaks_off_has_failed_and_is_not_lost() {
    let mut history = served_read();
    history[3].1 = answered("a", Answer::Ended { partial: true });
    assert_eq!(rules(&history), []);
}

#[test]
fn effects_twice_are_seen() {
    let twice = [Rule::NoEffectTwice];
    let ran = |name: &str, class: usize| {
        let key = (class == SET).then(|| format!("key-{name}"));
        vec![
            (0, asked(name, class)),
            attempt(name, 1, 0, 2),
            (30, effect(name, key.as_deref())),
            (31, outcome(name, 1, AttemptOutcome::Executed)),
        ]
    };
    let mut refused = ran("a", ACK);
    refused.push((40, answered("a", Answer::Busy(None))));
    assert_eq!(rules(&refused), twice, "refused what has run");
    let mut cut = vec![
        (0, asked("a", ACK)),
        attempt("a", 1, 0, 2),
        (9, outcome("a", 1, AttemptOutcome::Interrupted)),
    ];
    cut.push((40, answered("a", Answer::Busy(None))));
    assert_eq!(rules(&cut), twice, "refused what may have run");
    let mut again = ran("a", ACK);
    again.push(attempt("a", 2, 1, 50));
    again.push((90, answered("a", Answer::Failed)));
    assert_eq!(rules(&again), twice, "sent again");
    let mut second = ran("a", ACK);
    second.push((50, effect("a", None)));
    second.push((90, answered("a", Answer::Failed)));
    assert_eq!(rules(&second), twice, "two effects of one request");
    let late = [
        (0, asked("a", ACK)),
        attempt("a", 1, 0, 2),
        (3, outcome("a", 1, AttemptOutcome::Rejected)),
        (9, answered("a", Answer::Busy(None))),
        (50, effect("a", None)),
    ];
    assert_eq!(rules(&late), twice, "an effect after the refusal");
    let mut other = ran("a", ACK);
    other.push((90, answered("a", Answer::Failed)));
    other.push((100, asked_again("b", ACK, "a")));
    other.push(attempt("b", 2, 1, 102));
    other.push((120, outcome("b", 2, AttemptOutcome::Executed)));
    other.push((120, effect("b", None)));
    other.push((122, answered("b", Answer::Served)));
    assert_eq!(rules(&other), twice, "the same wish by another try");
    let mut keyed = ran("a", SET);
    keyed.push((1_900, answered("a", Answer::Failed)));
    keyed.push(attempt("a", 2, 1, 10_050));
    let found = rules(&keyed);
    assert!(
        found.contains(&Rule::NoEffectTwice),
        "after the window: {found:?}"
    );
}

#[test]
fn drains_that_are_not_kept_are_seen() {
    let announced = |state: AnnouncedState| Event::AnnouncementSent {
        node: 0,
        server: 3,
        state,
    };
    let sent = |told_what: AnnouncedState, ms: i64| {
        let mut history = vec![
            (1_000, announced(told_what)),
            (ms - 2, asked("a", READ)),
            attempt("a", 1, 3, ms),
        ];
        history.push((ms + 20, outcome("a", 1, AttemptOutcome::Executed)));
        history.push((ms + 22, answered("a", Answer::Served)));
        rules(&history)
    };
    assert_eq!(sent(AnnouncedState::Draining, 3_050), []);
    assert_eq!(sent(AnnouncedState::InService { boot: 0 }, 9_000), []);
    assert_eq!(
        sent(AnnouncedState::Draining, 3_060),
        [Rule::DrainRespected]
    );
    assert_eq!(sent(AnnouncedState::Removed, 8_000), [Rule::DrainRespected]);
    // Told again, later: the first time counts.
    let again = [
        (1_000, announced(AnnouncedState::Draining)),
        (2_500, announced(AnnouncedState::Removed)),
        (3_098, asked("a", READ)),
        attempt("a", 1, 3, 3_100),
        (3_120, outcome("a", 1, AttemptOutcome::Executed)),
        (3_122, answered("a", Answer::Served)),
    ];
    assert_eq!(rules(&again), [Rule::DrainRespected]);
}

#[test]
fn a_cold_box_pushed_over_is_laid_to_those_who_knew() {
    let fall = |knew: bool, node_of_rest: usize| {
        let mut history: Vec<(i64, Event)> = vec![(
            0,
            Event::ServerStarted {
                server: 3,
                cold: true,
                speed: 1.0,
            },
        )];
        if knew {
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
            let mut ask = asked(&name, READ);
            if let (Event::RequestSent { node, .. }, true) = (&mut ask, n % 3 == 0) {
                *node = node_of_rest;
            }
            history.push((100 + n, ask));
            history.push(attempt(&name, n as u64, 3, 102 + n));
            history.push((103 + n, outcome(&name, n as u64, AttemptOutcome::Rejected)));
            history.push((104 + n, answered(&name, Answer::Busy(None))));
        }
        history.sort_by_key(|(ms, _): &(i64, Event)| *ms);
        history.push((500, Event::ServerOverloaded { server: 3 }));
        rules(&history)
    };
    assert_eq!(fall(true, 0), [Rule::NoColdServerOverloaded]);
    // Two thirds are enough, and nobody who was not told is to blame.
    assert_eq!(fall(true, 1), [Rule::NoColdServerOverloaded]);
    assert_eq!(fall(false, 1), []);
}

/// The violations when discovery announces nothing to the node, and an attempt leaves at this time.
fn sent(before: &[(i64, Event)], ms: i64) -> Vec<Rule> {
    let mut history = vec![
        (0, Event::DiscoveryReachable { reachable: true }),
        (0, Event::NodeStarted { node: 0 }),
    ];
    history.extend_from_slice(before);
    history.extend([(ms - 2, asked("a", READ)), attempt("a", 1, 3, ms)]);
    history.extend([
        (ms + 20, outcome("a", 1, AttemptOutcome::Executed)),
        (ms + 22, answered("a", Answer::Served)),
    ]);
    history.sort_by_key(|(at, _)| *at);
    rules(&history)
}

#[test]
fn a_change_counts_as_told_six_seconds_after_discovery_had_it_and_could_be_reached() {
    let had = |state: AnnouncedState| Event::DiscoveryUpdated { server: 3, state };
    let reached = |reachable: bool| Event::DiscoveryReachable { reachable };
    let broken = [Rule::DrainRespected];
    let drains = (1_000, had(AnnouncedState::Draining));
    // 6 s and the grace of 2.05 s.
    assert_eq!(sent(std::slice::from_ref(&drains), 9_050), []);
    assert_eq!(sent(std::slice::from_ref(&drains), 9_060), broken);
    let started = had(AnnouncedState::InService { boot: 0 });
    assert_eq!(sent(&[(1_000, started.clone())], 20_000), []);
    // That it is gone later is no news, and that it is told in service again is.
    let removed = had(AnnouncedState::Removed);
    assert_eq!(sent(&[drains.clone(), (5_000, removed)], 9_060), broken);
    assert_eq!(sent(&[drains.clone(), (5_000, started)], 9_060), []);
    // While discovery is down the node learns nothing; moved, it is reached all along.
    let down = [drains.clone(), (4_000, reached(false))];
    assert_eq!(sent(&down, 30_000), []);
    let back = [
        drains.clone(),
        (4_000, reached(false)),
        (5_000, reached(true)),
    ];
    assert_eq!(sent(&back, 13_050), []);
    assert_eq!(sent(&back, 13_060), broken);
    assert_eq!(
        sent(&[drains.clone(), (4_000, reached(true))], 9_060),
        broken
    );
    // Nor can a process know more that started or stood still meanwhile, and what its list said it knows at once.
    let anew = [
        (3_000, Event::NodeStarted { node: 0 }),
        (3_001, Event::NodeReady { node: 0 }),
    ];
    assert_eq!(sent(&[&[drains.clone()][..], &anew].concat(), 11_050), []);
    assert_eq!(
        sent(&[&[drains.clone()][..], &anew].concat(), 11_060),
        broken
    );
    let still = [
        (2_000, Event::NodePaused { node: 0 }),
        (4_000, Event::NodeResumed { node: 0 }),
    ];
    assert_eq!(sent(&[&[drains.clone()][..], &still].concat(), 12_050), []);
    assert_eq!(sent(&[&[drains][..], &still].concat(), 12_060), broken);
    let known = Event::KnownAtNodeStart {
        node: 0,
        server: 3,
        state: AnnouncedState::Draining,
    };
    assert_eq!(sent(&[(1_000, known.clone())], 3_050), []);
    assert_eq!(sent(&[(1_000, known)], 3_060), broken);
}

/// Requests at a box that is cold from 0 on, ten a millisecond, as many of ten from the first node as given.
fn poured(count: i64, of_ten: i64, begin: i64, before: &[(i64, Event)]) -> Vec<Rule> {
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
        let mut ask = asked(&name, READ);
        if let Event::RequestSent { node, .. } = &mut ask {
            *node = usize::from(n % 10 >= of_ten);
        }
        history.push((at, ask));
        history.push(attempt(&name, n as u64, 3, at));
        history.push((at, outcome(&name, n as u64, AttemptOutcome::Rejected)));
        history.push((at, answered(&name, Answer::Busy(None))));
    }
    history.sort_by_key(|(ms, _): &(i64, Event)| *ms);
    rules(&history)
}

#[test]
fn a_cold_box_is_pushed_over_by_the_sum_of_all_that_it_is_sent() {
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
    // A second after its start it has 0.166 of its capacity, and bears 2.5 times that in 2 s: 59.4 reads of 14 ms, and
    // 17.4 by chance.
    assert_eq!(poured(76, 5, 1_000, &both), []);
    assert_eq!(poured(78, 5, 1_000, &both), broken, "only once");
    // It is laid to those who had been told, where they sent two thirds.
    assert_eq!(poured(78, 7, 1_000, &[announced(0)]), broken);
    assert_eq!(poured(78, 6, 1_000, &[announced(0)]), []);
    // Known from the list that a process began with, or told 6 s after discovery had it.
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
    assert_eq!(poured(78, 5, 1_000, &known), broken);
    let had = |ms: i64| {
        let had = Event::DiscoveryUpdated {
            server: 3,
            state: AnnouncedState::InService { boot: 1 },
        };
        [
            (0, Event::DiscoveryReachable { reachable: true }),
            (ms, had),
        ]
    };
    // At 8 s it bears 150.3 and 26.5 by chance.
    assert_eq!(poured(190, 5, 8_000, &had(1_000)), broken);
    assert_eq!(poured(190, 5, 8_000, &had(7_000)), []);
    assert_eq!(poured(170, 5, 8_000, &had(1_000)), []);
    // A warm one bears more than anybody sends it.
    assert_eq!(poured(400, 5, 25_000, &both), []);
}

#[test]
fn nine_in_ten_restarted_processes_are_ready_in_time() {
    // Each of so many nodes follows another process at 1 s and is ready after so long, or not at all.
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
        rules(&history)
    };
    let late = [Rule::ProtocolAndLifecycle];
    assert_eq!(started(&[Some(9_900); 10], &[]), []);
    assert_eq!(started(&[Some(10_100)], &[]), late);
    assert_eq!(started(&[None], &[]), late);
    // One in ten may be late.
    let one = [&[Some(10_100)][..], &[Some(100); 9]].concat();
    assert_eq!(started(&one, &[]), []);
    assert_eq!(started(&one[..9], &[]), late);
    // Looked at for less than 10 s, it has 6 s; for less than that, nothing is said of it.
    let stopping = |ms: i64| [(ms, Event::NodeStopping { node: 0 })];
    assert_eq!(started(&[None], &stopping(6_500)), []);
    assert_eq!(started(&[None], &stopping(7_500)), late);
    assert_eq!(started(&[Some(6_100)], &stopping(8_000)), late);
    // The first process of a node is no restart.
    assert_eq!(rules(&[(0, Event::NodeStarted { node: 0 })]), []);
}

#[test]
fn bad_manners_are_seen() {
    let left = Event::MisbehavingClientIgnored {
        node: 0,
        what: "noise".into(),
    };
    assert_eq!(rules(&[(0, left.clone())]), [Rule::ProtocolAndLifecycle]);
    assert_eq!(
        rules(&[
            (
                0,
                Event::NodeEnded {
                    node: 0,
                    killed: true
                }
            ),
            (1, left)
        ]),
        []
    );
    let ended = |served: bool| Event::MisbehavingClientEnded {
        node: 0,
        after: 5,
        got_error: !served,
        served,
    };
    assert_eq!(rules(&[(0, ended(false))]), []);
    assert_eq!(rules(&[(0, ended(true))]), [Rule::NoRequestLost]);
    let syntax = Event::MalformedCommand {
        server: 1,
        bytes: "C.GET".into(),
    };
    assert_eq!(rules(&[(0, syntax)]), [Rule::ProtocolAndLifecycle]);
}

#[test]
fn a_breach_tells_what_happened_around_it() {
    let mut checker = Checker::new(site::requirements(WAY));
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
fn what_is_sent_on_for_a_client_that_has_left_is_found() {
    let history = |ms: i64| {
        let left = Event::ClientDisconnected { id: id("a") };
        vec![
            (0, asked("a", READ)),
            attempt("a", 1, 0, 5),
            (100, left),
            attempt("a", 2, 1, ms),
        ]
    };
    // 0.3 s, 50 ms longer on sockets; what had begun to leave the node before is no fault.
    assert_eq!(rules(&history(440)), []);
    assert_eq!(rules(&history(470)), [Rule::NoRequestLost]);
    // A node that stood still learns of it when it goes on.
    let still = [
        (0, asked("a", READ)),
        (50, Event::NodePaused { node: 0 }),
        (100, Event::ClientDisconnected { id: id("a") }),
        (900, Event::NodeResumed { node: 0 }),
        attempt("a", 1, 0, 910),
    ];
    assert_eq!(rules(&still), []);
    let mut checker = Checker::new(site::requirements(WAY));
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
fn the_third_attempt_that_begins_late_for_a_client_that_has_left_is_a_breach() {
    // Each of these begins so long after its client left; 2 ms are the network's.
    let history = |late: &[i64]| {
        let of = |(n, ms): (usize, &i64)| {
            let (name, at) = (format!("r{n}"), 1_000 * n as i64);
            let left = Event::ClientDisconnected { id: id(&name) };
            vec![
                (at, asked(&name, READ)),
                (at + 10, left),
                attempt(&name, n as u64, 0, at + 10 + ms),
            ]
        };
        late.iter().enumerate().flat_map(of).collect::<Vec<_>>()
    };
    assert_eq!(rules(&history(&[102; 8])), []);
    assert_eq!(rules(&history(&[103, 103])), []);
    assert_eq!(rules(&history(&[103, 103, 102])), []);
    assert_eq!(rules(&history(&[103, 103, 103])), [Rule::NoRequestLost]);
    assert_eq!(
        rules(&history(&[103, 200, 103, 340])),
        [Rule::NoRequestLost, Rule::NoRequestLost]
    );
    // Beyond 0.35 s each one is, and only once.
    assert_eq!(rules(&history(&[360])), [Rule::NoRequestLost]);
    assert_eq!(rules(&history(&[103, 103, 360])), [Rule::NoRequestLost]);
}

#[test]
fn new_connections_that_are_closed_with_no_answer_are_counted() {
    // So many of so many requests, which clients ask again elsewhere.
    let history = |shut: usize, of: usize, before: &[(i64, Event)], begun: bool| {
        let mut history = before.to_vec();
        for n in 0..of {
            let (name, at) = (format!("r{n}"), 10 + 5 * n as i64);
            history.push((at, asked(&name, READ)));
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
        rules(&history)
    };
    assert_eq!(history(2, 400, &[], false), []);
    assert_eq!(history(3, 400, &[], false), [Rule::NoRequestLost]);
    // Those of a node that had died are no fault, and what was sent on is lost in any number.
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

/// The end of a connection that a client saw so long after it had written a request on it.
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
            (0, asked("a", ACK)),
            (after_ms, closed_unanswered("a", after_ms, is_first, false)),
        ]
    };
    // It crossed the end, or nothing was read of its new connection.
    assert_eq!(rules(&history(150, false)), []);
    let mut many: Vec<(i64, Event)> = (0..200)
        .flat_map(|n| {
            let name = format!("r{n}");
            [
                (0, asked(&name, ACK)),
                (0, answered(&name, Answer::Busy(None))),
            ]
        })
        .collect();
    many.extend(history(1_000, true));
    assert_eq!(rules(&many), []);
    // Of so few requests it is one too many.
    assert_eq!(rules(&history(1_000, true)), [Rule::NoRequestLost]);
    assert_eq!(rules(&history(151, false)), [Rule::NoRequestLost]);
    // Its node was killed.
    let killed = Event::NodeEnded {
        node: 0,
        killed: true,
    };
    let history = [
        (0, asked("a", ACK)),
        (100, killed),
        (1_000, closed_unanswered("a", 1_000, false, false)),
    ];
    assert_eq!(rules(&history), []);
}

#[test]
fn connection_that_ends_before_the_answer_to_a_forwarded_request_is_a_violation() {
    for first in [false, true] {
        let history = [
            (0, asked("a", ACK)),
            attempt("a", 1, 0, 2),
            (10, closed_unanswered("a", 10, first, false)),
        ];
        assert_eq!(rules(&history), [Rule::NoRequestLost]);
    }
    // Also where the server reads it only later; a value that broke off part way is no fault of the node.
    let history = [
        (0, asked("a", ACK)),
        (10, closed_unanswered("a", 10, false, false)),
        attempt("a", 1, 0, 11),
    ];
    assert_eq!(rules(&history), [Rule::NoRequestLost]);
    let history = [
        (0, asked("a", READ)),
        attempt("a", 1, 0, 2),
        (20, outcome("a", 1, AttemptOutcome::Executed)),
        (30, closed_unanswered("a", 30, false, true)),
    ];
    assert_eq!(rules(&history), []);
}

#[test]
fn refused_connection_is_a_violation_unless_the_process_has_ended() {
    let refused = Event::ConnectionRefused { node: 0 };
    assert_eq!(rules(&[(5, refused.clone())]), [Rule::ProtocolAndLifecycle]);
    let stopping = Event::NodeStopping { node: 0 };
    let history = [(1, stopping), (300, refused.clone())];
    assert_eq!(rules(&history), [Rule::ProtocolAndLifecycle]);
    let ended = Event::NodeEnded {
        node: 0,
        killed: true,
    };
    assert_eq!(rules(&[(1, ended), (5, refused)]), []);
}

#[test]
fn node_that_rejects_all_that_it_gets_for_four_seconds_is_a_violation_where_service_is_required() {
    let find = |rejections: i64, interval: i64, attempt_at: Option<i64>| {
        let mut checker = Checker::new(site::requirements(WAY));
        checker.require_service();
        let mut history = vec![(0, Event::NodeStarted { node: 0 })];
        for number in 0..rejections {
            let name = format!("r{number}");
            let at = 100 + number * interval;
            history.push((at, asked(&name, READ)));
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
    // Too few, too short, or one attempt in between.
    assert_eq!(find(14, 400, None), 0);
    assert_eq!(find(20, 150, None), 0);
    assert_eq!(find(20, 250, Some(10)), 0);
}
