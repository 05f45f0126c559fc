//! The rules, checked from the actions alone under random events from fixed seeds.

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
        poll,
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

/// An attempt as the node knows it.
struct Attempt {
    server: ServerId,
    sent: Micros,
    status: Option<Status>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        !self.status.is_some_and(Status::never_ran)
    }
}

struct Open {
    class: usize,
    deadline: Micros,
    closed: bool,
    attempts_stopped: bool,
    attempts: Vec<Attempt>,
}

/// A node around the module that knows only events and actions, and checks the rules.
struct Node {
    settings: Settings,
    balancer: Balancer,
    now: Micros,
    open: BTreeMap<RequestId, Open>,
    timers: BTreeMap<(Micros, u64), u64>,
    serial: u64,
    listed: HashMap<ServerId, Endpoint>,
    removed: HashMap<ServerId, Micros>,
    calls: usize,
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
    fn new(set: Settings, seed: u64) -> Node {
        let balancer = Balancer::new(set.clone(), seed, 0).unwrap();
        Node {
            settings: set,
            balancer,
            now: 0,
            open: BTreeMap::new(),
            timers: BTreeMap::new(),
            serial: 0,
            listed: HashMap::new(),
            removed: HashMap::new(),
            calls: 0,
        }
    }

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

    fn list(&mut self, kind: EndpointListKind, entries: Vec<Endpoint>) {
        if kind != EndpointListKind::Delta {
            for (id, _) in self
                .listed
                .iter()
                .filter(|(id, _)| !entries.iter().any(|e| e.server == **id))
            {
                self.removed.entry(id.clone()).or_insert(self.now);
            }
        }
        for e in &entries {
            self.listed.insert(e.server.clone(), e.clone());
            if e.state == ServerState::Live {
                self.removed.remove(&e.server);
            } else {
                self.removed.entry(e.server.clone()).or_insert(self.now);
            }
        }
        self.give(Event::EndpointList(kind, entries.into()));
    }

    fn request(&mut self, class: usize, key: u32, budget: Micros) {
        self.serial += 1;
        let id: RequestId = format!("r{}", self.serial).into();
        let open = Open {
            class,
            deadline: self.now + budget,
            closed: false,
            attempts_stopped: false,
            attempts: vec![],
        };
        self.open.insert(id.clone(), open);
        self.give(Event::Request(Request {
            id,
            class,
            tenant: key.is_multiple_of(2).then_some(0),
            key: (!key.is_multiple_of(5)).then(|| Arc::from(format!("k{}", key % 7))),
            budget,
            work: None,
            size: None,
            retry: false,
            write: key.is_multiple_of(3),
        }));
    }

