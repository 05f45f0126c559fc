use std::collections::{HashMap, HashSet};

use super::*;
use crate::api::{Endpoint, EndpointListKind, Event};
use crate::test_support::{entry, node, send_request};

fn id(n: usize) -> ServerId {
    format!("s{n}").into()
}

fn two() -> ZoneHealth {
    let mut zone_health = ZoneHealth::default();
    zone_health.set_listed([Some(0), Some(1)].into_iter());
    zone_health
}

#[test]
fn zone_is_lost_after_three_unreached_servers_and_recovers_with_one_answer() {
    let mut zone_health = two();
    assert!(!zone_health.record_unreached(0, Some(1), &id(1), CONNECT_FAILED_EVIDENCE));
    assert!(!zone_health.record_unreached(0, Some(1), &id(2), CONNECT_FAILED_EVIDENCE));
    assert!(
        zone_health.record_unreached(0, Some(1), &id(3), CONNECT_FAILED_EVIDENCE)
            && zone_health.is_lost(Some(1))
            && !zone_health.is_lost(Some(0))
    );
    assert!(zone_health.record_reached(Some(1)) && !zone_health.is_lost(Some(1)));
}

#[test]
fn one_server_never_loses_a_zone_and_an_answer_between_clears_the_count() {
    let mut zone_health = two();
    for _ in 0..50 {
        assert!(!zone_health.record_unreached(0, Some(1), &id(1), CONNECT_FAILED_EVIDENCE));
    }
    for n in 0..50 {
        assert!(!zone_health.record_unreached(0, Some(0), &id(n), CONNECT_FAILED_EVIDENCE));
        assert!(!zone_health.record_unreached(0, Some(0), &id(n + 1), CONNECT_FAILED_EVIDENCE));
        assert!(!zone_health.record_reached(Some(0)));
    }
}

#[test]
fn answer_clears_both_the_servers_and_the_evidence() {
    let mut zone_health = two();
    zone_health.record_unreached(0, Some(1), &id(1), CONNECT_FAILED_EVIDENCE);
    zone_health.record_unreached(0, Some(1), &id(2), CONNECT_FAILED_EVIDENCE);
    zone_health.record_reached(Some(1));
    for _ in 0..9 {
        assert!(!zone_health.record_unreached(0, Some(1), &id(3), CONNECT_FAILED_EVIDENCE));
    }
    zone_health.record_reached(Some(1));
    assert!(
        (0..3).all(|n| !zone_health.record_unreached(0, Some(1), &id(n), SILENCE_EVIDENCE)),
        "silence says less"
    );
}

#[test]
fn last_zone_is_never_lost() {
    let mut zone_health = ZoneHealth::default();
    zone_health.set_listed([None].into_iter());
    for n in 0..9 {
        zone_health.record_unreached(0, None, &id(n), CONNECT_FAILED_EVIDENCE);
    }
    assert!(!zone_health.is_lost(None));
    let mut zone_health = two();
    for zone in 0..2 {
        (0..9).for_each(|n| {
            zone_health.record_unreached(0, Some(zone), &id(n), CONNECT_FAILED_EVIDENCE);
        });
    }
    assert!(!zone_health.is_lost(Some(0)) && !zone_health.is_lost(Some(1)));
}

#[test]
fn probes_come_rarely_and_never_end() {
    let mut zone_health = two();
    (0..3).for_each(|n| {
        zone_health.record_unreached(0, Some(1), &id(n), CONNECT_FAILED_EVIDENCE);
    });
    let (mut probes_begun, mut now) = (0, 0);
    while now < 60_000_000 {
        now += zone_health.schedule_probe(now, Some(1)).unwrap().max(1);
        assert_eq!(
            zone_health.schedule_probe(now, Some(1)),
            None,
            "one timer at a time"
        );
        zone_health.timer_expired(Some(1));
        probes_begun += u32::from(zone_health.begin_probe(now, Some(1), 0.5));
    }
    assert!(
        (30..=35).contains(&probes_begun),
        "{probes_begun} looks in a minute"
    );
    assert_eq!(zone_health.schedule_probe(now, Some(0)), None);
}

