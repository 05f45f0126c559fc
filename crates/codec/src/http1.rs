//! The subset of HTTP/1.1 (RFC 9112, RFC 9110) that the node uses. As a client of discovery, the node reads one response
//! per connection; as a server for operators, it reads one request per connection. The functions parse all bytes received
//! so far; the module holds no state.

use thiserror::Error;

/// Maximum length of a response body, in bytes; enough for a list of over ten thousand servers.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum length of a request line or status line with its header section, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of fields in a header section.
const MAX_HEADERS: usize = 64;
/// Status 200 (RFC 9110, section 15.3.1), the only one whose body is read.
const STATUS_OK: u16 = 200;

/// Why the body of a response cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.message())]
pub enum ResponseError {
    /// The connection was closed before the response was complete.
    Incomplete,
    /// The bytes are not a status line and header section, or these exceed [`MAX_HEAD_BYTES`].
    Malformed,
    /// The status is not 200.
    UnexpectedStatus,
    /// `Content-Length` is not a number.
    InvalidContentLength,
    /// The size line or the end of a chunk violates RFC 9112, section 7.1.
    InvalidChunk,
    /// The body exceeds [`MAX_BODY_BYTES`].
    TooLong,
}

impl ResponseError {
    /// The message of the error.
    pub fn message(self) -> &'static str {
        match self {
            ResponseError::Incomplete => "response incomplete",
            ResponseError::Malformed => "response is not HTTP",
            ResponseError::UnexpectedStatus => "status is not 200",
            ResponseError::InvalidContentLength => "invalid Content-Length",
            ResponseError::InvalidChunk => "invalid chunk",
            ResponseError::TooLong => "response too long",
        }
    }
}

/// The value of a header field, without surrounding white space; `None` if it is absent or not UTF-8.
fn header_value<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .and_then(|header| std::str::from_utf8(header.value).ok())
        .map(str::trim)
}

/// Returns the body of a complete response with status 200, or `None` while more bytes are needed. The length of the body
/// is determined according to RFC 9112, section 6.3: by chunks, by `Content-Length`, or by the end of the connection.
/// `connection_closed` means that no more bytes will follow `buf`.
///
/// # Errors
/// The bytes are not the beginning of such a response, exceed a limit, or end before the response does.
pub fn response_body(
    buf: &[u8],
    connection_closed: bool,
) -> Result<Option<Vec<u8>>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(buf) {
        Ok(httparse::Status::Complete(head_len)) => head_len,
        Ok(httparse::Status::Partial) if connection_closed => {
            return Err(ResponseError::Incomplete)
        }
        Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(ResponseError::Malformed),
    };
    if head.code != Some(STATUS_OK) {
        return Err(ResponseError::UnexpectedStatus);
    }
    let content = &buf[body_start..];
    let is_chunked = header_value(head.headers, "transfer-encoding")
        .is_some_and(|value| value.to_ascii_lowercase().ends_with("chunked"));
    if is_chunked {
        return match chunked_body(content)? {
            None if connection_closed => Err(ResponseError::Incomplete),
            body => Ok(body),
        };
    }
    let Some(length) = header_value(head.headers, "content-length") else {
        return Ok(connection_closed.then(|| content.to_vec()));
    };
    let length: usize = length
        .parse()
        .map_err(|_| ResponseError::InvalidContentLength)?;
    match content.get(..length) {
        _ if length > MAX_BODY_BYTES => Err(ResponseError::TooLong),
        Some(body) => Ok(Some(body.to_vec())),
        None if connection_closed => Err(ResponseError::Incomplete),
        None => Ok(None),
    }
}

/// Decodes a body in the chunked transfer coding (RFC 9112, section 7.1). Returns `None` while its last chunk is missing.
/// Trailers are not read.
fn chunked_body(mut remaining: &[u8]) -> Result<Option<Vec<u8>>, ResponseError> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(remaining) {
            Ok(httparse::Status::Complete(chunk)) => chunk,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ResponseError::InvalidChunk),
        };
        if size == 0 {
            return Ok(Some(body));
        }
        if size > MAX_BODY_BYTES as u64 {
            return Err(ResponseError::TooLong);
        }
        let end = start + size as usize;
        let Some(line_end) = remaining.get(end..end + 2) else {
            return Ok(None);
        };
        if line_end != b"\r\n" {
            return Err(ResponseError::InvalidChunk);
        }
        body.extend_from_slice(&remaining[start..end]);
        remaining = &remaining[end + 2..];
    }
}

/// The request line of a request (RFC 9112, section 3).
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// The method, as it was received.
    pub method: String,
    /// The request target, as it was received.
    pub path: String,
}

/// Why a request cannot be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The bytes are not a request of HTTP/1.0 or 1.1, or the connection was closed before the request was complete.
    #[error("this is no HTTP/1.1 request")]
    Malformed,
    /// The request line and header section exceed [`MAX_HEAD_BYTES`], or there are too many fields.
    #[error("a head has {MAX_HEAD_BYTES} bytes at most")]
    TooLong,
}

/// Parses the request line and header section of a request. Returns `None` while more bytes are needed.
/// `connection_closed` means that no more bytes will follow `buf`. A body is ignored.
///
/// # Errors
/// The bytes are not the beginning of a request, exceed a limit, or end before the header section does.
pub fn request_head(
    buf: &[u8],
    connection_closed: bool,
) -> Result<Option<RequestHead>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) if len > MAX_HEAD_BYTES => Err(RequestError::TooLong),
        Ok(httparse::Status::Complete(_)) => Ok(Some(RequestHead {
            method: head.method.unwrap_or_default().to_string(),
            path: head.path.unwrap_or_default().to_string(),
        })),
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD_BYTES => Err(RequestError::TooLong),
        Ok(httparse::Status::Partial) if !connection_closed => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(RequestError::TooLong),
        _ => Err(RequestError::Malformed),
    }
}

/// Formats a complete response with a plain-text body and `Connection: close`. A status that is not listed has the reason
/// phrase "Other".
pub fn text_response(status: u16, text: &str) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Other",
    };
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{text}",
        text.len()
    )
}

#[cfg(test)]
#[path = "http1_tests.rs"]
mod tests;
