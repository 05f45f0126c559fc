//! Changes of the endpoint list are applied in time, whichever faults keep the node from reading them: after the allowed time
//! a draining server gets no more requests.

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::support::DiscoveryFault::*;
use crate::support::*;
use serde_json::{json, Value};

/// A change counts as announced this long after discovery had it, regardless of requests that failed or timed out.
const ANNOUNCED_AFTER: Duration = Duration::from_secs(6);
/// A change counts as announced this long after a SIGHUP that moves discovery to another address.
const ANNOUNCED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// If the only fault is a watch without a response, a change counts as announced this long after the wait of the watch, unless
/// [`ANNOUNCED_AFTER`] is later.
const ANNOUNCED_AFTER_WAIT: Duration = Duration::from_secs(2);
/// How long a watch has been open when a fault hits it. Its wait is 12.0 s, so that a missing response is noticed soon.
const WATCH_AGE: Duration = Duration::from_secs(11);
/// Shortest wait of a watch that follows neither a start nor a failure.
const MIN_LONG_WAIT: Duration = Duration::from_secs(12);
/// Time between two steps of the emulators.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The request after a watch begins within this time after the end of the watch.
const MAX_REQUEST_PAUSE: Duration = Duration::from_millis(300);

/// Longer sequences of faults that hit successive requests.
const LONG_SEQUENCES: [&[DiscoveryFault]; 6] = [
    &[Reset, Reset, Reset, Silent],
    &[Reset, Silent, Reset],
    &[Unavailable, CutAnswer, HalfAnswer],
    &[UnreadableAnswer, Unavailable, Unavailable, DrippedAnswer],
    &[Silent, Reset, Unavailable, Reset],
    &[OlderList, Reset, Silent],
];

/// Settings of the node, and faults of its requests to discovery.
#[derive(Clone, Debug)]
struct Case {
    ask_within_ms: u32,
    /// The drain grace period.
    grace: Duration,
    seed: u64,
    /// Faults of the successive requests that would otherwise report the change.
    faults: Vec<DiscoveryFault>,
}

/// The discovery service of a node and two cache servers, one of which will drain.
struct Environment {
    case: Case,
    targets: [Value; 2],
    discovery: ScriptedDiscovery,
    draining: Listener,
    other: Listener,
}

type Listener = std::net::TcpListener;

impl Environment {
    fn new(case: Case) -> Environment {
        let ([draining, other], targets) = two_servers();
        let discovery = ScriptedDiscovery::new(41, &targets);
        Environment {
            case,
            targets,
            discovery,
            draining,
            other,
        }
    }

    /// Starts a node whose configuration lists both servers as before the change.
    fn start_node(&self) -> Node {
        let mut settings = polling_settings();
        settings["me"] = json!(55);
        settings["rules"]["ask_within"] = json!(f64::from(self.case.ask_within_ms));
        settings["rules"]["stop_sending_within"] = json!(self.case.grace.as_secs_f64() * 1e3);
        Node::builder()
            .settings(settings)
            .targets(&self.targets)
            .set("/seed", format!("{:016x}", self.case.seed))
            .set("/discovery", self.discovery.address().to_string())
            .start()
    }

    /// Changes the endpoint list: one of the servers drains. The open watch and the requests after it get these faults.
    /// Returns the time of the change.
    fn drain(&mut self, faults: &[DiscoveryFault]) -> Instant {
        let mut draining = self.targets[0].clone();
        draining["state"] = json!("terminating");
        let targets = [draining, self.targets[1].clone()];
        self.discovery.change(&targets, faults);
        Instant::now()
    }

    /// Sends requests to the node until `end`; returns the times at which requests arrived at the draining server.
    fn serve(&mut self, node: &Node, end: Instant) -> Vec<Instant> {
        let mut arrivals = Vec::new();
        let mut draining = CacheServer::new(self.draining.try_clone().unwrap(), |_, _| {
            arrivals.push(Instant::now());
            Some(hit_reply(b"one"))
        });
        let other = self.other.try_clone().unwrap();
        let mut other = CacheServer::new(other, |_, _| Some(hit_reply(b"two")));
        let mut traffic = Traffic::to(node);
        while Instant::now() < end {
            self.discovery.step();
            traffic.step();
            draining.poll();
            other.poll();
            std::thread::sleep(POLL_INTERVAL);
        }
        drop(draining);
        arrivals
    }

    /// Waits until a long watch has been open for this time.
    fn wait_for_watch(&mut self, open_for: Duration) {
        let discovery = &mut self.discovery;
        wait_until("discovery has a long watch of this age", || {
            discovery.step();
            let watched_for = discovery.watched_for(MIN_LONG_WAIT);
            watched_for.is_some_and(|watched_for| watched_for >= open_for)
        });
    }
}

