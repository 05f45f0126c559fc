//! `TCP_NODELAY` is set on all connections. Otherwise the kernel delays small writes, which are lost if the connection is reset
//! after them.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use sloewick_node::mio_transport::MioTransport;
use sloewick_node::transport::Transport;

#[test]
fn accepted_and_opened_connections_have_nodelay_set() {
    let server = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut transport = MioTransport::without_signals().unwrap();
    let opened = transport.connect(server.local_addr().unwrap(), 1).unwrap();
    assert!(opened.nodelay().unwrap(), "opened");
    let started = Instant::now();
    let (mut listener, address) = loop {
        // A port that was free a moment ago may have been taken.
        let free = std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        match transport.listen(free, 2) {
            Ok(listener) => break (listener, free),
            Err(e) => assert!(started.elapsed() < Duration::from_secs(30), "{e}"),
        }
    };
    let _client = std::net::TcpStream::connect(address).unwrap();
    let accepted = loop {
        match transport.accept(&mut listener, 3) {
            Ok(accepted) => break accepted,
            Err(e) => {
                assert!(
                    e.kind() == ErrorKind::WouldBlock
                        && started.elapsed() < Duration::from_secs(30)
                );
            }
        }
    };
    assert!(accepted.nodelay().unwrap(), "accepted");
}
