use crate::balancer::Balancer;
use crate::test_support::node;

#[test]
fn zone_has_a_partition_of_its_own_only_where_crossing_is_expensive() {
    let zones = |node: &Balancer| {
        node.partition
            .servers
            .iter()
            .filter(|s| s.entry.zone == Some(1))
            .count()
    };
    assert_eq!(zones(&node(0.2, 8)), 0);
    assert_eq!(zones(&node(0.01, 8)), 4);
    assert_eq!(zones(&node(0.2, 2)), 1);
}
