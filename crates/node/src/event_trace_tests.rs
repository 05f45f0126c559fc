use sloewick_decision::api::Status;

use super::*;
use crate::test_support::FakeTransport;

// `sloewick trace` parses these words, also in logs of earlier versions.
#[test]
fn trace_lines_contain_the_words_that_earlier_versions_wrote() {
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
    let line = |cache_result| {
        attempt_ended(&AttemptOutcome {
            request: "r1".into(),
            server: "s-7".into(),
            attempt: 2,
            latency: 512,
            status: Status::Ok,
            is_final: true,
            cache_result,
            load: None,
        })
    };
    assert_eq!(line(None), "outcome id=r1 n=2 server=s-7 us=512 how=Ok");
    for (result, word) in [
        (CacheResult::Hit, "Hit"),
        (CacheResult::Miss, "Miss"),
        (CacheResult::MissFetching, "MissFetching"),
    ] {
        assert_eq!(line(Some(result)), format!("{} note={word}", line(None)));
    }
}
