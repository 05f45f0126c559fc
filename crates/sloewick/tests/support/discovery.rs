//! Emulators of a discovery service that is down or misbehaves.

use std::io::Write;
use std::net::SocketAddr;

use super::{close_listener, endpoint_list, listener, Peer};

/// Behavior of the emulator at the address of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum DiscoveryBehavior {
    /// Does not listen.
    Down,
    /// Accepts connections and never responds.
    Silent,
    /// Responds with this text and closes the connection.
    Raw(&'static str),
    /// Responds with status 503 and closes the connection.
    Unavailable,
    /// Resets each connection.
    Resets,
    /// Responds with an endpoint list without endpoints.
    EmptyList,
}

impl DiscoveryBehavior {
    pub(crate) const ALL: [DiscoveryBehavior; 8] = [
        DiscoveryBehavior::Down,
        DiscoveryBehavior::Silent,
        DiscoveryBehavior::Raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"rev\":41"),
        DiscoveryBehavior::Raw("\u{1}\u{2}noise"),
        DiscoveryBehavior::Raw(
            "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\":42,\"all\":true,",
        ),
        DiscoveryBehavior::Unavailable,
        DiscoveryBehavior::Resets,
        DiscoveryBehavior::EmptyList,
    ];

    /// Starts an emulator that runs until the test process ends, and returns its address.
    pub(crate) fn spawn(self) -> SocketAddr {
        let listener = listener();
        if self == DiscoveryBehavior::Down {
            return close_listener(listener);
        }
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let mut open_connections = Vec::new();
            while let Ok((stream, _)) = listener.accept() {
                open_connections.extend(self.respond(Peer::new(stream)));
            }
        });
        address
    }

    /// Handles one connection; returns it if it has to stay open.
    fn respond(self, mut peer: Peer) -> Option<Peer> {
        match self {
            DiscoveryBehavior::Silent => return Some(peer),
            DiscoveryBehavior::Resets => {
                peer.reset();
                return None;
            }
            _ => {}
        }
        peer.read_until(b"\r\n\r\n");
        match self {
            DiscoveryBehavior::Raw(text) => {
                let _ = peer.stream.write_all(text.as_bytes());
            }
            DiscoveryBehavior::Unavailable => {
                let _ = peer
                    .stream
                    .write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            }
            _ => peer.send_http_json(&endpoint_list(42, true, &[])),
        }
        peer.close();
        None
    }
}
