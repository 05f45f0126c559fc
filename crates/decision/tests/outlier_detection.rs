//! Outlier detection where a few servers fail or are slow: where first attempts and retries go, on virtual
//! time.

#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use sloewick_decision::api::*;
use sloewick_decision::outlier_detection::{rendezvous, OutlierDetector, RequestKind};
use support::Fleet;

const SERVERS: usize = 12;

fn id(i: usize) -> ServerId {
    Arc::from(format!("srv{i}"))
}

/// An answer within 5 to 25 ms.
fn healthy(n: u64) -> (Status, Micros) {
    (
        Status::Ok,
        5_000 + (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as i64 % 20_000,
    )
}

/// Fails every attempt at the servers before this one, after 5 ms.
fn failing(failing_server: usize) -> impl FnMut(usize, u64) -> (Status, Micros) {
    move |server, n| {
        if server < failing_server {
            (Status::Error, 5_000)
        } else {
            healthy(n)
        }
    }
}

#[test]
fn first_attempts_leave_failing_servers_and_spread_over_all_others() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let calm = fleet.first_attempts();
    fleet.run(2, failing(2));
    fleet.first_attempts();
    fleet.clear_ends();
    fleet.run(5, failing(2));
    let ejected = fleet.first_attempts();
    for failing_server in 0..2 {
        assert!(
            ejected[failing_server] * 4 < calm[failing_server],
            "server {failing_server}: {} first attempts, {} in calm",
            ejected[failing_server],
            calm[failing_server]
        );
    }
    for healthy in 2..SERVERS {
        let more = f64::from(ejected[healthy]) / f64::from(calm[healthy]);
        assert!(more < 1.6, "server {healthy} got {more:.2} times as much");
    }
    let (served, ended) = fleet.ends();
    assert!(served * 1000 >= ended * 995, "{served} of {ended} served");
}

#[test]
fn server_that_fails_every_second_request_is_ejected_too() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let calm = fleet.first_attempts();
    let mut turn = 0;
    let mut every_second = |server: usize, n| {
        turn += usize::from(server == 3);
        if server == 3 && turn % 2 == 0 {
            (Status::Error, 5_000)
        } else {
            healthy(n)
        }
    };
    fleet.run(2, &mut every_second);
    fleet.first_attempts();
    fleet.run(5, &mut every_second);
    let ejected = fleet.first_attempts();
    assert!(
        ejected[3] * 2 < calm[3],
        "{} first attempts, {} in calm",
        ejected[3],
        calm[3]
    );
}

#[test]
fn ejected_server_is_probed_with_any_of_its_keys() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let all = fleet.first_keys[0].len();
    fleet.run(3, failing(1));
    fleet.first_keys[0].clear();
    fleet.run(10, failing(1));
    let tried = fleet.first_keys[0].len();
    assert!(tried * 4 > all, "{tried} of {all} keys were tried");
}

#[test]
fn secondary_of_a_key_is_the_same_at_every_node() {
    let homes = |seed| {
        let mut fleet = Fleet::new(SERVERS, seed);
        fleet.run(5, failing(1));
        fleet.served_by.clear();
        fleet.run(5, failing(1));
        fleet.served_by
    };
    let (a, b) = (homes(1), homes(2));
    let both: Vec<_> = a.keys().filter(|k| b.contains_key(*k)).collect();
    let same = both.iter().filter(|k| a[**k] == b[**k]).count();
    assert!(
        both.len() > 100 && same * 100 >= both.len() * 90,
        "{same} of {}",
        both.len()
    );
}

#[test]
fn server_that_answers_again_regains_its_keys() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let calm = fleet.first_attempts();
    fleet.run(5, failing(2));
    fleet.run(10, |_, n| healthy(n));
    fleet.first_attempts();
    fleet.run(5, |_, n| healthy(n));
    let back = fleet.first_attempts();
    for failing_server in 0..2 {
        assert!(
            back[failing_server] * 10 >= calm[failing_server] * 8,
            "server {failing_server}: {} of {}",
            back[failing_server],
            calm[failing_server]
        );
    }
}

