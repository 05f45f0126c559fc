use super::*;

#[test]
fn replies_mean_what_the_protocol_says() {
    let bulk = |text: &'static str| Element::Bulk(Bytes::from_static(text.as_bytes()));
    let verdict = |reply| verdict(&Said::Resp(reply), false);
    let served = |how: Element| verdict(Reply::Array(vec![bulk("value"), how, Element::Null]));
    for (word, note) in [
        ("hit", CacheResult::Hit),
        ("miss", CacheResult::Miss),
        ("pending", CacheResult::MissFetching),
    ] {
        assert_eq!(served(bulk(word)), (Status::Ok, Some(note), None));
    }
    assert_eq!(served(Element::Null), (Status::Ok, None, None));
    let report = Reply::Array(vec![
        bulk("value"),
        Element::Null,
        bulk("inflight=7,queue=2,util=0.61"),
    ]);
    let load = verdict(report).2.unwrap();
    assert_eq!(
        (load.in_flight, load.queue, load.util),
        (Some(7.0), Some(2.0), Some(0.61))
    );
    let error =
        |text: &'static str| Reply::Single(Element::Error(Bytes::from_static(text.as_bytes())));
    assert_eq!(verdict(error("ERR failed")), (Status::Error, None, None));
    let (status, _, load) = verdict(error("BUSY latency_ms=1.5,x0=nan"));
    assert_eq!(status, Status::Rejected);
    assert_eq!(
        (load.unwrap().service, load.unwrap().hits),
        (Some(1500.0), None)
    );
}
