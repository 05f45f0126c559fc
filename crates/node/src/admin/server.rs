//! The HTTP/1.1 server of the admin interface (RFC 9112). Each connection carries one request and is closed after its
//! response.
//!
//! Guarantees: at most [`MAX_ADMIN_CLIENTS`] connections are open, each for a bounded time and with a bounded buffer. A client
//! that does not complete its request never blocks another one.

use bytes::{Bytes, BytesMut};
use slab::Slab;
use sloewick_codec::http1::{self, RequestError};
use sloewick_decision::api::Micros;

use crate::transport::{read_into, ReadOutcome, ReadyEvent, Stream, Token, Transport, WriteQueue};

/// Maximum number of open connections. A further connection replaces the oldest one that has been answered or, if there is
/// none, the oldest one without a complete request.
pub(crate) const MAX_ADMIN_CLIENTS: usize = 16;
/// Time that a client has for sending its request, from when its connection was accepted.
const MAX_REQUEST_TIME: Micros = 3_000_000;
/// Time that a client has for reading its response, from when the response was queued.
const MAX_RESPONSE_TIME: Micros = 1_000_000;
/// Maximum number of reads from one client per event; each reads up to [`MAX_READ_BYTES`] bytes.
const MAX_READS_PER_EVENT: usize = 16;
/// Most bytes of one read, which bounds the input of a client to a head and this many bytes.
const MAX_READ_BYTES: usize = 4 << 10;

/// A request of an admin client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AdminRequest {
    /// Query whether the process is ready to serve.
    Ready,
    /// Query the metrics.
    Metrics,
    /// Start an evacuation: the connections of all clients are closed.
    Evacuate,
    /// End an evacuation.
    Rejoin,
}

/// The request that a method and path stand for.
struct Route {
    method: &'static str,
    path: &'static str,
    request: AdminRequest,
}

const ROUTES: [Route; 4] = [
    Route {
        method: "GET",
        path: "/api/ready",
        request: AdminRequest::Ready,
    },
    Route {
        method: "GET",
        path: "/api/telemetry",
        request: AdminRequest::Metrics,
    },
    Route {
        method: "POST",
        path: "/api/evacuate",
        request: AdminRequest::Evacuate,
    },
    Route {
        method: "POST",
        path: "/api/rejoin",
        request: AdminRequest::Rejoin,
    },
];

/// A response: its HTTP status and body.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AdminResponse {
    pub(crate) status: u16,
    pub(crate) text: String,
}

impl AdminResponse {
    pub(crate) fn new(status: u16, text: impl Into<String>) -> AdminResponse {
        AdminResponse {
            status,
            text: text.into(),
        }
    }
}

struct AdminClient<S> {
    stream: S,
    input: BytesMut,
    output: WriteQueue,
    /// When the connection was accepted.
    accepted_at: Micros,
    /// When the response was queued; from then on input is discarded. None until then.
    answered_at: Option<Micros>,
    /// The sending side of the connection is shut down.
    is_write_shut_down: bool,
}

/// The admin listener and its clients.
pub(crate) struct AdminServer<N: Transport> {
    listener: N::Listener,
    /// Whether connections may be waiting to be accepted.
    has_pending_connections: bool,
    clients: Slab<AdminClient<N::Stream>>,
    /// Returns the token of the client with a given key.
    token_of: fn(usize) -> Token,
}

impl<N: Transport> AdminServer<N> {
    pub(crate) fn new(listener: N::Listener, token_of: fn(usize) -> Token) -> AdminServer<N> {
        AdminServer {
            listener,
            has_pending_connections: true,
            clients: Slab::new(),
            token_of,
        }
    }

    /// Handles an event on the listener.
    pub(crate) fn listener_ready(&mut self) {
        self.has_pending_connections = true;
    }

    /// Accepts the connections that are waiting, at most [`MAX_ADMIN_CLIENTS`] per call.
    pub(crate) fn accept(&mut self, net: &mut N, now: Micros) {
        let mut accepted = 0;
        while self.has_pending_connections && accepted < MAX_ADMIN_CLIENTS {
            accepted += 1;
            if self.clients.len() >= MAX_ADMIN_CLIENTS && !self.drop_oldest() {
                return;
            }
            let token = (self.token_of)(self.clients.vacant_key());
            match net.accept(&mut self.listener, token) {
                Ok(stream) => {
                    self.clients.insert(AdminClient {
                        stream,
                        input: BytesMut::new(),
                        output: WriteQueue::default(),
                        accepted_at: now,
                        answered_at: None,
                        is_write_shut_down: false,
                    });
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                    self.has_pending_connections = false;
                }
                // No descriptor is free, or the client has disconnected: the next round retries.
                Err(_) => return,
            }
        }
    }

