use super::*;
use sloewick_snapshot::encode;
use std::time::{Duration, Instant};

const MAX_LEN: usize = 1 << 20;

fn open(folder: &Path, start: i64) -> ListFiles {
    ListFiles::open(folder, "node", start).unwrap()
}

/// Publishes a list and waits until it is written.
fn publish(files: &ListFiles, taken_at: i64, payload: &[u8]) -> Vec<u8> {
    let bytes = encode("node", 1, taken_at, payload).unwrap();
    let path = files.folder.join(&files.own_name);
    let started = Instant::now();
    while fs::read(&path).ok().as_ref() != Some(&bytes) {
        files.publish(bytes.clone());
        assert!(started.elapsed() < Duration::from_secs(10));
        std::thread::sleep(Duration::from_millis(1));
    }
    bytes
}

fn read(files: &mut ListFiles) -> Vec<Vec<u8>> {
    let changed = files.read_changed(MAX_LEN).into_iter();
    changed.map(Result::unwrap).collect()
}

#[test]
fn each_process_reads_what_the_others_have_changed_once() {
    let folder = tempfile::tempdir().unwrap();
    let (mut first, mut second) = (open(folder.path(), 1), open(folder.path(), 2));
    let one = publish(&first, 1, b"one");
    assert_eq!(read(&mut second), [one]);
    assert!(read(&mut second).is_empty());
    // The same length and content, written anew.
    let again = publish(&first, 2, b"one");
    assert_eq!(read(&mut second), [again]);
    let two = publish(&second, 3, b"two");
    assert_eq!(read(&mut first), [two]);
    drop(first);
    let mut third = open(folder.path(), 3);
    assert_eq!(read(&mut third).len(), 2);
}

#[test]
fn file_of_another_node_is_not_read_and_one_that_is_too_long_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    let other = ListFiles::open(folder.path(), "other", 1).unwrap();
    publish(&other, 1, b"other");
    let mut files = open(folder.path(), 2);
    assert!(files.read_changed(MAX_LEN).is_empty());
    publish(&open(folder.path(), 3), 1, &[0; 200]);
    let error = files.read_changed(100).remove(0).unwrap_err();
    assert_eq!(error.to_string(), "is longer than 100 bytes");
}

#[test]
fn files_that_were_written_longest_ago_are_removed_at_the_start() {
    let folder = tempfile::tempdir().unwrap();
    for start in 0..8 {
        publish(&open(folder.path(), start), 100 - start, b"list");
    }
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), MAX_PEERS + 1);
    let mut files = open(folder.path(), 9);
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), MAX_PEERS);
    let oldest = read(&mut files)
        .iter()
        .filter_map(|list| taken_at(list))
        .min();
    assert_eq!(oldest, Some(97));
}

#[test]
fn entry_of_the_folder_that_is_no_file_is_not_read() {
    let folder = tempfile::tempdir().unwrap();
    let mut files = open(folder.path(), 1);
    fs::create_dir(folder.path().join(format!("{}77-1", files.prefix))).unwrap();
    assert!(files.read_changed(MAX_LEN).is_empty());
}

#[test]
fn failed_write_is_reported() {
    let files = open(Path::new("/nonexistent"), 1);
    let started = Instant::now();
    while files.take_write_error().is_none() {
        files.publish(vec![1]);
        assert!(started.elapsed() < Duration::from_secs(10));
    }
}
