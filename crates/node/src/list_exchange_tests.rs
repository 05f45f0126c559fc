use super::*;
use crate::discovery::endpoints::parse_endpoint_list;
use crate::discovery::list_replica::ListRelation;
use crate::test_support::{published_transport, FakeTransport};
use serde_json::json;

const MAX_BYTES: usize = 1 << 20;

fn service() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 80))
}

fn servers(count: usize) -> serde_json::Value {
    let target = |number| {
        json!({"uid": format!("s-{number:08x}"), "endpoint": "10.100.200.30:6379", "az": "eastside-plant", "model": "m2",
               "pod_group": 3, "state": "in_service", "capacity_hint": 1.0, "boot_ms": 1_700_000_000_000_i64})
    };
    json!({"rev": 42, "all": true, "targets": (0..count).map(target).collect::<Vec<_>>()})
}

/// The exchange of a process that discovery has sent a list of this many servers.
fn told_exchange(count: usize) -> ListExchange {
    let list = parse_endpoint_list(&servers(count)).unwrap();
    let mut replica = ListReplica::from_configuration(&list, service());
    replica.receive(&list, ListRelation::Next, 1);
    ListExchange::new("me".into(), replica, MAX_BYTES)
}

/// What this process publishes, if it publishes something.
fn published(exchange: &mut ListExchange, now: Micros) -> Option<Vec<u8>> {
    let mut io = Io::new(FakeTransport::default());
    exchange.publish(now, &mut io);
    io.transport.published.pop()
}

/// A process that starts with an empty list and reads these lists; with its log.
fn taken_over(lists: Vec<Vec<u8>>) -> (ListExchange, Vec<String>) {
    let list = parse_endpoint_list(&servers(0)).unwrap();
    let replica = ListReplica::from_configuration(&list, service());
    let mut exchange = ListExchange::new("me".into(), replica, MAX_BYTES);
    let mut io = Io::new(published_transport(lists));
    exchange.take_over(&mut io);
    (exchange, io.transport.log)
}

#[test]
fn list_of_any_number_of_servers_is_taken_over_as_it_was_published() {
    for count in [0, 1, 4, 890, 4_096] {
        let mut exchange = told_exchange(count);
        let bytes = published(&mut exchange, 0).unwrap();
        assert!(bytes.len() < 128 + 96 * count, "{count}: {}", bytes.len());
        let (started, log) = taken_over(vec![bytes]);
        assert_eq!(started.replica, exchange.replica);
        let line = format!("handover: endpoint list rev=42 servers={count}, received ");
        assert!(log[0].starts_with(&line), "{log:?}");
    }
}

#[test]
fn unchanged_list_is_not_published_again() {
    let mut exchange = told_exchange(890);
    assert!(published(&mut exchange, 0).is_some());
    assert!(published(&mut exchange, 9_000_000).is_none());
    exchange.changed();
    assert!(published(&mut exchange, 9_000_000).is_some());
}

#[test]
fn list_with_any_flipped_bit_or_cut_at_any_byte_is_not_taken_over() {
    let bytes = published(&mut told_exchange(3), 0).unwrap();
    let flipped = (0..bytes.len() * 8).map(|bit| {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        damaged
    });
    let cut = (0..bytes.len()).map(|length| bytes[..length].to_vec());
    for damaged in flipped.chain(cut) {
        let (started, log) = taken_over(vec![damaged.clone()]);
        assert_eq!(started.replica.live_count(), 0);
        assert_eq!(log.len(), 1, "{log:?}");
        assert!(log[0].starts_with("handover: endpoint list not taken up: "));
        // A sound list beside it is taken over.
        let (started, _) = taken_over(vec![damaged, bytes.clone()]);
        assert_eq!(started.replica.live_count(), 3);
    }
}

#[test]
fn list_of_another_owner_or_with_values_that_no_process_stores_is_not_taken_over() {
    let replica = told_exchange(3).replica;
    let payload = postcard::to_stdvec(&replica).unwrap();
    let mut not_finite = parse_endpoint_list(&servers(1)).unwrap();
    not_finite.targets[0].entry.weight = f64::NAN;
    let not_finite = ListReplica::from_configuration(&not_finite, service());
    let not_finite = postcard::to_stdvec(&not_finite).unwrap();
    for (owner, payload, reason) in [
        ("other", &payload[..], "is another node's"),
        ("me", &payload[..9], "cannot be read: "),
        ("me", &not_finite[..], "contains invalid values"),
    ] {
        let (started, log) = taken_over(vec![encode(owner, VERSION, 0, payload).unwrap()]);
        assert_eq!(started.replica.live_count(), 0);
        assert!(log[0].contains(reason), "{log:?}");
    }
}

#[test]
fn list_that_is_longer_than_allowed_is_not_published_and_reported_once() {
    let mut exchange = told_exchange(890);
    exchange.max_bytes = 1_000;
    let mut io = Io::new(FakeTransport::default());
    exchange.publish(0, &mut io);
    exchange.publish(1, &mut io);
    assert!(io.transport.published.is_empty());
    assert_eq!(io.transport.log.len(), 1, "{:?}", io.transport.log);
}

#[test]
fn list_that_could_not_be_written_is_published_again_after_a_pause() {
    let mut exchange = told_exchange(1);
    let mut io = Io::new(FakeTransport::default());
    exchange.publish(0, &mut io);
    io.transport.publication_error = Some("no space".into());
    exchange.publish(1, &mut io);
    assert_eq!(io.transport.published.len(), 1);
    exchange.publish(1 + MIN_RETRY_PAUSE, &mut io);
    assert_eq!(io.transport.published.len(), 2);
    assert_eq!(io.transport.log, ["handover: not kept: no space"]);
    let mut now = 1 + MIN_RETRY_PAUSE;
    for _ in 0..70 {
        io.transport.publication_error = Some("no space".into());
        exchange.publish(now, &mut io);
        now += MAX_RETRY_PAUSE;
        exchange.publish(now, &mut io);
    }
    assert_eq!(io.transport.published.len(), 2 + 70);
    // A change does not wait for the end of the pause.
    io.transport.publication_error = Some("no space".into());
    exchange.publish(now, &mut io);
    exchange.changed();
    exchange.publish(now, &mut io);
    assert_eq!(io.transport.published.len(), 2 + 71);
}
