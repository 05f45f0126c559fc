//! The judge can fail: defects planted round the decision module or round what it hears, each found within 50
//! seeds under the rule that it breaks. `docs/rig.md` has the table.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use sloewick_decision::api::{
    Action, AttemptOutcome, Endpoint, EndpointListKind, Event, Micros, RequestId, ServerId,
    ServerState, Status,
};
use sloewick_decision::Balancer;
use sloewick_node::DecisionEngine;
use sloewick_testbed::checker::Rule;
use sloewick_testbed::faults::scenario::{self, Scenario};
use sloewick_testbed::site::ProtocolOptions;
use sloewick_testbed::site::CLASSES;
use sloewick_testbed::virtual_fleet::{self, Defect, Options, Wrap};

const SEEDS: u64 = 50;

/// What a defect may look at, and what it does to events and actions.
#[derive(Default)]
struct State {
    count: u64,
    classes: HashMap<RequestId, usize>,
    sent: HashMap<RequestId, Vec<ServerId>>,
    held: Vec<(Micros, Action)>,
    servers: BTreeMap<ServerId, Endpoint>,
    late: Vec<(Micros, Event)>,
    /// When a call to the list last failed.
    failed: Option<Micros>,
}

type Hear = fn(&mut State, Micros, Event) -> Vec<Event>;
type Say = fn(&mut State, Micros, Action) -> Vec<Action>;

struct Planted {
    balancer: Balancer,
    state: State,
    hear: Hear,
    say: Say,
}

impl DecisionEngine for Planted {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match &event {
            Event::Request(request) => {
                self.state.classes.insert(request.id.clone(), request.class);
            }
            Event::EndpointList(_, entries) => {
                for entry in entries.iter() {
                    self.state
                        .servers
                        .insert(entry.server.clone(), entry.clone());
                }
            }
            _ => {}
        }
        let mut events = (self.hear)(&mut self.state, now, event);
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.state.late)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.state.late = later;
        events.extend(due.into_iter().map(|(_, event)| event));
        let mut said = Vec::new();
        for event in events {
            self.balancer.handle(now, event, &mut said);
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.state.held)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.state.held = later;
        actions.extend(due.into_iter().map(|(_, action)| action));
        for action in said {
            if let Action::Send {
                request, server, ..
            } = &action
            {
                self.state
                    .sent
                    .entry(request.clone())
                    .or_default()
                    .push(server.clone());
            }
            actions.extend((self.say)(&mut self.state, now, action));
        }
    }

    fn may_start_attempt(&self, now: Micros, request: &RequestId, attempt: usize) -> bool {
        self.balancer.may_start_attempt(now, request, attempt)
    }
}

fn hear_all(_: &mut State, _: Micros, event: Event) -> Vec<Event> {
    vec![event]
}

fn say_all(_: &mut State, _: Micros, action: Action) -> Vec<Action> {
    vec![action]
}

fn every(state: &mut State, n: u64) -> bool {
    state.count += 1;
    state.count.is_multiple_of(n)
}

fn unsafe_class(state: &State, id: &RequestId) -> bool {
    state
        .classes
        .get(id)
        .is_some_and(|class| CLASSES[*class].name == "alarm-ack")
}

/// Boxes die under load, so that the cold ones that follow would be pushed over by their share.
const CRASHES: &str = r#"
    name = "crashes under load"
    seconds = 16
    boxes = 12
    rate = 520
    [[fault]]
    kind = "crash-boxes"
    at = 3
    count = 3
    back = 1
"#;

fn scenario_of(name: &str) -> Scenario {
    let shipped = scenario::SHIPPED.iter().find(|(n, _)| *n == name);
    let mut scenario = scenario::parse(shipped.map_or(CRASHES, |(_, text)| text)).unwrap();
    // Enough for the fault to bite.
    scenario.seconds = scenario.seconds.min(24.0);
    scenario
}

#[test]
fn without_a_defect_the_same_scenarios_are_clean() {
    for name in [
        "crashes",
        "crawling-origin",
        "one-way-partition",
        "spoilt-answers",
        "rolling-deploy",
    ] {
        for seed in 1..4 {
            let outcome = virtual_fleet::play(&scenario_of(name), seed, Options::default());
            let broken: Vec<String> = outcome
                .violations
                .iter()
                .map(std::string::ToString::to_string)
                .collect();
            assert!(broken.is_empty(), "{name} seed {seed}: {broken:?}");
        }
    }
}

