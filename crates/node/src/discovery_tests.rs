use super::*;

#[test]
fn starts_are_put_on_the_clock_of_the_node() {
    let began = 1_700_000_000_000_000;
    assert_eq!(started(0, began, 1_000), None);
    assert_eq!(
        started(1_700_000_055_000, began, 60_000_000),
        Some(55_000_000)
    );
    assert_eq!(
        started(1_699_999_999_000, began, 60_000_000),
        Some(-1_000_000)
    );
    assert_eq!(started(1_700_000_099_000, began, 7), Some(7));
    assert!(started(i64::MAX, began, 7).is_some_and(|at| at <= 7));
}

// Guards against a cut answer that drops the servers which it no longer names: wherever the connection ends, it
// is no list, whether its length was told or its end is the connection's.
#[test]
fn an_answer_that_is_cut_at_any_byte_is_no_list() {
    let target = |uid| {
        format!(r#"{{"uid":"{uid}","endpoint":"10.1.0.18:6379","state":"in_service","boot_ms":0}}"#)
    };
    let text = format!(
        r#"{{"rev":41,"all":true,"targets":[{},{}]}}"#,
        target("s-1"),
        target("s-2")
    );
    let length = format!("Content-Length: {}\r\n", text.len());
    for told in ["", &length] {
        let whole =
            format!("HTTP/1.1 200 OK\r\n{told}Connection: close\r\n\r\n{text}").into_bytes();
        let list = |bytes: &[u8]| {
            let body = http1::response_body(bytes, true).ok().flatten()?;
            answer(&serde_json::from_slice(&body).ok()?).ok()
        };
        assert_eq!(
            list(&whole).map(|list| list.targets.len()),
            Some(2),
            "{told}"
        );
        for cut in 0..whole.len() {
            assert!(list(&whole[..cut]).is_none(), "{told} cut at {cut}");
        }
    }
}

// ---- single answers, over a connection of the test's own ----

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::rc::Rc;

use crate::transport::PendingSignals;

const MS: Micros = 1_000;
#[derive(Default)]
struct Line {
    up: bool,
    asked: Vec<u8>,
    answer: VecDeque<u8>,
    ended: bool,
    broke: bool,
    closed: bool,
}

struct FakeStream(Rc<RefCell<Line>>);

impl Drop for FakeStream {
    fn drop(&mut self) {
        self.0.borrow_mut().closed = true;
    }
}

impl Stream for FakeStream {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let mut line = self.0.borrow_mut();
        let n = line.answer.len().min(into.len());
        line.answer
            .drain(..n)
            .zip(into)
            .for_each(|(from, to)| *to = from);
        match (n, line.broke, line.ended) {
            (0, true, _) => Err(ErrorKind::ConnectionReset.into()),
            (0, false, false) => Err(ErrorKind::WouldBlock.into()),
            _ => Ok(n),
        }
    }

    fn write(&mut self, chunks: &[IoSlice]) -> io::Result<usize> {
        let mut line = self.0.borrow_mut();
        chunks
            .iter()
            .for_each(|chunk| line.asked.extend_from_slice(chunk));
        Ok(chunks.iter().map(|chunk| chunk.len()).sum())
    }

    fn quiet(&self) -> bool {
        self.0.borrow().answer.is_empty()
    }

    // The reset comes behind this look and before the read.
    fn take_error(&self) -> io::Result<Option<io::Error>> {
        Ok(None)
    }

    fn connected(&self) -> io::Result<()> {
        if self.0.borrow().up {
            Ok(())
        } else {
            Err(ErrorKind::NotConnected.into())
        }
    }

    fn end(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn bound_sending(&mut self, _bytes: usize) {}
}

/// What one node sees of the network: its clock, and the calls that it opens.
#[derive(Default)]
struct FakeNet {
    now: Micros,
    opened: Vec<Rc<RefCell<Line>>>,
}

impl Transport for FakeNet {
    type Stream = FakeStream;
    type Listener = ();

    fn now(&self) -> Micros {
        self.now
    }

    fn unix_time_at_start(&self) -> Micros {
        0
    }

    fn listen(&mut self, _at: SocketAddr, _token: Token) -> io::Result<()> {
        Err(ErrorKind::Unsupported.into())
    }

    fn accept(&mut self, _listener: &mut (), _token: Token) -> io::Result<FakeStream> {
        Err(ErrorKind::Unsupported.into())
    }

    fn connect(&mut self, _to: SocketAddr, _token: Token) -> io::Result<FakeStream> {
        let line = Rc::new(RefCell::new(Line::default()));
        self.opened.push(line.clone());
        Ok(FakeStream(line))
    }

    fn poll(&mut self, _ready: &mut Vec<ReadyEvent>, _wait: Micros) -> io::Result<()> {
        Ok(())
    }

    fn told(&mut self) -> PendingSignals {
        PendingSignals::default()
    }

    fn log(&mut self, _line: &str) {}
}

fn host(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 80))
}

/// A node's first watch, and what the node makes of this answer to it, which ends so: (ended, broke).
fn told(answer: &str, (ended, broke): (bool, bool)) -> Option<News> {
    let mut discovery = Discovery::new(host(1), 7, false, 41, Times::new(true, 400 * MS, 0.5));
    let (mut net, mut timers) = (FakeNet::default(), Timers::default());
    discovery.subscribe(true);
    assert!(discovery.go_on(&mut net, &mut timers).is_none());
    {
        let mut line = net.opened[0].borrow_mut();
        line.answer.extend(answer.bytes());
        (line.up, line.ended, line.broke) = (true, ended, broke);
    }
    let event = ReadyEvent {
        token: 7,
        readable: true,
        writable: true,
        read_closed: true,
        error: false,
    };
    discovery.ready(&event, 0, &mut [0; 4096], &mut timers)
}

// The reset comes when the system was already asked for one: only the read tells it from an end.
#[test]
fn a_reset_behind_a_list_of_no_stated_length_is_no_end() {
    let body = r#"{"rev":42,"all":false,"targets":[]}"#;
    let open = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    assert!(matches!(told(&open, (true, false)), Some(News::List(list)) if list.rev == 42));
    assert!(matches!(
        told(&open, (false, true)),
        Some(News::Failed("connection broke"))
    ));
    // One that has told its end is whole, whatever comes behind it.
    let length = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let chunked =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n23\r\n{body}\r\n0\r\n\r\n");
    for whole in [&length, &chunked] {
        assert!(
            matches!(told(whole, (false, true)), Some(News::List(list)) if list.rev == 42),
            "{whole}"
        );
        for cut in 0..whole.len() - 2 {
            assert!(
                matches!(told(&whole[..cut], (false, true)), Some(News::Failed(_))),
                "{whole} at {cut}"
            );
        }
    }
}

#[test]
fn an_indented_list_is_read() {
    let body =
        "{\n  \"rev\": 42,\n  \"all\": true,\n  \"targets\": [\n    {\n      \"uid\": \"s-1\",\n      \
                \"endpoint\": \"10.1.0.18:6379\",\n      \"state\": \"in_service\"\n    }\n  ]\n}\n";
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    assert!(
        matches!(told(&text, (false, false)), Some(News::List(list)) if list.targets.len() == 1)
    );
}
