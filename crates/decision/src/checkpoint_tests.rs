use super::*;
use crate::api::Event;
use crate::test_support::{kind, node, settings};

#[test]
fn speed_learned_with_a_removed_server_is_restored_for_its_kind_alone() {
    let mut old = node(0.0, 4);
    let gone = old.partition.servers[1].entry.server.clone();
    old.latencies.kinds = vec![kind(0.0, 0.0), kind(50.0, 10.0)];
    let memory = old.checkpoint(0);
    let mut next = Balancer::new(settings(0.0), 9, 0).unwrap();
    next.restore(0, 0, memory);
    let left: Vec<Endpoint> = old
        .partition
        .servers
        .iter()
        .map(|s| s.entry.clone())
        .collect();
    let left: Vec<Endpoint> = left.into_iter().filter(|e| e.server != gone).collect();
    next.handle(
        0,
        Event::EndpointList(EndpointListKind::Full, left.into()),
        &mut Vec::new(),
    );
    // Servers without a kind are in the first slot: there is none.
    assert_eq!(next.latencies.kinds[0], kind(0.0, 0.0));
    assert_eq!(next.latencies.kinds[1], kind(50.0, 10.0));
}