#[test]
fn no_server_is_ejected_when_half_of_the_servers_fail_or_all_fail_a_little() {
    for (failing_server, one_in) in [(SERVERS / 2, 1), (SERVERS, 5)] {
        let mut fleet = Fleet::new(SERVERS, 7);
        fleet.run(5, |_, n| healthy(n));
        let calm = fleet.first_attempts();
        let half = move |server: usize, n: u64| {
            if server < failing_server && n.is_multiple_of(one_in) {
                (Status::Error, 5_000)
            } else {
                healthy(n)
            }
        };
        fleet.run(5, half);
        let now = fleet.first_attempts();
        let (before, after): (u32, u32) = (
            calm[..failing_server].iter().sum(),
            now[..failing_server].iter().sum(),
        );
        assert!(
            after * 10 >= before * 8,
            "{failing_server} servers, one in {one_in}: {after} of {before}"
        );
    }
}

#[test]
fn hot_key_is_spread_while_its_home_is_ejected() {
    let hot = 77;
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(2, |_, n| healthy(n));
    let home = fleet.burst(&[hot])[0];
    let mut failing_server = |server: usize, n| {
        if server == home {
            (Status::Error, 5_000)
        } else {
            healthy(n)
        }
    };
    fleet.run(3, &mut failing_server);
    fleet.hot = Some(hot);
    fleet.run(2, &mut failing_server);
    fleet.first_attempts();
    fleet.run(5, &mut failing_server);
    let first = fleet.first_attempts();
    let (most, all): (u32, u32) = (*first.iter().max().unwrap(), first.iter().sum());
    assert!(most * 4 < all, "one server has {most} of {all}: {first:?}");
    assert!(
        first[home] * 25 < all,
        "it is not dealt to the one that fails: {first:?}"
    );
}

#[test]
fn nothing_is_remembered_of_a_removed_server() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let calm = fleet.first_attempts();
    fleet.run(5, failing(1));
    fleet.leave_and_return(0);
    fleet.first_attempts();
    fleet.run(1, |_, n| healthy(n));
    let back = fleet.first_attempts();
    assert!(
        back[0] * 5 * 2 > calm[0],
        "{} in a second, {} in five in calm",
        back[0],
        calm[0]
    );
}

#[test]
fn retries_avoid_failing_servers() {
    // All but the first two are slow, so that hedged requests are sent.
    let mut fleet = Fleet::new(SERVERS, 7);
    let mut slow = |server: usize, _| {
        if server < 2 {
            (Status::Error, 10_000)
        } else {
            (Status::Ok, 90_000)
        }
    };
    fleet.run(5, &mut slow);
    fleet.second_attempts();
    fleet.run(5, &mut slow);
    let second = fleet.second_attempts();
    let (failing_server, all): (u32, u32) = (second[..2].iter().sum(), second.iter().sum());
    assert!(
        all > 50 && failing_server * 50 < all,
        "{failing_server} of {all} second attempts"
    );
}

#[test]
fn restarted_server_has_its_keys_at_once() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let calm = fleet.first_attempts();
    fleet.run(5, failing(1));
    fleet.restart(0);
    fleet.first_attempts();
    fleet.run(1, |_, n| healthy(n));
    let back = fleet.first_attempts();
    assert!(
        back[0] * 5 * 2 > calm[0],
        "{} in a second, {} in five in calm",
        back[0],
        calm[0]
    );
}

/// Answers late at the servers before `slow`: 120 ms, with a latency objective of 150 ms.
fn slow(slow: usize) -> impl FnMut(usize, u64) -> (Status, Micros) {
    move |server, n| {
        if server < slow {
            (Status::Ok, 120_000)
        } else {
            healthy(n)
        }
    }
}

#[test]
fn first_attempts_leave_slow_servers() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let calm = fleet.first_attempts();
    fleet.run(3, slow(2));
    fleet.first_attempts();
    fleet.run(5, slow(2));
    let now = fleet.first_attempts();
    for failing_server in 0..2 {
        assert!(
            now[failing_server] * 4 < calm[failing_server],
            "server {failing_server}: {} first attempts, {} in calm",
            now[failing_server],
            calm[failing_server]
        );
    }
}

