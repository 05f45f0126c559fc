use super::*;

#[test]
fn token_keeps_its_number_and_is_read_back() {
    for (token, number) in [
        (TimerToken::Deadline(0), 0),
        (TimerToken::Deadline(7), 28),
        (TimerToken::Hedge(7), 29),
        (TimerToken::EndpointList, 2),
        (TimerToken::ZoneProbe(None), 3),
        (TimerToken::ZoneProbe(Some(0)), 7),
        (TimerToken::ZoneProbe(Some(u16::MAX)), (1 << 18) + 3),
    ] {
        assert_eq!(u64::from(token), number, "{token:?}");
        assert_eq!(TimerToken::from(number), token, "{number}");
    }
}

#[test]
fn token_of_no_zone_is_read_as_the_one_of_servers_without_a_zone() {
    let token = u64::MAX >> 2 << 2 | 3;
    assert_eq!(TimerToken::from(token), TimerToken::ZoneProbe(None));
}
