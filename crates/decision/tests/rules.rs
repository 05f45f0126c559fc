//! Checks that the actions of the balancer obey the rules for attempts and final responses, under random
//! events from fixed seeds. The checks use only the events and the actions.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sloewick_decision::api::{
    Action, AttemptOutcome, CacheMode, Class, DeduplicationScope, Endpoint, EndpointListKind,
    Event, Idempotency, Micros, Request, RequestId, ServerId, ServerState, Settings, Status,
    Tenant,
};
use sloewick_decision::Balancer;

#[path = "support/settings.rs"]
mod shared_settings;

fn class(
    idempotency: Idempotency,
    deduplication_scope: DeduplicationScope,
    late_weight: f64,
) -> Class {
    Class {
        deadline: 600_000,
        idempotency,
        deduplication_scope,
        deduplication_window: 200_000,
        late_weight,
        ..shared_settings::class()
    }
}

fn settings(hedging: bool, mode: CacheMode, poll: bool) -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, DeduplicationScope::All, 0.3),
            class(Idempotency::Keyed, DeduplicationScope::All, 0.3),
            class(Idempotency::Keyed, DeduplicationScope::Zone, 0.3),
            class(Idempotency::Keyed, DeduplicationScope::Cell, 0.0),
            class(Idempotency::NonIdempotent, DeduplicationScope::All, 0.3),
        ],
        tenants: vec![Tenant {
            quota_per_s: 20.0,
            share: 1.0,
        }],
        poll_endpoint_list: poll,
        mode,
        origin_kind: (mode == CacheMode::CacheAside).then_some(1),
        over_quota_weight: 0.1,
        tick: 2_000,
        max_attempts: 4,
        hedging,
        drain_grace: 500_000,
        cold_capacity: 0.2,
        warm_up_time: 10_000_000,
        overload_multiple: 3.0,
        ..shared_settings::settings()
    }
}

/// An attempt that the balancer has sent.
struct Attempt {
    server: ServerId,
    sent: Micros,
    /// None while it is pending.
    status: Option<Status>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        !self.status.is_some_and(Status::never_ran)
    }
}

/// A request that the balancer was given, and its attempts so far.
struct RequestRecord {
    class: usize,
    /// When the client gives up.
    deadline: Micros,
    /// Whether it has its final response, or its client has disconnected.
    closed: bool,
    /// Whether the balancer was told to send no further attempts.
    attempts_stopped: bool,
    attempts: Vec<Attempt>,
}

/// A node that gives events to a balancer and checks that the actions obey the rules.
struct Node {
    settings: Settings,
    balancer: Balancer,
    now: Micros,
    /// All requests so far, including closed ones.
    requests: BTreeMap<RequestId, RequestRecord>,
    /// Tokens of the running timers, by expiry time and serial number.
    timers: BTreeMap<(Micros, u64), u64>,
    /// Serial number of the last request or timer.
    serial: u64,
    /// The last entry of each server that was ever listed.
    listed: HashMap<ServerId, Endpoint>,
    /// Servers that are draining, removed or missing from a list, and since when.
    unavailable_since: HashMap<ServerId, Micros>,
    /// Number of actions so far that subscribe to the endpoint list, unsubscribe or fetch it.
    endpoint_list_calls: usize,
}

const STATUSES: [Status; 9] = [
    Status::Ok,
    Status::Error,
    Status::Rejected,
    Status::Timeout,
    Status::ConnectFailed,
    Status::Reset,
    Status::Cancelled,
    Status::NotSent,
    Status::Miss,
];

impl Node {
    fn new(settings: Settings, seed: u64) -> Node {
        let balancer = Balancer::new(settings.clone(), seed, 0).unwrap();
        Node {
            settings,
            balancer,
            now: 0,
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            serial: 0,
            listed: HashMap::new(),
            unavailable_since: HashMap::new(),
            endpoint_list_calls: 0,
        }
    }

    /// The endpoint list entry of the server `srv{i}`.
    fn entry(&self, i: u32, state: ServerState) -> Endpoint {
        Endpoint {
            server: format!("srv{i}").into(),
            weight: 1.0,
            zone: Some((i % 2) as u16),
            kind: Some(u16::from(i >= 6)),
            state,
            started: (i % 3 == 1).then_some(self.now.max(1)),
            cell: Some(i % 3),
        }
    }

