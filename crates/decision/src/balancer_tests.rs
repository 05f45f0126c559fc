//! Parts of the module against small hand-worked cases.

use super::*;
use crate::zone_health::RESTART_TOLD;

fn entry(name: &str) -> Endpoint {
    Endpoint {
        server: name.into(),
        weight: 1.0,
        zone: Some(0),
        kind: Some(0),
        state: ServerState::Live,
        started: None,
        cell: None,
    }
}

fn line(n: usize) -> Line {
    let mut line = Line::default();
    for i in 0..n {
        line.join(Server::new(entry(&format!("s{i}"))));
    }
    line.update(&vec![1.0; n], 1.0);
    line.reindex();
    line
}

#[test]
fn cuts_fall_at_midpoints_of_neighbouring_points() {
    let points = [0.1, 0.2, 0.4, 0.6, 0.7, 0.9];
    let cuts = equal_counts(&points, 0.0, &[1.0, 1.0, 1.0]);
    assert_eq!(cuts.len(), 3);
    assert!(
        (cuts[0] - 0.3).abs() < 1e-9 && (cuts[1] - 0.65).abs() < 1e-9 && cuts[2] == 1.0,
        "{cuts:?}"
    );
}

#[test]
fn counts_follow_weights() {
    let points = [0.1, 0.2, 0.4, 0.6, 0.7, 0.9];
    let cuts = equal_counts(&points, 0.0, &[1.0, 2.0, 3.0]);
    assert!(
        (cuts[0] - 0.15).abs() < 1e-9 && (cuts[1] - 0.5).abs() < 1e-9,
        "{cuts:?}"
    );
}

#[test]
fn an_empty_window_cuts_evenly() {
    let cuts = equal_counts(&[], 64.0, &[1.0; 4]);
    for (cut, want) in cuts.iter().zip([0.25, 0.5, 0.75, 1.0]) {
        assert!((cut - want).abs() < 1e-9);
    }
}

#[test]
fn real_points_are_weighed_against_the_even_mass() {
    // 4 points low on the line, 4 even: half of all lies below x where 4 x + 4 = 4.
    let cuts = equal_counts(&[0.01, 0.02, 0.03, 0.04], 4.0, &[1.0, 1.0]);
    assert!(cuts[0] > 0.0 && cuts[0] < 0.2, "{cuts:?}");
}

#[test]
fn a_heavy_point_fills_ranges_of_its_own() {
    let cuts = equal_counts(&[0.2, 0.5, 0.5, 0.5, 0.5, 0.8], 0.0, &[1.0; 6]);
    assert_eq!(&cuts[1..4], &[0.5, 0.5, 0.5]);
}

#[test]
fn blending_moves_part_of_the_way() {
    let mut line = line(2);
    for _ in 0..16 {
        line.arrive(0.1, None);
    }
    let cut = line.current_cuts(&[1.0, 1.0])[0];
    line.update(&[1.0, 1.0], 0.25);
    assert!((line.servers[0].edge - (0.75 * 0.5 + 0.25 * cut)).abs() < 1e-9);
}

#[test]
fn a_leaver_goes_to_its_neighbours_and_others_keep_their_ranges() {
    let mut line = line(5);
    line.leave(2);
    let edges: Vec<f64> = line.servers.iter().map(|s| s.edge).collect();
    for (edge, want) in edges.iter().zip([0.2, 0.5, 0.8, 1.0]) {
        assert!((edge - want).abs() < 1e-9, "{edges:?}");
    }
}

#[test]
fn a_joiner_splits_its_neighbours_only() {
    let mut line = line(6);
    let before: Vec<(ServerId, f64)> = line
        .servers
        .iter()
        .map(|s| (s.entry.server.clone(), s.edge))
        .collect();
    line.join(Server::new(entry("joiner")));
    let moved = line
        .servers
        .iter()
        .filter(|s| {
            before
                .iter()
                .any(|(id, e)| *id == s.entry.server && (e - s.edge).abs() > 1e-9)
        })
        .count();
    assert!(moved <= 1);
    assert!(line.servers.windows(2).all(|w| w[0].edge <= w[1].edge));
    assert_eq!(line.servers.last().unwrap().edge, 1.0);
}