/// Plays a scenario under a defect until the judge finds it; the seed that shows it.
fn found(name: &str, scenario_name: &str, rule: Rule, hear: Hear, say: Say) {
    found_in(name, &scenario_of(scenario_name), rule, "", &|| Options {
        wrap: Some(planted(hear, say)),
        ..Options::default()
    });
}

fn planted(hear: Hear, say: Say) -> Wrap {
    Rc::new(move |_, balancer| {
        Box::new(Planted {
            balancer,
            state: State::default(),
            hear,
            say,
        }) as Box<dyn DecisionEngine>
    })
}

/// The same for a defect of any kind; `words`: what the judge has to say of it.
fn found_in(
    name: &str,
    scenario: &Scenario,
    rule: Rule,
    words: &str,
    options: &dyn Fn() -> Options,
) {
    for seed in 1..=SEEDS {
        let outcome = virtual_fleet::play(scenario, seed, options());
        let others: Vec<String> = outcome
            .violations
            .iter()
            .filter(|b| b.rule != rule)
            .map(std::string::ToString::to_string)
            .collect();
        if outcome
            .violations
            .iter()
            .any(|b| b.rule == rule && b.why.contains(words))
        {
            println!("{name}: seed {seed} of {}", scenario.name);
            return;
        }
        assert!(
            others.is_empty(),
            "{name}, seed {seed}: another rule than {rule}: {others:?}"
        );
    }
    panic!("{name}: {SEEDS} seeds of {} do not show it", scenario.name);
}

// ---- no request is lost ----

#[test]
fn an_answer_that_is_forgotten() {
    found(
        "forgotten answer",
        "crawling-origin",
        Rule::NoRequestLost,
        hear_all,
        |state, _, action| {
            let ends = matches!(action, Action::Fail { .. } | Action::Reject { .. });
            if ends && every(state, 40) {
                vec![]
            } else {
                vec![action]
            }
        },
    );
}

#[test]
fn an_answer_that_comes_too_late() {
    found(
        "late answer",
        "crawling-origin",
        Rule::NoRequestLost,
        hear_all,
        |state, now, action| {
            if matches!(action, Action::Fail { .. }) {
                state.held.push((now + 2_500_000, action));
                vec![]
            } else {
                vec![action]
            }
        },
    );
}

#[test]
fn a_time_that_is_not_heard() {
    fn hear(state: &mut State, _: Micros, event: Event) -> Vec<Event> {
        let time = matches!(
            event,
            Event::TimerExpired(_)
                | Event::AttemptEnded(AttemptOutcome {
                    status: Status::Timeout,
                    ..
                })
        );
        if time && every(state, 2) {
            vec![]
        } else {
            vec![event]
        }
    }
    found(
        "time not heard",
        "one-way-partition",
        Rule::NoRequestLost,
        hear,
        say_all,
    );
}

/// Much fails and is tried again while half of the clients leave early.
const LEAVING: &str = r#"
    name = "leaving clients"
    seconds = 12
    boxes = 12
    [[fault]]
    kind = "hang-ups"
    at = 1
    part = 0.5
    for = 10
    [[fault]]
    kind = "slow-boxes"
    at = 1
    count = 6
    times = 20
    for = 10
"#;

#[test]
fn clients_that_are_heard_to_leave_late() {
    let scenario = scenario::parse(LEAVING).unwrap();
    let options = |ends_late| Options {
        defect: Defect {
            ends_late,
            ..Defect::default()
        },
        ..Options::default()
    };
    found_in(
        "leaving heard late",
        &scenario,
        Rule::NoRequestLost,
        "disconnected: late attempt number",
        &|| options(200_000),
    );
}

#[test]
fn new_connections_that_are_closed_unread() {
    let mut scenario = scenario::parse(LEAVING).unwrap();
    scenario.faults.truncate(1);
    let defect = Defect {
        shut_of: 5,
        ..Defect::default()
    };
    let options = || Options {
        defect,
        ..Options::default()
    };
    found_in(
        "closed unread",
        &scenario,
        Rule::NoRequestLost,
        "their new connection closed",
        &options,
    );
}

