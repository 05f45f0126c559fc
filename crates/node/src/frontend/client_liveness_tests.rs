use super::*;

const MS: Micros = 1000;

/// A client that has sent more than the window holds.
fn flooding_client() -> ClientLiveness {
    let mut liveness = ClientLiveness::new(0);
    liveness.record_read(MAX_BYTES_IN_WINDOW + 1);
    liveness
}

#[test]
fn client_with_unread_input_is_uncertain_until_its_machine_acknowledges_a_write() {
    let mut liveness = flooding_client();
    assert!(!liveness.is_uncertain(MAX_AGE, || 0));
    assert!(liveness.is_uncertain(MAX_AGE + 1, || 0));
    liveness.record_write(100 * MS, 10);
    assert!(liveness.is_uncertain(101 * MS, || 10));
    assert!(!liveness.is_uncertain(102 * MS, || 0));
    assert!(!liveness.is_uncertain(100 * MS + MAX_AGE, || 0));
    assert!(liveness.is_uncertain(100 * MS + MAX_AGE + 1, || 0));
}

#[test]
fn part_of_the_writes_that_is_acknowledged_counts() {
    let mut liveness = flooding_client();
    for n in 0..100 {
        liveness.record_write(n * MS, 10);
    }
    assert!(!liveness.is_uncertain(100 * MS, || 0));
    let mut liveness = flooding_client();
    liveness.record_write(100 * MS, 10);
    liveness.record_write(150 * MS, 10);
    assert!(!liveness.is_uncertain(155 * MS, || 10));
    assert!(liveness.is_uncertain(165 * MS, || 10));
}

// Guards against waiting for the delayed acknowledgement of the last bytes of a write.
#[test]
fn first_bytes_of_a_write_that_are_acknowledged_show_that_the_client_is_there() {
    let mut liveness = flooding_client();
    liveness.record_write(100 * MS, 1904);
    liveness.record_write(100 * MS + MIN_WRITE_INTERVAL - 1, 272);
    assert!(liveness.is_uncertain(105 * MS, || 1904 + 272));
    assert!(!liveness.is_uncertain(105 * MS, || 272));
    assert!(!liveness.is_uncertain(100 * MS + MAX_AGE, || 272));
    assert!(liveness.is_uncertain(100 * MS + MAX_AGE + 1, || 272));
    // What is written after that counts by itself.
    liveness.record_write(200 * MS, 10);
    assert!(liveness.is_uncertain(201 * MS, || 272 + 10));
    assert!(liveness.is_uncertain(201 * MS, || 10));
    assert!(!liveness.is_uncertain(201 * MS, || 9));
}

#[test]
fn client_whose_input_is_read_to_its_end_is_not_uncertain() {
    let mut liveness = ClientLiveness::new(0);
    for n in 0..1000 {
        liveness.input_arrived(n * MS);
        liveness.record_read(100);
        liveness.input_drained(n * MS, false);
        assert!(!liveness.is_uncertain(n * MS, || 1 << 20));
    }
    // A long request that ends with the input.
    let mut liveness = flooding_client();
    liveness.input_drained(500 * MS, true);
    assert!(!liveness.is_uncertain(501 * MS, || 0));
    // More may be on its way behind a long input that ends within a message.
    let mut liveness = flooding_client();
    liveness.input_drained(500 * MS, false);
    assert!(liveness.is_uncertain(501 * MS, || 0));
    assert!(!liveness.is_uncertain(500 * MS + MAX_TRANSIT_TIME, || 0));
}
