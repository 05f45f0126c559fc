use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice};
use std::rc::Rc;

use super::*;

const MS: Micros = 1000;

#[derive(Default)]
struct Script {
    input: VecDeque<u8>,
    input_ended: bool,
    output: Vec<u8>,
    output_ended: bool,
}

#[derive(Clone, Default)]
struct Pipe(Rc<RefCell<Script>>);

impl Stream for Pipe {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let mut script = self.0.borrow_mut();
        let n = into.len().min(script.input.len());
        if n == 0 && !script.input_ended {
            return Err(ErrorKind::WouldBlock.into());
        }
        into.iter_mut()
            .zip(script.input.drain(..n))
            .for_each(|(to, byte)| *to = byte);
        Ok(n)
    }

    fn write(&mut self, chunks: &[IoSlice<'_>]) -> io::Result<usize> {
        let mut script = self.0.borrow_mut();
        assert!(!script.output_ended, "written behind the end");
        for chunk in chunks {
            script.output.extend_from_slice(chunk);
        }
        Ok(chunks.iter().map(|chunk| chunk.len()).sum())
    }

    fn has_no_input(&self) -> bool {
        let script = self.0.borrow();
        script.input.is_empty() && !script.input_ended
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        Ok(None)
    }

    fn check_connected(&self) -> io::Result<()> {
        Ok(())
    }

    fn shutdown_write(&mut self) -> io::Result<()> {
        self.0.borrow_mut().output_ended = true;
        Ok(())
    }

    fn limit_send_buffer(&mut self, _bytes: usize) {}
}

fn client() -> (ClientConnection<Pipe>, Pipe) {
    let pipe = Pipe::default();
    (
        ClientConnection::new(pipe.clone(), 1, 0, Protocol::Resp2, 0),
        pipe,
    )
}

fn next(client: &mut ClientConnection<Pipe>, now: Micros) -> ClientInput {
    client.next_input(now, &mut Budget::new(1 << 20), &mut [0; 4096])
}

#[test]
fn input_after_the_end_of_sending_is_discarded_and_the_connection_ends_in_time() {
    let (mut client, pipe) = client();
    client.push_response(PendingResponse::Ready(vec![Bytes::from_static(
        b"+PONG\r\n",
    )]));
    client.close_after_responses();
    client.queue_ready_responses();
    assert!(!client.advance_closing(0), "its answer comes first");
    client.flush(0).unwrap();
    assert!(!client.advance_closing(0), "read out before it is closed");
    assert!(pipe.0.borrow().output_ended && pipe.0.borrow().output == b"+PONG\r\n");
    // A request that has crossed the end: nothing is sent on of it.
    pipe.0.borrow_mut().input.extend(b"*1\r\n$4\r\nPING\r\n");
    client.input_available(false, 0);
    assert!(matches!(next(&mut client, 10 * MS), ClientInput::Nothing));
    assert!(
        pipe.has_no_input() && client.responses.is_empty(),
        "no unread bytes are left, and nothing is owed"
    );
    assert!(
        !client.advance_closing(MAX_LINGER - 1) && client.advance_closing(MAX_LINGER),
        "its client may write on for so long"
    );
    let (mut client, pipe) = self::client();
    client.close_after_responses();
    assert!(!client.advance_closing(0));
    pipe.0.borrow_mut().input_ended = true;
    client.input_available(true, 0);
    assert!(
        matches!(next(&mut client, MS), ClientInput::Nothing) && client.advance_closing(MS),
        "both sides have ended"
    );
}

#[test]
fn half_closed_client_counts_as_disconnected_well_within_the_bound() {
    let (mut client, pipe) = client();
    assert!(!client.is_disconnected(1 << 50) && client.take_observed_end().is_none());
    client.input_available(true, 50 * MS);
    // It was there earlier, as is found out later.
    client.observe_end(40 * MS);
    client.observe_end(60 * MS);
    assert_eq!(
        (client.take_observed_end(), client.take_observed_end()),
        (Some(40 * MS), None)
    );
    let by = 40 * MS + MAX_HALF_CLOSED_TIME;
    assert!(!client.is_disconnected(by - 1) && client.is_disconnected(by));
    const { assert!(MAX_HALF_CLOSED_TIME * 4 <= 100_000) };
    // What came before the end is taken, and its answer goes out.
    pipe.0.borrow_mut().input.extend(b"*1\r\n$4\r\nPING\r\n");
    pipe.0.borrow_mut().input_ended = true;
    assert!(matches!(
        next(&mut client, 50 * MS),
        ClientInput::Command(_)
    ));
    client.push_response(PendingResponse::Ready(vec![Bytes::from_static(
        b"+PONG\r\n",
    )]));
    assert!(matches!(next(&mut client, 50 * MS), ClientInput::Nothing));
    assert!(!client.advance_closing(50 * MS), "its answer is owed");
    client.queue_ready_responses();
    client.flush(50 * MS).unwrap();
    assert!(client.advance_closing(50 * MS) && pipe.0.borrow().output == b"+PONG\r\n");
}

#[test]
fn cancelled_connection_writes_queued_bytes_and_takes_no_further_request() {
    let (mut client, pipe) = client();
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
    pipe.0.borrow_mut().input.extend(b"*1\r\n$4\r\nPING\r\n");
    assert!(matches!(next(&mut client, 0), ClientInput::Nothing));
    assert!(!client.advance_closing(0) && !pipe.0.borrow().output_ended);
    client.flush(0).unwrap();
    assert!(!client.advance_closing(0) && pipe.0.borrow().output_ended);
    assert!(
        matches!(next(&mut client, MS), ClientInput::Nothing) && pipe.has_no_input(),
        "nothing unread at the close"
    );
}
