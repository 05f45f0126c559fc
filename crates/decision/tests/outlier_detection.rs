//! Outlier detection on virtual time: which servers get first attempts and retries while some servers fail or
//! are slow.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod support;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use sloewick_decision::api::*;
use sloewick_decision::outlier_detection::{rendezvous_score, OutlierDetector, RequestKind};
use support::Fleet;

const SERVERS: usize = 12;

fn server_id(i: usize) -> ServerId {
    Arc::from(format!("srv{i}"))
}

/// A successful response after 5 to 25 ms; `n` determines the latency.
fn healthy(n: u64) -> (Status, Micros) {
    (
        Status::Ok,
        5_000 + (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as i64 % 20_000,
    )
}

/// Every attempt at the first `failing_servers` servers fails after 5 ms; the others are healthy.
fn failing(failing_servers: usize) -> impl FnMut(usize, u64) -> (Status, Micros) {
    move |server, n| {
        if server < failing_servers {
            (Status::Error, 5_000)
        } else {
            healthy(n)
        }
    }
}

#[test]
fn first_attempts_move_from_failing_servers_to_all_others() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let baseline = fleet.take_first_attempts();
    fleet.run(2, failing(2));
    fleet.take_first_attempts();
    fleet.reset_ended_requests();
    fleet.run(5, failing(2));
    let during_failures = fleet.take_first_attempts();
    for failing_server in 0..2 {
        assert!(
            during_failures[failing_server] * 4 < baseline[failing_server],
            "server {failing_server}: {} first attempts, {} before",
            during_failures[failing_server],
            baseline[failing_server]
        );
    }
    for healthy in 2..SERVERS {
        let ratio = f64::from(during_failures[healthy]) / f64::from(baseline[healthy]);
        assert!(
            ratio < 1.6,
            "server {healthy} got {ratio:.2} times as many first attempts as before"
        );
    }
    let (served, ended) = fleet.ended_requests();
    assert!(served * 1000 >= ended * 995, "{served} of {ended} served");
}

#[test]
fn server_that_fails_every_second_request_is_ejected() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let baseline = fleet.take_first_attempts();
    let mut attempts = 0;
    let mut every_second = |server: usize, n| {
        attempts += usize::from(server == 3);
        if server == 3 && attempts % 2 == 0 {
            (Status::Error, 5_000)
        } else {
            healthy(n)
        }
    };
    fleet.run(2, &mut every_second);
    fleet.take_first_attempts();
    fleet.run(5, &mut every_second);
    let during_failures = fleet.take_first_attempts();
    assert!(
        during_failures[3] * 2 < baseline[3],
        "{} first attempts, {} before",
        during_failures[3],
        baseline[3]
    );
}

#[test]
fn ejected_server_is_probed_with_many_of_its_keys() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let keys = fleet.first_attempt_keys[0].len();
    fleet.run(3, failing(1));
    fleet.first_attempt_keys[0].clear();
    fleet.run(10, failing(1));
    let probed = fleet.first_attempt_keys[0].len();
    assert!(
        probed * 4 > keys,
        "{probed} of {keys} keys were used for probes"
    );
}

#[test]
fn most_keys_have_the_same_secondary_server_at_two_nodes() {
    let servers_by_key = |seed| {
        let mut fleet = Fleet::new(SERVERS, seed);
        fleet.run(5, failing(1));
        fleet.served_by.clear();
        fleet.run(5, failing(1));
        fleet.served_by
    };
    let (a, b) = (servers_by_key(1), servers_by_key(2));
    let both: Vec<_> = a.keys().filter(|k| b.contains_key(*k)).collect();
    let same = both.iter().filter(|k| a[**k] == b[**k]).count();
    assert!(
        both.len() > 100 && same * 100 >= both.len() * 90,
        "{same} of {} keys have the same server at both nodes",
        both.len()
    );
}

#[test]
fn recovered_servers_regain_their_keys() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let baseline = fleet.take_first_attempts();
    fleet.run(5, failing(2));
    fleet.run(10, |_, n| healthy(n));
    fleet.take_first_attempts();
    fleet.run(5, |_, n| healthy(n));
    let recovered = fleet.take_first_attempts();
    for server in 0..2 {
        assert!(
            recovered[server] * 10 >= baseline[server] * 8,
            "server {server}: {} first attempts, {} before",
            recovered[server],
            baseline[server]
        );
    }
}