/// Times from the change or, if discovery moves, from the SIGHUP.
#[derive(Debug)]
struct Outcome {
    /// When the draining server received its last request; zero if it received none.
    last_sent: Duration,
    /// Until when the draining server may receive requests.
    allowed: Duration,
}

/// Runs all cases in parallel. Fails if the draining server received a request too late in any of them.
fn run_all(cases: Vec<Case>, run: fn(Case) -> Outcome) {
    let running: Vec<(Case, JoinHandle<Outcome>)> = cases
        .into_iter()
        .map(|case| (case.clone(), std::thread::spawn(move || run(case))))
        .collect();
    let mut late = Vec::new();
    for (case, outcome) in running {
        let outcome = outcome.join().unwrap();
        println!("{case:?}: {outcome:?}");
        if outcome.last_sent > outcome.allowed {
            late.push(format!("{case:?}: {outcome:?}"));
        }
    }
    assert!(late.is_empty(), "{} late:\n{}", late.len(), late.join("\n"));
}

/// A planned restart: the change is made after the first process has exited. The second one starts `down_after_change` later.
fn run_restart(case: Case, down_after_change: Duration) -> Outcome {
    let mut environment = Environment::new(case);
    let mut first = environment.start_node();
    environment.wait_for_watch(Duration::ZERO);
    first.signal("TERM");
    assert!(first.wait().success());
    environment.discovery.forget_connections();
    let faults = environment.case.faults.clone();
    let changed_at = environment.drain(&faults);
    std::thread::sleep(down_after_change);
    let second = environment.start_node();
    let allowed = ANNOUNCED_AFTER + environment.case.grace;
    let arrivals = environment.serve(&second, changed_at + allowed + Duration::from_millis(1_500));
    let last_sent = arrivals
        .last()
        .map_or(Duration::ZERO, |at| *at - changed_at);
    Outcome { last_sent, allowed }
}

// Guards against a new process that sends its first request to discovery up to half of `ask_within` after its start.
#[test]
fn change_made_while_a_node_restarts_is_applied_in_time() {
    let mut cases = Vec::new();
    for ask_within_ms in [10_000, 30_000, 60_000] {
        for seed in 1..=12 {
            cases.push(Case {
                ask_within_ms,
                grace: Duration::from_secs(2),
                seed,
                faults: Vec::new(),
            });
        }
    }
    run_all(cases, |case| {
        run_restart(case, Duration::from_millis(3_100))
    });
}

/// The faults hit a watch that has been open for this time, and the requests after it.
fn run_with_faults(case: Case, watch_age: Duration) -> Outcome {
    let mut environment = Environment::new(case);
    let node = environment.start_node();
    environment.wait_for_watch(watch_age);
    let faults = environment.case.faults.clone();
    let announced_after_wait = environment.discovery.rest_of_wait() + ANNOUNCED_AFTER_WAIT;
    let announced = if faults == [Silent] {
        announced_after_wait.max(ANNOUNCED_AFTER)
    } else {
        ANNOUNCED_AFTER
    };
    let changed_at = environment.drain(&faults);
    let allowed = announced + environment.case.grace;
    let arrivals = environment.serve(&node, changed_at + allowed + Duration::from_secs(1));
    let last_sent = arrivals
        .last()
        .map_or(Duration::ZERO, |at| *at - changed_at);
    Outcome { last_sent, allowed }
}

/// The faults hit a watch that has been open for [`WATCH_AGE`], and the requests after it.
fn run_with_faults_of_old_watch(case: Case) -> Outcome {
    run_with_faults(case, WATCH_AGE)
}

fn case_with_faults(faults: &[DiscoveryFault], ask_within_ms: u32, grace_ms: u64) -> Case {
    Case {
        ask_within_ms,
        grace: Duration::from_millis(grace_ms),
        seed: 1,
        faults: faults.to_vec(),
    }
}

// Guards against a long watch after a failed request: if its response is lost, a change goes unnoticed for up to 20 s.
#[test]
fn change_is_applied_in_time_after_any_two_faults_of_discovery() {
    let mut cases = Vec::new();
    for first in DiscoveryFault::ALL {
        cases.push(case_with_faults(&[first], 10_000, 400));
        for second in DiscoveryFault::ALL {
            cases.push(case_with_faults(&[first, second], 30_000, 400));
        }
    }
    run_all(cases, run_with_faults_of_old_watch);
}

