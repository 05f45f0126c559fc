use super::*;
use crate::hash::{hash, unit_interval};
use crate::test_support::{node, send_request};

#[test]
fn requests_beyond_an_overrun_server_go_to_healthy_ones_or_are_rejected_without_them() {
    let mut node = node(0.0, 8);
    node.partition.servers[3].timely_fraction = 0.5;
    node.partition.updates = 1e9; // keeps the bounds almost fixed
    let home = |node: &Balancer, n: u32| node.partition.home(unit_interval(hash(&format!("k{n}"))));
    let keys_of_home: Vec<u32> = (0..2000).filter(|n| home(&node, *n) == 3).collect();
    let id = node.partition.servers[3].entry.server.clone();
    let sent_home = keys_of_home
        .iter()
        .filter(|n| send_request(&mut node, 1000, **n) == Some(id.clone()))
        .count();
    let fraction = sent_home as f64 / keys_of_home.len() as f64;
    assert!((0.4..0.6).contains(&fraction), "{fraction}");
    for server in &mut node.partition.servers {
        server.timely_fraction = 0.5;
    }
    for (late, least, most) in [(0.0, 0.99, 1.0), (0.5, 0.4, 0.6)] {
        node.failure_fractions.late = late;
        let sent = keys_of_home
            .iter()
            .filter(|n| send_request(&mut node, 2000, **n + 5000 * (late * 2.0) as u32).is_some());
        let fraction = sent.count() as f64 / keys_of_home.len() as f64;
        assert!(
            (least - 0.1..=most + 0.1).contains(&fraction),
            "{fraction} while {late} late"
        );
    }
}

#[test]
fn home_that_warms_up_is_protected_when_all_others_are_overrun() {
    let mut node = node(0.0, 8);
    node.partition.updates = 1e9;
    for (i, server) in node.partition.servers.iter_mut().enumerate() {
        server.timely_fraction = 0.5;
        server.entry.started = (i == 3).then_some(0);
    }
    let home = |node: &Balancer, n: u32| node.partition.home(unit_interval(hash(&format!("k{n}"))));
    let keys_of_home: Vec<u32> = (0..2000).filter(|n| home(&node, *n) == 3).collect();
    let id = node.partition.servers[3].entry.server.clone();
    let sent = keys_of_home
        .iter()
        .filter(|n| send_request(&mut node, 1000, **n) == Some(id.clone()))
        .count();
    assert!(
        sent as f64 / (keys_of_home.len() as f64) < 0.4,
        "{sent} of {}",
        keys_of_home.len()
    );
}
