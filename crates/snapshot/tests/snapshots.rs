//! Snapshots that are cut, spoilt, foreign, old, too long or not there.

use std::fs;
use std::io::ErrorKind;
use std::os::unix::fs::symlink;
use std::time::{Duration, Instant, SystemTime};

use proptest::prelude::*;
use sloewick_snapshot::{
    open, seal, Expected, SnapshotError, SnapshotFile, SnapshotWriter, OVERHEAD,
};

const NOW: i64 = 1_900_000_000_000_000;
const EXPECTED: Expected = Expected {
    owner: "node 127.0.0.1:1",
    version: 3,
    age_most: 10_000_000,
};

fn sealed(taken: i64) -> Vec<u8> {
    seal(EXPECTED.owner, EXPECTED.version, taken, b"what is known").unwrap()
}

#[test]
fn a_whole_snapshot_is_opened_with_its_age() {
    let bytes = sealed(NOW - 5);
    assert_eq!(bytes.len(), b"what is known".len() + OVERHEAD);
    assert_eq!(open(&EXPECTED, NOW, &bytes), Ok((&b"what is known"[..], 5)));
    assert_eq!(
        open(&EXPECTED, NOW, &seal(EXPECTED.owner, 3, NOW, b"").unwrap()),
        Ok((&b""[..], 0))
    );
}

#[test]
fn one_that_is_cut_at_any_byte_or_goes_on_is_torn() {
    let bytes = sealed(NOW);
    for end in 0..bytes.len() {
        assert_eq!(
            open(&EXPECTED, NOW, &bytes[..end]),
            Err(SnapshotError::Torn),
            "cut at {end}"
        );
    }
    let more = [&bytes[..], b"\0"].concat();
    assert_eq!(open(&EXPECTED, NOW, &more), Err(SnapshotError::Torn));
}

#[test]
fn any_flipped_bit_is_refused() {
    let bytes = sealed(NOW);
    for at in 0..bytes.len() * 8 {
        let mut spoilt = bytes.clone();
        spoilt[at / 8] ^= 1 << (at % 8);
        let refused = open(&EXPECTED, NOW, &spoilt).unwrap_err();
        let expected = match at / 8 {
            0..4 => refused == SnapshotError::Foreign,
            4..6 => matches!(refused, SnapshotError::Version(_)),
            30..34 => refused == SnapshotError::Torn,
            _ => refused == SnapshotError::Damaged,
        };
        assert!(expected, "bit {at}: {refused}");
    }
}

#[test]
fn what_is_whole_and_not_to_be_believed_is_told_apart() {
    let with = |owner, version| seal(owner, version, NOW, b"x").unwrap();
    assert_eq!(
        open(&EXPECTED, NOW, &with("node 127.0.0.1:2", 3)),
        Err(SnapshotError::Owner)
    );
    assert_eq!(
        open(&EXPECTED, NOW, &with(EXPECTED.owner, 4)),
        Err(SnapshotError::Version(4))
    );
    assert!(open(&EXPECTED, NOW, &sealed(NOW - 10_000_000)).is_ok());
    assert_eq!(
        open(&EXPECTED, NOW, &sealed(NOW - 10_000_001)),
        Err(SnapshotError::Old(10_000_001))
    );
    assert_eq!(
        open(&EXPECTED, NOW, &sealed(NOW + 1_000_000)).map(|o| o.1),
        Ok(0),
        "two clocks read in turn"
    );
    assert_eq!(
        open(&EXPECTED, NOW, &sealed(NOW + 1_000_001)),
        Err(SnapshotError::Future(1_000_001))
    );
    for taken in [i64::MIN, i64::MAX] {
        assert!(open(&EXPECTED, NOW, &sealed(taken)).is_err());
    }
    assert_eq!(open(&EXPECTED, NOW, b"{}"), Err(SnapshotError::Foreign));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2000) })]

    #[test]
    fn bytes_that_nobody_sealed_are_refused(mut bytes: Vec<u8>, ours: bool) {
        if ours {
            bytes.splice(0..0, *b"SLWS\x03\x00");
        }
        prop_assert!(open(&EXPECTED, NOW, &bytes).is_err());
    }
}

