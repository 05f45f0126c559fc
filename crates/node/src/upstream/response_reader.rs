//! Splits the bytes that a cache server sends into responses of its protocol. A long value is returned in chunks.

use bytes::{Bytes, BytesMut};
use sloewick_codec::memcached::{self, Response};
use sloewick_codec::resp2::{DecodeEvent, Element, Reply, ReplyReader, MAX_VALUE_BYTES};
use thiserror::Error;

use crate::frontend::response::Protocol;

/// Longest body of a memcached response in bytes: a value with its key and flags.
const MAX_BODY: usize = MAX_VALUE_BYTES + 1024;

/// The fields of a memcached request that its response repeats; zero in RESP2.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestTag {
    pub(crate) opcode: u8,
    pub(crate) opaque: u32,
}

/// A complete response, in the protocol of its server.
#[derive(Debug)]
pub(crate) enum ServerReply {
    Resp2(Reply),
    Memcached(Response),
}

impl ServerReply {
    /// Adds the value to the end of a response whose long value has been read in parts.
    pub(crate) fn set_value(&mut self, value: Bytes) {
        match self {
            ServerReply::Resp2(Reply::Array(elements)) => {
                if let Some(first) = elements.first_mut() {
                    *first = Element::Bulk(value);
                }
            }
            ServerReply::Resp2(Reply::Single(_)) => {}
            ServerReply::Memcached(response) => response.value = value,
        }
    }
}

/// A part of a response, in the order in which it arrives.
pub(crate) enum ResponsePart {
    /// A complete response, or the end of a long value.
    Complete(ServerReply),
    /// The start of a long value of `len` bytes. `tag`: that of its request; None in RESP2.
    ValueStart { len: usize, tag: Option<RequestTag> },
    /// Bytes of a long value.
    ValueBytes(Bytes),
}

/// The bytes from a server violate its protocol.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("malformed response")]
pub(crate) struct MalformedResponse;

/// Reads the responses of one connection.
pub(crate) enum ResponseReader {
    Resp2(ReplyReader),
    Memcached(memcached::ResponseReader),
}

impl ResponseReader {
    pub(crate) fn new(protocol: Protocol) -> ResponseReader {
        match protocol {
            Protocol::Resp2 => ResponseReader::Resp2(ReplyReader::default()),
            Protocol::Memcached => ResponseReader::Memcached(memcached::ResponseReader::default()),
        }
    }

    pub(crate) fn protocol(&self) -> Protocol {
        match self {
            ResponseReader::Resp2(_) => Protocol::Resp2,
            ResponseReader::Memcached(_) => Protocol::Memcached,
        }
    }

    pub(crate) fn is_mid_message(&self) -> bool {
        match self {
            ResponseReader::Resp2(reader) => reader.is_mid_message(),
            ResponseReader::Memcached(reader) => reader.is_mid_message(),
        }
    }

    /// Bytes of memory that the incomplete response holds.
    pub(crate) fn allocated(&self) -> usize {
        match self {
            ResponseReader::Resp2(reader) => reader.allocated(),
            ResponseReader::Memcached(reader) => reader.allocated(),
        }
    }

    /// The length of the part of the response that is being received, if it is known and the part is to be delivered at once.
    pub(crate) fn expected_len(&self) -> Option<usize> {
        match self {
            ResponseReader::Resp2(reader) => reader.expected_len(),
            ResponseReader::Memcached(reader) => reader.expected_len(),
        }
    }

    /// Returns the next part of a response and removes it from `buf`. Returns None if `buf` holds no complete part.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a response, or are a long memcached response that is not a value.
    pub(crate) fn next(
        &mut self,
        buf: &mut BytesMut,
    ) -> Result<Option<ResponsePart>, MalformedResponse> {
        match self {
            ResponseReader::Resp2(reader) => {
                let event = reader.next(buf).map_err(|_| MalformedResponse)?;
                Ok(event.map(|event| match event {
                    DecodeEvent::Complete(reply) => {
                        ResponsePart::Complete(ServerReply::Resp2(reply))
                    }
                    DecodeEvent::ValueStart(len) => ResponsePart::ValueStart { len, tag: None },
                    DecodeEvent::ValueChunk(bytes) => ResponsePart::ValueBytes(bytes),
                }))
            }
            ResponseReader::Memcached(reader) => {
                let event = reader.next(buf, MAX_BODY).map_err(|_| MalformedResponse)?;
                event.map(memcached_part).transpose()
            }
        }
    }
}

fn memcached_part(event: memcached::DecodeEvent) -> Result<ResponsePart, MalformedResponse> {
    match event {
        memcached::DecodeEvent::Complete(response) => {
            Ok(ResponsePart::Complete(ServerReply::Memcached(response)))
        }
        // Only a successful response, which is a value, may be long.
        memcached::DecodeEvent::ValueStart(header, _) if header.status != 0 => {
            Err(MalformedResponse)
        }
        memcached::DecodeEvent::ValueStart(header, len) => Ok(ResponsePart::ValueStart {
            len,
            tag: Some(RequestTag {
                opcode: header.opcode,
                opaque: header.opaque,
            }),
        }),
        memcached::DecodeEvent::ValueChunk(bytes) => Ok(ResponsePart::ValueBytes(bytes)),
    }
}