/// Idle clients fill the descriptors while discovery is down, and boxes drain when it is back.
const FILLED: &str = r#"
    name = "filled descriptors"
    seconds = 24
    boxes = 12
    [[fault]]
    kind = "idle-clients"
    at = 2
    count = 800
    for = 20
    [[fault]]
    kind = "discovery-down"
    at = 3
    for = 5
    [[fault]]
    kind = "deploy"
    at = 7
    part = 0.3
    over = 2
    grace = 12
"#;

#[test]
fn without_a_defect_idle_clients_fill_the_descriptors_and_break_no_rule() {
    let scenario = scenario::parse(FILLED).unwrap();
    for seed in 1..4 {
        let outcome = virtual_fleet::play(&scenario, seed, Options::default());
        let broken: Vec<String> = outcome
            .violations
            .iter()
            .map(std::string::ToString::to_string)
            .collect();
        assert!(broken.is_empty(), "seed {seed}: {broken:?}");
        assert!(
            outcome.max_descriptors > 300,
            "seed {seed}: {} descriptors at most",
            outcome.max_descriptors
        );
    }
}

// ---- no effect twice ----

#[test]
fn a_second_copy_of_what_may_not_be_repeated() {
    found(
        "second copy",
        "calm",
        Rule::NoEffectTwice,
        hear_all,
        |state, _, action| {
            if let Action::Send {
                request, timeout, ..
            } = &action
            {
                if unsafe_class(state, request) && every(state, 10) {
                    let other = state.servers.keys().next().cloned().unwrap();
                    let copy = Action::Send {
                        request: request.clone(),
                        server: other,
                        timeout: *timeout,
                    };
                    return vec![action, copy];
                }
            }
            vec![action]
        },
    );
}

#[test]
fn another_attempt_after_a_failure_that_may_have_run() {
    fn hear(_: &mut State, _: Micros, event: Event) -> Vec<Event> {
        // An error is taken for a turning away: the module believes that nothing has run.
        match event {
            Event::AttemptEnded(AttemptOutcome {
                request,
                server,
                attempt,
                latency,
                status,
                is_final: closed,
                cache_result: note,
                load,
            }) => {
                let lie = matches!(status, Status::Error | Status::Reset | Status::Timeout);
                let status = if lie { Status::Rejected } else { status };
                vec![Event::AttemptEnded(AttemptOutcome {
                    request,
                    server,
                    attempt,
                    latency,
                    status,
                    is_final: closed,
                    cache_result: note,
                    load,
                })]
            }
            other => vec![other],
        }
    }
    found(
        "failure taken for a refusal",
        "spoilt-answers",
        Rule::NoEffectTwice,
        hear,
        say_all,
    );
}

#[test]
fn a_refusal_of_what_may_have_run() {
    found(
        "refused after it may have run",
        "spoilt-answers",
        Rule::NoEffectTwice,
        hear_all,
        |state, _, action| match action {
            Action::Fail { request } if unsafe_class(state, &request) => {
                vec![Action::Reject {
                    request,
                    retry_after: 0,
                }]
            }
            other => vec![other],
        },
    );
}

#[test]
fn a_shed_request_that_was_sent_on() {
    found(
        "sent on and shed",
        "crawling-origin",
        Rule::NoEffectTwice,
        hear_all,
        |state, _, action| match &action {
            Action::Reject { request, .. } if unsafe_class(state, request) => {
                let Some(server) = state.servers.keys().next().cloned() else {
                    return vec![action];
                };
                vec![
                    Action::Send {
                        request: request.clone(),
                        server,
                        timeout: None,
                    },
                    action,
                ]
            }
            _ => vec![action],
        },
    );
}

// ---- drains are kept ----

#[test]
fn a_drain_that_is_not_heard() {
    fn hear(_: &mut State, _: Micros, event: Event) -> Vec<Event> {
        match event {
            Event::EndpointList(kind, entries) => {
                let heard = entries
                    .iter()
                    .filter(|e| e.state != ServerState::Draining)
                    .cloned();
                vec![Event::EndpointList(kind, heard.collect())]
            }
            other => vec![other],
        }
    }
    found(
        "drain not heard",
        "rolling-deploy",
        Rule::DrainRespected,
        hear,
        say_all,
    );
}

