use super::*;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::rc::Rc;

use crate::transport::PendingSignals;

// Guards against a cut answer that drops the servers which it no longer names: wherever the connection ends, it
// is no list, whether its length was stated or its end is that of the connection.
#[test]
fn answer_that_is_cut_at_any_byte_is_no_list() {
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
            let body = http1::body(bytes, true).ok().flatten()?;
            parse_endpoint_list(&serde_json::from_slice(&body).ok()?).ok()
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
#[derive(Default)]
struct FakeConnection {
    up: bool,
    requested: Vec<u8>,
    answer: VecDeque<u8>,
    ended: bool,
    broke: bool,
    closed: bool,
}

struct FakeStream(Rc<RefCell<FakeConnection>>);

impl Drop for FakeStream {
    fn drop(&mut self) {
        self.0.borrow_mut().closed = true;
    }
}

impl Stream for FakeStream {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let mut connection = self.0.borrow_mut();
        let n = connection.answer.len().min(into.len());
        connection
            .answer
            .drain(..n)
            .zip(into)
            .for_each(|(from, to)| *to = from);
        match (n, connection.broke, connection.ended) {
            (0, true, _) => Err(ErrorKind::ConnectionReset.into()),
            (0, false, false) => Err(ErrorKind::WouldBlock.into()),
            _ => Ok(n),
        }
    }

    fn write(&mut self, chunks: &[IoSlice<'_>]) -> io::Result<usize> {
        let mut connection = self.0.borrow_mut();
        for chunk in chunks {
            connection.requested.extend_from_slice(chunk);
        }
        Ok(chunks.iter().map(|chunk| chunk.len()).sum())
    }

    fn has_no_input(&self) -> bool {
        self.0.borrow().answer.is_empty()
    }

    // The reset arrives behind this check and before the read.
    fn take_error(&self) -> io::Result<Option<io::Error>> {
        Ok(None)
    }

    fn check_connected(&self) -> io::Result<()> {
        if self.0.borrow().up {
            Ok(())
        } else {
            Err(ErrorKind::NotConnected.into())
        }
    }

    fn shutdown_write(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn limit_send_buffer(&mut self, _bytes: usize) {}
}

/// The network as one node sees it: its clock, and the connections that it opens.
#[derive(Default)]
struct FakeNet {
    now: Micros,
    opened: Vec<Rc<RefCell<FakeConnection>>>,
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
        let connection = Rc::new(RefCell::new(FakeConnection::default()));
        self.opened.push(connection.clone());
        Ok(FakeStream(connection))
    }

    fn poll(&mut self, _ready: &mut Vec<ReadyEvent>, _wait: Micros) -> io::Result<()> {
        Ok(())
    }

    fn take_signals(&mut self) -> PendingSignals {
        PendingSignals::default()
    }

    fn log(&mut self, _connection: &str) {}
}

fn host(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 80))
}

/// The event that an answer to the first watch of a node leads to; `end`: whether its connection ended, and whether it broke.
fn answer_to_watch(answer: &str, (ended, broke): (bool, bool)) -> Option<DiscoveryEvent> {
    let mut discovery = DiscoveryClient::new(
        host(1),
        7,
        false,
        41,
        PollSchedule::new(true, 400 * MS, 0.5),
    );
    let (mut net, mut timers) = (FakeNet::default(), Timers::default());
    discovery.subscribe(true);
    assert!(discovery.start_request(&mut net, &mut timers).is_none());
    {
        let mut connection = net.opened[0].borrow_mut();
        connection.answer.extend(answer.bytes());
        (connection.up, connection.ended, connection.broke) = (true, ended, broke);
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

// The reset arrives behind the check for an error: only the read tells it from an end.
#[test]
fn reset_behind_a_list_without_length_fails_the_request() {
    let body = r#"{"rev":42,"all":false,"targets":[]}"#;
    let open = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    assert!(
        matches!(answer_to_watch(&open, (true, false)), Some(DiscoveryEvent::List(list)) if list.rev == 42)
    );
    assert!(matches!(
        answer_to_watch(&open, (false, true)),
        Some(DiscoveryEvent::Failed(DiscoveryError::ConnectionFailed))
    ));
    // An answer that states its end is complete, whatever comes behind it.
    let length = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let chunked =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n23\r\n{body}\r\n0\r\n\r\n");
    for complete in [&length, &chunked] {
        assert!(
            matches!(answer_to_watch(complete, (false, true)), Some(DiscoveryEvent::List(list)) if list.rev == 42),
            "{complete}"
        );
        for cut in 0..complete.len() - 2 {
            assert!(
                matches!(
                    answer_to_watch(&complete[..cut], (false, true)),
                    Some(DiscoveryEvent::Failed(_))
                ),
                "{complete} at {cut}"
            );
        }
    }
}

#[test]
fn indented_list_is_read() {
    let body =
        "{\n  \"rev\": 42,\n  \"all\": true,\n  \"targets\": [\n    {\n      \"uid\": \"s-1\",\n      \
                \"endpoint\": \"10.1.0.18:6379\",\n      \"state\": \"in_service\"\n    }\n  ]\n}\n";
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    assert!(
        matches!(answer_to_watch(&text, (false, false)), Some(DiscoveryEvent::List(list)) if list.targets.len() == 1)
    );
}
