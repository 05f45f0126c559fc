use std::net::{IpAddr, Ipv4Addr};

use super::*;

const COUNT: usize = 5;
const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7000);

fn locks(folder: &Path) -> SlotLocks {
    let mut locks = SlotLocks::open(folder, ADDRESS).unwrap();
    locks.set_count(COUNT);
    locks
}

/// Takes all slots that are free and returns their number.
fn acquire_all(locks: &mut SlotLocks) -> usize {
    std::iter::from_fn(|| locks.acquire().then_some(())).count()
}

#[test]
fn processes_together_hold_no_more_slots_than_there_are() {
    let folder = tempfile::tempdir().unwrap();
    let (mut first, mut second) = (locks(folder.path()), locks(folder.path()));
    assert!(first.acquire() && second.acquire());
    assert_eq!(acquire_all(&mut first), COUNT - 2);
    assert_eq!(acquire_all(&mut second), 0);
    first.release();
    first.release();
    assert_eq!(acquire_all(&mut second), 2);
    assert_eq!(acquire_all(&mut first), 0);
}

#[test]
fn slots_of_a_process_that_has_ended_are_free_for_the_next() {
    let folder = tempfile::tempdir().unwrap();
    let (mut first, mut second) = (locks(folder.path()), locks(folder.path()));
    assert_eq!(acquire_all(&mut first), COUNT);
    assert_eq!(acquire_all(&mut second), 0);
    let mut third = locks(folder.path());
    assert_eq!(acquire_all(&mut third), 0);
    drop(first);
    assert_eq!(acquire_all(&mut third), COUNT);
    drop(third);
    assert_eq!(acquire_all(&mut second), COUNT);
}

#[test]
fn folder_that_cannot_be_used_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let error = SlotLocks::open(&folder.path().join("missing"), ADDRESS).err();
    assert_eq!(error.unwrap().kind(), ErrorKind::NotFound);
}
