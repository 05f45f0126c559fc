//! Expected values of the hashes and random numbers from which all nodes derive the same placement of keys
//! without exchanging messages. A failure means that a new version would place keys differently from an
//! older version that runs in the same fleet.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod support;

use sloewick_decision::api::Status;
use sloewick_decision::hash::{hash, mix, unit_interval};
use sloewick_decision::outlier_detection::rendezvous_score;
use sloewick_decision::rng::Rng;

#[test]
fn hashes_of_names_are_stable() {
    for (name, expected) in [
        ("", 0xf52a_15e9_a9b5_e89b),
        ("a", 0x02c0_bdbf_4814_20f8),
        ("srv0", 0x1391_2de0_a422_555f),
        ("k1", 0x1f01_5d6a_f2b2_eec6),
        ("logger/17", 0x71c6_9341_d720_b3b1),
        ("Zürich", 0xc65e_9341_af28_3a5d),
    ] {
        assert_eq!(hash(name), expected, "{name}");
    }
}

#[test]
fn mixed_numbers_are_stable() {
    for (number, expected) in [
        (0, 0),
        (1, 0x5692_161d_100b_05e5),
        (2, 0xdbd2_3897_3a2b_148a),
        (4711, 0xa08b_d06b_23f2_263c),
        (u64::MAX, 0xb4d0_55fc_f2cb_bd7b),
    ] {
        assert_eq!(mix(number), expected, "{number}");
    }
}

#[test]
fn unit_interval_positions_of_hashes_are_stable_and_below_one() {
    for (hash, expected) in [
        (0, 0.0),
        (1 << 11, 1.110_223_024_625_156_5e-16),
        (1 << 63, 0.5),
        (u64::MAX, 0.999_999_999_999_999_9),
        (hash("k1"), 0.121_114_576_921_808_16),
    ] {
        assert_eq!(unit_interval(hash), expected, "{hash}");
    }
}

#[test]
fn random_numbers_of_a_seed_are_stable() {
    for (seed, expected) in [
        (
            0,
            [
                0.883_310_808_213_642_6,
                0.431_527_997_048_509_97,
                0.026_433_771_592_597_743,
                0.970_881_978_153_828_5,
            ],
        ),
        (
            4711,
            [
                0.522_578_273_013_973_1,
                0.305_377_291_676_473_65,
                0.741_113_981_415_910_6,
                0.455_243_807_037_192_47,
            ],
        ),
    ] {
        let mut rng = Rng(seed);
        let numbers: [f64; 4] = std::array::from_fn(|_| rng.next_unit());
        assert_eq!(numbers, expected, "seed {seed}");
    }
}

#[test]
fn rendezvous_scores_are_stable() {
    for (key_server_hash, weight, expected) in [
        (0, 1.0, 0.026_716_574_831_277_1),
        (hash("k1"), 1.0, 0.473_705_044_012_534_27),
        (hash("k1"), 2.5, 1.184_262_610_031_335_8),
        (hash("k2"), 0.0, 7.821_871_127_559_768e-10),
    ] {
        assert_eq!(
            rendezvous_score(key_server_hash, weight),
            expected,
            "{key_server_hash} {weight}"
        );
    }
}

#[test]
fn home_servers_of_a_new_fleet_are_stable() {
    let mut fleet = support::Fleet::new(12, 7);
    let keys: Vec<u64> = (0..24).collect();
    let expected = [
        6, 8, 6, 4, 5, 1, 1, 7, 1, 0, 2, 3, 3, 5, 4, 9, 11, 3, 6, 3, 6, 4, 9, 5,
    ];
    assert_eq!(fleet.send_at_once(&keys), expected);
}

#[test]
fn secondary_servers_of_the_keys_of_an_ejected_server_are_stable() {
    let mut fleet = support::Fleet::new(12, 7);
    fleet.run(3, |server, _| match server {
        0 => (Status::Error, 5_000),
        _ => (Status::Ok, 20_000),
    });
    assert_eq!(fleet.outliers(), [0]);
    let mut secondaries: Vec<(u64, usize)> = fleet
        .later_attempt_servers
        .iter()
        .map(|(key, server)| (*key, *server))
        .collect();
    secondaries.sort_unstable();
    let expected = [
        (1, 7),
        (25, 7),
        (36, 5),
        (101, 11),
        (116, 4),
        (118, 10),
        (137, 11),
        (139, 4),
        (144, 8),
        (152, 5),
        (182, 2),
        (186, 2),
        (195, 1),
        (213, 10),
        (220, 3),
        (229, 7),
        (249, 4),
        (251, 3),
        (263, 5),
        (287, 4),
        (333, 3),
        (367, 8),
    ];
    assert_eq!(secondaries, expected);
}

/// Guards against a score of minus infinity for the highest hash: its draw, 53 one bits plus a half, rounds
/// to 1, whose logarithm is 0. `rendezvous_score(u64::MAX, 1.0)` was -inf, so that the server with the highest draw
/// was chosen last instead of first (one hash in 2^53).
#[test]
fn rendezvous_scores_are_finite_and_grow_with_the_hash_up_to_the_highest_one() {
    let hashes = [
        0,
        1 << 11,
        1 << 62,
        u64::MAX - (1 << 12),
        u64::MAX - (1 << 11),
        u64::MAX,
    ];
    for weight in [0.0, 0.5, 1.0, 40.0] {
        let scores = hashes.map(|hash| rendezvous_score(hash, weight));
        assert!(
            scores.iter().all(|score| score.is_finite() && *score > 0.0),
            "{scores:?}"
        );
        assert!(
            scores.windows(2).all(|pair| pair[0] <= pair[1]),
            "{scores:?}"
        );
        assert!(scores[3] < scores[5], "{scores:?}");
    }
}
