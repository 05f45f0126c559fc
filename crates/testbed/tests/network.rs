//! The virtual network: what TCP promises, and each way in which it fails.

mod support;

use support::*;

/// A client connected to a server, both scripted; their connections' numbers are 0.
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
fn bytes_arrive_whole_in_order_and_after_the_way() {
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
fn an_address_where_nobody_listens_refuses() {
    let mut hosts = hosts();
    let client = Peer::new(&mut hosts, "client", None);
    client.connect(&mut hosts, address(9, 1));
    hosts.play_to(3 * WAY);
    assert_eq!(client.seen(), [(0, Seen::Broke { refused: true })]);
}

#[test]
fn an_end_of_sending_lets_the_other_way_go_on() {
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
fn what_is_sent_to_a_closed_end_is_answered_by_a_reset() {
    let (mut hosts, client, server) = pair();
    server.close(&mut hosts, 0);
    hosts.play_to(5 * WAY);
    assert!(client.saw(&Seen::Ended));
    client.send(&mut hosts, 0, "too late");
    hosts.play_to(8 * WAY);
    assert!(client.saw(&Seen::Broke { refused: false }));
}

#[test]
fn a_process_that_dies_resets_and_then_refuses() {
    let (mut hosts, client, server) = pair();
    hosts.end(server.host);
    hosts.play_to(5 * WAY);
    assert!(client.saw(&Seen::Broke { refused: false }));
    client.connect(&mut hosts, address(1, 80));
    hosts.play_to(8 * WAY);
    assert!(client.saw(&Seen::Broke { refused: true }));
}

#[test]
fn a_machine_that_vanishes_says_nothing_and_resets_when_it_is_back() {
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
fn a_cut_in_one_direction_holds_that_one_back_until_it_heals() {
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
fn a_full_buffer_holds_the_sender_and_empties_in_order() {
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
fn partial_writes_lose_nothing_and_reorder_nothing() {
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
    assert!(server.seen().len() > 20, "writes were cut");
}

#[test]
fn descriptors_run_out_and_come_back() {
    let mut hosts = hosts();
    let server = Peer::new(&mut hosts, "server", Some(address(1, 80)));
    let host = hosts.world.borrow_mut().add_host("few", 0, 3);
    let few = Peer::on(&mut hosts, host, None);
    for _ in 0..5 {
        few.connect(&mut hosts, address(1, 80));
    }
    hosts.play_to(5 * WAY);
    let up = |peer: &Peer| {
        peer.seen()
            .iter()
            .filter(|(_, seen)| *seen == Seen::Up)
            .count()
    };
    assert_eq!(up(&few), 3);
    assert_eq!(hosts.world.borrow().descriptors(host), (3, 3, 3));
    few.close(&mut hosts, 0);
    hosts.play_to(7 * WAY);
    few.connect(&mut hosts, address(1, 80));
    hosts.play_to(10 * WAY);
    assert_eq!(up(&few), 4);
    drop(server);
}

#[test]
fn connections_are_reset_by_chance_between_two_groups_only() {
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
