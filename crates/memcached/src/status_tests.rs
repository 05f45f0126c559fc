use super::*;

#[test]
fn only_statuses_of_unprocessed_requests_count_as_never_ran() {
    let never_ran: Vec<u16> = (0..=u16::MAX)
        .filter(|status| outcome(Operation::Set, *status).never_ran())
        .collect();
    assert_eq!(never_ran, [0x03, 0x04, 0x07, 0x08, 0x09, 0x81, 0x83, 0x85]);
    for status in [
        0x0001, 0x0002, 0x0005, 0x0006, 0x0082, 0x0084, 0x0086, 0x0099, 0xffff,
    ] {
        assert_eq!(
            outcome(Operation::Set, status),
            Outcome::NotServed(Status::Error),
            "{status:#x}"
        );
    }
}

#[test]
fn read_of_a_missing_key_is_served_without_a_value() {
    assert_eq!(outcome(Operation::Get, 1), Outcome::NoValue);
    assert_eq!(outcome(Operation::Get, 0), Outcome::Served);
    assert_eq!(
        outcome(Operation::Get, 0x85),
        Outcome::NotServed(Status::Rejected)
    );
    assert_eq!(
        outcome(Operation::Get, 0x82),
        Outcome::NotServed(Status::Error)
    );
}
