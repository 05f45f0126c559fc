//! Tenant quotas at one node: requests over the quota are rejected while the node is late, and only then.

use sloewick_decision::api::*;
use sloewick_decision::Balancer;

#[allow(dead_code, reason = "each test file uses its part")]
mod support;

const NODES: usize = 6;
/// Requests a second that the tenants may send to all nodes together.
const QUOTAS: [f64; 2] = [60.0, 40.0];

fn node() -> Balancer {
    let tenant = |quota_per_s| Tenant {
        quota_per_s,
        share: 0.5,
    };
    let set = Settings {
        nodes: NODES,
        tenants: QUOTAS.into_iter().map(tenant).collect(),
        ..support::settings()
    };
    let mut node = Balancer::new(set, 7, 0).unwrap();
    let list: Vec<Endpoint> = (0..12).map(|i| support::entry(i, None)).collect();
    node.handle(
        0,
        Event::EndpointList(EndpointListKind::Full, list.into()),
        &mut Vec::new(),
    );
    node
}

/// Sends so many requests a second for twenty seconds, each answered late and with this cache result;
/// `tenant` gives the tenant of the n-th. For each tenant its requests in the second half, and those rejected
/// as over its quota.
fn rejected_over_quota(
    per_s: u64,
    note: CacheResult,
    tenant: impl Fn(u64) -> usize,
) -> [(u32, u32); 2] {
    let (mut node, mut counts) = (node(), [(0, 0); 2]);
    let (class, requests) = (support::settings().classes[0].clone(), 20 * per_s);
    for n in 0..requests {
        let (now, whose) = (n as Micros * 1_000_000 / per_s as Micros, tenant(n));
        let request: RequestId = format!("r{n}").into();
        let asked = Request {
            id: request.clone(),
            class: 0,
            tenant: Some(whose),
            key: Some(format!("k{}", n % 200).into()),
            budget: class.deadline,
            work: None,
            size: None,
            retry: false,
            write: false,
        };
        let mut actions = Vec::new();
        node.handle(now, Event::Request(asked), &mut actions);
        let counted = n >= requests / 2;
        counts[whose].0 += u32::from(counted);
        for action in actions {
            match action {
                Action::Reject { .. } if counted && node.decision_reason() == "share" => {
                    counts[whose].1 += 1;
                }
                Action::Send { server, .. } => {
                    let latency = class.latency_objective + class.latency_objective / 10;
                    let outcome = Event::AttemptEnded(AttemptOutcome {
                        request: request.clone(),
                        server,
                        attempt: 0,
                        latency,
                        status: Status::Ok,
                        closed: true,
                        cache_result: Some(note),
                        load: None,
                    });
                    node.handle(now + latency, outcome, &mut Vec::new());
                }
                _ => {}
            }
        }
    }
    counts
}

/// Six for the first tenant, then four for the second: as their quotas are.
fn by_quota(n: u64) -> usize {
    usize::from(n % 10 >= 6)
}

// Seen to fail: with an even part of each quota a node that half of all requests come to rejected most of
// them, 3,486 of 5,376 on one play, while the tenants asked for no more than they may.
#[test]
fn node_with_half_of_all_requests_rejects_no_tenant_within_its_quota() {
    let counts = rejected_over_quota(50, CacheResult::Hit, by_quota);
    assert!(counts.iter().all(|(asked, _)| *asked >= 200), "{counts:?}");
    assert_eq!(
        counts.map(|(_, rejected_over_quota)| rejected_over_quota),
        [0, 0],
        "{counts:?}"
    );
}

// Guards against a quota that is not enforced: a tenant that takes another's part is rejected beyond its own.
#[test]
fn tenant_over_its_quota_at_a_late_node_is_rejected_beyond_it() {
    let counts = rejected_over_quota(50, CacheResult::Hit, |n| usize::from(n % 10 >= 1));
    let (asked, rejected_over_quota) = counts[1];
    let kept = f64::from(asked - rejected_over_quota) / f64::from(counts[0].0 + asked);
    assert!(
        rejected_over_quota > 0 && (0.35..0.5).contains(&kept),
        "{counts:?}: {kept} of all, 0.4 are its part"
    );
    assert_eq!(counts[0].1, 0, "{counts:?}");
}

// Seen to fail: answers that had to be fetched come late however little the servers have to do, and the node
// took that for too much load.
#[test]
fn answers_that_are_late_by_a_fetch_cause_no_rejections() {
    let flood = |_| 1;
    let (asked, hits) = rejected_over_quota(50, CacheResult::Hit, flood)[1];
    assert!(hits > asked / 4, "late hits: {hits} of {asked}");
    assert_eq!(
        rejected_over_quota(50, CacheResult::Miss, flood)[1].1,
        0,
        "late fetches"
    );
    assert_eq!(
        rejected_over_quota(50, CacheResult::MissFetching, flood)[1].1,
        0,
        "late joined fetches"
    );
}