#[test]
fn slowest_servers_are_left_when_all_are_slow_now_and_then() {
    // Every fourth answer is late everywhere, so that no server is healthy; at the first two all are.
    let answer = |server: usize, n: u64| {
        let (status, soon) = healthy(n);
        (
            status,
            if server < 2 || n.is_multiple_of(4) {
                120_000
            } else {
                soon
            },
        )
    };
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.run(5, |_, n| healthy(n));
    let calm: u32 = fleet.first_attempts()[..2].iter().sum();
    fleet.run(5, answer);
    fleet.first_attempts();
    fleet.run(5, answer);
    let now: u32 = fleet.first_attempts()[..2].iter().sum();
    assert!(now * 2 < calm, "{now} first attempts, {calm} in calm");
}

#[test]
fn retry_goes_to_the_same_server_at_every_node() {
    let second = |seed| {
        let mut fleet = Fleet::new(SERVERS, seed);
        fleet.run(2, |_, n| healthy(n));
        let mut turn = 0;
        // Now and then an attempt fails anywhere: too few to eject a server.
        let mut now_and_then = |_: usize, n| {
            turn += 1;
            if turn % 9 == 0 {
                (Status::Error, 5_000)
            } else {
                healthy(n)
            }
        };
        fleet.run(10, &mut now_and_then);
        fleet.second_to
    };
    let (a, b) = (second(1), second(2));
    let both: Vec<_> = a.keys().filter(|k| b.contains_key(*k)).collect();
    let same = both.iter().filter(|k| a[**k] == b[**k]).count();
    assert!(
        both.len() > 50 && same * 2 > both.len(),
        "{same} of {}",
        both.len()
    );
}

#[test]
fn busy_home_is_relieved_of_recently_served_keys_only() {
    let calm = || {
        let mut fleet = Fleet::new(SERVERS, 7);
        fleet.run(5, |_, n| healthy(n));
        fleet
    };
    // Homes of keys that were not requested yet, found one by one; then ten keys of one home at once.
    let mut fleet = calm();
    let mut homes: Vec<(usize, u64)> = Vec::new();
    for key in 1000..1200 {
        homes.push((fleet.burst(&[key])[0], key));
        fleet.run(1, |_, _| (Status::Ok, 1_000));
    }
    let of = |home| {
        homes
            .iter()
            .filter(move |(h, _)| *h == home)
            .map(|(_, key)| *key)
    };
    let home = (0..SERVERS).max_by_key(|home| of(*home).count()).unwrap();
    let keys: Vec<u64> = of(home).take(10).collect();
    assert_eq!(keys.len(), 10);
    let mut fleet = calm();
    let at_home = |went: Vec<usize>| went.into_iter().filter(|to| *to == home).count();
    let unknown = at_home(fleet.burst(&keys));
    assert!(
        unknown >= 8,
        "{unknown} of ten keys that nobody was served yet stayed at home"
    );
    fleet.run(1, |_, n| healthy(n));
    let known = at_home(fleet.burst(&keys));
    assert!(
        (1..=5).contains(&known),
        "{known} of ten known keys at once stayed at home"
    );
}

fn record(outliers: &mut OutlierDetector, server: usize, failed: bool, times: usize) {
    for _ in 0..times {
        outliers.record(0, &id(server), RequestKind::LikelyCached, failed, SERVERS);
    }
}

#[test]
fn no_more_than_a_third_is_ejected_the_worst_first() {
    let mut outliers = OutlierDetector::default();
    for server in 0..5 {
        record(&mut outliers, server, true, 40 - server);
    }
    let retained: Vec<f64> = (0..SERVERS)
        .map(|i| outliers.retained_fraction(&id(i)))
        .collect();
    assert_eq!(retained[..4], [0.0; 4]);
    assert_eq!(retained[4..], [1.0; SERVERS - 4]);
}

#[test]
fn evidence_against_a_server_is_dropped_when_it_restarts_or_is_removed() {
    let mut outliers = OutlierDetector::default();
    record(&mut outliers, 0, true, 24);
    assert_eq!(outliers.retained_fraction(&id(0)), 0.0);
    outliers.reset(&id(0));
    assert_eq!(outliers.retained_fraction(&id(0)), 1.0);
    record(&mut outliers, 0, true, 24);
    outliers.retain(|server| server != "srv0");
    assert_eq!(outliers.retained_fraction(&id(0)), 1.0);
}