#[test]
fn no_server_is_ejected_when_half_of_the_servers_fail_or_all_fail_occasionally() {
    for (failing_servers, one_in) in [(SERVERS / 2, 1), (SERVERS, 5)] {
        let mut fleet = Fleet::new(SERVERS, 7);
        fleet.run(5, |_, n| healthy(n));
        let baseline = fleet.take_first_attempts();
        let answer = move |server: usize, n: u64| {
            if server < failing_servers && n.is_multiple_of(one_in) {
                (Status::Error, 5_000)
            } else {
                healthy(n)
            }
        };
        fleet.run(5, answer);
        let during_failures = fleet.take_first_attempts();
        let (before, after): (u32, u32) = (
            baseline[..failing_servers].iter().sum(),
            during_failures[..failing_servers].iter().sum(),
        );
        assert!(
            after * 10 >= before * 8,
            "one in {one_in} attempts at {failing_servers} servers fails: {after} first attempts there, \
             {before} before"
        );
    }
}

#[test]
fn hot_key_is_spread_while_its_home_is_ejected() {
    let hot_key = 77;
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(2, |_, n| healthy(n));
    let home = fleet.send_at_once(&[hot_key])[0];
    let mut home_fails = |server: usize, n| {
        if server == home {
            (Status::Error, 5_000)
        } else {
            healthy(n)
        }
    };
    fleet.run(3, &mut home_fails);
    fleet.hot_key = Some(hot_key);
    fleet.run(2, &mut home_fails);
    fleet.take_first_attempts();
    fleet.run(5, &mut home_fails);
    let first = fleet.take_first_attempts();
    let (most, all): (u32, u32) = (*first.iter().max().unwrap(), first.iter().sum());
    assert!(
        most * 4 < all,
        "one server got {most} of {all} first attempts: {first:?}"
    );
    assert!(
        first[home] * 25 < all,
        "too many first attempts at the failing home {home}: {first:?}"
    );
}

#[test]
fn removed_server_regains_its_keys_at_once_when_it_is_listed_again() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let baseline = fleet.take_first_attempts();
    fleet.run(5, failing(1));
    fleet.remove_and_relist(0);
    fleet.take_first_attempts();
    fleet.run(1, |_, n| healthy(n));
    let recovered = fleet.take_first_attempts();
    assert!(
        recovered[0] * 5 * 2 > baseline[0],
        "{} first attempts in a second, {} in five seconds before",
        recovered[0],
        baseline[0]
    );
}

#[test]
fn retries_avoid_failing_servers() {
    // The first two servers fail; all others are slow, so that hedged requests are sent.
    let mut fleet = Fleet::new(SERVERS, 7);
    let mut slow = |server: usize, _| {
        if server < 2 {
            (Status::Error, 10_000)
        } else {
            (Status::Ok, 90_000)
        }
    };
    fleet.run(5, &mut slow);
    fleet.take_later_attempts();
    fleet.run(5, &mut slow);
    let later = fleet.take_later_attempts();
    let (at_failing, all): (u32, u32) = (later[..2].iter().sum(), later.iter().sum());
    assert!(
        all > 50 && at_failing * 50 < all,
        "{at_failing} of {all} retries and hedged requests went to failing servers"
    );
}

#[test]
fn restarted_server_regains_its_keys_at_once() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let baseline = fleet.take_first_attempts();
    fleet.run(5, failing(1));
    fleet.announce_restart(0);
    fleet.take_first_attempts();
    fleet.run(1, |_, n| healthy(n));
    let recovered = fleet.take_first_attempts();
    assert!(
        recovered[0] * 5 * 2 > baseline[0],
        "{} first attempts in a second, {} in five seconds before",
        recovered[0],
        baseline[0]
    );
}

/// The first `slow_servers` servers answer after 120 ms, with a latency objective of 150 ms; the others are
/// healthy.
fn slow(slow_servers: usize) -> impl FnMut(usize, u64) -> (Status, Micros) {
    move |server, n| {
        if server < slow_servers {
            (Status::Ok, 120_000)
        } else {
            healthy(n)
        }
    }
}

#[test]
fn first_attempts_move_away_from_slow_servers() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let baseline = fleet.take_first_attempts();
    fleet.run(3, slow(2));
    fleet.take_first_attempts();
    fleet.run(5, slow(2));
    let while_slow = fleet.take_first_attempts();
    for server in 0..2 {
        assert!(
            while_slow[server] * 4 < baseline[server],
            "server {server}: {} first attempts, {} before",
            while_slow[server],
            baseline[server]
        );
    }
}

#[test]
fn slowest_servers_lose_first_attempts_when_all_are_slow_occasionally() {
    // Every fourth response is late at all servers, so that no server is healthy; the first two are always
    // late.
    let answer = |server: usize, n: u64| {
        let (status, latency) = healthy(n);
        (
            status,
            if server < 2 || n.is_multiple_of(4) {
                120_000
            } else {
                latency
            },
        )
    };
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let baseline: u32 = fleet.take_first_attempts()[..2].iter().sum();
    fleet.run(5, answer);
    fleet.take_first_attempts();
    fleet.run(5, answer);
    let while_slow: u32 = fleet.take_first_attempts()[..2].iter().sum();
    assert!(
        while_slow * 2 < baseline,
        "{while_slow} first attempts, {baseline} before"
    );
}

