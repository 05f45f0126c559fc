//! The built node with a memcached listener, over real sockets.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;

use serde_json::json;
use support::*;

struct Fleet {
    node: Node,
    memcached: SocketAddr,
    file: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A node that knows one server and listens for memcached clients, too: `r/...` is read, `w/...` written.
fn fleet(server: &TcpListener, memcached_box: bool) -> Fleet {
    let memcached = close(listener());
    let mut text = format!("listen = \"{memcached}\"\n");
    for (operation, keys, class) in [("get", "r/*", "read"), ("set", "w/*", "once")] {
        text += &format!(
            "[[route]]\noperation = \"{operation}\"\nkeys = \"{keys}\"\nclass = \"{class}\"\ntenant = \"acme\"\n"
        );
    }
    text += "[[box]]\nmodel = \"mc\"\nprotocol = \"memcached\"\n";
    let name = memcached.to_string().replace([':', '.'], "-");
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    std::fs::write(&file, text).unwrap();
    let mut program = program();
    program.arg("--memcached").arg(&file);
    let mut known = target("s-1", server);
    if memcached_box {
        known["model"] = json!("mc");
    }
    let node = Node::start_by(program, settings(), &[known], |config| {
        config["limits"]["memory_mb"] = 32.into();
    });
    Fleet {
        node,
        memcached,
        file,
    }
}

fn packet(
    magic: u8,
    opcode: u8,
    status: u16,
    opaque: u32,
    extras: &[u8],
    key: &str,
    value: &[u8],
) -> Vec<u8> {
    let mut out = vec![magic, opcode];
    out.extend((key.len() as u16).to_be_bytes());
    out.extend([extras.len() as u8, 0]);
    out.extend(status.to_be_bytes());
    out.extend(((extras.len() + key.len() + value.len()) as u32).to_be_bytes());
    out.extend(opaque.to_be_bytes());
    out.extend([0; 8]);
    out.extend(extras);
    out.extend(key.as_bytes());
    out.extend(value);
    out
}

/// Opcode, status, opaque and what follows the extras.
fn read_packet(stream: &mut impl Read) -> Option<(u8, u16, u32, Vec<u8>)> {
    let mut head = [0; 24];
    stream.read_exact(&mut head).ok()?;
    let number = |at: usize| u32::from_be_bytes(head[at..at + 4].try_into().unwrap());
    let mut body = vec![0; number(8) as usize];
    stream.read_exact(&mut body).ok()?;
    let status = u16::from_be_bytes([head[6], head[7]]);
    Some((
        head[1],
        status,
        number(12),
        body.split_off(head[4] as usize),
    ))
}

fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

const GET: u8 = 0x00;
const SET: u8 = 0x01;

#[test]
fn a_pipeline_is_answered_in_order_and_fenced_by_a_noop() {
    let server = listener();
    let fleet = fleet(&server, false);
    let mut client = connect(fleet.memcached);
    let mut burst = packet(0x80, 0x0d, 0, 1, b"", "r/1", b"");
    burst.extend(packet(0x80, 0x04, 0, 2, b"", "r/1", b""));
    burst.extend(packet(0x80, 0x0a, 0, 3, b"", "", b""));
    client.write_all(&burst).unwrap();
    let mut conn = accept(&server);
    let got = conn.command();
    assert_eq!((&got[0][..], &got[1][..]), ("C.GET", "r/1"));
    assert!(got[3].starts_with("c=read,t=acme,d="), "{got:?}");
    conn.send(served(b"seven"));
    assert_eq!(
        read_packet(&mut client),
        Some((0x0d, 0, 1, b"r/1seven".to_vec()))
    );
    assert_eq!(
        read_packet(&mut client),
        Some((0x04, 0x81, 2, b"Unknown command".to_vec()))
    );
    assert_eq!(read_packet(&mut client), Some((0x0a, 0, 3, Vec::new())));
}

/// What a server does with a request.
#[derive(Clone, Copy, Debug)]
enum Does {
    Serves,
    IsBusy,
    Fails,
    Cuts,
    AnswersWrongly,
}

#[derive(Debug, PartialEq)]
enum Final {
    Served(Vec<u8>),
    Busy,
    Failed,
}

#[test]
fn the_same_requests_end_alike_through_both_protocols() {
    use Does::{AnswersWrongly, Cuts, Fails, IsBusy, Serves};
    let mut n = 0;
    for does in [Serves, IsBusy, Fails, Cuts, AnswersWrongly] {
        for write in [false, true] {
            let mut ends = Vec::new();
            for by_memcached in [false, true] {
                // Each on a node of its own: one that has seen its server fail sends nothing there for a while.
                let server = listener();
                let fleet = fleet(&server, false);
                let mut memcached = connect(fleet.memcached);
                let mut resp = fleet.node.client();
                n += 1;
                let key = format!("{}/{n}", if write { "w" } else { "r" });
                if by_memcached {
                    let (opcode, extras, value): (u8, &[u8], &[u8]) = if write {
                        (SET, &[0; 8], b"value")
                    } else {
                        (GET, b"", b"")
                    };
                    memcached
                        .write_all(&packet(0x80, opcode, 0, n, extras, &key, value))
                        .unwrap();
                } else if write {
                    let fields = b"c=once,t=acme,d=20000";
                    resp.send(command(&[
                        b"C.SET",
                        key.as_bytes(),
                        key.as_bytes(),
                        fields,
                        b"value",
                    ]));
                } else {
                    let fields = b"c=read,t=acme,d=20000";
                    resp.send(command(&[b"C.GET", key.as_bytes(), key.as_bytes(), fields]));
                }
                // A connection for each attempt: the server closes each when it is done.
                let mut conn = accept(&server);
                let got = conn.command();
                assert_eq!((&got[1], got.len()), (&key, if write { 5 } else { 4 }));
                match does {
                    Serves => conn.send(served(b"made")),
                    IsBusy => conn.send("-BUSY\r\n"),
                    Fails => conn.send("-ERR failed\r\n"),
                    AnswersWrongly => conn.send("*3\r\n$-7\r\n"),
                    Cuts => {}
                }
                drop(conn);
                ends.push(if by_memcached {
                    let (opcode, status, opaque, body) = read_packet(&mut memcached).unwrap();
                    assert_eq!((opcode, opaque), (u8::from(write), n));
                    match status {
                        0 if write => Final::Served(b"made".to_vec()),
                        0 => Final::Served(body),
                        0x85 => Final::Busy,
                        0x84 => Final::Failed,
                        _ => panic!("{status:#x}"),
                    }
                } else {
                    match resp.line() {
                        line if line.starts_with('$') => {
                            assert_eq!(line, "$4");
                            Final::Served(resp.line().into_bytes())
                        }
                        line if line.starts_with("-BUSY") => Final::Busy,
                        line => {
                            assert_eq!(line, "-ERR failed");
                            Final::Failed
                        }
                    }
                });
            }
            assert_eq!(ends[0], ends[1], "{does:?}, write: {write}");
        }
    }
}

#[test]
fn a_box_that_speaks_the_protocol_serves_clients_of_both() {
    let server = listener();
    let fleet = fleet(&server, true);
    let mut resp = fleet.node.client();
    resp.send(command(&[
        b"C.SET",
        b"w/1",
        b"id-1",
        b"c=once,t=acme,d=20000",
        b"value",
    ]));
    server.set_nonblocking(false).unwrap();
    let (mut conn, _) = server.accept().unwrap();
    conn.set_read_timeout(Some(PATIENCE)).unwrap();
    let (opcode, _, opaque, body) = read_packet(&mut conn).unwrap();
    assert_eq!((opcode, &body[..]), (SET, &b"w/1-:value"[..]));
    conn.write_all(&packet(0x81, SET, 0, opaque, b"", "", b""))
        .unwrap();
    assert_eq!(resp.line(), "$0");
    assert_eq!(resp.line(), "");
    let mut client = connect(fleet.memcached);
    client
        .write_all(&packet(0x80, GET, 0, 0, b"", "r/1", b""))
        .unwrap();
    let (opcode, _, opaque, body) = read_packet(&mut conn).unwrap();
    assert_eq!((opcode, &body[..]), (GET, &b"r/1"[..]));
    conn.write_all(&packet(0x81, GET, 0, opaque, &[0; 4], "", b"seven"))
        .unwrap();
    assert_eq!(
        read_packet(&mut client),
        Some((GET, 0, 0, b"seven".to_vec()))
    );
}

#[test]
fn lengths_that_lie_take_no_memory() {
    let server = listener();
    let fleet = fleet(&server, false);
    let before = fleet.node.memory();
    // Each claims the longest value that is let in, and sends the first bytes of it.
    let clients: Vec<TcpStream> = (0..100)
        .map(|n| {
            let mut client = connect(fleet.memcached);
            let mut bytes = packet(0x80, SET, 0, n, &[0; 8], "w/1", b"");
            bytes[8..12].copy_from_slice(&(1_000_000u32).to_be_bytes());
            client.write_all(&bytes).unwrap();
            client
        })
        .collect();
    let mut huge = connect(fleet.memcached);
    let mut bytes = packet(0x80, SET, 0, 7, &[0; 8], "w/1", b"");
    bytes[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    huge.write_all(&bytes).unwrap();
    assert_eq!(
        read_packet(&mut huge).map(|p| (p.0, p.1, p.2)),
        Some((SET, 3, 7))
    );
    assert_eq!(read_packet(&mut huge), None, "closed");
    let grown = fleet.node.memory().saturating_sub(before);
    assert!(grown < 8, "{grown} MB for {} clients", clients.len());
}