#[test]
fn order_is_the_same_however_the_servers_came() {
    let mut a = Line::default();
    let mut b = Line::default();
    for i in 0..20 {
        a.join(Server::new(entry(&format!("s{i}"))));
        b.join(Server::new(entry(&format!("s{}", 19 - i))));
    }
    let ids = |l: &Line| {
        l.servers
            .iter()
            .map(|s| s.entry.server.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(ids(&a), ids(&b));
}

#[test]
fn a_key_over_its_share_is_dealt() {
    let mut line = line(10);
    let mut rng = Rng(1);
    for i in 0..400 {
        let key = if i % 3 == 0 {
            77
        } else {
            (rng.next() * 1e9) as u64
        };
        line.arrive(unit_interval(key), Some(key));
    }
    assert!(
        (3..=5).contains(&line.deal_width(77)),
        "{}",
        line.deal_width(77)
    );
    assert_eq!(line.deal_width(78), 1);
}

#[test]
fn quiet_nodes_agree_on_most_homes() {
    let (mut a, mut b) = (line(40), line(40));
    let mut rng = Rng(5);
    for _ in 0..200 {
        a.arrive(rng.next(), None);
        b.arrive(rng.next(), None);
    }
    a.update(&[1.0; 40], 1.0);
    b.update(&[1.0; 40], 1.0);
    let same = (0..1000)
        .filter(|i| a.home(f64::from(*i) / 1000.0) == b.home(f64::from(*i) / 1000.0))
        .count();
    assert!(same > 900, "{same}");
}

fn settings(price_cross_zone: f64) -> Settings {
    Settings {
        classes: vec![Class {
            latency_objective: 150_000,
            objective_per_work: 0.0,
            deadline: 600_000,
            idempotency: Idempotency::Idempotent,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: 0,
            priority_weight: 1.0,
            late_weight: 0.0,
            stream: false,
        }],
        tenants: vec![],
        nodes: 4,
        node_number: None,
        zone: Some(0),
        poll: false,
        poll_within: 0,
        mode: CacheMode::ReadThrough,
        origin_kind: None,
        origin_overload_multiple: 0.0,
        weights: WeightMeaning::None,
        weight_by_work: false,
        over_quota_weight: 0.1,
        tick: 2_000,
        max_attempts: 4,
        max_in_flight: 1000,
        cancel: true,
        probes: false,
        hedging: false,
        max_retry_after: 0,
        connect_timeout: 75_000,
        drain_grace: 500_000,
        cold_capacity: 0.2,
        warm_up_time: 10_000_000,
        overload_multiple: 3.0,
        overload_window: 2_000_000,
        answer_slack: 8_000,
        price_cross_zone,
        price_origin: 0.0,
    }
}

fn node(price_cross_zone: f64, servers: u16) -> Balancer {
    let mut node = Balancer::new(settings(price_cross_zone), 1, 0).unwrap();
    let list = (0..servers)
        .map(|i| Endpoint {
            zone: Some(i % 2),
            ..entry(&format!("s{i}"))
        })
        .collect();
    node.handle(
        0,
        Event::EndpointList(EndpointListKind::Full, list),
        &mut Vec::new(),
    );
    node
}

fn ask(node: &mut Balancer, now: Micros, n: u32) -> Option<ServerId> {
    let request = Request {
        id: format!("r{n}").into(),
        class: 0,
        tenant: None,
        key: Some(format!("k{n}").into()),
        budget: 600_000,
        work: None,
        size: None,
        retry: false,
        write: false,
    };
    let mut actions = Vec::new();
    node.handle(now, Event::Request(request), &mut actions);
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    })
}

fn end(node: &mut Balancer, now: Micros, n: u32, server: &ServerId, status: Status) -> Vec<Action> {
    let mut actions = Vec::new();
    let event = Event::AttemptEnded {
        request: format!("r{n}").into(),
        server: server.clone(),
        attempt: 0,
        // What fails for the origin's sake has waited for it.
        latency: if status == Status::Error {
            100_000
        } else {
            1_000
        },
        status,
        closed: status == Status::Ok,
        note: None,
        load: None,
    };
    node.handle(now, event, &mut actions);
    actions
}

fn all_fail(node: &mut Balancer, share: f64) {
    node.line.servers.iter_mut().for_each(|s| s.failing = share);
}

#[test]
fn a_zone_has_its_own_line_only_where_crossing_is_dear() {
    let zones = |node: &Balancer| {
        node.line
            .servers
            .iter()
            .filter(|s| s.entry.zone == Some(1))
            .count()
    };
    assert_eq!(zones(&node(0.2, 8)), 0);
    assert_eq!(zones(&node(0.01, 8)), 4);
    assert_eq!(zones(&node(0.2, 2)), 1);
}