/// One sound server in a bad zone brings it back whenever it is the one that is asked; the others must not
/// cost a request each time they are met.
#[test]
fn lost_zone_with_one_healthy_server_costs_few_requests() {
    const SERVERS: usize = 36;
    let (mut zone_health, mut rng) = (two(), crate::rng::Rng(7));
    let (mut met, mut failed) = (0, 0);
    for step in 0..600 {
        let now = step * 100_000;
        let mut draw = || (rng.next_unit() * SERVERS as f64) as usize;
        let (probed, asked) = (draw(), draw());
        let probes_begun = zone_health.begin_probe(now, Some(1), 0.5);
        if probes_begun && probed == 0 {
            zone_health.record_reached(Some(1));
        }
        if zone_health.is_lost(Some(1)) {
            continue;
        }
        met += 1;
        if asked == 0 {
            zone_health.record_reached(Some(1));
        } else {
            failed += 1;
            zone_health.record_unreached(now, Some(1), &id(asked), CONNECT_FAILED_EVIDENCE);
        }
    }
    assert!(
        met > 0 && failed < 60,
        "{failed} of 600 requests were lost to the zone"
    );
}

fn is_zone_probe(token: u64) -> bool {
    matches!(TimerToken::from(token), TimerToken::ZoneProbe(_))
}

/// A lost zone cost a request and a wait for each of its servers, and again after each one's ejection.
#[test]
fn lost_zone_gets_nothing_after_three_of_its_servers_and_one_probe_readmits_it() {
    let mut node = node(0.0, 40);
    node.settings.probes = true;
    let odd = |server: &ServerId| server[1..].parse::<u32>().unwrap() % 2 == 1;
    let (mut tried, mut actions) = (std::collections::HashSet::new(), Vec::new());
    for n in 0..200 {
        let now = i64::from(n) * 1000;
        let Some(server) = send_request(&mut node, now, n).filter(odd) else {
            continue;
        };
        tried.insert(server.clone());
        node.observe_server(now, &server, Some(Status::ConnectFailed), &mut actions);
    }
    assert_eq!(tried.len(), 3, "{tried:?}");
    let timer = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::SetTimer { token, delay } if is_zone_probe(*token) => Some((*token, *delay)),
            _ => None,
        })
    };
    let (token, delay) = timer(&actions).unwrap();
    actions.clear();
    node.handle(200_000 + delay, Event::TimerExpired(token), &mut actions);
    let asked = actions.iter().find_map(|a| match a {
        Action::Probe(server) => Some(server.clone()),
        _ => None,
    });
    let asked = asked
        .filter(odd)
        .expect("a server of the lost zone is asked");
    assert!(timer(&actions).is_some(), "and again later");
    let probed = Event::ProbeEnded {
        server: asked,
        latency: 1000,
        status: Status::Ok,
        load: None,
    };
    node.handle(2_000_000, probed, &mut actions);
    // By then the endpoint list has announced whether the servers restarted.
    let now = 2_000_000 + RESTART_ANNOUNCED_WITHIN;
    let again = (1000..1200)
        .filter_map(|n| send_request(&mut node, now, n))
        .filter(odd)
        .count();
    assert!(
        again > 60,
        "{again} of 200 go to the zone that answers again"
    );
}

/// Another process runs at the address of each lost server; nodes sent it as much as the one before until the
/// endpoint list announced the start. The zone recovers by a probe, or by a request where probes are not
/// allowed.
#[test]
fn recovered_zone_counts_as_just_started() {
    for probes in [true, false] {
        let (mut node, now) = node_with_recovered_zone(probes);
        let sent = sends_by_server(&mut node, now, 1000..3000);
        let (settings, all) = (&node.settings, f64::from(2000 + 200));
        let budget = settings.overload_multiple * settings.cold_capacity * all / 40.0;
        let most = sent.values().copied().fold(0.0, f64::max);
        assert!(
            !sent.is_empty() && most <= budget + 1.0,
            "{most} at once, {budget} allowed"
        );
        // No start was announced: the caches are as they were.
        let later = now + RESTART_ANNOUNCED_WITHIN;
        let again: f64 = sends_by_server(&mut node, later, 4000..4200).values().sum();
        assert!(
            again > 60.0,
            "{again} of 200 go to the zone that answers again"
        );
    }
}

