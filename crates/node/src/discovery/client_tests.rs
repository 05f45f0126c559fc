use super::*;
use crate::test_support::{connected, input_ended, FakeStream, FakeTransport};

const SECOND: Micros = 1_000_000;
const DISCOVERY_TOKEN: Token = 7;

// Guards against a truncated response that removes the servers which it no longer contains. A response that is cut at any
// byte must not parse as a list, whether it states its length or ends with the connection.
#[test]
fn response_truncated_at_any_byte_is_not_parsed_as_a_list() {
    let target = |uid| {
        format!(r#"{{"uid":"{uid}","endpoint":"10.1.0.18:6379","state":"in_service","boot_ms":0}}"#)
    };
    let text = format!(
        r#"{{"rev":41,"all":true,"targets":[{},{}]}}"#,
        target("s-1"),
        target("s-2")
    );
    let length = format!("Content-Length: {}\r\n", text.len());
    for length_header in ["", &length] {
        let complete = format!("HTTP/1.1 200 OK\r\n{length_header}Connection: close\r\n\r\n{text}")
            .into_bytes();
        let list = |bytes: &[u8]| {
            let body = http1::response_body(bytes, true).ok().flatten()?;
            parse_endpoint_list_text(&body).ok()
        };
        assert_eq!(
            list(&complete).map(|list| list.targets.len()),
            Some(2),
            "{length_header}"
        );
        for cut in 0..complete.len() {
            assert!(
                list(&complete[..cut]).is_none(),
                "{length_header} cut at {cut}"
            );
        }
    }
}

const MS: Micros = 1_000;

fn host(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 80))
}

/// The state of the connection after the response.
#[derive(Clone, Copy, PartialEq)]
enum ResponseEnd {
    Open,
    Closed,
    Reset,
}

/// Sends a response to the first watch of a node, and returns the client's event.
fn respond_to_watch(response: &str, end: ResponseEnd) -> Option<DiscoveryEvent> {
    let mut discovery =
        DiscoveryClient::new(host(1), 7, 41, PollSchedule::new(true, 400 * MS, 0.5));
    let (mut net, mut timers) = (FakeTransport::default(), Timers::default());
    assert!(matches!(
        discovery.start_request(&mut net, &mut timers),
        Some(DiscoveryEvent::Requested(DiscoveryRequest::Watch {
            since: 41,
            ..
        }))
    ));
    {
        let mut connection = net.opened[0].0.borrow_mut();
        connection.input.extend(response.bytes());
        connection.connecting = false;
        connection.input_ended = end == ResponseEnd::Closed;
        connection.is_reset = end == ResponseEnd::Reset;
    }
    let event = input_ended(DISCOVERY_TOKEN);
    discovery.ready(&event, 0, &mut [0; 4096], &mut timers)
}

// The connection is reset after the client has checked the socket for an error, so that only the read reports it.
#[test]
fn reset_after_a_list_without_length_fails_the_request() {
    let body = r#"{"rev":42,"all":false,"targets":[]}"#;
    let open = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    assert!(
        matches!(respond_to_watch(&open, ResponseEnd::Closed), Some(DiscoveryEvent::List { list, .. }) if list.rev == 42)
    );
    assert!(matches!(
        respond_to_watch(&open, ResponseEnd::Reset),
        Some(DiscoveryEvent::Failed(RequestFailure {
            error: DiscoveryError::ConnectionLost,
            ..
        }))
    ));
    // A response that states its end is complete, even if a reset follows.
    let length = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let chunked =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n23\r\n{body}\r\n0\r\n\r\n");
    for complete in [&length, &chunked] {
        assert!(
            matches!(respond_to_watch(complete, ResponseEnd::Reset), Some(DiscoveryEvent::List { list, .. }) if list.rev == 42),
            "{complete}"
        );
        for cut in 0..complete.len() - 2 {
            assert!(
                matches!(
                    respond_to_watch(&complete[..cut], ResponseEnd::Reset),
                    Some(DiscoveryEvent::Failed(_))
                ),
                "{complete} at {cut}"
            );
        }
    }
}

#[test]
fn indented_list_is_parsed() {
    let body =
        "{\n  \"rev\": 42,\n  \"all\": true,\n  \"targets\": [\n    {\n      \"uid\": \"s-1\",\n      \
                \"endpoint\": \"10.1.0.18:6379\",\n      \"state\": \"in_service\"\n    }\n  ]\n}\n";
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    assert!(
        matches!(respond_to_watch(&text, ResponseEnd::Open), Some(DiscoveryEvent::List { list, .. }) if list.targets.len() == 1)
    );
}

/// A client in the steady stage whose next watch request is in flight.
fn steady_watch(net: &mut FakeTransport, timers: &mut Timers) -> DiscoveryClient<FakeStream> {
    let schedule = PollSchedule::new(true, 2 * SECOND, 0.5);
    let mut discovery = DiscoveryClient::new(host(1), DISCOVERY_TOKEN, 41, schedule);
    discovery.set_watching(true);
    discovery.stage = WatchStage::Steady;
    discovery.start_request(net, timers);
    discovery
}

#[test]
fn request_without_a_connection_times_out_before_the_wait_of_its_watch() {
    let (mut net, mut timers) = (FakeTransport::default(), Timers::default());
    let mut discovery = steady_watch(&mut net, &mut timers);
    let at = timers.next().unwrap();
    assert!(at < 2 * SECOND, "{at}");
    let Some(TimerEvent::Discovery { serial }) = timers.pop_expired(at) else {
        panic!("the request has set no timer");
    };
    let event = discovery.timer_expired(serial, at, &mut timers);
    assert!(matches!(
        event,
        Some(DiscoveryEvent::Failed(RequestFailure {
            error: DiscoveryError::ConnectTimeout,
            ..
        }))
    ));
}

#[test]
fn watch_with_an_established_connection_does_not_time_out_within_its_wait() {
    let (mut net, mut timers) = (FakeTransport::default(), Timers::default());
    let mut discovery = steady_watch(&mut net, &mut timers);
    net.opened[0].0.borrow_mut().connecting = false;
    let event = connected(DISCOVERY_TOKEN);
    let no_event = discovery.ready(&event, 0, &mut [0; 4096], &mut timers);
    assert!(no_event.is_none());
    while let Some(at) = timers
        .next()
        .filter(|at| *at <= discovery.schedule.steady_wait)
    {
        if let Some(TimerEvent::Discovery { serial }) = timers.pop_expired(at) {
            let no_event = discovery.timer_expired(serial, at, &mut timers);
            assert!(no_event.is_none(), "timed out after {at} us");
        }
    }
}