#[test]
fn a_failing_origin_shuts_out_unknown_keys_before_known_ones() {
    let mut node = node(0.0, 8);
    all_fail(&mut node, 0.5);
    for n in 0..200 {
        if let Some(server) = ask(&mut node, i64::from(n) * 1000, n) {
            end(&mut node, i64::from(n) * 1000, n, &server, Status::Error);
        }
    }
    node.served
        .extend((1000..1200).map(|n| (hash(&format!("k{n}")), 0)));
    let unknown = (500..700)
        .filter(|n| ask(&mut node, 300_000, *n).is_some())
        .count();
    let known = (1000..1200)
        .filter(|n| ask(&mut node, 300_000, *n).is_some())
        .count();
    assert!(
        unknown < 50 && known > 120,
        "{unknown} unknown, {known} known of 200"
    );
}

#[test]
fn failed_fetches_alone_are_no_jam() {
    // A lone miss may outlast the aim by itself: while known keys are answered nothing is refused for it.
    let mut node = node(0.0, 8);
    for n in 0..200 {
        let now = i64::from(n) * 1000;
        let server = ask(&mut node, now, n).expect("sent");
        end(&mut node, now, n, &server, Status::Error);
        node.served.insert(hash(&format!("k{}", 1000 + n)), now);
        let server = ask(&mut node, now, 1000 + n).expect("sent");
        end(&mut node, now, 1000 + n, &server, Status::Ok);
    }
    assert_eq!(node.origin.admit, 1.0);
}

#[test]
fn late_fetches_lower_admission_too() {
    for (took, least, most) in [(100_000, 1.0, 1.0), (400_000, 0.0, 0.5)] {
        let mut node = node(0.0, 8);
        all_fail(&mut node, 0.5);
        node.set.classes[0].late_weight = 0.25;
        for n in 0..100 {
            let now = i64::from(n) * 1000;
            if let Some(server) = ask(&mut node, now, n) {
                end(&mut node, now + took, n, &server, Status::Ok);
            }
        }
        assert!(
            (least..=most).contains(&node.origin.admit),
            "{} after {took}",
            node.origin.admit
        );
    }
}

#[test]
fn a_jam_is_tried_now_and_then_and_failed_keys_are_no_longer_known() {
    let mut node = node(0.0, 8);
    all_fail(&mut node, 0.5);
    node.origin.admit = crate::origin_health::LEAST;
    let sent = (0..100)
        .filter(|n| ask(&mut node, 700_000 * i64::from(*n), *n).is_some())
        .count();
    assert_eq!(sent, 99, "one trial in each longest time");
    node.origin.admit = 1.0;
    let server = ask(&mut node, 80_000_000, 500).expect("sent");
    end(&mut node, 80_001_000, 500, &server, Status::Ok);
    assert!(node.served.contains_key(&hash("k500")));
    let event = |n: u32| (n, hash("k500"));
    let (n, key) = event(501);
    ask(&mut node, 80_002_000, n);
    if let Some(held) = node.held.values_mut().last() {
        held.key = Some(key);
        held.doubtful = false;
    }
    end(&mut node, 80_003_000, n, &server, Status::Error);
    assert!(!node.served.contains_key(&key));
}

#[test]
fn failures_of_a_few_servers_are_no_jam_and_those_of_all_are() {
    for (bad, jam) in [(2, false), (8, true)] {
        let mut node = node(0.0, 8);
        node.line
            .servers
            .iter_mut()
            .take(bad)
            .for_each(|s| s.failing = 0.9);
        for n in 0..100 {
            node.doubtful_ended(n % 4 != 0);
        }
        assert_eq!(
            node.origin.admit < 0.9,
            jam,
            "{bad} of 8: {}",
            node.origin.admit
        );
    }
}

/// The actions of a request for a key that nobody knows, and of its end without an answer.
fn unanswered(node: &mut Balancer, now: Micros, n: u32) -> (Vec<Action>, Vec<Action>) {
    let (mut sent, mut ended) = (Vec::new(), Vec::new());
    let request = Request {
        id: format!("r{n}").into(),
        class: 0,
        tenant: None,
        key: Some(format!("k{n}").into()),
        budget: 500_000,
        work: None,
        size: None,
        retry: false,
        write: false,
    };
    node.handle(now, Event::Request(request), &mut sent);
    let token = (node.serial - 1) << 2 | END;
    node.handle(now + 146_000, Event::TimerExpired(token), &mut ended);
    (sent, ended)
}

