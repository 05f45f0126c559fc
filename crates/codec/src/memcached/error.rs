//! Errors of the readers, with the response that a client gets to a request that cannot be read.

use thiserror::Error;

use super::Status;

/// Why bytes are no packet that can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.message())]
pub enum DecodeErrorKind {
    /// The first byte is not that of a request.
    NoRequestMagic,
    /// The first byte is not that of a response.
    NoResponseMagic,
    /// Extras and key are longer than the body that holds them.
    PartsExceedBody,
    /// The body exceeds the limit.
    BodyTooLong,
    /// The data type is unknown.
    UnknownDataType,
}

impl DecodeErrorKind {
    /// The error as a text, as it is sent to the peer.
    pub fn message(self) -> &'static str {
        match self {
            DecodeErrorKind::NoRequestMagic => "magic is not 0x80",
            DecodeErrorKind::NoResponseMagic => "magic is not 0x81",
            DecodeErrorKind::PartsExceedBody => "key and extras are longer than the body",
            DecodeErrorKind::BodyTooLong => "body is too long",
            DecodeErrorKind::UnknownDataType => "data type is not raw bytes",
        }
    }
}

/// The response to a request that could not be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The opcode's code in the request.
    pub opcode: u8,
    /// The number that the request had.
    pub opaque: u32,
    /// The status of the response.
    pub status: Status,
}

/// The bytes cannot be read, and the position of the next packet is unknown: the connection cannot be used any
/// further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{kind}")]
pub struct DecodeError {
    /// What cannot be read.
    pub kind: DecodeErrorKind,
    /// The response to the request, if its header could be read.
    pub response: Option<ErrorResponse>,
}

impl From<DecodeErrorKind> for DecodeError {
    fn from(kind: DecodeErrorKind) -> DecodeError {
        DecodeError {
            kind,
            response: None,
        }
    }
}
