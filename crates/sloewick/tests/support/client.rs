//! What clients send, and how they disconnect.

use std::net::Shutdown;

use super::Peer;

/// A RESP2 command.
pub(crate) fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).bytes());
        out.extend_from_slice(word);
        out.extend(b"\r\n");
    }
    out
}

/// A read of key `k1` with this request id.
pub(crate) fn get_command(class: &str, id: &str, deadline_ms: u32) -> Vec<u8> {
    let fields = format!("c={class},t=acme,d={deadline_ms}");
    command(&[b"C.GET", b"k1", id.as_bytes(), fields.as_bytes()])
}

/// A read of class `read` with a deadline of 20 s.
pub(crate) fn read_request(id: &str) -> Vec<u8> {
    get_command("read", id, 20_000)
}

/// How a client, or a server, disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Disconnect {
    Close,
    Reset,
    /// It ends its sending and still reads.
    HalfClose,
}

impl Disconnect {
    pub(crate) const ALL: [Disconnect; 3] =
        [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose];

    /// Disconnects; a peer that still reads is handed back.
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
