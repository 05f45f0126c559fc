use super::*;

const LIMIT: usize = 32 << 20;
const BASELINE: usize = 4 << 20;
const USES: MemoryUse = MemoryUse::Clients;

fn account() -> MemoryAccount {
    MemoryAccount::new(LIMIT, Some(BASELINE))
}

#[test]
fn many_connections_that_take_all_they_may_leave_room_for_small_amounts() {
    let mut account = account();
    let mut memory_used = vec![0; 600];
    loop {
        let before = account.free();
        for memory_used in &mut memory_used {
            let read = account.read_allowance(*memory_used);
            if *memory_used + read > MAX_SMALL || *memory_used <= MAX_SMALL - MIN_READ {
                account.charge(USES, read);
                *memory_used += read;
            }
        }
        if account.free() == before {
            break;
        }
    }
    assert!(
        account.free() >= MIN_READ,
        "{} bytes are free",
        account.free()
    );
    assert!(account.may_hold(0, MIN_READ));
}

#[test]
fn nothing_more_is_read_when_the_resident_size_approaches_the_limit() {
    let mut account = account();
    assert_eq!(account.read_allowance(0), MAX_READ);
    account.charge(USES, account.small_reserve());
    account.observe_resident(LIMIT / 100 * MAX_RESIDENT_PERCENT);
    assert_eq!((account.free(), account.read_allowance(0)), (0, 0));
    // Small amounts are served even if the process holds much for no connection.
    account.release(USES, MIN_READ);
    assert_eq!(
        (account.free(), account.read_allowance(0)),
        (MIN_READ, MIN_READ)
    );
    // What is freed is given back to the system.
    account.record_trim(BASELINE);
    assert_eq!(account.read_allowance(0), MAX_READ);
}

#[test]
fn allocator_is_asked_to_return_memory_once_until_something_changes() {
    let mut account = account();
    account.charge(USES, 8 << 20);
    assert!(!account.observe_resident(BASELINE + (8 << 20)));
    account.release(USES, 8 << 20);
    assert!(account.observe_resident(BASELINE + (8 << 20)));
    account.record_trim(BASELINE + (6 << 20));
    assert!(!account.observe_resident(BASELINE + (6 << 20)));
}

#[test]
fn long_values_have_a_fraction_of_the_limit() {
    let mut account = account();
    assert!(account.try_reserve(LIMIT / VALUE_DIVISOR));
    assert!(!account.try_reserve(1));
    account.release(MemoryUse::Values, 1);
    assert!(account.try_reserve(1));
}

#[test]
fn waiting_connections_are_tried_again_when_enough_has_been_released() {
    let mut account = account();
    account.charge(USES, 4 * MIN_RESUME);
    account.should_resume();
    assert!(!account.should_resume());
    account.charge(USES, MIN_RESUME);
    assert!(!account.should_resume());
    account.release(USES, MIN_RESUME - 1);
    assert!(!account.should_resume());
    account.release(USES, 1);
    assert!(account.should_resume() && !account.should_resume());
}