#[test]
fn a_folder_gives_back_what_was_written_last() {
    let dir = tempfile::tempdir().unwrap();
    let folder = SnapshotFile::new(dir.path(), "kept", 8);
    assert_eq!(folder.read().unwrap(), None);
    folder.write(b"one").unwrap();
    folder.write(b"two").unwrap();
    assert_eq!(folder.read().unwrap().as_deref(), Some(&b"two"[..]));
    assert_eq!(
        fs::read_dir(dir.path()).unwrap().count(),
        1,
        "nothing half written is left"
    );
    assert_eq!(
        folder.write(b"ninebytes").unwrap_err().kind(),
        ErrorKind::InvalidInput
    );
    assert_eq!(
        folder.read().unwrap().as_deref(),
        Some(&b"two"[..]),
        "the one before stands"
    );
}

#[test]
fn a_file_that_is_too_long_or_no_file_is_told() {
    let dir = tempfile::tempdir().unwrap();
    let folder = SnapshotFile::new(dir.path(), "kept", 8);
    fs::write(folder.file(), [0; 9]).unwrap();
    assert_eq!(
        folder.read().unwrap_err().to_string(),
        "is longer than 8 bytes"
    );
    fs::remove_file(folder.file()).unwrap();
    fs::create_dir(folder.file()).unwrap();
    assert_eq!(folder.read().unwrap_err().to_string(), "is no file");
    assert!(folder.write(b"x").is_err(), "a folder is not replaced");
    assert_eq!(
        fs::read_dir(dir.path()).unwrap().count(),
        1,
        "nothing half written is left"
    );
    fs::remove_dir(folder.file()).unwrap();
    symlink("/dev/zero", folder.file()).unwrap();
    assert_eq!(folder.read().unwrap_err().to_string(), "is no file");
    let nowhere = SnapshotFile::new(&dir.path().join("gone"), "kept", 8);
    assert_eq!(nowhere.read().unwrap(), None);
    assert!(nowhere.write(b"x").is_err());
}

#[test]
fn old_half_written_files_are_taken_away_and_no_others() {
    let dir = tempfile::tempdir().unwrap();
    let folder = SnapshotFile::new(dir.path(), "kept", 8);
    let hour_ago = SystemTime::now() - Duration::from_secs(3600);
    for name in ["kept.1.half", "kept", "other.1.half"] {
        let file = fs::File::create(dir.path().join(name)).unwrap();
        file.set_modified(hour_ago).unwrap();
    }
    fs::write(dir.path().join("kept.2.half"), "being written").unwrap();
    folder.tidy();
    let mut left: Vec<_> = fs::read_dir(dir.path())
        .unwrap()
        .map(|e| e.unwrap().file_name())
        .collect();
    left.sort();
    assert_eq!(left, ["kept", "kept.2.half", "other.1.half"]);
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < Duration::from_secs(20), "{what}");
        std::thread::yield_now();
    }
}

#[test]
fn a_keeper_writes_what_it_takes_and_tells_what_it_could_not() {
    let dir = tempfile::tempdir().unwrap();
    let folder = SnapshotFile::new(dir.path(), "kept", 8);
    let keeper = SnapshotWriter::start(folder.clone()).unwrap();
    until("it takes one", || keeper.offer(b"one".to_vec()));
    until("and writes it", || {
        folder.read().unwrap().as_deref() == Some(b"one")
    });
    assert_eq!(keeper.trouble(), None);
    until("it takes one that is too long", || keeper.offer(vec![0; 9]));
    let mut told = None;
    until("and says so", || {
        told = keeper.trouble();
        told.is_some()
    });
    assert!(told.unwrap().ends_with("kept: 9 bytes, 8 are allowed"));
    assert_eq!(keeper.trouble(), None, "told once");
    until("it goes on", || keeper.offer(b"two".to_vec()));
    until("and writes it", || {
        folder.read().unwrap().as_deref() == Some(b"two")
    });
}
