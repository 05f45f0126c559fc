//! Shared test helpers: a node with servers, requests to it and their outcomes.

use crate::api::{
    Action, AttemptOutcome, Class, Endpoint, EndpointListKind, Event, Micros, Request, ServerId,
    ServerState, Settings, Status,
};
use crate::balancer::Balancer;
use crate::latency::KindEstimate;
use crate::timer_token::TimerToken;

#[path = "../tests/support/settings.rs"]
mod shared_settings;

/// The latency estimate of a kind of machine.
pub(crate) fn kind_estimate(log_sum: f64, samples: f64) -> KindEstimate {
    KindEstimate { log_sum, samples }
}

/// Settings with the given cost of a request that crosses zones.
pub(crate) fn settings(price_cross_zone: f64) -> Settings {
    Settings {
        classes: vec![Class {
            deadline: 600_000,
            deduplication_window: 0,
            ..shared_settings::class()
        }],
        nodes: 4,
        poll_endpoint_list: false,
        poll_within: 0,
        over_quota_weight: 0.1,
        tick: 2_000,
        max_attempts: 4,
        hedging: false,
        max_retry_after: 0,
        drain_grace: 500_000,
        cold_capacity: 0.2,
        warm_up_time: 10_000_000,
        overload_multiple: 3.0,
        price_cross_zone,
        ..shared_settings::settings()
    }
}

/// The entry of a live server of zone 0 and kind 0.
pub(crate) fn live_endpoint(name: &str) -> Endpoint {
    Endpoint {
        server: name.into(),
        weight: 1.0,
        zone: Some(0),
        kind: Some(0),
        state: ServerState::Live,
        started: None,
        cell: None,
    }
}

/// A node with this many servers, which alternate between zones 0 and 1.
pub(crate) fn node(price_cross_zone: f64, servers: u16) -> Balancer {
    let mut node = Balancer::new(settings(price_cross_zone), 1, 0).unwrap();
    let list = (0..servers)
        .map(|i| Endpoint {
            zone: Some(i % 2),
            ..live_endpoint(&format!("s{i}"))
        })
        .collect();
    node.handle(
        0,
        Event::EndpointList(EndpointListKind::Full, list),
        &mut Vec::new(),
    );
    node
}

/// Gives the node the request `r{n}` for the key `k{n}`. Returns the server of its first attempt, if any.
pub(crate) fn send_request(node: &mut Balancer, now: Micros, n: u32) -> Option<ServerId> {
    let request = Request {
        id: format!("r{n}").into(),
        class: 0,
        tenant: None,
        key: Some(format!("k{n}").into()),
        budget: 600_000,
        work: None,
        size: None,
        is_client_retry: false,
        earlier_request_sent: None,
        write: false,
    };
    let mut actions = Vec::new();
    node.handle(now, Event::Request(request), &mut actions);
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    })
}

/// Ends the first attempt of the request `r{n}`. Returns the resulting actions.
pub(crate) fn end_attempt(
    node: &mut Balancer,
    now: Micros,
    n: u32,
    server: &ServerId,
    status: Status,
) -> Vec<Action> {
    let mut actions = Vec::new();
    let event = Event::AttemptEnded(AttemptOutcome {
        request: format!("r{n}").into(),
        server: server.clone(),
        attempt: 0,
        // An error caused by the origin takes time: the server has waited for the origin.
        latency: if status == Status::Error {
            100_000
        } else {
            1_000
        },
        status,
        is_final: status == Status::Ok,
        cache_result: None,
        load: None,
    });
    node.handle(now, event, &mut actions);
    actions
}

/// Sets the failing fraction of all servers of the partition.
pub(crate) fn set_failing_fraction(node: &mut Balancer, fraction: f64) {
    node.partition
        .servers
        .iter_mut()
        .for_each(|s| s.failing_fraction = fraction);
}

/// Lets attempts at one server outlast their expected latency. Returns how many it took to eject the server.
pub(crate) fn silent_attempts_until_ejected(
    node: &mut Balancer,
    recently_served: bool,
) -> Option<usize> {
    let target = node.partition.servers[3].entry.server.clone();
    let mut silent = 0;
    for n in 0..400 {
        let now = 10_000_000 + i64::from(n) * 1000;
        if send_request(node, now, n) != Some(target.clone()) {
            continue;
        }
        let (serial, request) = node.in_flight.requests.iter_mut().last().unwrap();
        request.likely_uncached = !recently_served;
        let token = TimerToken::Hedge(*serial).into();
        node.handle(now + 100_000, Event::TimerExpired(token), &mut Vec::new());
        silent += 1;
        if node.partition.servers[3].is_ejected() {
            return Some(silent);
        }
    }
    None
}
