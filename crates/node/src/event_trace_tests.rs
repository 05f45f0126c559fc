use super::*;
use crate::test_support::FakeTransport;

// `sloewick trace` reads these words, also from logs of earlier versions.
#[test]
fn words_of_the_trace_do_not_change_with_the_names_in_the_code() {
    let steps = [
        (ConnectionStep::Opening, "Open"),
        (ConnectionStep::Established(7), "Up us=7"),
        (ConnectionStep::Refused, "Refused"),
        (ConnectionStep::Broken, "Broke"),
        (ConnectionStep::IdleTimeout, "Idle"),
        (ConnectionStep::AttemptAbandoned, "GivenUp"),
        (ConnectionStep::NotNeeded, "Spare"),
    ];
    let mut net = FakeTransport::default();
    for (step, words) in steps {
        Trace::connection(&mut net, &"s-7".into(), step);
        let line = format!("trace t=0 conn server=s-7 step={words}");
        assert_eq!(net.traced.pop(), Some(line));
    }
    let kinds = [
        (EndpointListKind::Delta, "Delta"),
        (EndpointListKind::Full, "Full"),
        (EndpointListKind::Cached, "Cached"),
    ];
    for (kind, word) in kinds {
        assert_eq!(list_kind_name(kind), word);
    }
    let server: ServerId = "s-7".into();
    let line =
        |cache_result| attempt_ended(&"r1".into(), &server, 2, 512, Status::Ok, cache_result);
    assert_eq!(line(None), "outcome id=r1 n=2 server=s-7 us=512 how=Ok");
    for (result, word) in [
        (CacheResult::Hit, "Hit"),
        (CacheResult::Miss, "Miss"),
        (CacheResult::MissFetching, "MissFetching"),
    ] {
        assert_eq!(line(Some(result)), format!("{} note={word}", line(None)));
    }
}
