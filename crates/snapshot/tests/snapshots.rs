//! Tests with snapshots that are truncated, damaged, of another owner, too old, too long or absent, and tests of the
//! thread that writes them.

use std::fs;
use std::io::ErrorKind;
use std::os::unix::fs::symlink;
use std::time::{Duration, Instant, SystemTime};

use proptest::prelude::*;
use sloewick_snapshot::{
    decode, encode, Requirements, Snapshot, SnapshotError, SnapshotFile, SnapshotWriter, OVERHEAD,
};

const NOW: i64 = 1_900_000_000_000_000;
const REQUIREMENTS: Requirements<'_> = Requirements {
    owner: "node 127.0.0.1:1",
    version: 3,
    max_age: 10_000_000,
};

fn snapshot_taken_at(taken: i64) -> Vec<u8> {
    encode(
        REQUIREMENTS.owner,
        REQUIREMENTS.version,
        taken,
        b"what is known",
    )
    .unwrap()
}

#[test]
fn complete_snapshot_is_decoded_with_its_age() {
    let bytes = snapshot_taken_at(NOW - 5);
    assert_eq!(bytes.len(), b"what is known".len() + OVERHEAD);
    assert_eq!(
        decode(&REQUIREMENTS, NOW, &bytes),
        Ok(Snapshot {
            payload: &b"what is known"[..],
            age: 5
        })
    );
    assert_eq!(
        decode(
            &REQUIREMENTS,
            NOW,
            &encode(REQUIREMENTS.owner, 3, NOW, b"").unwrap()
        ),
        Ok(Snapshot {
            payload: &b""[..],
            age: 0
        })
    );
}

/// Nodes of other versions read and write these bytes, so the format must not change.
#[test]
fn encoded_snapshot_matches_the_published_bytes() {
    let published = b"SLWS\x03\x00\x76\xe5\xcc\x67\x79\x4b\xd4\xa1\x0f\x69\x9f\x07\x37\x75\x70\x25\
        \x00\xc0\x12\x39\x0a\xc0\x06\x00\x0d\x00\x00\x00what is known\
        \xf6\xeb\x09\xda\xb7\x84\x8e\x3b\xd4\xe9\x2d\x97\x87\x11\xbe\xa7\
        \x6b\xaf\xa9\x83\x16\x35\xe0\xa1\xa7\xee\x9e\xf2\xb4\xa6\x2e\x14";
    assert_eq!(snapshot_taken_at(NOW), published);
    let decoded = decode(&REQUIREMENTS, NOW, published).unwrap();
    assert_eq!((decoded.payload, decoded.age), (&b"what is known"[..], 0));
}

#[test]
fn snapshot_whose_length_differs_from_its_header_is_rejected() {
    let bytes = snapshot_taken_at(NOW);
    for end in 0..bytes.len() {
        assert_eq!(
            decode(&REQUIREMENTS, NOW, &bytes[..end]),
            Err(SnapshotError::LengthMismatch),
            "truncated to {end} bytes"
        );
    }
    let extended = [&bytes[..], b"\0"].concat();
    assert_eq!(
        decode(&REQUIREMENTS, NOW, &extended),
        Err(SnapshotError::LengthMismatch)
    );
}

#[test]
fn any_flipped_bit_is_rejected() {
    let bytes = snapshot_taken_at(NOW);
    for bit in 0..bytes.len() * 8 {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        let error = decode(&REQUIREMENTS, NOW, &damaged).unwrap_err();
        let is_expected = match bit / 8 {
            0..4 => error == SnapshotError::NotASnapshot,
            4..6 => matches!(error, SnapshotError::VersionMismatch(_)),
            30..34 => error == SnapshotError::LengthMismatch,
            _ => error == SnapshotError::ChecksumMismatch,
        };
        assert!(is_expected, "bit {bit}: {error}");
    }
}

#[test]
fn each_unfulfilled_requirement_has_its_own_error() {
    let with = |owner, version| encode(owner, version, NOW, b"x").unwrap();
    assert_eq!(
        decode(&REQUIREMENTS, NOW, &with("node 127.0.0.1:2", 3)),
        Err(SnapshotError::OwnerMismatch)
    );
    assert_eq!(
        decode(&REQUIREMENTS, NOW, &with(REQUIREMENTS.owner, 4)),
        Err(SnapshotError::VersionMismatch(4))
    );
    assert!(decode(&REQUIREMENTS, NOW, &snapshot_taken_at(NOW - 10_000_000)).is_ok());
    assert_eq!(
        decode(&REQUIREMENTS, NOW, &snapshot_taken_at(NOW - 10_000_001)),
        Err(SnapshotError::TooOld(10_000_001))
    );
    assert_eq!(
        decode(&REQUIREMENTS, NOW, &snapshot_taken_at(NOW + 1_000_000))
            .map(|snapshot| snapshot.age),
        Ok(0),
        "two clocks that are read one after the other may differ"
    );
    assert_eq!(
        decode(&REQUIREMENTS, NOW, &snapshot_taken_at(NOW + 1_000_001)),
        Err(SnapshotError::FromFuture(1_000_001))
    );
    for taken in [i64::MIN, i64::MAX] {
        assert!(decode(&REQUIREMENTS, NOW, &snapshot_taken_at(taken)).is_err());
    }
    assert_eq!(
        decode(&REQUIREMENTS, NOW, b"{}"),
        Err(SnapshotError::NotASnapshot)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2000) })]

    #[test]
    fn arbitrary_bytes_are_rejected(mut bytes: Vec<u8>, has_valid_prefix: bool) {
        if has_valid_prefix {
            bytes.splice(0..0, *b"SLWS\x03\x00");
        }
        prop_assert!(decode(&REQUIREMENTS, NOW, &bytes).is_err());
    }
}

