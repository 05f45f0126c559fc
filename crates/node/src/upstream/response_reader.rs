//! Splits the bytes of a cache server into responses, in the protocol that it speaks. A long value is read piece by piece.

use bytes::{Bytes, BytesMut};
use sloewick_codec::memcached::{self, Response};
use sloewick_codec::resp2::{DecodeEvent, Reply, ReplyReader, MAX_VALUE};
use thiserror::Error;

use crate::frontend::response::Protocol;

/// Longest body of a memcached response: a value with its key and flags.
const MAX_BODY: usize = MAX_VALUE + 1024;

/// What the response to a memcached request repeats of it; zero in RESP2.
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

/// The next part of a response.
pub(crate) enum ResponsePart {
    /// A complete response, or the end of a long value.
    Complete(ServerReply),
    /// The start of a long value of `len` bytes; `tag`: the request that it answers (memcached).
    ValueStart { len: usize, tag: Option<RequestTag> },
    /// Bytes of a long value.
    ValueBytes(Bytes),
}

/// The server has violated its protocol.
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

    /// The next part; none if `buf` holds no complete one.
    ///
    /// # Errors
    /// The bytes are no response, or a long one that is no value.
    pub(crate) fn next(
        &mut self,
        buf: &mut BytesMut,
    ) -> Result<Option<ResponsePart>, MalformedResponse> {
        match self {
            ResponseReader::Resp2(reader) => {
                let piece = reader.next(buf).map_err(|_| MalformedResponse)?;
                Ok(piece.map(|piece| match piece {
                    DecodeEvent::Complete(reply) => {
                        ResponsePart::Complete(ServerReply::Resp2(reply))
                    }
                    DecodeEvent::ValueStart(len) => ResponsePart::ValueStart { len, tag: None },
                    DecodeEvent::ValueChunk(bytes) => ResponsePart::ValueBytes(bytes),
                }))
            }
            ResponseReader::Memcached(reader) => {
                let piece = reader.next(buf, MAX_BODY).map_err(|_| MalformedResponse)?;
                piece.map(memcached_part).transpose()
            }
        }
    }
}

fn memcached_part(piece: memcached::DecodeEvent) -> Result<ResponsePart, MalformedResponse> {
    match piece {
        memcached::DecodeEvent::Complete(response) => {
            Ok(ResponsePart::Complete(ServerReply::Memcached(response)))
        }
        // Only a value may be long.
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
