use super::*;

use crate::test_support::{end_attempt, node, send_request, silent_attempts_until_ejected};

#[test]
fn silent_server_is_ejected_unless_many_are_silent() {
    assert!(
        (2..=3).contains(&silent_attempts_until_ejected(&mut node(0.0, 8), true).expect("ejected"))
    );
    let mut slow = node(0.0, 8);
    slow.failure_fractions.silent = 0.7;
    assert!(silent_attempts_until_ejected(&mut slow, true).is_none_or(|n| n > 10));
}

#[test]
fn server_is_ejected_after_two_resets_unless_resets_are_common() {
    let resets_until_ejected = |node: &mut Balancer| {
        let server = node.partition.servers[3].entry.server.clone();
        (1..20).find(|_| {
            node.observe_server(1000, &server, Some(Status::Reset), &mut Vec::new());
            node.partition.servers[3].is_ejected()
        })
    };
    assert_eq!(resets_until_ejected(&mut node(0.0, 8)), Some(2));
    let mut node = node(0.0, 8);
    // One connection in eight breaks, at all servers alike.
    for n in 0..800 {
        if let Some(server) = send_request(&mut node, 1000, n) {
            end_attempt(
                &mut node,
                1000,
                n,
                &server,
                if n % 8 == 0 {
                    Status::Reset
                } else {
                    Status::Ok
                },
            );
        }
    }
    assert!(resets_until_ejected(&mut node).is_some_and(|n| n >= 3));
}

#[test]
fn silence_lowers_the_timely_fraction_for_recently_served_keys_only() {
    for recently_served in [true, false] {
        let mut node = node(0.0, 8);
        silent_attempts_until_ejected(&mut node, recently_served);
        assert_eq!(
            node.partition.servers[3].timely_fraction < 1.0,
            recently_served
        );
    }
}

#[test]
fn keys_move_to_the_only_accepting_server_when_all_others_refuse_connections() {
    let mut node = node(0.0, 8);
    let accepting = node.partition.servers[3].entry.server.clone();
    for server in node
        .partition
        .servers
        .iter()
        .map(|s| s.entry.server.clone())
        .collect::<Vec<_>>()
    {
        if server != accepting {
            node.observe_server(1000, &server, Some(Status::ConnectFailed), &mut Vec::new());
        }
    }
    assert!((0..40).all(|n| send_request(&mut node, 2000, n) == Some(accepting.clone())));
}

/// The rules are made for many servers and zones; they must also work in a fleet with a single server.
#[test]
fn only_server_is_probed_after_each_ejection_and_gets_all_requests_once_it_responds() {
    for started in [None, Some(0)] {
        let mut node = node(0.0, 1);
        node.partition.servers[0].entry.started = started;
        let (mut now, mut probes, mut actions) = (0, 0, Vec::new());
        for n in 0..300 {
            now += 100_000;
            if let Some(server) = send_request(&mut node, now, n) {
                probes += 1;
                node.observe_server(now, &server, Some(Status::ConnectFailed), &mut actions);
            }
        }
        assert!(probes >= 3, "{probes} probes in 30 s");
        let server = node.partition.servers[0].entry.server.clone();
        node.observe_server(now, &server, Some(Status::Ok), &mut actions);
        let served = (300..400)
            .filter_map(|n| send_request(&mut node, now + 20_000_000, n))
            .count();
        assert_eq!(served, 100);
    }
}