    /// Gives the balancer an endpoint list.
    fn deliver_list(&mut self, kind: EndpointListKind, entries: Vec<Endpoint>) {
        if kind != EndpointListKind::Delta {
            for (id, _) in self
                .listed
                .iter()
                .filter(|(id, _)| !entries.iter().any(|e| e.server == **id))
            {
                self.unavailable_since.entry(id.clone()).or_insert(self.now);
            }
        }
        for entry in &entries {
            self.listed.insert(entry.server.clone(), entry.clone());
            if entry.state == ServerState::Live {
                self.unavailable_since.remove(&entry.server);
            } else {
                self.unavailable_since
                    .entry(entry.server.clone())
                    .or_insert(self.now);
            }
        }
        self.handle(Event::EndpointList(kind, entries.into()));
    }

    /// Gives the balancer a request. `key` determines its key, its tenant and whether it is a write.
    fn send_request(&mut self, class: usize, key: u32, budget: Micros) {
        self.serial += 1;
        let id: RequestId = format!("r{}", self.serial).into();
        let record = RequestRecord {
            class,
            deadline: self.now + budget,
            closed: false,
            attempts_stopped: false,
            attempts: vec![],
        };
        self.requests.insert(id.clone(), record);
        self.handle(Event::Request(Request {
            id,
            class,
            tenant: key.is_multiple_of(2).then_some(0),
            key: (!key.is_multiple_of(5)).then(|| Arc::from(format!("k{}", key % 7))),
            budget,
            work: None,
            size: None,
            is_client_retry: false,
            earlier_request_sent: None,
            write: key.is_multiple_of(3),
        }));
    }

    /// Ends one of the pending attempts, if there are any. `pick` determines which one, `status` its status.
    fn end_attempt(&mut self, pick: u32, status: u32) {
        let pending: Vec<(RequestId, usize)> = self
            .requests
            .iter()
            .flat_map(|(id, request)| {
                request
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(|(_, a)| a.status.is_none())
                    .map(|(i, _)| (id.clone(), i))
            })
            .collect();
        if pending.is_empty() {
            return;
        }
        let (id, attempt) = pending[pick as usize % pending.len()].clone();
        let status = STATUSES[status as usize % STATUSES.len()];
        let request = self.requests.get_mut(&id).unwrap();
        request.attempts[attempt].status = Some(status);
        request.closed |= status == Status::Ok;
        let (closed, server) = (request.closed, request.attempts[attempt].server.clone());
        self.handle(Event::AttemptEnded(AttemptOutcome {
            request: id,
            server,
            attempt,
            latency: 5_000,
            status,
            is_final: closed,
            cache_result: None,
            load: None,
        }));
    }

    /// Advances the time, delivers the timers that expire meanwhile, and checks that no request is unanswered
    /// after its deadline.
    fn advance(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some((&(due, n), &token)) = self.timers.first_key_value() {
            if due > until {
                break;
            }
            self.timers.remove(&(due, n));
            // Events are delivered in batches a tick apart: a timer is up to one tick late.
            self.now = self.now.max(due + self.settings.tick);
            self.handle(Event::TimerExpired(token));
        }
        self.now = self.now.max(until);
        for (id, request) in &self.requests {
            assert!(
                request.closed
                    || self.now
                        <= request.deadline
                            + self.settings.final_response_grace
                            + self.settings.tick,
                "no final response to {id} at {}, deadline {}",
                self.now,
                request.deadline
            );
        }
    }