/// Whether a server stands in zone 1.
fn is_odd(server: &ServerId) -> bool {
    server[1..].parse::<u32>().unwrap() % 2 == 1
}

/// Requests that go to servers of zone 1, by server.
fn sends_by_server(
    node: &mut Balancer,
    now: Micros,
    keys: std::ops::Range<u32>,
) -> HashMap<ServerId, f64> {
    let mut sent = HashMap::new();
    for server in keys
        .filter_map(|n| send_request(node, now, n))
        .filter(is_odd)
    {
        *sent.entry(server).or_insert(0.0) += 1.0;
    }
    sent
}

/// A node whose zone 1 was lost and has recovered just now.
fn node_with_recovered_zone(probes: bool) -> (Balancer, Micros) {
    let mut node = node(0.0, 40);
    node.settings.probes = probes;
    let mut actions = Vec::new();
    for n in 0..200 {
        let now = i64::from(n) * 1000;
        let Some(server) = send_request(&mut node, now, n).filter(is_odd) else {
            continue;
        };
        node.observe_server(now, &server, Some(Status::ConnectFailed), &mut actions);
    }
    assert!(
        node.zone_health.is_lost(Some(1)),
        "and not the other: {}",
        !node.zone_health.is_lost(Some(0))
    );
    let (token, delay) = zone_probe_timers(&actions)[0];
    let now = 200_000 + delay;
    actions.clear();
    node.handle(now, Event::TimerExpired(token), &mut actions);
    let probed = actions.iter().find_map(|action| match action {
        Action::Probe(server) => Some(server.clone()),
        _ => None,
    });
    if let Some(server) = probed {
        let answered = Event::ProbeEnded {
            server,
            latency: 1000,
            status: Status::Ok,
            load: None,
        };
        node.handle(now, answered, &mut actions);
    }
    assert!(!node.zone_health.is_lost(Some(1)));
    (node, now)
}

/// Tokens and delays of the timers for probes of a zone.
fn zone_probe_timers(actions: &[Action]) -> Vec<(u64, Micros)> {
    let of_zone = |action: &Action| match action {
        Action::SetTimer { token, delay } if is_zone_probe(*token) => Some((*token, *delay)),
        _ => None,
    };
    actions.iter().filter_map(of_zone).collect()
}

/// Some servers of a fleet without zones fell silent; the first answer of any other made the whole fleet
/// count as just started for 6 s (0.88 of a day served, then 0.70, where a fifth of the servers vanished).
#[test]
fn only_zone_does_not_count_as_just_started_when_it_answers() {
    for (probes, zone) in [
        (true, None),
        (true, Some(0)),
        (false, None),
        (false, Some(0)),
    ] {
        let mut node = node(0.0, 0);
        node.settings.probes = probes;
        let zoned = |i| Endpoint {
            zone,
            ..entry(&format!("s{i}"))
        };
        let list = Event::EndpointList(EndpointListKind::Full, (0..40).map(zoned).collect());
        node.handle(0, list, &mut Vec::new());
        let (mut silent, mut actions) = (HashSet::new(), Vec::new());
        for now in (0..40).map(|n| n * 1000) {
            let sent = send_request(&mut node, now, (now / 1000) as u32);
            let Some(server) = sent.filter(|_| silent.len() < 8) else {
                break;
            };
            silent.insert(server.clone());
            node.observe_server(now, &server, Some(Status::ConnectFailed), &mut actions);
        }
        assert!(
            silent.len() >= 3,
            "as many as make a zone count as lost: {silent:?}"
        );
        let planned = zone_probe_timers(&actions);
        assert!(!planned.is_empty(), "it is probed");
        for (token, delay) in planned {
            node.handle(40_000 + delay, Event::TimerExpired(token), &mut actions);
        }
        let servers = node.partition.servers.iter();
        let mut ids = servers.map(|s| s.entry.server.clone());
        let other = ids
            .find(|id| !silent.contains(id))
            .expect("one that is reached");
        node.observe_server(3_000_000, &other, Some(Status::Ok), &mut actions);
        let cold = node
            .partition
            .servers
            .iter()
            .filter(|s| s.started(3_000_000).is_some())
            .count();
        assert_eq!(
            cold, 0,
            "servers that count as just started; probes {probes}, zone {zone:?}"
        );
    }
}
