//! The byte format of a checkpoint: a process reads checkpoints that the previous version has written.
//! Postcard encodes fields by position.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod support;

use sloewick_decision::api::{Micros, Status};
use sloewick_decision::Checkpoint;

/// A checkpoint in hexadecimal digits, of a node with three servers, one of which breaks its connections,
/// after ten requests. Version 0.2.0 wrote it, in which modules, types and fields had other names.
const CHECKPOINT_OF_0_2_0: &str = "\
    03047372763000555555555555d53fb8ff2bf327b92440d08756c08db701000000000000f03f000000000000000000000000\
    0000000000000000000000000000000000002240000000000088d340047372763100555555555555e53f0000000000000000\
    0000000000000000f03f0000000000000000000000000000000000000000000000000000000000002240000000000088d340\
    047372763200000000000000f03f00000000000000000000000000000000f03f000000000000000000000000000000000000\
    0000000000000000000000002240000000000088d3400a1897c3d76000c93f80f174a186f2bb3f2b6c59d6910beb3f66ff86\
    3d619ada3f40986ffc72c68f3f24f02142cef5c13fbc52ac27039ae23f780da67310e0cf3fc40a2e8a690aea3f54cb5f8aa1\
    04e63f0a00000000000000000a829fcceff8cbb3fc03000000000000f03f000000000000f03f0506fd83c6a797d4a1f91b00\
    0000000000f03f000000000000f03f0804fb97819fc490e7f523000000000000f03f000000000000f03f0408d8ebb8b9f8b5\
    b08032000000000000f03f000000000000f03f090386e0ebe0f49c88e03f000000000000f03f000000000000f03f0209cfbf\
    f6dfe19ee1b46a000000000000f03f000000000000f03f060589c8d794d6a786e89401000000000000f03f000000000000f0\
    3f0308adc2eaf2af8ac392b001000000000000f03f000000000000f03f000ba2c8d882978ad3a9d001000000000000f03f00\
    0000000000f03f010ad9be85dbacd6a3aed801000000000000f03f000000000000f03f0704018a21b4f3d0def14001de466f\
    f952671e400100000000000022400000000000000000000000000000f03f48c393ec09c6913f69298eff932ea53f00000000\
    0000f03f0200000000001940";

/// The bytes of the stored checkpoint.
fn fixture() -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&CHECKPOINT_OF_0_2_0[at..at + 2], 16);
    (0..CHECKPOINT_OF_0_2_0.len())
        .step_by(2)
        .map(|at| digit(at).expect("two hexadecimal digits"))
        .collect()
}

/// Repeats the run after which the fixture was written.
fn fleet_of_the_fixture() -> support::Fleet {
    let mut fleet = support::Fleet::new(3, 7);
    fleet.request_interval = 200_000;
    let answer = |server: usize, _| -> (Status, Micros) {
        match server {
            0 => (Status::Reset, 5_000),
            _ => (Status::Ok, 20_000),
        }
    };
    fleet.run(2, answer);
    fleet
}

#[test]
fn checkpoint_of_the_previous_version_is_read_completely() {
    let bytes = fixture();
    let (read, rest): (Checkpoint, &[u8]) = postcard::take_from_bytes(&bytes).expect("readable");
    assert!(rest.is_empty());
    assert_eq!(read.size(), (3, 10));
    assert_eq!(read, fleet_of_the_fixture().checkpoint());
    assert!(read.validated().is_some());
}

#[test]
fn checkpoint_is_written_as_the_same_bytes_as_by_the_previous_version() {
    let written = postcard::to_stdvec(&fleet_of_the_fixture().checkpoint()).expect("written");
    assert_eq!(written, fixture());
}