#[test]
fn a_drain_that_is_heard_late() {
    fn hear(state: &mut State, now: Micros, event: Event) -> Vec<Event> {
        match event {
            Event::EndpointList(EndpointListKind::Delta, entries) => {
                state.late.push((
                    now + 2_500_000,
                    Event::EndpointList(EndpointListKind::Delta, entries),
                ));
                vec![]
            }
            other => vec![other],
        }
    }
    found(
        "drain heard late",
        "rolling-deploy",
        Rule::DrainRespected,
        hear,
        say_all,
    );
}

#[test]
fn a_drain_that_is_forgotten_now_and_then() {
    found(
        "drain forgotten",
        "rolling-deploy",
        Rule::DrainRespected,
        hear_all,
        |state, _, action| {
            if let Action::Send {
                request, timeout, ..
            } = &action
            {
                let draining = state
                    .servers
                    .values()
                    .find(|e| e.state == ServerState::Draining);
                if let Some(server) = draining.map(|e| e.server.clone()) {
                    if every(state, 20) {
                        return vec![Action::Send {
                            request: request.clone(),
                            server,
                            timeout: *timeout,
                        }];
                    }
                }
            }
            vec![action]
        },
    );
}

/// Calls to discovery fail for a second, and boxes begin to drain right after, long before they end.
const FAILED_CALLS: &str = r#"
    name = "failed calls"
    seconds = 24
    boxes = 12
    [[fault]]
    kind = "discovery-fail"
    at = 3
    for = 1
    [[fault]]
    kind = "deploy"
    at = 4.2
    part = 0.4
    over = 2
    grace = 16
"#;

#[test]
fn a_list_that_is_not_asked_for_again_soon_after_a_failed_call() {
    let scenario = scenario::parse(FAILED_CALLS).unwrap();
    let say: Say = |state, now, action| {
        if state.failed.is_none_or(|at| now - at >= 14_000_000) {
            return vec![action];
        }
        // Without polls of the decision module alone the client of discovery resumes its watch by itself.
        if matches!(action, Action::FetchEndpointList | Action::Subscribe(true)) {
            vec![Action::Subscribe(false)]
        } else {
            vec![action, Action::Subscribe(false)]
        }
    };
    let hear: Hear = |state, now, event| {
        if matches!(event, Event::EndpointListFailed) {
            state.failed = Some(now);
        }
        vec![event]
    };
    let options = || Options {
        wrap: Some(planted(hear, say)),
        ..Options::default()
    };
    found_in(
        "not asked again",
        &scenario,
        Rule::DrainRespected,
        "counts as notified",
        &options,
    );
}

// ---- no cold box is pushed over ----

/// Boxes that never fall: only the judge's sum tells what was too much.
#[test]
fn a_start_that_is_not_believed_is_found_by_the_sum() {
    let options = || Options {
        wrap: Some(planted(unbelieving, say_all)),
        cold_servers_never_fail: true,
        ..Options::default()
    };
    let crashes = scenario_of("crashes");
    found_in(
        "start not believed, sum",
        &crashes,
        Rule::NoColdServerOverloaded,
        "requests of mean work",
        &options,
    );
    for seed in 1..4 {
        let outcome = virtual_fleet::play(
            &crashes,
            seed,
            Options {
                cold_servers_never_fail: true,
                ..Options::default()
            },
        );
        let broken: Vec<String> = outcome
            .violations
            .iter()
            .map(std::string::ToString::to_string)
            .collect();
        assert!(broken.is_empty(), "seed {seed}: {broken:?}");
        assert!(
            outcome.max_cold_load > 0.0,
            "seed {seed}: no cold box was sent anything"
        );
    }
}

/// Takes all servers for such as run since long ago.
fn unbelieving(_: &mut State, _: Micros, event: Event) -> Vec<Event> {
    match event {
        Event::EndpointList(kind, entries) => {
            let warm = |e: &Endpoint| Endpoint {
                started: None,
                ..e.clone()
            };
            let entries: Arc<[Endpoint]> = entries.iter().map(warm).collect();
            vec![Event::EndpointList(kind, entries)]
        }
        other => vec![other],
    }
}

#[test]
fn a_start_that_is_not_believed() {
    found(
        "start not believed",
        "crashes",
        Rule::NoColdServerOverloaded,
        unbelieving,
        say_all,
    );
}

