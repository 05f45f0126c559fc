use bytes::Bytes;

use super::*;
use crate::memory::MemoryAccount;
use crate::test_support::FakeStream;

const MS: Micros = 1000;

fn client() -> (ClientConnection<FakeStream>, FakeStream) {
    let stream = FakeStream::default();
    (
        ClientConnection::new(stream.clone(), 1, 0, 0, Protocol::Resp2, 0),
        stream,
    )
}

fn next(client: &mut ClientConnection<FakeStream>, now: Micros) -> ClientInput {
    let limits = InputLimits {
        round: 1,
        pipelined: MAX_PIPELINED_REQUESTS,
    };
    let mut memory = MemoryAccount::new(32 << 20, None);
    let input = client.next_input(now, limits, &mut memory, &mut [0; 4096]);
    client.release(&mut memory);
    input
}

#[test]
fn input_after_the_end_of_sending_is_discarded_and_lingering_is_bounded() {
    let (mut client, stream) = client();
    client.push_response(PendingResponse::Ready(vec![Bytes::from_static(
        b"+PONG\r\n",
    )]));
    client.close_after_responses();
    client.queue_ready_responses();
    assert!(!client.advance_closing(0), "the response is written first");
    client.flush(0).unwrap();
    assert!(
        !client.advance_closing(0),
        "remaining input is discarded before the close"
    );
    assert!(stream.0.borrow().output_ended && stream.0.borrow().output == b"+PONG\r\n");
    // A request that arrives after the end of sending is not accepted.
    stream.0.borrow_mut().input.extend(b"*1\r\n$4\r\nPING\r\n");
    client.input_available(false, 0);
    assert!(matches!(next(&mut client, 10 * MS), ClientInput::Nothing));
    assert!(
        stream.has_no_input() && client.responses.is_empty(),
        "no unread bytes are left, and no response is pending"
    );
    assert!(
        !client.advance_closing(MAX_LINGER - 1) && client.advance_closing(MAX_LINGER),
        "the client may go on writing until MAX_LINGER has passed"
    );
    let (mut client, stream) = self::client();
    client.close_after_responses();
    assert!(!client.advance_closing(0));
    stream.0.borrow_mut().input_ended = true;
    client.input_available(true, 0);
    assert!(
        matches!(next(&mut client, MS), ClientInput::Nothing) && client.advance_closing(MS),
        "the connection ends when both sides have ended their sending"
    );
}

#[test]
fn half_closed_client_counts_as_disconnected_well_within_100_ms() {
    let (mut client, stream) = client();
    assert!(!client.is_disconnected(1 << 50) && client.take_observed_input_end().is_none());
    client.input_available(true, 50 * MS);
    // The earliest observed end counts, in whichever order the observations come.
    client.observe_input_end(40 * MS);
    client.observe_input_end(60 * MS);
    assert_eq!(
        (
            client.take_observed_input_end(),
            client.take_observed_input_end()
        ),
        (Some(40 * MS), None)
    );
    let disconnected_at = 40 * MS + MAX_HALF_CLOSED_TIME;
    assert!(
        !client.is_disconnected(disconnected_at - 1) && client.is_disconnected(disconnected_at)
    );
    const { assert!(MAX_HALF_CLOSED_TIME * 4 <= 100_000) };
    // A request before the end is accepted, and its response is written.
    stream.0.borrow_mut().input.extend(b"*1\r\n$4\r\nPING\r\n");
    stream.0.borrow_mut().input_ended = true;
    assert!(matches!(
        next(&mut client, 50 * MS),
        ClientInput::Command(_)
    ));
    client.push_response(PendingResponse::Ready(vec![Bytes::from_static(
        b"+PONG\r\n",
    )]));
    assert!(matches!(next(&mut client, 50 * MS), ClientInput::Nothing));
    assert!(
        !client.advance_closing(50 * MS),
        "the response is still pending"
    );
    client.queue_ready_responses();
    client.flush(50 * MS).unwrap();
    assert!(client.advance_closing(50 * MS) && stream.0.borrow().output == b"+PONG\r\n");
}

// SIGKILL may come 0.2 s after the process was to exit, while the client still reads.
#[test]
fn system_takes_all_output_near_the_end_but_that_of_a_streamed_value() {
    let (mut client, stream) = client();
    client.make_room_for_output();
    assert_eq!(stream.0.borrow().send_buffer, None, "there is no output");
    client.out.push(Bytes::from_static(&[b'v'; 300_000]));
    client.make_room_for_output();
    let send_buffer = stream.0.borrow().send_buffer;
    assert!(send_buffer.is_some_and(|bytes| bytes >= 300_000));
    stream.0.borrow_mut().send_buffer = None;
    client.push_response(PendingResponse::Stream {
        request: 1,
        connection: 2,
        header: None,
    });
    client.make_room_for_output();
    assert_eq!(stream.0.borrow().send_buffer, None);
}

#[test]
fn cancelled_connection_writes_queued_bytes_and_takes_no_further_request() {
    let (mut client, stream) = client();
    client.out.push(Bytes::from_static(b"$200000\r\nhalf"));
    let (streamed, behind) = (
        client.push_response(PendingResponse::Stream {
            request: 1,
            connection: 2,
            header: None,
        }),
        client.push_response(PendingResponse::Waiting(3)),
    );
    assert_eq!(client.cancel_responses().len(), 2);
    assert!(client.response_mut(streamed).is_none() && client.response_mut(behind).is_none());
    stream.0.borrow_mut().input.extend(b"*1\r\n$4\r\nPING\r\n");
    assert!(matches!(next(&mut client, 0), ClientInput::Nothing));
    assert!(!client.advance_closing(0) && !stream.0.borrow().output_ended);
    client.flush(0).unwrap();
    assert!(!client.advance_closing(0) && stream.0.borrow().output_ended);
    assert!(
        matches!(next(&mut client, MS), ClientInput::Nothing) && stream.has_no_input(),
        "no unread input is left at the close"
    );
}