// Guards against a response that stalls half way and occupies the watch for the rest of its wait.
#[test]
fn change_is_applied_in_time_if_the_response_to_a_new_watch_stalls() {
    let mut cases = Vec::new();
    for first in [HalfAnswer, DrippedAnswer] {
        cases.push(case_with_faults(&[first], 10_000, 400));
        cases.push(case_with_faults(&[first, Silent], 30_000, 400));
        cases.push(case_with_faults(&[first, HalfAnswer], 60_000, 400));
    }
    run_all(cases, |case| run_with_faults(case, Duration::ZERO));
}

#[test]
fn change_is_applied_in_time_after_longer_sequences_of_faults_of_discovery() {
    let mut cases = Vec::new();
    for faults in LONG_SEQUENCES {
        for ask_within_ms in [10_000, 60_000] {
            cases.push(case_with_faults(faults, ask_within_ms, 2_000));
        }
    }
    run_all(cases, run_with_faults_of_old_watch);
}

#[test]
fn change_made_while_a_node_restarts_is_applied_in_time_after_faults_of_discovery() {
    let mut cases = Vec::new();
    for first in DiscoveryFault::ALL {
        cases.push(case_with_faults(&[first], 10_000, 2_000));
        cases.push(case_with_faults(&[first, Reset], 30_000, 2_000));
        cases.push(case_with_faults(&[Reset, first], 60_000, 2_000));
    }
    run_all(cases, |case| run_restart(case, Duration::from_secs(1)));
}

/// A SIGHUP moves discovery to a new address; the faults hit the requests there.
fn run_move(case: Case) -> Outcome {
    let mut environment = Environment::new(case);
    let node = environment.start_node();
    environment.wait_for_watch(Duration::ZERO);
    environment.discovery = ScriptedDiscovery::new(6, &environment.targets);
    let faults = environment.case.faults.clone();
    environment.drain(&faults);
    let mut config: Value = serde_json::from_str(&node.config()).unwrap();
    config["discovery"] = json!(environment.discovery.address().to_string());
    node.reload(&config.to_string());
    let moved_at = Instant::now();
    let allowed = ANNOUNCED_AFTER_MOVE + environment.case.grace;
    let arrivals = environment.serve(&node, moved_at + allowed + Duration::from_secs(1));
    let last_sent = arrivals.last().map_or(Duration::ZERO, |at| *at - moved_at);
    Outcome { last_sent, allowed }
}

#[test]
fn change_known_at_a_new_address_is_applied_in_time_after_faults_of_discovery() {
    let mut cases = Vec::new();
    for first in DiscoveryFault::ALL {
        cases.push(case_with_faults(&[first], 10_000, 2_000));
        cases.push(case_with_faults(&[first, Reset], 60_000, 2_000));
        cases.push(case_with_faults(&[Reset, first], 30_000, 2_000));
    }
    run_all(cases, run_move);
}

/// A watch ends with its wait. No connection for the next request can be established until `blocked_for` after the change.
fn run_without_connections(case: Case, blocked_for: Duration) -> Outcome {
    let mut environment = Environment::new(case);
    let node = environment.start_node();
    environment.wait_for_watch(WATCH_AGE);
    environment.discovery.let_no_connection_up();
    let rest = environment.discovery.rest_of_wait();
    environment.serve(&node, Instant::now() + rest + MAX_REQUEST_PAUSE);
    let faults = environment.case.faults.clone();
    let changed_at = environment.drain(&faults);
    let allowed = ANNOUNCED_AFTER + environment.case.grace;
    let mut arrivals = environment.serve(&node, changed_at + blocked_for);
    environment.discovery.let_connections_up();
    arrivals.extend(environment.serve(&node, changed_at + allowed + Duration::from_secs(1)));
    let last_sent = arrivals
        .last()
        .map_or(Duration::ZERO, |at| *at - changed_at);
    Outcome { last_sent, allowed }
}

// Guards against a request that times out only after the wait of its watch although its connection was never established.
#[test]
fn change_is_applied_in_time_if_no_connection_to_discovery_is_established_for_a_while() {
    let mut cases = Vec::new();
    for ask_within_ms in [10_000, 30_000] {
        for seed in 1..=5 {
            cases.push(Case {
                seed,
                ..case_with_faults(&[], ask_within_ms, 400)
            });
        }
    }
    // Ends shortly after a time at which the kernel sends the first packet of a connection again, if it was lost before.
    let run = |case: Case| {
        let blocked_for = Duration::from_millis(1_000 * case.seed + 100);
        run_without_connections(case, blocked_for)
    };
    run_all(cases, run);
}