#[test]
fn most_keys_have_the_same_server_for_retries_at_two_nodes() {
    let retry_servers = |seed| {
        let mut fleet = Fleet::new(SERVERS, seed);
        fleet.run(2, |_, n| healthy(n));
        let mut attempts = 0;
        // One in nine attempts fails, at any server: too few failures to eject a server.
        let mut occasional_failures = |_: usize, n| {
            attempts += 1;
            if attempts % 9 == 0 {
                (Status::Error, 5_000)
            } else {
                healthy(n)
            }
        };
        fleet.run(10, &mut occasional_failures);
        fleet.later_attempt_servers
    };
    let (a, b) = (retry_servers(1), retry_servers(2));
    let both: Vec<_> = a.keys().filter(|k| b.contains_key(*k)).collect();
    let same = both.iter().filter(|k| a[**k] == b[**k]).count();
    assert!(
        both.len() > 50 && same * 2 > both.len(),
        "{same} of {} keys have the same server for retries at both nodes",
        both.len()
    );
}

#[test]
fn busy_home_is_relieved_of_recently_served_keys_only() {
    let healthy_fleet = || {
        let mut fleet = Fleet::new(SERVERS, 7);
        fleet.run(5, |_, n| healthy(n));
        fleet
    };
    // Finds the homes of new keys by requesting them one by one; then requests ten keys of one home at once.
    let mut fleet = healthy_fleet();
    let mut homes: Vec<(usize, u64)> = Vec::new();
    for key in 1000..1200 {
        homes.push((fleet.send_at_once(&[key])[0], key));
        fleet.run(1, |_, _| (Status::Ok, 1_000));
    }
    let keys_of = |home| {
        homes
            .iter()
            .filter(move |(h, _)| *h == home)
            .map(|(_, key)| *key)
    };
    let home = (0..SERVERS)
        .max_by_key(|home| keys_of(*home).count())
        .unwrap();
    let keys: Vec<u64> = keys_of(home).take(10).collect();
    assert_eq!(keys.len(), 10);
    let mut fleet = healthy_fleet();
    let count_at_home =
        |servers: Vec<usize>| servers.into_iter().filter(|server| *server == home).count();
    let not_served = count_at_home(fleet.send_at_once(&keys));
    assert!(
        not_served >= 8,
        "{not_served} of ten keys that were never served went to their home"
    );
    fleet.run(1, |_, n| healthy(n));
    let recently_served = count_at_home(fleet.send_at_once(&keys));
    assert!(
        (1..=5).contains(&recently_served),
        "{recently_served} of ten recently served keys, requested at once, went to their home"
    );
}

fn record_outcomes(detector: &mut OutlierDetector, server: usize, failed: bool, times: usize) {
    for _ in 0..times {
        detector.record(
            0,
            &server_id(server),
            RequestKind::LikelyCached,
            failed,
            SERVERS,
        );
    }
}

#[test]
fn at_most_a_third_of_the_servers_are_ejected_the_worst_first() {
    let mut detector = OutlierDetector::default();
    for server in 0..5 {
        record_outcomes(&mut detector, server, true, 40 - server);
    }
    let retained: Vec<f64> = (0..SERVERS)
        .map(|i| detector.retained_fraction(&server_id(i)))
        .collect();
    assert_eq!(retained[..4], [0.0; 4]);
    assert_eq!(retained[4..], [1.0; SERVERS - 4]);
}

#[test]
fn evidence_against_a_server_is_dropped_when_it_restarts_or_is_removed() {
    let mut detector = OutlierDetector::default();
    record_outcomes(&mut detector, 0, true, 24);
    assert_eq!(detector.retained_fraction(&server_id(0)), 0.0);
    detector.reset(&server_id(0));
    assert_eq!(detector.retained_fraction(&server_id(0)), 1.0);
    record_outcomes(&mut detector, 0, true, 24);
    detector.retain(|server| server != "srv0");
    assert_eq!(detector.retained_fraction(&server_id(0)), 1.0);
}

#[test]
fn evidence_against_a_server_decays_with_time() {
    let mut detector = OutlierDetector::default();
    record_outcomes(&mut detector, 0, true, 24);
    assert!(detector.retained_fraction(&server_id(0)) < 1.0);
    // Only another server has outcomes: the evidence decays without any at the ejected server.
    (0..8).for_each(|_| {
        detector.record(
            60_000_000,
            &server_id(1),
            RequestKind::LikelyCached,
            false,
            SERVERS,
        );
    });
    assert_eq!(detector.retained_fraction(&server_id(0)), 1.0);
}

