use super::*;
use bytes::Bytes;

fn result(status: Status, cache_result: Option<CacheResult>) -> AttemptResult {
    AttemptResult {
        status,
        cache_result,
        load: None,
    }
}

#[test]
fn resp2_replies_give_the_status_cache_result_and_load_report_of_the_specification() {
    let bulk = |text: &'static str| Element::Bulk(Bytes::from_static(text.as_bytes()));
    let interpret = |reply| interpret(&ServerReply::Resp2(reply), false);
    let served = |cache_result: Element| {
        interpret(Reply::Array(vec![
            bulk("value"),
            cache_result,
            Element::Null,
        ]))
    };
    for (word, cache_result) in [
        ("hit", CacheResult::Hit),
        ("miss", CacheResult::Miss),
        ("pending", CacheResult::MissFetching),
    ] {
        assert_eq!(served(bulk(word)), result(Status::Ok, Some(cache_result)));
    }
    assert_eq!(served(Element::Null), result(Status::Ok, None));
    let report = Reply::Array(vec![
        bulk("value"),
        Element::Null,
        bulk("inflight=7,queue=2,util=0.61"),
    ]);
    let load = interpret(report).load.unwrap();
    assert_eq!(
        (load.in_flight, load.queue, load.util),
        (Some(7.0), Some(2.0), Some(0.61))
    );
    let error =
        |text: &'static str| Reply::Single(Element::Error(Bytes::from_static(text.as_bytes())));
    assert_eq!(interpret(error("ERR failed")), result(Status::Error, None));
    let rejected = interpret(error("BUSY latency_ms=1.5,x0=nan"));
    assert_eq!(rejected.status, Status::Rejected);
    assert_eq!(
        (rejected.load.unwrap().service, rejected.load.unwrap().hits),
        (Some(1500.0), None)
    );
}
