//! Requests of clients, and ways in which clients disconnect.

use std::net::Shutdown;

use super::Peer;

/// Encodes a RESP2 command.
pub(crate) fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).bytes());
        out.extend_from_slice(word);
        out.extend(b"\r\n");
    }
    out
}

/// A read of key `k1` with this class, request id and deadline.
pub(crate) fn get_command(class: &str, id: &str, deadline_ms: u32) -> Vec<u8> {
    let fields = format!("c={class},t=acme,d={deadline_ms}");
    command(&[b"C.GET", b"k1", id.as_bytes(), fields.as_bytes()])
}

/// A read of key `k1` in class `read` with a deadline of 20 s.
pub(crate) fn read_request(id: &str) -> Vec<u8> {
    get_command("read", id, 20_000)
}

/// How a client or a cache server disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Disconnect {
    Close,
    Reset,
    /// Shuts down its writing side and still reads.
    HalfClose,
}

impl Disconnect {
    pub(crate) const ALL: [Disconnect; 3] =
        [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose];

    /// Disconnects; returns the peer if it can still read.
    pub(crate) fn apply(self, peer: Peer) -> Option<Peer> {
        match self {
            Disconnect::Close => peer.close(),
            Disconnect::Reset => peer.reset(),
            Disconnect::HalfClose => {
                peer.stream.shutdown(Shutdown::Write).unwrap();
                return Some(peer);
            }
        }
        None
    }
}