    /// Gives the balancer an event and checks the resulting actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.check_action(action);
        }
    }

    fn check_action(&mut self, action: Action) {
        match action {
            Action::Send {
                request, server, ..
            } => self.check_send(&request, server),
            Action::Reject {
                request,
                retry_after,
            } => {
                let record = self
                    .requests
                    .get(&request)
                    .expect("only requests that the balancer was given are rejected");
                let class = &self.settings.classes[record.class];
                let may_have_run = record.attempts.iter().any(Attempt::may_have_run);
                let ran = record.attempts.iter().filter(|a| a.may_have_run());
                let first_sent = ran.map(|attempt| attempt.sent).min();
                let is_remembered = first_sent
                    .is_none_or(|sent| self.now + retry_after < sent + class.deduplication_window);
                let is_retry_harmless = class.idempotency == Idempotency::Idempotent
                    || (class.idempotency == Idempotency::Keyed
                        && class.deduplication_scope == DeduplicationScope::All
                        && is_remembered);
                assert!(
                    is_retry_harmless || !may_have_run,
                    "{request} was rejected although it may have run and a retry may not be harmless"
                );
                self.check_final_response(&request);
            }
            Action::Fail { request } => self.check_final_response(&request),
            Action::Cancel { request, attempt } | Action::CancelUnreceived { request, attempt } => {
                assert!(
                    self.requests[&request].attempts.len() > attempt,
                    "attempt {attempt} of {request} was cancelled but never sent"
                );
            }
            Action::SetTimer { delay, token } => {
                assert!(delay >= 0);
                self.serial += 1;
                self.timers.insert((self.now + delay, self.serial), token);
            }
            Action::Subscribe(_) | Action::FetchEndpointList => self.endpoint_list_calls += 1,
            Action::Probe(_) => assert!(self.settings.probes),
            Action::CloseIdleConnections(_) | Action::Log(_) => {}
        }
    }

    fn check_send(&mut self, request: &RequestId, server: ServerId) {
        let now = self.now;
        let record = self
            .requests
            .get_mut(request)
            .expect("attempts are sent only for requests that the balancer was given");
        assert!(!record.closed, "attempt for {request}, which has ended");
        assert!(
            !record.attempts_stopped,
            "attempt for {request} after its attempts were stopped"
        );
        assert!(
            record.attempts.len() < self.settings.max_attempts,
            "more than {} attempts for {request}",
            self.settings.max_attempts
        );
        let target = self
            .listed
            .get(&server)
            .expect("attempt at a listed server");
        if let Some(since) = self.unavailable_since.get(&server) {
            assert!(
                now - since <= self.settings.drain_grace,
                "attempt for {request} at {server}, which is draining or removed since {since}, at {now}"
            );
        }
        let pending = record
            .attempts
            .iter()
            .filter(|a| a.status.is_none())
            .count();
        assert!(
            pending == 0 || self.settings.hedging,
            "two pending attempts for {request} without hedging"
        );
        let class = &self.settings.classes[record.class];
        for other in record.attempts.iter().filter(|a| a.may_have_run()) {
            let previous = &self.listed[&other.server];
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("retry of {request}, which is not idempotent"),
                Idempotency::Keyed => {
                    assert!(
                        now <= other.sent + class.deduplication_window,
                        "retry of {request} after its deduplication window"
                    );
                    match class.deduplication_scope {
                        DeduplicationScope::All => {}
                        DeduplicationScope::Zone => assert_eq!(previous.zone, target.zone),
                        DeduplicationScope::Cell => assert_eq!(previous.cell, target.cell),
                    }
                }
            }
        }
        record.attempts.push(Attempt {
            server,
            sent: now,
            status: None,
        });
    }

    fn check_final_response(&mut self, request: &RequestId) {
        let record = self
            .requests
            .get_mut(request)
            .expect("only requests that the balancer was given get a final response");
        assert!(
            !record.closed,
            "final response to {request}, which has ended"
        );
        assert!(
            self.now <= record.deadline + self.settings.final_response_grace,
            "final response to {request} at {}, deadline {}",
            self.now,
            record.deadline
        );
        record.closed = true;
    }

    /// Performs a sequence of operations, each given by its kind and two parameters, and then waits until all
    /// requests must have their final response.
    fn run(&mut self, ops: &[(u8, u32, u32)]) {
        for &(op, a, b) in ops {
            match op % 12 {
                0..=3 => {
                    self.send_request(
                        a as usize % self.settings.classes.len(),
                        b,
                        [600_000, 200_000, 40_000, 3_000][(a / 5 % 4) as usize],
                    );
                }
                4..=7 => self.end_attempt(a, b),
                8 => self.advance(i64::from(a % if b % 3 == 0 { 900_000 } else { 60_000 })),
                9 => {
                    let states = [
                        ServerState::Live,
                        ServerState::Draining,
                        ServerState::Removed,
                    ];
                    let entry = self.entry(b % 8, states[(a % 3) as usize]);
                    self.deliver_list(
                        EndpointListKind::Delta,
                        if a % 7 == 0 { vec![] } else { vec![entry] },
                    );
                }
                10 => {
                    let kind = if a % 2 == 0 {
                        EndpointListKind::Full
                    } else {
                        EndpointListKind::Cached
                    };
                    let entries = (0..8).filter(|i| b >> i & 1 == 1);
                    let entries = entries.map(|i| self.entry(i, ServerState::Live)).collect();
                    self.deliver_list(kind, entries);
                }
                _ => {
                    let mut ids: Vec<RequestId> = self.requests.keys().cloned().collect();
                    if a % 3 == 1 && !ids.is_empty() {
                        let id = ids.swap_remove(b as usize % ids.len());
                        self.requests.get_mut(&id).unwrap().attempts_stopped = true;
                        self.handle(Event::StopAttempts(id.clone()));
                        let request = &self.requests[&id];
                        let has_pending = request.attempts.iter().any(|a| a.status.is_none());
                        assert!(
                            request.closed || has_pending,
                            "{id} has neither a pending attempt nor a final response"
                        );
                    } else if a % 3 == 0 && !ids.is_empty() {
                        let id = ids.swap_remove(b as usize % ids.len());
                        self.requests.get_mut(&id).unwrap().closed = true;
                        self.handle(Event::ClientDisconnected(id));
                    } else {
                        self.handle(Event::EndpointListFailed);
                    }
                }
            }
        }
        // No more events but timers: they alone must lead to a final response to each request in time.
        self.advance(5_000_000);
        assert!(
            self.requests.values().all(|request| request.closed),
            "a request has no final response"
        );
    }
}

