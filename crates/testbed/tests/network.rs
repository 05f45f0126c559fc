//! Tests of the virtual network: the guarantees of TCP and each kind of network failure.

mod support;

use support::*;

/// A scripted client connected to a scripted server; both number the connection 0.
fn pair() -> (sloewick_testbed::network::hosts::Hosts, Peer, Peer) {
    let mut hosts = hosts();
    let server = Peer::new(&mut hosts, "server", Some(address(1, 80)));
    let client = Peer::new(&mut hosts, "client", None);
    client.connect(&mut hosts, address(1, 80));
    hosts.play_to(3 * WAY);
    assert_eq!(client.seen(), [(0, Seen::Up)]);
    assert_eq!(server.seen(), [(0, Seen::Opened)]);
    (hosts, client, server)
}

#[test]
fn bytes_arrive_complete_in_order_and_after_the_one_way_delay() {
    let (mut hosts, client, server) = pair();
    client.send(&mut hosts, 0, "one ");
    client.send(&mut hosts, 0, "two");
    hosts.play_to(3 * WAY + WAY - 1);
    assert_eq!(server.text(), "");
    hosts.play_to(4 * WAY);
    assert_eq!(server.text(), "one two");
    server.send(&mut hosts, 0, "three");
    hosts.play_to(6 * WAY);
    assert_eq!(client.text(), "three");
}

#[test]
fn connection_to_an_address_without_a_listener_is_refused() {
    let mut hosts = hosts();
    let client = Peer::new(&mut hosts, "client", None);
    client.connect(&mut hosts, address(9, 1));
    hosts.play_to(3 * WAY);
    assert_eq!(client.seen(), [(0, Seen::Broke { refused: true })]);
}

#[test]
fn half_closed_connection_still_carries_the_other_direction() {
    let (mut hosts, client, server) = pair();
    client.send(&mut hosts, 0, "question");
    hosts.play_to(4 * WAY);
    client.end(&mut hosts, 0);
    hosts.play_to(6 * WAY);
    assert!(server.saw(&Seen::Ended));
    server.send(&mut hosts, 0, "answer");
    hosts.play_to(8 * WAY);
    assert_eq!(client.text(), "answer");
}

#[test]
fn bytes_sent_to_a_closed_end_are_answered_by_a_reset() {
    let (mut hosts, client, server) = pair();
    server.close(&mut hosts, 0);
    hosts.play_to(5 * WAY);
    assert!(client.saw(&Seen::Ended));
    client.send(&mut hosts, 0, "too late");
    hosts.play_to(8 * WAY);
    assert!(client.saw(&Seen::Broke { refused: false }));
}

#[test]
fn process_that_dies_resets_its_connections_and_refuses_new_ones() {
    let (mut hosts, client, server) = pair();
    hosts.end(server.host);
    hosts.play_to(5 * WAY);
    assert!(client.saw(&Seen::Broke { refused: false }));
    client.connect(&mut hosts, address(1, 80));
    hosts.play_to(8 * WAY);
    assert!(client.saw(&Seen::Broke { refused: true }));
}

#[test]
fn isolated_host_is_silent_and_resets_connections_when_it_returns() {
    let (mut hosts, client, server) = pair();
    hosts.isolate(server.host);
    client.send(&mut hosts, 0, "hello?");
    client.connect(&mut hosts, address(1, 80));
    hosts.play_to(5_000_000);
    assert_eq!(client.seen(), [(0, Seen::Up)]);
    assert!(hosts.come_back(server.host));
    hosts.end(server.host);
    hosts.play_to(6_000_000);
    assert!(client.saw(&Seen::Broke { refused: false }));
}

#[test]
fn one_way_partition_delays_that_direction_until_it_heals() {
    let (mut hosts, client, server) = pair();
    hosts.world.borrow_mut().cut(server.host, client.host, true);
    client.send(&mut hosts, 0, "there");
    server.send(&mut hosts, 0, "back");
    hosts.play_to(2_000_000);
    assert_eq!(
        (server.text().as_str(), client.text().as_str()),
        ("there", "")
    );
    hosts
        .world
        .borrow_mut()
        .cut(server.host, client.host, false);
    hosts.play_to(3_000_000);
    assert_eq!(client.text(), "back");
}

#[test]
fn full_receive_window_blocks_the_sender_and_drains_in_order() {
    let mut hosts = hosts();
    // A machine that is silent reads nothing.
    let server = Peer::new(&mut hosts, "server", Some(address(1, 80)));
    let client = Peer::new(&mut hosts, "client", None);
    client.connect(&mut hosts, address(1, 80));
    hosts.play_to(3 * WAY);
    let numbers: Vec<String> = (0..200_000).map(|n| n.to_string()).collect();
    let long = numbers.join(",") + ",";
    assert!(long.len() > 2 * sloewick_testbed::network::RECEIVE_WINDOW);
    client.send(&mut hosts, 0, &long);
    hosts.play_to(3_000_000);
    assert_eq!(server.text(), long);
}

#[test]
fn partial_writes_keep_all_bytes_in_order() {
    let (mut hosts, client, server) = pair();
    for host in [client.host, server.host] {
        hosts.world.borrow_mut().set_partial(host, 0.9);
    }
    let mut all = String::new();
    for n in 0..300 {
        let text = format!("message {n};");
        client.send(&mut hosts, 0, &text);
        all += &text;
        let now = hosts.now();
        hosts.play_to(now + 500);
    }
    hosts.play_to(20_000_000);
    assert_eq!(server.text(), all);
    assert!(server.seen().len() > 20, "writes were partial");
}

#[test]
fn descriptors_run_out_and_are_released_on_close() {
    let mut hosts = hosts();
    let server = Peer::new(&mut hosts, "server", Some(address(1, 80)));
    let host = hosts.world.borrow_mut().add_host("few", 0, 3);
    let limited = Peer::on(&mut hosts, host, None);
    for _ in 0..5 {
        limited.connect(&mut hosts, address(1, 80));
    }
    hosts.play_to(5 * WAY);
    let up = |peer: &Peer| {
        peer.seen()
            .iter()
            .filter(|(_, seen)| *seen == Seen::Up)
            .count()
    };
    assert_eq!(up(&limited), 3);
    assert_eq!(hosts.world.borrow().descriptors(host), (3, 3, 3));
    limited.close(&mut hosts, 0);
    hosts.play_to(7 * WAY);
    limited.connect(&mut hosts, address(1, 80));
    hosts.play_to(10 * WAY);
    assert_eq!(up(&limited), 4);
    drop(server);
}

#[test]
fn random_resets_affect_only_connections_between_the_two_groups() {
    let (mut hosts, client, server) = pair();
    let other = Peer::new(&mut hosts, "other", None);
    other.connect(&mut hosts, address(1, 80));
    hosts.play_to(8 * WAY);
    hosts
        .world
        .borrow_mut()
        .reset_some(&[client.host], &[server.host], 1.0);
    hosts.play_to(12 * WAY);
    assert!(client.saw(&Seen::Broke { refused: false }));
    assert_eq!(other.seen(), [(0, Seen::Up)]);
}
