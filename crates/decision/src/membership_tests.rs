use crate::balancer::Balancer;
use crate::test_support::node;

#[test]
fn zones_are_separated_only_if_crossing_is_expensive_and_own_zone_has_two_servers() {
    let servers_of_other_zone = |node: &Balancer| {
        node.partition
            .servers
            .iter()
            .filter(|s| s.entry.zone == Some(1))
            .count()
    };
    assert_eq!(servers_of_other_zone(&node(0.2, 8)), 0);
    assert_eq!(servers_of_other_zone(&node(0.01, 8)), 4);
    assert_eq!(servers_of_other_zone(&node(0.2, 2)), 1);
}
