//! Cache servers: scripted connections and replies, a server with a full listen queue, and one that replies by itself.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{command, listener, settings, target, Node, Peer, WAIT_LIMIT};

/// Encodes a cache server's reply with a cached value.
pub(crate) fn hit_reply(value: &[u8]) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out.extend(b"\r\n$3\r\nhit\r\n$-1\r\n");
    out
}

/// Accepts the node's next connection.
pub(crate) fn accept(listener: &TcpListener) -> Peer {
    accept_either(std::slice::from_ref(listener)).1
}

/// Accepts the node's next connection to any of these listeners; returns the index of the listener and the connection.
pub(crate) fn accept_either(listeners: &[TcpListener]) -> (usize, Peer) {
    let started = Instant::now();
    loop {
        for (i, listener) in listeners.iter().enumerate() {
            if let Some(conn) = try_accept(listener) {
                return (i, conn);
            }
        }
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "no connection from the node"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Sends a request that the node forwards on a new connection, and replies with the request id as the value. Returns the
/// server's end of that connection.
pub(crate) fn exchange(client: &mut Peer, server: &TcpListener, id: &str) -> Peer {
    client.send_get(id);
    let mut conn = accept(server);
    assert_eq!(conn.read_command()[2], id);
    conn.send(hit_reply(id.as_bytes()));
    assert_eq!(client.read_bulk(), id.as_bytes());
    conn
}

/// Waits for a connection with data, which is one of `conns` or a new one, and returns it; adds new connections to
/// `conns`. For tests in which it does not matter whether the node reuses a connection.
pub(crate) fn next_readable<'a>(conns: &'a mut Vec<Peer>, server: &TcpListener) -> &'a mut Peer {
    let started = Instant::now();
    loop {
        accept_pending(server, conns);
        if let Some(at) = conns.iter().position(Peer::has_data) {
            return &mut conns[at];
        }
        assert!(started.elapsed() < WAIT_LIMIT, "no data from the node");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Sends requests until one arrives on `conn`, and returns the id of that request. The node reuses `conn` only after it
/// has been idle for a moment since its last reply. Requests before that arrive on new connections, which are closed after
/// the reply, so that `conn` remains the only connection that can be reused.
pub(crate) fn request_on_reused_connection(
    client: &mut Peer,
    server: &TcpListener,
    conn: &mut Peer,
    id: &str,
) -> String {
    let started = Instant::now();
    for n in 0.. {
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "the node does not reuse the connection"
        );
        let id = format!("{id}-{n}");
        client.send_get(&id);
        let other = loop {
            if conn.has_data() {
                break None;
            }
            if let Some(conn) = try_accept(server) {
                break Some(conn);
            }
            assert!(
                started.elapsed() < WAIT_LIMIT,
                "request {id} was not forwarded"
            );
        };
        let Some(mut other) = other else {
            assert_eq!(conn.read_command()[2], id);
            return id;
        };
        assert_eq!(other.read_command()[2], id);
        other.send(hit_reply(b"other"));
        assert_eq!(client.read_bulk(), b"other");
        other.close();
    }
    unreachable!()
}

/// Accepts a connection that is already waiting in the listen queue, if there is one.
pub(crate) fn try_accept(listener: &TcpListener) -> Option<Peer> {
    listener.set_nonblocking(true).unwrap();
    let (stream, _) = listener.accept().ok()?;
    stream.set_nonblocking(false).unwrap();
    Some(Peer::new(stream))
}

/// Accepts all connections that are already waiting in the listen queue, and adds them to `conns`.
pub(crate) fn accept_pending(listener: &TcpListener, conns: &mut Vec<Peer>) {
    while let Some(conn) = try_accept(listener) {
        conns.push(conn);
    }
}

/// Accepts the next connection and reads a request from it, which must have this id.
pub(crate) fn accept_request(listener: &TcpListener, id: &str) -> Peer {
    let mut conn = accept(listener);
    assert_eq!(conn.read_command()[2], id);
    conn
}

/// A node in front of one cache server that has received a client's request `r1` and has not replied yet.
pub(crate) struct ForwardedRequest {
    pub(crate) server: TcpListener,
    pub(crate) node: Node,
    pub(crate) client: Peer,
    /// The server's end of the connection on which the request arrived.
    pub(crate) conn: Peer,
}

impl ForwardedRequest {
    pub(crate) fn new() -> ForwardedRequest {
        ForwardedRequest::with_settings(settings())
    }

    pub(crate) fn with_settings(settings: Value) -> ForwardedRequest {
        let server = listener();
        let node = Node::before(&server).settings(settings).start();
        let mut client = node.client();
        client.send_get("r1");
        let conn = accept_request(&server, "r1");
        ForwardedRequest {
            server,
            node,
            client,
            conn,
        }
    }

    /// With a write request that the node is still sending: the server has read only its start, and the rest of its value
    /// is larger than the socket buffers.
    pub(crate) fn with_write_in_progress() -> ForwardedRequest {
        let server = listener();
        let node = Node::with_server(&server);
        let mut client = node.client();
        socket2::SockRef::from(&server)
            .set_recv_buffer_size(4096)
            .unwrap();
        let value = vec![b'v'; 4 << 20];
        client.send(command(&[
            b"C.SET",
            b"k1",
            b"r1",
            b"c=once,d=20000",
            &value,
        ]));
        let mut conn = accept(&server);
        conn.read_until(b"C.SET");
        ForwardedRequest {
            server,
            node,
            client,
            conn,
        }
    }
}

/// A cache server whose listen queue is full: connections to it are not established until it is unblocked.
pub(crate) struct BlockedServer {
    pub(crate) listener: TcpListener,
    /// Connections that fill the listen queue.
    fillers: Vec<TcpStream>,
}

impl BlockedServer {
    pub(crate) fn new() -> BlockedServer {
        let listener = listener();
        // With a backlog of 0 the queue holds one connection; further ones wait until it is accepted.
        rustix::net::listen(&listener, 0).unwrap();
        let fillers = vec![TcpStream::connect(listener.local_addr().unwrap()).unwrap()];
        BlockedServer { listener, fillers }
    }

    /// Lets waiting connections be established. Their kernel retries within one to three seconds.
    pub(crate) fn unblock(&mut self) {
        drop(self.listener.accept().unwrap());
        self.fillers.clear();
        rustix::net::listen(&self.listener, 64).unwrap();
    }
}

/// Lines of an encoded command of four words: its header, and two lines per word.
const LINES_PER_REQUEST: usize = 9;

/// A cache server that replies to requests by itself whenever the test polls it.
pub(crate) struct CacheServer<Reply> {
    listener: TcpListener,
    /// Open connections, each with the bytes received of its current request.
    conns: Vec<(TcpStream, Vec<u8>)>,
    /// Returns the reply, if any, to the request with this id; the request arrived after the given time, which is that of
    /// the previous poll.
    reply: Reply,
    last_poll: Instant,
}

impl<Reply: FnMut(&str, Instant) -> Option<Vec<u8>>> CacheServer<Reply> {
    pub(crate) fn new(listener: TcpListener, reply: Reply) -> CacheServer<Reply> {
        listener.set_nonblocking(true).unwrap();
        CacheServer {
            listener,
            conns: Vec::new(),
            reply,
            last_poll: Instant::now(),
        }
    }

    /// Accepts waiting connections, and handles at most one request on each connection. This suffices since no client sends
    /// a second request before it has the reply to the first.
    pub(crate) fn poll(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).unwrap();
            stream.set_nodelay(true).unwrap();
            self.conns.push((stream, Vec::new()));
        }
        let now = Instant::now();
        let mut bytes = [0; 4096];
        self.conns.retain_mut(|(stream, buffer)| loop {
            match stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(n) => buffer.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break true,
                Err(_) => return false,
            }
        });
        for (stream, buffer) in &mut self.conns {
            let text = String::from_utf8_lossy(buffer).into_owned();
            let lines: Vec<&str> = text.split("\r\n").collect();
            if lines.len() <= LINES_PER_REQUEST {
                continue;
            }
            buffer.clear();
            // Line 0 is the header, and each word has a length line and a text line: the id is the third word.
            if let Some(reply) = (self.reply)(lines[6], self.last_poll) {
                let _ = stream.write_all(&reply);
            }
        }
        self.last_poll = now;
    }
}

/// Starts a cache server that replies to every request with this value, until the test process ends.
pub(crate) fn serve_all(listener: TcpListener, value: &'static [u8]) {
    std::thread::spawn(move || {
        let mut server = CacheServer::new(listener, |_, _| Some(hit_reply(value)));
        loop {
            server.poll();
            std::thread::sleep(Duration::from_micros(500));
        }
    });
}

/// Forwards a request, lets `act` handle the server's end of its connection, and returns the first line that the client
/// receives.
pub(crate) fn reply_when_server(act: impl FnOnce(Peer)) -> String {
    let mut request = ForwardedRequest::new();
    act(request.conn);
    request.client.read_line()
}