// Guards against the jam that outlives its cause: a fetch that is given up with its request is dropped by the
// server, no cache is filled, and every request stays a fetch.
#[test]
fn in_a_jam_a_fetch_is_left_to_its_server_when_its_request_ends() {
    let mut node = node(0.0, 8);
    let cancels = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    let refused = |actions: &[Action]| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count()
    };
    let timeout = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        })
    };
    let (sent, ended) = unanswered(&mut node, 0, 0);
    assert!(cancels(&ended) && refused(&ended) == 1 && timeout(&sent).unwrap() < 150_000);
    let jam_at = (1..100).find(|n| {
        unanswered(&mut node, 150_000 * i64::from(*n), *n);
        node.origin
            .jams(150_000 * i64::from(*n) + 146_000, Asked::Doubtful)
    });
    assert!(
        jam_at.is_some_and(|n| n > 3),
        "a jam after {jam_at:?} requests without an answer"
    );
    // Most are given up at once now, with the time to come back, and a part is let through.
    let now = 20_000_000;
    (200..220).for_each(|n| {
        unanswered(&mut node, now - 200_000, n);
    });
    let all: Vec<_> = (300..400).map(|n| unanswered(&mut node, now, n)).collect();
    let (through, shed): (Vec<_>, Vec<_>) = all
        .into_iter()
        .partition(|(sent, _)| timeout(sent).is_some());
    assert!(
        (10..60).contains(&through.len()),
        "{} of 100 let through",
        through.len()
    );
    assert!(shed.iter().all(|(sent, _)| refused(sent) == 1));
    let (sent, ended) = &through[0];
    assert_eq!(
        (cancels(ended), refused(ended)),
        (false, 1),
        "answered at once, and its fetch goes on"
    );
    // The client's whole wait, which is shorter here than the class's.
    assert_eq!(timeout(sent), Some(500_000));
    assert!(node.held.is_empty() && node.line.servers.iter().all(|s| s.out == 0));
}

// Guards a node with hardly any traffic: one write that is turned away wherever it goes is no jam.
#[test]
fn one_request_that_fails_at_many_servers_is_no_jam() {
    let mut node = node(0.0, 8);
    for n in 0..3 {
        node.retry_tokens = RETRY_SAVED;
        ask(&mut node, 1000, n).expect("sent");
        for attempt in 0..4 {
            let Some(held) = node.held.values().last() else {
                break;
            };
            let server = held.attempts[attempt].server.clone();
            let event = Event::AttemptEnded {
                request: format!("r{n}").into(),
                server,
                attempt,
                latency: 1_000,
                status: Status::Rejected,
                closed: false,
                note: None,
                load: None,
            };
            node.held.values_mut().last().expect("held").request.write = true;
            node.handle(2_000, event, &mut Vec::new());
        }
    }
    assert!(!node.origin.jams(2_000, Asked::Write));
}

// Guards the seconds before a jam is sure: second copies were a fifth of what reached the origin then.
#[test]
fn where_there_may_be_a_jam_no_second_copy_is_sent() {
    for may in [false, true] {
        let mut node = node(0.0, 8);
        node.set.hedging = true;
        if may {
            (0..2).for_each(|_| node.origin.ended(0, Asked::Write, None, None));
        }
        assert!(!node.origin.jams(0, Asked::Write), "two failures are none");
        ask(&mut node, 1000, 1).expect("sent");
        let mut actions = Vec::new();
        node.handle(
            100_000,
            Event::TimerExpired((node.serial - 1) << 2 | HEDGE),
            &mut actions,
        );
        assert_eq!(
            actions.iter().any(|a| matches!(a, Action::Send { .. })),
            !may
        );
    }
}

#[test]
fn in_a_jam_no_fetch_is_asked_for_twice_and_answered_fetches_end_it() {
    for jam in [false, true] {
        let mut node = node(0.0, 8);
        if jam {
            (0..30).for_each(|_| node.origin.ended(0, Asked::Doubtful, None, None));
        }
        let server = ask(&mut node, 1000, 1).expect("sent");
        let actions = end(&mut node, 100_000, 1, &server, Status::Timeout);
        assert_eq!(
            actions.iter().any(|a| matches!(a, Action::Send { .. })),
            !jam
        );
        assert_eq!(
            actions.iter().any(|a| matches!(a, Action::Reject { .. })),
            jam
        );
        (0..3).for_each(|_| {
            node.origin.ended(
                100_000,
                Asked::Doubtful,
                Some(Status::Ok),
                Some(CacheResult::Miss),
            );
        });
        assert!(!node.origin.jams(100_000, Asked::Doubtful));
    }
}