    /// Closes the oldest connection: among those whose response was delivered if there are any, otherwise among those without a
    /// complete request. Returns false if there is none.
    fn drop_oldest(&mut self) -> bool {
        let clients = self.clients.iter();
        let oldest = clients.min_by_key(|(_, c)| (c.close_rank(), c.accepted_at));
        let oldest = oldest.map(|(key, _)| key);
        oldest.map(|key| self.clients.remove(key)).is_some()
    }

    /// Bytes of memory that the clients hold.
    pub(crate) fn memory_used(&self) -> usize {
        let clients = self.clients.iter();
        let memory_used =
            clients.map(|(_, client)| client.input.capacity() + client.output.memory_used());
        memory_used.sum()
    }

    /// Handles an event on a client's connection. Calls `answer` once the request is complete.
    pub(crate) fn client_ready(
        &mut self,
        key: usize,
        event: &ReadyEvent,
        now: Micros,
        scratch: &mut [u8],
        answer: impl FnOnce(AdminRequest) -> AdminResponse,
    ) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let has_ended = client.read(scratch) || event.error;
        if client.answered_at.is_none() {
            let response = match http1::request_head(&client.input, has_ended) {
                Ok(None) => return,
                Ok(Some(head)) => find_route(&head.method, &head.path).map_or_else(|e| e, answer),
                Err(RequestError::Malformed) => {
                    AdminResponse::new(400, "this is no HTTP/1.1 request\n")
                }
                Err(RequestError::TooLong) => AdminResponse::new(
                    431,
                    format!("a head has {} bytes at most\n", http1::MAX_HEAD_BYTES),
                ),
            };
            client.answer(&response, now);
        }
        if client.write(has_ended) {
            self.clients.remove(key);
        }
    }

    /// Closes connections that have exceeded their time limit.
    pub(crate) fn sweep(&mut self, now: Micros) {
        self.clients.retain(|_, client| match client.answered_at {
            Some(at) => now - at < MAX_RESPONSE_TIME,
            None => now - client.accepted_at < MAX_REQUEST_TIME,
        });
    }
}

/// Returns the request with this method and path, or an error response if there is none.
fn find_route(method: &str, path: &str) -> Result<AdminRequest, AdminResponse> {
    let path = path.split('?').next().unwrap_or(path);
    let Some(route) = ROUTES.iter().find(|route| route.path == path) else {
        let all: Vec<&str> = ROUTES.iter().map(|route| route.path).collect();
        let text = format!("no such call; there are {}\n", all.join(", "));
        return Err(AdminResponse::new(404, text));
    };
    if method != route.method {
        let text = format!("{path} is called by {}\n", route.method);
        return Err(AdminResponse::new(405, text));
    }
    Ok(route.request)
}

/// The order in which connections are closed for new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CloseRank {
    /// The client's machine has acknowledged the response.
    Delivered,
    /// The request is not complete.
    Unanswered,
    /// The response has not been acknowledged.
    InTransit,
}

impl<S: Stream> AdminClient<S> {
    fn close_rank(&self) -> CloseRank {
        let is_in_transit =
            !self.output.is_empty() || self.stream.unacknowledged().is_some_and(|bytes| bytes > 0);
        match self.answered_at {
            None => CloseRank::Unanswered,
            Some(_) if is_in_transit => CloseRank::InTransit,
            Some(_) => CloseRank::Delivered,
        }
    }

    /// Reads the input that has arrived. Returns true if the connection has ended.
    ///
    /// Guards against a client that sends without end: input beyond the bound stays in the kernel, where it blocks no other
    /// client, until the connection exceeds its time limit.
    fn read(&mut self, scratch: &mut [u8]) -> bool {
        for _ in 0..MAX_READS_PER_EVENT {
            let scratch = &mut scratch[..MAX_READ_BYTES];
            match read_into(&mut self.stream, &mut self.input, scratch) {
                ReadOutcome::Closed | ReadOutcome::Failed => return true,
                ReadOutcome::Empty => return false,
                ReadOutcome::More if self.answered_at.is_some() => {
                    self.input.clear();
                }
                ReadOutcome::More => {
                    if self.input.len() > http1::MAX_HEAD_BYTES {
                        return false;
                    }
                }
            }
        }
        false
    }

    /// Queues the response.
    fn answer(&mut self, response: &AdminResponse, now: Micros) {
        self.answered_at = Some(now);
        self.input.clear();
        self.output.push(Bytes::from(http1::text_response(
            response.status,
            &response.text,
        )));
    }

    /// Writes queued output. Returns true when the connection can be closed.
    fn write(&mut self, has_ended: bool) -> bool {
        if self.output.flush(&mut self.stream).is_err() {
            return true;
        }
        if self.output.is_empty() && !self.is_write_shut_down {
            // Closing the connection with unread input would send a reset, which can destroy the response in transit. Only
            // the sending side is shut down until the client closes the connection.
            self.is_write_shut_down = true;
            return self.stream.shutdown_write().is_err() || has_ended;
        }
        has_ended && self.output.is_empty()
    }
}
