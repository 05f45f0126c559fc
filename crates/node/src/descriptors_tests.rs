use super::*;

#[test]
fn shares_and_reserved_descriptors_add_up_to_the_limit() {
    for descriptors in [64, 1_024, 65_536] {
        let without_admin = DescriptorShares::divide(descriptors, false);
        let with_admin = DescriptorShares::divide(descriptors, true);
        let sum = |shares: DescriptorShares| shares.upstream + shares.clients;
        let reserved = PROCESS_DESCRIPTORS + DISCOVERY_DESCRIPTORS + REJECTED_CLIENT_DESCRIPTORS;
        assert_eq!(sum(without_admin) + reserved, descriptors);
        assert_eq!(sum(with_admin) + ADMIN_DESCRIPTORS, sum(without_admin));
        assert!(with_admin.upstream > 0 && with_admin.clients > with_admin.upstream);
    }
}
