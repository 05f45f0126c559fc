use super::*;
use ServerState::{Draining, Live, Removed};

fn list(all: bool, entries: &[(&str, u16, ServerState, i64)]) -> EndpointList {
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

fn states(list: &EndpointList) -> Vec<(String, ServerState)> {
    list.targets
        .iter()
        .map(|l| (l.entry.server.to_string(), l.entry.state))
        .collect()
}

fn applied(addresses: &mut AddressTable, mut list: EndpointList) -> Vec<(String, ServerState)> {
    addresses.apply(&mut list);
    states(&list)
}

#[test]
fn server_that_started_later_owns_the_address() {
    let mut a = AddressTable::default();
    applied(
        &mut a,
        list(true, &[("old", 1, Live, 0), ("b", 2, Live, 0)]),
    );
    let got = applied(&mut a, list(false, &[("new", 1, Live, 9)]));
    assert_eq!(
        got,
        [("new".to_string(), Live), ("old".to_string(), Removed)]
    );
    // The list goes on naming the dead one.
    assert_eq!(
        applied(&mut a, list(false, &[("old", 1, Live, 0)])),
        [("old".to_string(), Removed)]
    );
    let both = list(
        true,
        &[("old", 1, Live, 0), ("new", 1, Live, 9), ("b", 2, Live, 0)],
    );
    assert_eq!(
        applied(&mut a, both),
        [("new".to_string(), Live), ("b".to_string(), Live)]
    );
}

#[test]
fn drained_address_is_free_and_equal_starts_remove_nobody() {
    let mut a = AddressTable::default();
    applied(&mut a, list(true, &[("a", 1, Live, 5)]));
    assert_eq!(
        applied(&mut a, list(false, &[("a", 1, Draining, 5)])),
        [("a".to_string(), Draining)]
    );
    assert_eq!(
        applied(&mut a, list(false, &[("b", 1, Live, 3)])),
        [("b".to_string(), Live)]
    );
    assert_eq!(
        applied(&mut a, list(false, &[("c", 1, Live, 3)])),
        [("c".to_string(), Live)]
    );
    // One server at one address, started again, loses nothing.
    assert_eq!(
        applied(&mut a, list(false, &[("b", 1, Live, 8)])),
        [("b".to_string(), Live)]
    );
}
