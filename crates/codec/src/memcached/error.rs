//! Decode errors, with the response to the request that could not be decoded.

use thiserror::Error;

use super::Status;

/// Why a packet cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.message())]
pub enum DecodeErrorKind {
    /// The first byte is not that of a request.
    InvalidRequestMagic,
    /// The first byte is not that of a response.
    InvalidResponseMagic,
    /// Extras and key are longer than the body that holds them.
    KeyAndExtrasExceedBody,
    /// The body exceeds the limit.
    BodyTooLong,
    /// The data type is unknown.
    UnknownDataType,
}

impl DecodeErrorKind {
    /// The message of the error, as it is sent to the peer.
    pub fn message(self) -> &'static str {
        match self {
            DecodeErrorKind::InvalidRequestMagic => "magic is not 0x80",
            DecodeErrorKind::InvalidResponseMagic => "magic is not 0x81",
            DecodeErrorKind::KeyAndExtrasExceedBody => "key and extras are longer than the body",
            DecodeErrorKind::BodyTooLong => "body is too long",
            DecodeErrorKind::UnknownDataType => "data type is not raw bytes",
        }
    }
}

/// The response to a request whose header was decoded but whose body cannot be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Code of the opcode in the request.
    pub opcode: u8,
    /// The opaque number of the request.
    pub opaque: u32,
    /// The status of the response.
    pub status: Status,
}

/// The bytes cannot be decoded. The start of the next packet is unknown, so the connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{kind}")]
pub struct DecodeError {
    /// The reason.
    pub kind: DecodeErrorKind,
    /// The response to the request; `None` if its header could not be decoded, or if the packet is a response.
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