#[test]
fn rendezvous_follows_weights_and_moves_only_keys_that_the_changed_server_loses() {
    let key_server_hash = |key: u64, server: u64| {
        let mut hasher = DefaultHasher::new();
        (key, server).hash(&mut hasher);
        hasher.finish()
    };
    let home = |key: u64, weights: &[f64]| {
        let score = |s: &usize| rendezvous_score(key_server_hash(key, *s as u64), weights[*s]);
        (0..weights.len())
            .max_by(|a, b| score(a).total_cmp(&score(b)))
            .unwrap()
    };
    let (equal_weights, half_weight_of_1) = ([1.0, 1.0, 1.0, 1.0], [1.0, 0.5, 1.0, 1.0]);
    let mut counts = [0; 4];
    for key in 0..8000 {
        let (before, after) = (home(key, &equal_weights), home(key, &half_weight_of_1));
        assert!(
            before == after || before == 1,
            "a key moved from server {before} to server {after}"
        );
        counts[after] += 1;
    }
    let fraction = f64::from(counts[1]) / 8000.0;
    assert!(
        (fraction - 0.5 / 3.5).abs() < 0.03,
        "server 1 with half a weight has {fraction:.3} of the keys"
    );
}

/// At a node with little traffic a slow server has few attempts in flight, so it is not considered busy: its
/// attempts without a timely response count as evidence against it.
#[test]
fn slow_servers_lose_keys_at_a_node_with_little_traffic_and_regain_them_later() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.request_interval = 40_000;
    fleet.run(40, |_, n| healthy(n));
    assert!(fleet.outliers().is_empty());
    let baseline: u32 = fleet.take_first_attempts()[..2].iter().sum();
    fleet.run(10, slow(2));
    assert_eq!(fleet.outliers(), [0, 1]);
    fleet.take_first_attempts();
    fleet.run(40, slow(2));
    let while_slow: u32 = fleet.take_first_attempts()[..2].iter().sum();
    assert!(
        while_slow * 2 < baseline,
        "{while_slow} first attempts, {baseline} before"
    );
    fleet.run(60, |_, n| healthy(n));
    assert!(
        fleet.outliers().is_empty(),
        "a server is still an outlier though all answer in time"
    );
}

#[test]
fn no_server_is_an_outlier_when_half_of_the_servers_are_slow() {
    for seed in [7, 8, 9] {
        let mut fleet = Fleet::new(SERVERS, seed);
        fleet.run(5, |_, n| healthy(n));
        let mut ejected = 0;
        for _ in 0..20 {
            fleet.run(1, slow(SERVERS / 2));
            ejected += fleet.outliers().len();
        }
        assert_eq!(ejected, 0, "seed {seed}");
    }
}

/// Normal failure rates are learned over all servers: if the origin is slow, fetches are slow at each of
/// them, and slow fetches soon count as normal.
#[test]
fn servers_retain_their_keys_when_fetches_are_slow_at_all_servers() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.new_key_latency = Some((0, 20_000));
    fleet.run(10, |_, n| healthy(n));
    let baseline: u32 = fleet.take_first_attempts().iter().sum();
    fleet.new_key_latency = Some((0, 130_000));
    let mut ejected = 0;
    for _ in 0..10 {
        fleet.run(1, |_, n| healthy(n));
        ejected += fleet.outliers().len();
    }
    assert!(
        ejected <= SERVERS,
        "{ejected} ejected servers, summed over ten samples of {SERVERS} servers"
    );
    let while_slow: u32 = fleet.take_first_attempts().iter().sum();
    assert!(
        while_slow * 10 >= baseline * 9,
        "{while_slow} first attempts, {baseline} before"
    );
}

/// At a node with little traffic nearly all requests are for keys that were not served recently. Guards
/// against a failure in which a hundred such nodes kept sending requests to servers that answered none of
/// them.
#[test]
fn silent_servers_lose_first_attempts_within_seconds_at_a_node_with_little_traffic() {
    const MANY_SERVERS: usize = 60;
    let mut fleet = Fleet::new(MANY_SERVERS, 7);
    fleet.request_interval = 60_000;
    fleet.new_key_latency = Some((0, 25_000));
    fleet.run(20, |_, n| healthy(n));
    fleet.take_first_attempts();
    let first_fifth_silent = |server: usize, n| {
        if server < MANY_SERVERS / 5 {
            (Status::Ok, 3_000_000)
        } else {
            healthy(n)
        }
    };
    fleet.run(20, first_fifth_silent);
    fleet.take_first_attempts();
    fleet.run(20, first_fifth_silent);
    let first = fleet.take_first_attempts();
    let (at_silent, all): (u32, u32) = (first[..MANY_SERVERS / 5].iter().sum(), first.iter().sum());
    // Without outlier detection it would be one in five.
    assert!(
        at_silent * 7 < all,
        "{at_silent} of {all} first attempts at servers that never answer in time"
    );
}
