use sloewick_codec::resp2::ReserveMemory;

use super::*;

const VALUE: usize = 100;

/// A table with one request: a write whose value is reserved.
fn table_with_write() -> (RequestTable, MemoryAccount, usize) {
    let mut table = RequestTable::new(1 << 20, 10, 1_000_000, vec![false]);
    let mut memory = MemoryAccount::new(32 << 20, None);
    assert!(memory.try_reserve(VALUE));
    let key = table.vacant_key();
    let new = NewRequest {
        id: "r1".into(),
        serial: 1,
        class: 0,
        write: true,
        runs_once: true,
        deadline: 1_000_000,
        respond_to: ResponseAddress {
            client: 0,
            client_serial: 1,
            response_number: 0,
        },
    };
    let parsed = ParsedRequest {
        protocol: RequestProtocol::Resp2,
        keyed: None,
        cache_key: Bytes::from_static(b"k"),
        fields: Bytes::new(),
        value: Some(vec![b'v'; VALUE].into()),
        reserved: VALUE,
    };
    table.insert(new, parsed, &mut memory);
    (table, memory, key)
}

fn start_attempt(table: &mut RequestTable, key: usize) -> AttemptId {
    let request = &mut table[key];
    request.attempts.push(Attempt {
        server: "s-1".into(),
        started: 0,
        expires_at: 1_000_000,
        connection: Some(5),
        waits_until: None,
        retry_at: 0,
        counted_in_ledger: false,
        reserved: 0,
    });
    request.attempts_in_flight += 1;
    AttemptId {
        request: key,
        serial: request.serial,
        attempt: request.attempts.len() - 1,
    }
}

#[test]
fn request_stays_until_it_is_closed_and_its_last_attempt_has_ended() {
    let (mut table, mut memory, key) = table_with_write();
    start_attempt(&mut table, key);
    assert_eq!(table.open_keys(), [key]);
    assert!(
        table.remove_finished(key, &mut memory).is_none(),
        "a request without a final response stays"
    );
    table.close(key, &mut memory);
    assert!(table.open_keys().is_empty() && table.remove_finished(key, &mut memory).is_none());
    assert_eq!(
        memory.used(MemoryUse::Values),
        VALUE,
        "the attempt may still be writing the value"
    );
    table[key].attempts_in_flight = 0;
    assert!(table.remove_finished(key, &mut memory).is_some());
    let used = (
        memory.used(MemoryUse::Values),
        memory.used(MemoryUse::Requests),
    );
    assert_eq!(used, (0, 0));
    assert!(table.is_empty() && table.key_of(&"r1".into()).is_none());
}

#[test]
fn closing_a_request_releases_the_memory_of_its_value_once() {
    let (mut table, mut memory, key) = table_with_write();
    assert_eq!(memory.used(MemoryUse::Values), VALUE);
    table.close(key, &mut memory);
    table.close(key, &mut memory);
    assert!(table[key].value.is_none());
    assert_eq!(memory.used(MemoryUse::Values), 0);
    assert!(table.remove_finished(key, &mut memory).is_some());
    assert_eq!(memory.used(MemoryUse::Values), 0);
}

#[test]
fn connection_may_have_a_multiple_of_the_vacant_requests_and_at_least_one() {
    let table = RequestTable::new(32 << 20, 100, 1_000_000, vec![false]);
    let pipelined = |capacity| table.input_limits(1, capacity).pipelined;
    assert_eq!(pipelined(1000), MAX_PIPELINED_REQUESTS);
    assert_eq!((pipelined(10), pipelined(0)), (10 * PIPELINE_FACTOR, 1));
}

#[test]
fn attempt_is_in_flight_only_under_the_serial_of_its_request() {
    let (mut table, _, key) = table_with_write();
    let id = start_attempt(&mut table, key);
    assert!(table.is_in_flight(id));
    assert!(!table.is_in_flight(AttemptId { serial: 2, ..id }));
    assert!(!table.is_in_flight(AttemptId { attempt: 1, ..id }));
    table[key].attempts[id.attempt].connection = None;
    assert!(!table.is_in_flight(id));
}
