//! `cargo bench -p sloewick-decision`: the time that the decision code takes for each request with its
//! outcome, and for a checkpoint, by the number of servers.

use std::sync::Arc;

use divan::counter::ItemsCount;
use divan::Bencher;
use sloewick_decision::api::{
    Action, AttemptOutcome, CacheResult, Class, Endpoint, EndpointListKind, Event, Idempotency,
    Request, RequestId, ServerState, Settings, Status, Tenant,
};
use sloewick_decision::Balancer;

fn main() {
    divan::main();
}

#[path = "../tests/support/settings.rs"]
mod shared_settings;

fn settings() -> Settings {
    let class = |idempotency, priority_weight| Class {
        idempotency,
        priority_weight,
        ..shared_settings::class()
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::Keyed, 10.0),
        ],
        tenants: vec![Tenant {
            quota_per_s: 1e6,
            share: 1.0,
        }],
        nodes: 4,
        poll_endpoint_list: false,
        poll_within: 0,
        tick: 2_000,
        max_in_flight: 100_000,
        price_cross_zone: 0.01,
        ..shared_settings::settings()
    }
}

/// Creates a balancer whose endpoint list names this many servers.
fn balancer_with_servers(servers: usize) -> Balancer {
    let mut balancer = Balancer::new(settings(), 7, 0).expect("valid settings");
    let entries: Arc<[Endpoint]> = (0..servers)
        .map(|n| Endpoint {
            server: format!("s-{n}").into(),
            weight: 1.0,
            zone: Some((n % 2) as u16),
            kind: Some(0),
            state: ServerState::Live,
            started: None,
            cell: None,
        })
        .collect();
    balancer.handle(
        0,
        Event::EndpointList(EndpointListKind::Full, entries),
        &mut Vec::new(),
    );
    balancer
}

/// Returns a closure that gives a balancer the next request and ends its first attempt, so that there is at
/// most one request in flight.
fn serve_requests() -> impl FnMut(&mut Balancer) {
    let mut actions = Vec::new();
    let keys: Vec<Arc<str>> = (0..2000).map(|n| format!("logger/{n}").into()).collect();
    let (mut now, mut n) = (0, 0usize);
    move |balancer| {
        now += 2_500;
        n += 1;
        let id: RequestId = format!("{n:016x}").into();
        // The product of two numbers below 2000 makes keys with low numbers more popular.
        let key = keys[(n * 7919 % 2000) * (n * 104_729 % 2000) / 2000].clone();
        let request = Request {
            id: id.clone(),
            class: usize::from(n % 12 == 0),
            tenant: Some(0),
            key: Some(key),
            budget: 400_000,
            work: None,
            size: None,
            is_client_retry: false,
            earlier_request_sent: None,
            write: n % 12 == 0,
        };
        actions.clear();
        balancer.handle(now, Event::Request(request), &mut actions);
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(server.clone()),
            _ => None,
        });
        let Some(server) = sent else { return };
        let outcome = Event::AttemptEnded(AttemptOutcome {
            request: id,
            server,
            attempt: 0,
            latency: 20_000,
            status: Status::Ok,
            is_final: true,
            cache_result: Some(CacheResult::Hit),
            load: None,
        });
        balancer.handle(now + 1, outcome, &mut actions);
    }
}

#[divan::bench(args = [5, 20, 91, 400])]
fn request_and_outcome(bencher: Bencher<'_, '_>, servers: usize) {
    let (mut balancer, mut serve_next) = (balancer_with_servers(servers), serve_requests());
    bencher
        .counter(ItemsCount::new(1usize))
        .bench_local(move || serve_next(&mut balancer));
}

/// Takes a checkpoint of a node with a full window of arrivals. A node does so once a second.
#[divan::bench(args = [5, 20, 91, 400])]
fn checkpoint(bencher: Bencher<'_, '_>, servers: usize) {
    let (mut balancer, mut serve_next) = (balancer_with_servers(servers), serve_requests());
    (0..5_000).for_each(|_| serve_next(&mut balancer));
    bencher.bench_local(move || balancer.checkpoint(12_500_000));
}
