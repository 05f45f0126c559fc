use super::*;
use ServerState::{Draining, Live, Removed};

fn endpoint_list(all: bool, entries: &[(&str, u16, ServerState, i64)]) -> EndpointList {
    let listed = |(server, port, state, boot_ms): &(&str, u16, ServerState, i64)| {
        let mut listed = removed_endpoint((*server).into(), ([127, 0, 0, 1], *port).into());
        (listed.entry.state, listed.boot_ms) = (*state, *boot_ms);
        listed
    };
    EndpointList {
        rev: 1,
        all,
        targets: entries.iter().map(listed).collect(),
    }
}

fn server_states(list: &EndpointList) -> Vec<(String, ServerState)> {
    list.targets
        .iter()
        .map(|l| (l.entry.server.to_string(), l.entry.state))
        .collect()
}

fn apply(addresses: &mut AddressTable, mut list: EndpointList) -> Vec<(String, ServerState)> {
    addresses.apply(&mut list);
    server_states(&list)
}

#[test]
fn server_that_started_later_owns_the_address() {
    let mut addresses = AddressTable::default();
    apply(
        &mut addresses,
        endpoint_list(true, &[("old", 1, Live, 0), ("b", 2, Live, 0)]),
    );
    let got = apply(&mut addresses, endpoint_list(false, &[("new", 1, Live, 9)]));
    assert_eq!(
        got,
        [("new".to_string(), Live), ("old".to_string(), Removed)]
    );
    // The list still names the dead server.
    assert_eq!(
        apply(&mut addresses, endpoint_list(false, &[("old", 1, Live, 0)])),
        [("old".to_string(), Removed)]
    );
    let both = endpoint_list(
        true,
        &[("old", 1, Live, 0), ("new", 1, Live, 9), ("b", 2, Live, 0)],
    );
    assert_eq!(
        apply(&mut addresses, both),
        [("new".to_string(), Live), ("b".to_string(), Live)]
    );
}

#[test]
fn draining_server_releases_its_address_and_equal_start_times_remove_no_server() {
    let mut addresses = AddressTable::default();
    apply(&mut addresses, endpoint_list(true, &[("a", 1, Live, 5)]));
    assert_eq!(
        apply(
            &mut addresses,
            endpoint_list(false, &[("a", 1, Draining, 5)])
        ),
        [("a".to_string(), Draining)]
    );
    assert_eq!(
        apply(&mut addresses, endpoint_list(false, &[("b", 1, Live, 3)])),
        [("b".to_string(), Live)]
    );
    assert_eq!(
        apply(&mut addresses, endpoint_list(false, &[("c", 1, Live, 3)])),
        [("c".to_string(), Live)]
    );
    // A server that restarts at its address keeps it.
    assert_eq!(
        apply(&mut addresses, endpoint_list(false, &[("b", 1, Live, 8)])),
        [("b".to_string(), Live)]
    );
}