#[test]
fn evidence_against_a_server_decays() {
    let mut outliers = OutlierDetector::default();
    record(&mut outliers, 0, true, 24);
    assert!(outliers.retained_fraction(&id(0)) < 1.0);
    // Others' answers only; its own are not needed.
    (0..8).for_each(|_| {
        outliers.record(
            60_000_000,
            &id(1),
            RequestKind::LikelyCached,
            false,
            SERVERS,
        );
    });
    assert_eq!(outliers.retained_fraction(&id(0)), 1.0);
}

#[test]
fn rendezvous_follows_weights_and_moves_only_keys_of_the_changed_weight() {
    let mixed = |key: u64, server: u64| {
        let mut hasher = DefaultHasher::new();
        (key, server).hash(&mut hasher);
        hasher.finish()
    };
    let home = |key: u64, weights: &[f64]| {
        let score = |s: &usize| rendezvous(mixed(key, *s as u64), weights[*s]);
        (0..weights.len())
            .max_by(|a, b| score(a).total_cmp(&score(b)))
            .unwrap()
    };
    let (even, less) = ([1.0, 1.0, 1.0, 1.0], [1.0, 0.5, 1.0, 1.0]);
    let mut counts = [0; 4];
    for key in 0..8000 {
        let (before, after) = (home(key, &even), home(key, &less));
        assert!(
            before == after || before == 1,
            "a key of {before} moved to {after}"
        );
        counts[after] += 1;
    }
    let share = f64::from(counts[1]) / 8000.0;
    assert!(
        (share - 0.5 / 3.5).abs() < 0.03,
        "half a weight has {share:.3} of the keys"
    );
}

/// At a quiet node a slow server has few attempts in flight, so it is not taken for a busy one: its silence
/// counts.
#[test]
fn slow_servers_lose_keys_at_a_quiet_node_too_and_regain_them_later() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.every = 40_000;
    fleet.run(40, |_, n| healthy(n));
    assert!(fleet.outliers().is_empty());
    let calm: u32 = fleet.first_attempts()[..2].iter().sum();
    fleet.run(10, slow(2));
    assert_eq!(fleet.outliers(), [0, 1]);
    fleet.first_attempts();
    fleet.run(40, slow(2));
    let now: u32 = fleet.first_attempts()[..2].iter().sum();
    assert!(now * 2 < calm, "{now} first attempts, {calm} in calm");
    fleet.run(60, |_, n| healthy(n));
    assert!(fleet.outliers().is_empty(), "all answer in time again");
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

/// What is usual is learned over all servers: where the origin is slow, fetches are slow at each of them.
#[test]
fn servers_retain_their_keys_when_fetches_are_slow_everywhere() {
    let mut fleet = Fleet::new(SERVERS, 7);
    fleet.fresh = Some((0, 20_000));
    fleet.run(10, |_, n| healthy(n));
    let calm: u32 = fleet.first_attempts().iter().sum();
    fleet.fresh = Some((0, 130_000));
    let mut ejected = 0;
    for _ in 0..10 {
        fleet.run(1, |_, n| healthy(n));
        ejected += fleet.outliers().len();
    }
    assert!(
        ejected <= SERVERS,
        "{ejected} cuts in ten looks at {SERVERS} servers"
    );
    let now: u32 = fleet.first_attempts().iter().sum();
    assert!(now * 10 >= calm * 9, "{now} first attempts, {calm} in calm");
}

/// At a node with few requests nearly every key is one that was not served recently. A hundred such nodes
/// went on sending to servers that answered none of them.
#[test]
fn silent_servers_are_left_within_seconds_at_a_quiet_node() {
    const MANY: usize = 60;
    let mut fleet = Fleet::new(MANY, 7);
    fleet.every = 60_000;
    fleet.fresh = Some((0, 25_000));
    fleet.run(20, |_, n| healthy(n));
    fleet.first_attempts();
    let failing_server = |server: usize, n| {
        if server < MANY / 5 {
            (Status::Ok, 3_000_000)
        } else {
            healthy(n)
        }
    };
    fleet.run(20, failing_server);
    fleet.first_attempts();
    fleet.run(20, failing_server);
    let first = fleet.first_attempts();
    let (at_bad, all): (u32, u32) = (first[..MANY / 5].iter().sum(), first.iter().sum());
    // One in five, if nothing were learned.
    assert!(
        at_bad * 7 < all,
        "{at_bad} of {all} first attempts at servers that answer nothing"
    );
}