#[test]
fn a_newcomer_that_takes_over_a_neighbours_range_at_once() {
    let take_over: Say = |state, _, action| {
        if let Action::Send {
            request,
            server,
            timeout,
        } = &action
        {
            let live = || {
                state
                    .servers
                    .values()
                    .filter(|e| e.state == ServerState::Live)
            };
            let neighbour = live().find(|e| e.started.is_none()).map(|e| &e.server);
            let newest = live()
                .filter(|e| e.started.is_some())
                .max_by_key(|e| e.started);
            if let Some(newest) = newest.filter(|_| neighbour == Some(server)) {
                let (request, server, timeout) = (request.clone(), newest.server.clone(), *timeout);
                return vec![Action::Send {
                    request,
                    server,
                    timeout,
                }];
            }
        }
        vec![action]
    };
    // So few boxes that a neighbour's range is more than the newcomer bears.
    let scenario = Scenario {
        servers: 8,
        ..scenario_of("crashes")
    };
    let options = || Options {
        wrap: Some(planted(hear_all, take_over)),
        ..Options::default()
    };
    let rule = Rule::NoColdServerOverloaded;
    found_in("range taken over at once", &scenario, rule, "", &options);
    for seed in 1..4 {
        let outcome = virtual_fleet::play(&scenario, seed, Options::default());
        assert_eq!(
            outcome.violations.len(),
            0,
            "seed {seed} without the defect"
        );
    }
}

#[test]
fn a_newcomer_that_is_given_what_others_cannot_take() {
    found(
        "newcomer overrun",
        "rolling-deploy",
        Rule::NoColdServerOverloaded,
        hear_all,
        |state, _, action| {
            if let Action::Send {
                request, timeout, ..
            } = &action
            {
                let live = state
                    .servers
                    .values()
                    .filter(|e| e.state == ServerState::Live);
                let newest = live
                    .filter(|e| e.started.is_some())
                    .max_by_key(|e| e.started);
                if let Some(server) = newest.map(|e| e.server.clone()) {
                    if every(state, 4) {
                        return vec![Action::Send {
                            request: request.clone(),
                            server,
                            timeout: *timeout,
                        }];
                    }
                }
            }
            vec![action]
        },
    );
}

// ---- good manners ----

#[test]
fn processes_that_come_up_late() {
    let scenario = scenario_of("restarts");
    let defect = Defect {
        starts_late: 10_500_000,
        ..Defect::default()
    };
    let options = || Options {
        defect,
        ..Options::default()
    };
    found_in(
        "up late",
        &scenario,
        Rule::ProtocolAndLifecycle,
        "were not ready",
        &options,
    );
}

#[test]
fn a_schedule_is_cut_down_to_what_breaks_the_rule() {
    let scenario = scenario::parse(
        r#"
        name = "much at once"
        seconds = 14
        boxes = 8
        rate = 150
        [[fault]]
        kind = "surplus"
        at = 1
        for = 2
        [[fault]]
        kind = "errors"
        at = 3
        part = 0.9
        for = 4
        [[fault]]
        kind = "discovery-down"
        at = 9
        "#,
    )
    .unwrap();
    // Failures are forgotten: without errors there are none. (Void copies can bring some of their own.)
    let say: Say = |_, _, action| match action {
        Action::Fail { .. } => vec![],
        other => vec![other],
    };
    let wrap: Wrap = Rc::new(move |_, balancer| {
        Box::new(Planted {
            balancer,
            state: State::default(),
            hear: hear_all,
            say,
        }) as Box<dyn DecisionEngine>
    });
    let short = virtual_fleet::shrink(
        &scenario,
        3,
        Rule::NoRequestLost,
        Some(&wrap),
        ProtocolOptions::default(),
    );
    let names: Vec<&str> = short.faults.iter().map(|f| f.name).collect();
    assert_eq!(names, ["errors"]);
    assert!(short.seconds < scenario.seconds, "{}", short.seconds);
    let options = Options {
        wrap: Some(wrap),
        ..Options::default()
    };
    let outcome = virtual_fleet::play(&short, 3, options);
    assert!(outcome
        .violations
        .iter()
        .any(|b| b.rule == Rule::NoRequestLost));
}
