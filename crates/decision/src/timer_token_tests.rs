use super::*;

#[test]
fn token_encodes_to_a_fixed_number_and_decodes_back() {
    for (token, number) in [
        (TimerToken::Deadline(0), 0),
        (TimerToken::Deadline(7), 56),
        (TimerToken::Hedge(7), 57),
        (TimerToken::DeduplicationWindow(7), 60),
        (TimerToken::EndpointList, 2),
        (TimerToken::ZoneProbe(None), 3),
        (TimerToken::ZoneProbe(Some(0)), 11),
        (TimerToken::ZoneProbe(Some(u16::MAX)), (1 << 19) + 3),
    ] {
        assert_eq!(u64::from(token), number, "{token:?}");
        assert_eq!(TimerToken::from(number), token, "{number}");
    }
}

#[test]
fn zone_probe_token_with_an_out_of_range_zone_decodes_to_no_zone() {
    let token = u64::MAX >> 3 << 3 | 3;
    assert_eq!(TimerToken::from(token), TimerToken::ZoneProbe(None));
}