#[test]
fn file_holds_the_snapshot_written_last() {
    let dir = tempfile::tempdir().unwrap();
    let file = SnapshotFile::new(dir.path(), "snapshot", 8);
    assert_eq!(file.read().unwrap(), None);
    file.write(b"one").unwrap();
    file.write(b"two").unwrap();
    assert_eq!(file.read().unwrap().as_deref(), Some(&b"two"[..]));
    assert_eq!(
        fs::read_dir(dir.path()).unwrap().count(),
        1,
        "no temporary file is left"
    );
    assert_eq!(
        file.write(b"ninebytes").unwrap_err().kind(),
        ErrorKind::InvalidInput
    );
    assert_eq!(
        file.read().unwrap().as_deref(),
        Some(&b"two"[..]),
        "the previous snapshot is still there"
    );
}

#[test]
fn reading_a_file_that_is_too_long_or_not_regular_fails() {
    let dir = tempfile::tempdir().unwrap();
    let file = SnapshotFile::new(dir.path(), "snapshot", 8);
    fs::write(file.path(), [0; 9]).unwrap();
    assert_eq!(
        file.read().unwrap_err().to_string(),
        "is longer than 8 bytes"
    );
    fs::remove_file(file.path()).unwrap();
    fs::create_dir(file.path()).unwrap();
    assert_eq!(
        file.read().unwrap_err().to_string(),
        "is not a regular file"
    );
    assert!(file.write(b"x").is_err(), "a directory is not replaced");
    assert_eq!(
        fs::read_dir(dir.path()).unwrap().count(),
        1,
        "no temporary file is left"
    );
    fs::remove_dir(file.path()).unwrap();
    symlink("/dev/zero", file.path()).unwrap();
    assert_eq!(
        file.read().unwrap_err().to_string(),
        "is not a regular file"
    );
    let in_missing_directory = SnapshotFile::new(&dir.path().join("missing"), "snapshot", 8);
    assert_eq!(in_missing_directory.read().unwrap(), None);
    assert!(in_missing_directory.write(b"x").is_err());
}

#[test]
fn only_abandoned_temporary_files_are_removed() {
    let dir = tempfile::tempdir().unwrap();
    let file = SnapshotFile::new(dir.path(), "snapshot", 8);
    let one_hour_ago = SystemTime::now() - Duration::from_secs(3600);
    for name in ["snapshot.1.half", "snapshot", "other.1.half"] {
        let created = fs::File::create(dir.path().join(name)).unwrap();
        created.set_modified(one_hour_ago).unwrap();
    }
    fs::write(dir.path().join("snapshot.2.half"), "being written").unwrap();
    file.remove_temporary_files();
    let mut left: Vec<_> = fs::read_dir(dir.path())
        .unwrap()
        .map(|e| e.unwrap().file_name())
        .collect();
    left.sort();
    assert_eq!(left, ["other.1.half", "snapshot", "snapshot.2.half"]);
}

fn wait_until(expected: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "timeout: {expected}"
        );
        std::thread::yield_now();
    }
}

#[test]
fn writer_writes_accepted_snapshots_and_reports_errors_once() {
    let dir = tempfile::tempdir().unwrap();
    let file = SnapshotFile::new(dir.path(), "snapshot", 8);
    let writer = SnapshotWriter::start(file.clone()).unwrap();
    wait_until("the writer accepts a snapshot", || {
        writer.offer(b"one".to_vec())
    });
    wait_until("the file holds the snapshot", || {
        file.read().unwrap().as_deref() == Some(b"one")
    });
    assert!(writer.take_last_error().is_none());
    wait_until("the writer accepts a snapshot that is too long", || {
        writer.offer(vec![0; 9])
    });
    let mut reported = None;
    wait_until("the writer reports the error", || {
        reported = writer.take_last_error();
        reported.is_some()
    });
    assert!(reported
        .unwrap()
        .to_string()
        .ends_with("snapshot: 9 bytes exceed the limit of 8"));
    assert!(writer.take_last_error().is_none(), "reported once");
    wait_until("the writer accepts the next snapshot", || {
        writer.offer(b"two".to_vec())
    });
    wait_until("the file holds the snapshot", || {
        file.read().unwrap().as_deref() == Some(b"two")
    });
}

#[test]
fn writer_that_is_finished_has_written_what_it_accepted() {
    let dir = tempfile::tempdir().unwrap();
    for round in 0..50_u8 {
        let file = SnapshotFile::new(dir.path(), "snapshot", 1 << 20);
        let writer = SnapshotWriter::start(file.clone()).unwrap();
        let bytes = vec![round; 1 << 20];
        wait_until("the writer accepts a snapshot", || {
            writer.offer(bytes.clone())
        });
        writer.finish(Duration::from_secs(20));
        assert_eq!(file.read().unwrap().unwrap(), bytes);
    }
}