#[test]
fn what_fails_at_once_tells_nothing_of_the_origin_and_its_repeat_costs_little() {
    for (latency, again) in [(2_000, true), (100_000, false)] {
        let mut node = node(0.0, 8);
        all_fail(&mut node, 0.5);
        node.retry_tokens = 0.2;
        node.again = 0.0;
        let server = ask(&mut node, 0, 1).expect("sent");
        let event = Event::AttemptEnded {
            request: "r1".into(),
            server,
            attempt: 0,
            latency,
            status: Status::Error,
            closed: false,
            note: None,
            load: None,
        };
        let mut actions = Vec::new();
        node.handle(latency, event, &mut actions);
        assert_eq!(
            actions.iter().any(|a| matches!(a, Action::Send { .. })),
            again,
            "after {latency} us"
        );
        assert_eq!(
            node.origin.admit >= 1.0,
            again,
            "{} after {latency} us",
            node.origin.admit
        );
    }
}

#[test]
fn second_attempts_that_are_not_answered_lower_the_budget_and_answered_ones_raise_it() {
    let mut node = node(0.0, 8);
    let refill = |node: &mut Balancer| {
        node.retry_tokens = 0.0;
        ask(node, 1000, 999_999);
        let refill = node.retry_tokens;
        node.forget(node.serial - 1);
        refill
    };
    let whole = refill(&mut node);
    for n in 0..200 {
        // Served lately: what fails is no fetch, which would not be asked for twice.
        node.served.insert(hash(&format!("k{n}")), 1000);
        let server = ask(&mut node, 1000, n).expect("sent");
        node.retry_tokens = RETRY_SAVED;
        end(&mut node, 1000, n, &server, Status::Rejected);
        let second = node
            .held
            .values()
            .last()
            .map(|h| h.attempts[1].server.clone())
            .expect("sent again");
        let event = Event::AttemptEnded {
            request: format!("r{n}").into(),
            server: second,
            attempt: 1,
            latency: 1000,
            status: if n < 100 { Status::Timeout } else { Status::Ok },
            closed: n >= 100,
            note: None,
            load: None,
        };
        node.handle(1000, event, &mut Vec::new());
        node.late = 0.0;
        if n == 99 {
            let least = refill(&mut node);
            assert!(least > 0.0 && least < whole / 5.0, "{least} of {whole}");
        }
    }
    let back = refill(&mut node);
    assert!(back > whole / 2.0, "{back} of {whole}");
}

/// Lets requests pass their patience unanswered at one server; the number it took to make it sick.
fn silent_until_sick(node: &mut Balancer, known: bool) -> Option<usize> {
    let target = node.line.servers[3].entry.server.clone();
    let mut silent = 0;
    for n in 0..400 {
        let now = 10_000_000 + i64::from(n) * 1000;
        if ask(node, now, n) != Some(target.clone()) {
            continue;
        }
        let (serial, held) = node.held.iter_mut().last().unwrap();
        held.doubtful = !known;
        let token = *serial << 2 | HEDGE;
        node.handle(now + 100_000, Event::TimerExpired(token), &mut Vec::new());
        silent += 1;
        if node.line.servers[3].sick() {
            return Some(silent);
        }
    }
    None
}

#[test]
fn a_silent_server_is_sick_unless_much_is_slow() {
    assert!((2..=3).contains(&silent_until_sick(&mut node(0.0, 8), true).expect("sick")));
    let mut slow = node(0.0, 8);
    slow.slow = 0.7;
    assert!(silent_until_sick(&mut slow, true).is_none_or(|n| n > 10));
}