#[test]
fn actions_obey_the_rules_under_random_events() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec((any::<u8>(), any::<u32>(), any::<u32>()), 0..250);
    let case = (
        any::<bool>(),
        any::<bool>(),
        any::<bool>(),
        any::<u64>(),
        ops,
    );
    runner
        .run(&case, |(hedging, cache_aside, poll, seed, ops)| {
            let mode = if cache_aside {
                CacheMode::CacheAside
            } else {
                CacheMode::ReadThrough
            };
            Node::new(settings(hedging, mode, poll), seed).run(&ops);
            Ok(())
        })
        .unwrap();
}

/// Generates valid settings, including unusual ones: any class names, idempotency and deduplication scopes,
/// times from milliseconds to a minute, with and without zones, tenants, hedging and cancelling.
fn arbitrary_settings() -> impl Strategy<Value = serde_json::Value> {
    let times = || prop_oneof![1.0..50.0, 50.0..2_000.0, 2_000.0..60_000.0];
    let one_of = |words: &'static [&'static str]| prop::sample::select(words);
    let class = (
        "[a-z\u{e9} _./-]{1,12}",
        (times(), times(), times()),
        one_of(&["free", "guarded", "single_shot"]),
        one_of(&["all", "zone", "cell"]),
        (0.0..20.0, 0.0..1.0, any::<bool>()),
    );
    let class = class.prop_map(|(name, times, idempotency, scope, (weight, late_weight, stream))| {
        let (objective, deadline, window) = times;
        serde_json::json!({"name": name, "aim": objective, "deadline": deadline, "window": window,
            "repeat": idempotency, "dedup_scope": scope, "worth": weight, "late_share": late_weight,
            "stream": stream})
    });
    let tenant = ("[a-z]{1,6}", 0.0..500.0, 0.0..1.0).prop_map(
        |(name, quota, share)| serde_json::json!({"name": name, "quota_per_s": quota, "share": share}),
    );
    let limits = (
        1..7u32,
        any::<bool>(),
        any::<bool>(),
        any::<bool>(),
        1.0..1_000.0,
        0.0..3_000.0,
    );
    let rules = (
        0.0..3_000.0,
        0.01..1.0,
        0.0..60_000.0,
        0.0..5.0,
        0.0..5_000.0,
        1.0..20_000.0,
    );
    let rest = (
        one_of(&["push", "ask"]),
        one_of(&["silent", "nominal", "rough", "live"]),
        one_of(&["through", "aside"]),
        prop::option::of(one_of(&["z0", "nowhere"])),
        (1..600u32, 1.0..10.0, 0.0..0.3),
    );
    let lists = (
        prop::collection::vec(class, 1..6),
        prop::collection::vec(tenant, 0..4),
    );
    (lists, limits, rules, rest).prop_map(|((classes, tenants), limits, rules, rest)| {
        let (discovery, weights, mode, zone, (nodes, tick, price_cross_zone)) = rest;
        let (max_attempts, hedging, cancel, retry_after, timeout, max_retry_after) = limits;
        let (drain_grace, cold_capacity, warm_up_time, multiple, window, poll) = rules;
        serde_json::json!({
            "classes": classes, "realms": tenants, "discovery": discovery, "weights": weights, "zone": zone,
            "zones": ["z0", "z1"], "kinds": ["m0", "m1"], "replicas_of_me": nodes, "period": tick,
            "domain": {"mode": mode, "origin_kind": if mode == "aside" { 1 } else { -1 }},
            "prices": {"cross_zone": price_cross_zone},
            "policy_limits": {"try_limit": max_attempts, "second_copies": hedging, "cancel": cancel,
                "retry_after": retry_after, "max_retry_after": max_retry_after, "connect_timeout": timeout},
            "rules": {"stop_sending_within": drain_grace, "cold_from": cold_capacity, "cold": warm_up_time,
                "fall_multiple": multiple, "fall": window, "ask_within": poll, "grace_to_answer": 4.0 * tick},
        })
    })
}