    fn outcome(&mut self, pick: u32, status: u32) {
        let pending: Vec<(RequestId, usize)> = self
            .open
            .iter()
            .flat_map(|(id, o)| {
                o.attempts
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
        let o = self.open.get_mut(&id).unwrap();
        o.attempts[attempt].status = Some(status);
        o.closed |= status == Status::Ok;
        let (closed, server) = (o.closed, o.attempts[attempt].server.clone());
        self.give(Event::AttemptEnded(AttemptOutcome {
            request: id,
            server,
            attempt,
            latency: 5_000,
            status,
            closed,
            cache_result: None,
            load: None,
        }));
    }

    fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some((&(due, n), &token)) = self.timers.first_key_value() {
            if due > until {
                break;
            }
            self.timers.remove(&(due, n));
            // Batches come a tick apart: the timer is delivered up to one late.
            self.now = self.now.max(due + self.settings.tick);
            self.give(Event::TimerExpired(token));
        }
        self.now = self.now.max(until);
        for o in self.open.values() {
            assert!(
                o.closed
                    || self.now <= o.deadline + self.settings.answer_slack + self.settings.tick,
                "unanswered"
            );
        }
    }

    fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send {
                request, server, ..
            } => self.check_send(&request, server),
            Action::Reject { request, .. } => {
                let open = self
                    .open
                    .get(&request)
                    .expect("rejection of a request never given");
                let class = &self.settings.classes[open.class];
                let ran = open.attempts.iter().any(Attempt::may_have_run);
                let harmless = class.idempotency == Idempotency::Idempotent
                    || (class.idempotency == Idempotency::Keyed
                        && class.deduplication_scope == DeduplicationScope::All);
                assert!(harmless || !ran, "rejected what may have run");
                self.check_final_answer(&request);
            }
            Action::Fail { request } => self.check_final_answer(&request),
            Action::Cancel { request, attempt } => {
                assert!(
                    self.open[&request].attempts.len() > attempt,
                    "cancelled what was never sent"
                );
            }
            Action::SetTimer { delay, token } => {
                assert!(delay >= 0);
                self.serial += 1;
                self.timers.insert((self.now + delay, self.serial), token);
            }
            Action::Subscribe(_) | Action::FetchEndpointList => self.calls += 1,
            Action::Probe(_) => assert!(self.settings.probes),
            Action::CloseIdleConnections(_) | Action::Log(_) => {}
        }
    }

    fn check_send(&mut self, request: &RequestId, server: ServerId) {
        let now = self.now;
        let open = self
            .open
            .get_mut(request)
            .expect("send for a request never given");
        assert!(!open.closed, "send after the end");
        assert!(
            !open.attempts_stopped,
            "sent though its client has disconnected"
        );
        assert!(
            open.attempts.len() < self.settings.max_attempts,
            "too many attempts"
        );
        let to = self.listed.get(&server).expect("server never listed");
        if let Some(removed) = self.removed.get(&server) {
            assert!(
                now - removed <= self.settings.drain_grace,
                "sent to a server that is draining or removed"
            );
        }
        let pending = open.attempts.iter().filter(|a| a.status.is_none()).count();
        assert!(
            pending == 0 || self.settings.hedging,
            "two attempts at once"
        );
        let class = &self.settings.classes[open.class];
        for other in open.attempts.iter().filter(|a| a.may_have_run()) {
            let from = &self.listed[&other.server];
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("request without idempotency sent again"),
                Idempotency::Keyed => {
                    assert!(
                        now <= other.sent + class.deduplication_window,
                        "sent again after the window"
                    );
                    match class.deduplication_scope {
                        DeduplicationScope::All => {}
                        DeduplicationScope::Zone => assert_eq!(from.zone, to.zone),
                        DeduplicationScope::Cell => assert_eq!(from.cell, to.cell),
                    }
                }
            }
        }
        open.attempts.push(Attempt {
            server,
            sent: now,
            status: None,
        });
    }

    fn check_final_answer(&mut self, request: &RequestId) {
        let open = self
            .open
            .get_mut(request)
            .expect("final answer to a request never given");
        assert!(!open.closed, "two final answers");
        assert!(
            self.now <= open.deadline + self.settings.answer_slack,
            "answered too late"
        );
        open.closed = true;
    }

    fn play(&mut self, ops: &[(u8, u32, u32)]) {
        for &(op, a, b) in ops {
            match op % 12 {
                0..=3 => {
                    self.request(
                        a as usize % self.settings.classes.len(),
                        b,
                        [600_000, 200_000, 40_000, 3_000][(a / 5 % 4) as usize],
                    );
                }
                4..=7 => self.outcome(a, b),
                8 => self.pass(i64::from(a % if b % 3 == 0 { 900_000 } else { 60_000 })),
                9 => {
                    let state = [
                        ServerState::Live,
                        ServerState::Draining,
                        ServerState::Removed,
                    ];
                    let e = self.entry(b % 8, state[(a % 3) as usize]);
                    self.list(
                        EndpointListKind::Delta,
                        if a % 7 == 0 { vec![] } else { vec![e] },
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
                    self.list(kind, entries);
                }
                _ => {
                    let mut ids: Vec<RequestId> = self.open.keys().cloned().collect();
                    if a % 3 == 1 && !ids.is_empty() {
                        let id = ids.swap_remove(b as usize % ids.len());
                        self.open.get_mut(&id).unwrap().attempts_stopped = true;
                        self.give(Event::StopAttempts(id.clone()));
                        let o = &self.open[&id];
                        let out = o.attempts.iter().any(|a| a.status.is_none());
                        assert!(
                            o.closed || out,
                            "no attempt is pending, and it has no answer"
                        );
                    } else if a % 3 == 0 && !ids.is_empty() {
                        let id = ids.swap_remove(b as usize % ids.len());
                        self.open.get_mut(&id).unwrap().closed = true;
                        self.give(Event::ClientDisconnected(id));
                    } else {
                        self.give(Event::EndpointListFailed);
                    }
                }
            }
        }
        // Nothing else happens: the timers alone must bring every answer in time.
        self.pass(5_000_000);
        assert!(
            self.open.values().all(|o| o.closed),
            "a request was never answered"
        );
    }
}

#[test]
fn rules_hold_under_random_events() {
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
        .run(&case, |(hedging, aside, poll, seed, ops)| {
            let mode = if aside {
                CacheMode::CacheAside
            } else {
                CacheMode::ReadThrough
            };
            Node::new(settings(hedging, mode, poll), seed).play(&ops);
            Ok(())
        })
        .unwrap();
}

