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

    fn write(&mut self, chunks: &[IoSlice]) -> io::Result<usize> {
        let mut script = self.0.borrow_mut();
        assert!(!script.output_ended, "written behind the end");
        chunks
            .iter()
            .for_each(|chunk| script.output.extend_from_slice(chunk));
        Ok(chunks.iter().map(|chunk| chunk.len()).sum())
    }

    fn quiet(&self) -> bool {
        let script = self.0.borrow();
        script.input.is_empty() && !script.input_ended
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        Ok(None)
    }

    fn connected(&self) -> io::Result<()> {
        Ok(())
    }

    fn end(&mut self) -> io::Result<()> {
        self.0.borrow_mut().output_ended = true;
        Ok(())
    }

    fn bound_sending(&mut self, _bytes: usize) {}
}

fn client() -> (Client<Pipe>, Pipe) {
    let pipe = Pipe::default();
    (Client::new(pipe.clone(), 1, 0, Protocol::Resp, 0), pipe)
}

fn next(client: &mut Client<Pipe>, now: Micros) -> Input {
    client.next(now, &mut ByteBudget::new(1 << 20), &mut [0; 4096])
}

#[test]
fn what_is_read_behind_the_end_of_sending_is_thrown_away_and_the_connection_ends_in_time() {
    let (mut client, pipe) = client();
    client.push(Slot::ReadyEvent(vec![Bytes::from_static(b"+PONG\r\n")]));
    client.close_after_answers();
    client.advance();
    assert!(!client.finish(0), "its answer comes first");
    client.flush(0).unwrap();
    assert!(!client.finish(0), "read out before it is closed");
    assert!(pipe.0.borrow().output_ended && pipe.0.borrow().output == b"+PONG\r\n");
    // A request that has crossed the end: nothing is sent on of it.
    pipe.0.borrow_mut().input.extend(b"*1\r\n$4\r\nPING\r\n");
    client.readable(false, 0);
    assert!(matches!(next(&mut client, 10 * MS), Input::Nothing));
    assert!(
        pipe.quiet() && client.slots.is_empty(),
        "no unread bytes are left, and nothing is owed"
    );
    assert!(
        !client.finish(LINGER - 1) && client.finish(LINGER),
        "its client may write on for so long"
    );
    let (mut client, pipe) = self::client();
    client.close_after_answers();
    assert!(!client.finish(0));
    pipe.0.borrow_mut().input_ended = true;
    client.readable(true, 0);
    assert!(
        matches!(next(&mut client, MS), Input::Nothing) && client.finish(MS),
        "both sides have ended"
    );
}

#[test]
fn a_client_that_has_ended_its_sending_is_abandoned_far_inside_the_bound() {
    let (mut client, pipe) = client();
    assert!(!client.abandoned(1 << 50) && client.newly_ended().is_none());
    client.readable(true, 50 * MS);
    // It was there earlier, as is found out later.
    client.ends(40 * MS);
    client.ends(60 * MS);
    assert_eq!(
        (client.newly_ended(), client.newly_ended()),
        (Some(40 * MS), None)
    );
    let by = 40 * MS + HALF_CLOSED_MOST;
    assert!(!client.abandoned(by - 1) && client.abandoned(by));
    const { assert!(HALF_CLOSED_MOST * 4 <= 100_000) };
    // What came before the end is taken, and its answer goes out.
    pipe.0.borrow_mut().input.extend(b"*1\r\n$4\r\nPING\r\n");
    pipe.0.borrow_mut().input_ended = true;
    assert!(matches!(next(&mut client, 50 * MS), Input::Command(_)));
    client.push(Slot::ReadyEvent(vec![Bytes::from_static(b"+PONG\r\n")]));
    assert!(matches!(next(&mut client, 50 * MS), Input::Nothing));
    assert!(!client.finish(50 * MS), "its answer is owed");
    client.advance();
    client.flush(50 * MS).unwrap();
    assert!(client.finish(50 * MS) && pipe.0.borrow().output == b"+PONG\r\n");
}

#[test]
fn a_connection_that_is_cut_writes_out_what_is_under_way_and_owes_nothing_more() {
    let (mut client, pipe) = client();
    client.out.push(Bytes::from_static(b"$200000\r\nhalf"));
    let (streamed, behind) = (
        client.push(Slot::Stream {
            request: 1,
            conn: 2,
            head: None,
        }),
        client.push(Slot::Waiting(3)),
    );
    assert_eq!(client.cut().len(), 2);
    assert!(client.slot(streamed).is_none() && client.slot(behind).is_none());
    pipe.0.borrow_mut().input.extend(b"*1\r\n$4\r\nPING\r\n");
    assert!(matches!(next(&mut client, 0), Input::Nothing));
    assert!(!client.finish(0) && !pipe.0.borrow().output_ended);
    client.flush(0).unwrap();
    assert!(!client.finish(0) && pipe.0.borrow().output_ended);
    assert!(
        matches!(next(&mut client, MS), Input::Nothing) && pipe.quiet(),
        "nothing unread at the close"
    );
}
