//! Splits the bytes of a cache server into responses, in the protocol that it speaks. A long value is read piece by piece.

use bytes::{Bytes, BytesMut};
use sloewick_codec::memcached::{self, Response};
use sloewick_codec::resp2::{Piece, Reply, ReplyReader, MAX_VALUE};
use thiserror::Error;

use crate::frontend::response::Protocol;
use crate::upstream::connection::RequestTag;

/// Longest body of a memcached response: a value with its key and flags.
const MAX_BODY: usize = MAX_VALUE + 1024;

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
                    Piece::Whole(reply) => ResponsePart::Complete(ServerReply::Resp2(reply)),
                    Piece::Begin(len) => ResponsePart::ValueStart { len, tag: None },
                    Piece::Body(bytes) => ResponsePart::ValueBytes(bytes),
                }))
            }
            ResponseReader::Memcached(reader) => {
                let piece = reader.next(buf, MAX_BODY).map_err(|_| MalformedResponse)?;
                piece.map(memcached_part).transpose()
            }
        }
    }
}

fn memcached_part(piece: memcached::Piece) -> Result<ResponsePart, MalformedResponse> {
    match piece {
        memcached::Piece::Whole(response) => {
            Ok(ResponsePart::Complete(ServerReply::Memcached(response)))
        }
        // Only a value may be long.
        memcached::Piece::Begin(header, _) if header.status != 0 => Err(MalformedResponse),
        memcached::Piece::Begin(header, len) => Ok(ResponsePart::ValueStart {
            len,
            tag: Some(RequestTag {
                opcode: header.opcode,
                opaque: header.opaque,
            }),
        }),
        memcached::Piece::Body(bytes) => Ok(ResponsePart::ValueBytes(bytes)),
    }
}