#[test]
fn actions_obey_the_rules_for_any_valid_settings() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec((any::<u8>(), any::<u32>(), any::<u32>()), 0..200);
    runner
        .run(
            &(arbitrary_settings(), any::<u64>(), ops),
            |(value, seed, ops)| {
                let fields =
                    sloewick_decision::settings::Fields::from_value(&value, "settings").unwrap();
                let (settings, _) = sloewick_decision::settings::parse(&fields).unwrap();
                settings.validate().unwrap();
                Node::new(settings, seed).run(&ops);
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn request_gets_a_final_response_without_any_server() {
    let mut node = Node::new(settings(true, CacheMode::ReadThrough, true), 1);
    node.send_request(4, 1, 600_000);
    node.advance(1_000_000);
    assert!(node
        .requests
        .values()
        .all(|request| request.closed && request.attempts.is_empty()));
}

#[test]
fn waiting_request_is_sent_when_a_server_joins() {
    let mut node = Node::new(settings(true, CacheMode::ReadThrough, true), 1);
    node.send_request(0, 1, 600_000);
    let entry = node.entry(0, ServerState::Live);
    node.deliver_list(EndpointListKind::Delta, vec![entry]);
    assert!(node
        .requests
        .values()
        .all(|request| request.attempts.len() == 1));
}

#[test]
fn misses_and_writes_go_to_the_origin_in_cache_aside_mode() {
    let mut node = Node::new(settings(true, CacheMode::CacheAside, false), 1);
    let list = (0..8).map(|i| node.entry(i, ServerState::Live)).collect();
    node.deliver_list(EndpointListKind::Full, list);
    node.send_request(0, 1, 600_000);
    node.end_attempt(0, 8);
    node.send_request(0, 3, 600_000);
    let sent: Vec<Vec<&str>> = node
        .requests
        .values()
        .map(|request| request.attempts.iter().map(|a| &*a.server).collect())
        .collect();
    let is_origin = |s: &str| s == "srv6" || s == "srv7";
    assert!(!is_origin(sent[0][0]) && is_origin(sent[0][1]), "{sent:?}");
    assert!(is_origin(sent[1][0]), "{sent:?}");
}

#[test]
fn failed_poll_of_the_endpoint_list_is_repeated_within_half_the_poll_bound() {
    let mut node = Node::new(settings(true, CacheMode::ReadThrough, true), 1);
    let entry = node.entry(0, ServerState::Live);
    node.deliver_list(EndpointListKind::Cached, vec![entry]);
    node.advance(node.settings.poll_within / 2);
    assert_eq!(node.endpoint_list_calls, 1);
    for _ in 0..6 {
        let before = node.endpoint_list_calls;
        node.handle(Event::EndpointListFailed);
        node.advance(node.settings.poll_within / 2);
        assert_eq!(node.endpoint_list_calls, before + 1);
    }
}

#[test]
fn server_that_warms_up_gets_attempts_in_proportion_to_its_capacity() {
    let mut settings = settings(true, CacheMode::ReadThrough, false);
    settings.classes.truncate(1);
    let mut node = Node::new(settings, 3);
    let mut list: Vec<Endpoint> = (0..8).map(|i| node.entry(i, ServerState::Live)).collect();
    node.now = 1_000_000;
    for entry in &mut list {
        entry.started = (&*entry.server == "srv2").then_some(node.now);
    }
    node.deliver_list(EndpointListKind::Full, list);
    let (mut cold, mut all) = (0.0, 0.0);
    for i in 0..3000 {
        node.serial += 1;
        let id: RequestId = format!("q{i}").into();
        let mut actions = Vec::new();
        let request = Request {
            id: id.clone(),
            class: 0,
            tenant: None,
            key: Some(format!("key{i}").into()),
            budget: 600_000,
            work: None,
            size: None,
            is_client_retry: false,
            earlier_request_sent: None,
            write: false,
        };
        node.balancer
            .handle(node.now, Event::Request(request), &mut actions);
        for action in actions {
            if let Action::Send { server, .. } = action {
                all += 1.0;
                cold += f64::from(u8::from(&*server == "srv2"));
            }
        }
    }
    // Number of attempts at which the cold server is as busy as the seven others, given its capacity.
    let expected =
        all / 8.0 * node.settings.cold_capacity / ((7.0 + node.settings.cold_capacity) / 8.0);
    assert!(
        cold > 0.5 * expected && cold < 1.2 * expected,
        "{cold} of {all} attempts at the cold server, {expected:.0} expected"
    );
}
