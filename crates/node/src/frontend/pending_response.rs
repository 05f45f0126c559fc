//! The responses that a client connection has to write, in the order of its requests, and their addresses. The module holds no
//! state.

use bytes::Bytes;

/// The response to a request, until it has been queued for writing.
pub(crate) enum PendingResponse {
    /// The request with this slab key has no final response yet.
    Waiting(usize),
    /// The encoded response.
    Ready(Vec<Bytes>),
    /// The encoded reply to a command that is no request, such as PING. The end of the process does not wait for it.
    Control(Vec<Bytes>),
    /// The encoded response with a long value that was collected; `reserved`: its bytes in the [`ByteBudget`].
    Collected { chunks: Vec<Bytes>, reserved: usize },
    /// A long value is streamed from the upstream connection with the key `connection`. `header`: the encoded header until it
    /// has been queued for writing.
    Stream {
        request: usize,
        connection: usize,
        header: Option<Bytes>,
    },
}

/// Memory for a pending response, and for each chunk of it, besides its bytes.
const RESPONSE_OVERHEAD: usize = 64;

impl PendingResponse {
    /// Bytes of memory that it holds, without those that are reserved for a collected value.
    pub(crate) fn memory_used(&self) -> usize {
        let bytes = match self {
            PendingResponse::Ready(chunks) | PendingResponse::Control(chunks) => chunks
                .iter()
                .map(|chunk| chunk.len() + RESPONSE_OVERHEAD)
                .sum(),
            PendingResponse::Collected { .. }
            | PendingResponse::Waiting(_)
            | PendingResponse::Stream { .. } => 0,
        };
        RESPONSE_OVERHEAD + bytes
    }

    /// Whether it is the response to a request.
    pub(crate) fn is_final_response(&self) -> bool {
        !matches!(self, PendingResponse::Control(_))
    }

    /// Adds the memory that is reserved for the value of a complete response.
    pub(crate) fn reserve(&mut self, reserved: usize) {
        if let PendingResponse::Ready(chunks) = self {
            let chunks = std::mem::take(chunks);
            *self = PendingResponse::Collected { chunks, reserved };
        }
    }
}

/// Where the final response of a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ResponseAddress {
    /// Key of the client connection.
    pub(crate) client: usize,
    /// Serial number of that connection, which shows whether the key still refers to it.
    pub(crate) client_serial: u64,
    /// Number of the response among those of the connection.
    pub(crate) response_number: u64,
}