#[test]
fn a_server_whose_connections_break_is_sick_unless_many_break_anyway() {
    let resets_until_sick = |node: &mut Balancer| {
        let server = node.line.servers[3].entry.server.clone();
        (1..20).find(|_| {
            node.judge(1000, &server, Some(Status::Reset), &mut Vec::new());
            node.line.servers[3].sick()
        })
    };
    assert_eq!(resets_until_sick(&mut node(0.0, 8)), Some(2));
    let mut node = node(0.0, 8);
    // One attempt in eight breaks, at all servers alike.
    for n in 0..800 {
        if let Some(server) = ask(&mut node, 1000, n) {
            end(
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
    assert!(resets_until_sick(&mut node).is_some_and(|n| n >= 3));
}

#[test]
fn an_overrun_server_spills_to_sound_neighbours_and_refuses_with_none() {
    let mut node = node(0.0, 8);
    node.line.servers[3].pass = 0.5;
    node.line.updates = 1e9; // the cuts stay
    let home = |node: &Balancer, n: u32| node.line.home(unit_interval(hash(&format!("k{n}"))));
    let mine: Vec<u32> = (0..2000).filter(|n| home(&node, *n) == 3).collect();
    let id = node.line.servers[3].entry.server.clone();
    let stay = mine
        .iter()
        .filter(|n| ask(&mut node, 1000, **n) == Some(id.clone()))
        .count();
    let part = stay as f64 / mine.len() as f64;
    assert!((0.4..0.6).contains(&part), "{part}");
    for server in &mut node.line.servers {
        server.pass = 0.5;
    }
    for (late, least, most) in [(0.0, 0.99, 1.0), (0.5, 0.4, 0.6)] {
        node.late = late;
        let sent = mine
            .iter()
            .filter(|n| ask(&mut node, 2000, **n + 5000 * (late * 2.0) as u32).is_some());
        let part = sent.count() as f64 / mine.len() as f64;
        assert!(
            (least - 0.1..=most + 0.1).contains(&part),
            "{part} while {late} late"
        );
    }
}

#[test]
fn silence_counts_against_the_pass_for_known_keys_only() {
    for known in [true, false] {
        let mut node = node(0.0, 8);
        silent_until_sick(&mut node, known);
        assert_eq!(node.line.servers[3].pass < 1.0, known);
    }
}

#[test]
fn a_cold_home_is_spared_when_all_others_are_overrun() {
    let mut node = node(0.0, 8);
    node.line.updates = 1e9;
    for (i, server) in node.line.servers.iter_mut().enumerate() {
        server.pass = 0.5;
        server.entry.started = (i == 3).then_some(0);
    }
    let home = |node: &Balancer, n: u32| node.line.home(unit_interval(hash(&format!("k{n}"))));
    let mine: Vec<u32> = (0..2000).filter(|n| home(&node, *n) == 3).collect();
    let id = node.line.servers[3].entry.server.clone();
    let sent = mine
        .iter()
        .filter(|n| ask(&mut node, 1000, **n) == Some(id.clone()))
        .count();
    assert!(
        sent as f64 / (mine.len() as f64) < 0.4,
        "{sent} of {}",
        mine.len()
    );
}

#[test]
fn nodes_that_learned_other_speeds_agree_on_most_homes() {
    let servers = |node: &mut Balancer| {
        let list = (0..80)
            .map(|i| Endpoint {
                kind: Some(i % 2),
                ..entry(&format!("s{i}"))
            })
            .collect();
        node.handle(
            0,
            Event::EndpointList(EndpointListKind::Full, list),
            &mut Vec::new(),
        );
    };
    let (mut a, mut b) = (node(0.0, 0), node(0.0, 0));
    servers(&mut a);
    b.pace.kinds = vec![(0.0, 0.0), (-0.125 * 1e6, 1e6), (0.125 * 1e6, 1e6)];
    servers(&mut b);
    b.weigh();
    b.line.update(&b.weights.clone(), 1.0);
    let at = |i: usize| i as f64 / 4000.0;
    let same = (0..4000)
        .filter(|i| a.line.home(at(*i)) == b.line.home(at(*i)))
        .count();
    assert!(same > 3200, "{same} of 4000");
}

#[test]
fn second_attempts_fade_when_answers_are_late() {
    let mut node = node(0.0, 8);
    (node.late, node.retry_tokens) = (0.5, 0.0);
    for n in 0..50 {
        if let Some(server) = ask(&mut node, 1000, n) {
            let again = end(&mut node, 1000, n, &server, Status::Rejected);
            assert!(!again.iter().any(|a| matches!(a, Action::Send { .. })));
        }
    }
}

#[test]
fn refused_connections_move_keys_even_when_most_servers_refuse() {
    let mut node = node(0.0, 8);
    let open = node.line.servers[3].entry.server.clone();
    for server in node
        .line
        .servers
        .iter()
        .map(|s| s.entry.server.clone())
        .collect::<Vec<_>>()
    {
        if server != open {
            node.judge(1000, &server, Some(Status::ConnectFailed), &mut Vec::new());
        }
    }
    assert!((0..40).all(|n| ask(&mut node, 2000, n) == Some(open.clone())));
}

#[test]
fn a_second_attempt_waits_for_the_first_where_copies_are_not_allowed() {
    let mut node = node(0.0, 8);
    ask(&mut node, 1000, 1);
    let held = node.held.values().next().unwrap();
    let to = &node.line.servers[0].entry;
    assert_eq!(held.out(), 1);
    assert!(!held.may_send(&node.set, to, 1000));
    let copies = Settings {
        hedging: true,
        ..node.set.clone()
    };
    assert!(held.may_send(&copies, to, 1000));
}

#[test]
fn what_was_learned_with_a_server_that_is_gone_is_held_against_no_other_kind() {
    let mut old = node(0.0, 4);
    let gone = old.line.servers[1].entry.server.clone();
    old.pace.kinds = vec![(0.0, 0.0), (50.0, 10.0)];
    let memory = old.checkpoint(0);
    let mut next = Balancer::new(settings(0.0), 9, 0).unwrap();
    next.restore(0, 0, memory);
    let left: Vec<Endpoint> = old.line.servers.iter().map(|s| s.entry.clone()).collect();
    let left: Vec<Endpoint> = left.into_iter().filter(|e| e.server != gone).collect();
    next.handle(
        0,
        Event::EndpointList(EndpointListKind::Full, left.into()),
        &mut Vec::new(),
    );
    // Those without a kind are in the first place: nobody has none.
    assert_eq!(next.pace.kinds[0], (0.0, 0.0));
    assert_eq!(next.pace.kinds[1], (50.0, 10.0));
}

/// A lost zone took a request and a wait for each of its servers, and again after each one's pause.
#[test]
fn a_lost_zone_gets_nothing_after_three_of_its_servers_and_one_look_brings_it_back() {
    let mut node = node(0.0, 40);
    node.set.probes = true;
    let odd = |server: &ServerId| server[1..].parse::<u32>().unwrap() % 2 == 1;
    let (mut tried, mut actions) = (std::collections::HashSet::new(), Vec::new());
    for n in 0..200 {
        let now = i64::from(n) * 1000;
        let Some(server) = ask(&mut node, now, n).filter(odd) else {
            continue;
        };
        tried.insert(server.clone());
        node.judge(now, &server, Some(Status::ConnectFailed), &mut actions);
    }
    assert_eq!(tried.len(), 3, "{tried:?}");
    let timer = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::SetTimer { token, delay } if token & 3 == ZONE => Some((*token, *delay)),
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
    // Whether it kept what it held, the list has told by then.
    let now = 2_000_000 + RESTART_TOLD;
    let again = (1000..1200)
        .filter_map(|n| ask(&mut node, now, n))
        .filter(odd)
        .count();
    assert!(
        again > 60,
        "{again} of 200 go to the zone that answers again"
    );
}

/// Another process runs at the address of each lost server; nodes sent on as to the one that was there before, until the
/// list told of the start.
#[test]
fn a_zone_that_was_lost_counts_as_just_started_when_it_answers_again_or_is_tried() {
    for probes in [true, false] {
        let mut node = node(0.0, 40);
        node.set.probes = probes;
        let odd = |server: &ServerId| server[1..].parse::<u32>().unwrap() % 2 == 1;
        let mut actions = Vec::new();
        for n in 0..200 {
            let now = i64::from(n) * 1000;
            let Some(server) = ask(&mut node, now, n).filter(odd) else {
                continue;
            };
            node.judge(now, &server, Some(Status::ConnectFailed), &mut actions);
        }
        assert!(
            node.fates.lost(Some(1)),
            "and not the other: {}",
            !node.fates.lost(Some(0))
        );
        let timer = actions.iter().find_map(|a| match a {
            Action::SetTimer { token, delay } if token & 3 == ZONE => Some((*token, *delay)),
            _ => None,
        });
        let (token, delay) = timer.unwrap();
        let now = 200_000 + delay;
        actions.clear();
        node.handle(now, Event::TimerExpired(token), &mut actions);
        if let Some(Action::Probe(server)) = actions
            .iter()
            .find(|a| matches!(a, Action::Probe(_)))
            .cloned()
        {
            node.handle(
                now,
                Event::ProbeEnded {
                    server,
                    latency: 1000,
                    status: Status::Ok,
                    load: None,
                },
                &mut actions,
            );
        }
        assert!(!node.fates.lost(Some(1)));
        let mut sent = std::collections::HashMap::new();
        for server in (1000..3000)
            .filter_map(|n| ask(&mut node, now, n))
            .filter(odd)
        {
            *sent.entry(server).or_insert(0.0) += 1.0;
        }
        let (set, all) = (&node.set, f64::from(2000 + 200));
        let budget = set.overload_multiple * set.cold_capacity * all / 40.0;
        let most = sent.values().copied().fold(0.0, f64::max);
        assert!(
            !sent.is_empty() && most <= budget + 1.0,
            "{most} at once, {budget} allowed"
        );
        // Told of no start, it kept what it held.
        let later = now + RESTART_TOLD;
        let again = (4000..4200)
            .filter_map(|n| ask(&mut node, later, n))
            .filter(odd)
            .count();
        assert!(
            again > 60,
            "{again} of 200 go to the zone that answers again"
        );
    }
}

/// A popular key was sent on from a cold home, which was left with the keys that nobody keeps: all misses.
#[test]
fn a_popular_key_stays_at_a_cold_home_within_its_part() {
    let mut node = node(0.0, 8);
    node.line.updates = 1e9;
    node.line.servers[3].entry.started = Some(0);
    let now = 4_000_000;
    let kept = |n: &u32| {
        let at = unit_interval(hash(&format!("k{n}")));
        node.line.home(at) == 3 && node.line.left_edge(3) < at && node.off_middle(at, 3) < 0.2
    };
    let key = (0..2000).find(kept).unwrap();
    let id = node.line.servers[3].entry.server.clone();
    // Often enough to be popular, too rarely beside others to be dealt.
    for n in 0..3 {
        let other = 10_000 + 7 * n;
        (0..6).for_each(|i| {
            ask(&mut node, now, other + i);
        });
        assert_eq!(ask(&mut node, now, key), Some(id.clone()), "the {n}th time");
        node.ids.clear();
        node.held.clear();
        node.line.servers.iter_mut().for_each(|s| s.out = 0);
    }
}

/// What is learned over many servers and zones must not break the smallest fleet.
#[test]
fn the_only_server_is_tried_again_after_each_pause_and_has_all_requests_once_it_answers() {
    for started in [None, Some(0)] {
        let mut node = node(0.0, 1);
        node.line.servers[0].entry.started = started;
        let (mut now, mut tried, mut actions) = (0, 0, Vec::new());
        for n in 0..300 {
            now += 100_000;
            if let Some(server) = ask(&mut node, now, n) {
                tried += 1;
                node.judge(now, &server, Some(Status::ConnectFailed), &mut actions);
            }
        }
        assert!(tried >= 3, "{tried} trials in 30 s");
        let server = node.line.servers[0].entry.server.clone();
        node.judge(now, &server, Some(Status::Ok), &mut actions);
        let served = (300..400)
            .filter_map(|n| ask(&mut node, now + 20_000_000, n))
            .count();
        assert_eq!(served, 100);
    }
}

/// Some servers of a fleet without zones fell silent; the first answer of any other made the whole fleet count as cold for
/// 6 s (0.88 of a day served, then 0.70, where a fifth of the servers vanished).
#[test]
fn where_no_other_zone_is_left_none_counts_as_just_started_when_it_answers() {
    for (probes, zone) in [
        (true, None),
        (true, Some(0)),
        (false, None),
        (false, Some(0)),
    ] {
        let mut node = node(0.0, 0);
        node.set.probes = probes;
        let list = (0..40)
            .map(|i| Endpoint {
                zone,
                ..entry(&format!("s{i}"))
            })
            .collect();
        node.handle(
            0,
            Event::EndpointList(EndpointListKind::Full, list),
            &mut Vec::new(),
        );
        let (mut silent, mut actions) = (std::collections::HashSet::new(), Vec::new());
        for n in 0..40 {
            let Some(server) = ask(&mut node, i64::from(n) * 1000, n).filter(|_| silent.len() < 8)
            else {
                break;
            };
            silent.insert(server.clone());
            node.judge(
                i64::from(n) * 1000,
                &server,
                Some(Status::ConnectFailed),
                &mut actions,
            );
        }
        assert!(
            silent.len() >= 3,
            "as many as make a zone count as lost: {silent:?}"
        );
        let timers = |actions: &[Action]| -> Vec<(u64, Micros)> {
            let of_zone = |a: &Action| match a {
                Action::SetTimer { token, delay } if token & 3 == ZONE => Some((*token, *delay)),
                _ => None,
            };
            actions.iter().filter_map(of_zone).collect()
        };
        let planned = timers(&actions);
        assert!(!planned.is_empty(), "it is looked at");
        for (token, delay) in planned {
            node.handle(40_000 + delay, Event::TimerExpired(token), &mut actions);
        }
        let other = node
            .line
            .servers
            .iter()
            .map(|s| s.entry.server.clone())
            .find(|s| !silent.contains(s));
        node.judge(
            3_000_000,
            &other.expect("one that is reached"),
            Some(Status::Ok),
            &mut actions,
        );
        let cold = node
            .line
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
