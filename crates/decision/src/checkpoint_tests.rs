use super::*;
use crate::api::Event;
use crate::test_support::{kind_estimate, node, settings};

#[test]
fn latency_estimate_of_a_kind_is_restored_for_that_kind_only_when_a_server_was_removed() {
    let mut old = node(0.0, 4);
    let removed = old.partition.servers[1].entry.server.clone();
    old.latencies.kinds = vec![kind_estimate(0.0, 0.0), kind_estimate(50.0, 10.0)];
    let checkpoint = old.checkpoint(0);
    let mut next = Balancer::new(settings(0.0), 9, 0).unwrap();
    next.restore(0, 0, checkpoint);
    let entries: Vec<Endpoint> = old
        .partition
        .servers
        .iter()
        .map(|s| s.entry.clone())
        .collect();
    let remaining: Vec<Endpoint> = entries
        .into_iter()
        .filter(|e| e.server != removed)
        .collect();
    next.handle(
        0,
        Event::EndpointList(EndpointListKind::Full, remaining.into()),
        &mut Vec::new(),
    );
    // The first element is for servers without a kind, of which there are none.
    assert_eq!(next.latencies.kinds[0], kind_estimate(0.0, 0.0));
    assert_eq!(next.latencies.kinds[1], kind_estimate(50.0, 10.0));
}
