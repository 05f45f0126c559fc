use super::*;
use crate::hash::{hash, unit_interval};
use crate::test_support::{node, send_request};

#[test]
fn overrun_server_is_relieved_by_healthy_ones_and_rejects_without_them() {
    let mut node = node(0.0, 8);
    node.partition.servers[3].timely_fraction = 0.5;
    node.partition.updates = 1e9; // the bounds stay
    let home = |node: &Balancer, n: u32| node.partition.home(unit_interval(hash(&format!("k{n}"))));
    let mine: Vec<u32> = (0..2000).filter(|n| home(&node, *n) == 3).collect();
    let id = node.partition.servers[3].entry.server.clone();
    let stay = mine
        .iter()
        .filter(|n| send_request(&mut node, 1000, **n) == Some(id.clone()))
        .count();
    let part = stay as f64 / mine.len() as f64;
    assert!((0.4..0.6).contains(&part), "{part}");
    for server in &mut node.partition.servers {
        server.timely_fraction = 0.5;
    }
    for (late, least, most) in [(0.0, 0.99, 1.0), (0.5, 0.4, 0.6)] {
        node.averages.late = late;
        let sent = mine
            .iter()
            .filter(|n| send_request(&mut node, 2000, **n + 5000 * (late * 2.0) as u32).is_some());
        let part = sent.count() as f64 / mine.len() as f64;
        assert!(
            (least - 0.1..=most + 0.1).contains(&part),
            "{part} while {late} late"
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
    let mine: Vec<u32> = (0..2000).filter(|n| home(&node, *n) == 3).collect();
    let id = node.partition.servers[3].entry.server.clone();
    let sent = mine
        .iter()
        .filter(|n| send_request(&mut node, 1000, **n) == Some(id.clone()))
        .count();
    assert!(
        sent as f64 / (mine.len() as f64) < 0.4,
        "{sent} of {}",
        mine.len()
    );
}