/// Settings that no deployment has and any could: names, idempotency, groups, times from milliseconds to a
/// minute, with and without zones, tenants, hedging, cancelling.
fn arbitrary_settings() -> impl Strategy<Value = serde_json::Value> {
    let times = || prop_oneof![1.0..50.0, 50.0..2_000.0, 2_000.0..60_000.0];
    let word = |words: &'static [&'static str]| prop::sample::select(words);
    let class = (
        "[a-z\u{e9} _./-]{1,12}",
        (times(), times(), times()),
        word(&["free", "guarded", "single_shot"]),
        word(&["all", "zone", "cell"]),
        (0.0..20.0, 0.0..1.0, any::<bool>()),
    );
    let class = class.prop_map(|(name, (latency_objective, deadline, window), repeat, scope, (worth, late, stream))| {
        serde_json::json!({"name": name, "aim": latency_objective, "deadline": deadline, "window": window, "repeat": repeat,
            "dedup_scope": scope, "worth": worth, "late_share": late, "stream": stream})
    });
    let realm = ("[a-z]{1,6}", 0.0..500.0, 0.0..1.0).prop_map(
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
        word(&["push", "ask"]),
        word(&["silent", "nominal", "rough", "live"]),
        word(&["through", "aside"]),
        prop::option::of(word(&["z0", "nowhere"])),
        (1..600u32, 1.0..10.0, 0.0..0.3),
    );
    let lists = (
        prop::collection::vec(class, 1..6),
        prop::collection::vec(realm, 0..4),
    );
    (lists, limits, rules, rest).prop_map(|((classes, realms), limits, rules, rest)| {
        let (discovery, weights, mode, zone, (nodes, period, crossing)) = rest;
        let (tries, hedging, cancel, retry, connect, after) = limits;
        let (grace, from, cold, multiple, fall, within) = rules;
        serde_json::json!({
            "classes": classes, "realms": realms, "discovery": discovery, "weights": weights, "zone": zone,
            "zones": ["z0", "z1"], "kinds": ["m0", "m1"], "replicas_of_me": nodes, "period": period,
            "domain": {"mode": mode, "origin_kind": if mode == "aside" { 1 } else { -1 }},
            "prices": {"cross_zone": crossing},
            "policy_limits": {"try_limit": tries, "second_copies": hedging, "cancel": cancel, "retry_after": retry,
                "max_retry_after": after, "connect_timeout": connect},
            "rules": {"stop_sending_within": grace, "cold_from": from, "cold": cold, "fall_multiple": multiple,
                "fall": fall, "ask_within": within, "grace_to_answer": 4.0 * period},
        })
    })
}

#[test]
fn rules_hold_on_any_customers_settings() {
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
                let fields = sloewick_decision::settings::Fields::of(&value, "settings").unwrap();
                let (set, _) = sloewick_decision::settings::parse(&fields).unwrap();
                set.validate().unwrap();
                Node::new(set, seed).play(&ops);
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn request_without_any_server_is_answered() {
    let mut node = Node::new(settings(true, CacheMode::ReadThrough, true), 1);
    node.request(4, 1, 600_000);
    node.pass(1_000_000);
    assert!(node
        .open
        .values()
        .all(|o| o.closed && o.attempts.is_empty()));
}

#[test]
fn waiting_requests_are_sent_when_a_server_joins() {
    let mut node = Node::new(settings(true, CacheMode::ReadThrough, true), 1);
    node.request(0, 1, 600_000);
    let e = node.entry(0, ServerState::Live);
    node.list(EndpointListKind::Delta, vec![e]);
    assert!(node.open.values().all(|o| o.attempts.len() == 1));
}

#[test]
fn misses_and_writes_go_to_the_origin_in_cache_aside_mode() {
    let mut node = Node::new(settings(true, CacheMode::CacheAside, false), 1);
    let list = (0..8).map(|i| node.entry(i, ServerState::Live)).collect();
    node.list(EndpointListKind::Full, list);
    node.request(0, 1, 600_000);
    node.outcome(0, 8);
    node.request(0, 3, 600_000);
    let sent: Vec<Vec<&str>> = node
        .open
        .values()
        .map(|o| o.attempts.iter().map(|a| &*a.server).collect())
        .collect();
    let origin = |s: &str| s == "srv6" || s == "srv7";
    assert!(!origin(sent[0][0]) && origin(sent[0][1]), "{sent:?}");
    assert!(origin(sent[1][0]), "{sent:?}");
}

#[test]
fn failed_poll_of_the_endpoint_list_is_repeated_within_its_bound() {
    let mut node = Node::new(settings(true, CacheMode::ReadThrough, true), 1);
    let e = node.entry(0, ServerState::Live);
    node.list(EndpointListKind::Cached, vec![e]);
    node.pass(node.settings.poll_within / 2);
    assert_eq!(node.calls, 1);
    for _ in 0..6 {
        let before = node.calls;
        node.give(Event::EndpointListFailed);
        node.pass(node.settings.poll_within / 2);
        assert_eq!(node.calls, before + 1);
    }
}

#[test]
fn server_that_warms_up_gets_no_more_than_its_capacity() {
    let mut set = settings(true, CacheMode::ReadThrough, false);
    set.classes.truncate(1);
    let mut node = Node::new(set, 3);
    let mut list: Vec<Endpoint> = (0..8).map(|i| node.entry(i, ServerState::Live)).collect();
    node.now = 1_000_000;
    for e in &mut list {
        e.started = (&*e.server == "srv2").then_some(node.now);
    }
    node.list(EndpointListKind::Full, list);
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
            retry: false,
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
    // As busy as the seven others.
    let able =
        all / 8.0 * node.settings.cold_capacity / ((7.0 + node.settings.cold_capacity) / 8.0);
    assert!(cold > 0.5 * able && cold < 1.2 * able, "{cold} of {all}");
}
