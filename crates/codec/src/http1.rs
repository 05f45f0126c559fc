//! The parts of HTTP/1.1 (RFC 9112, RFC 9110) that the node needs: as a client of discovery, one response per
//! connection; as a server for operators, one request per connection. Functions over the bytes received so far; the
//! module holds no state.

use thiserror::Error;

/// Longest body of a response in bytes: a list of over ten thousand servers.
pub const MAX_BODY: usize = 4 << 20;
/// Longest request line or status line with its header section, in bytes.
pub const MAX_HEAD: usize = 16 << 10;
/// Most fields in a header section.
const MAX_HEADERS: usize = 64;
/// The only status (RFC 9110, section 15.3.1) whose body is read.
const STATUS_OK: u16 = 200;

/// Why a response has no body that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.message())]
pub enum ResponseError {
    /// The connection ended before the response did.
    Incomplete,
    /// The bytes are no status line and header section, or these exceed [`MAX_HEAD`].
    Malformed,
    /// The status is not 200.
    UnexpectedStatus,
    /// `Content-Length` is no number.
    InvalidContentLength,
    /// A chunk's size or end is not as RFC 9112, section 7.1, requires.
    InvalidChunk,
    /// The body exceeds [`MAX_BODY`].
    TooLong,
}

impl ResponseError {
    /// The error as a text.
    pub fn message(self) -> &'static str {
        match self {
            ResponseError::Incomplete => "answer cut off",
            ResponseError::Malformed => "answer is not HTTP",
            ResponseError::UnexpectedStatus => "status is not 200",
            ResponseError::InvalidContentLength => "bad content-length",
            ResponseError::InvalidChunk => "bad chunk",
            ResponseError::TooLong => "answer too long",
        }
    }
}

/// The value of a header field, without surrounding white space; `None` if it is absent or not UTF-8.
fn field<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .and_then(|header| std::str::from_utf8(header.value).ok())
        .map(str::trim)
}

/// The body of a complete response with status 200, or `None` while more bytes are needed. The body's length follows
/// from RFC 9112, section 6.3: by chunks, by `Content-Length`, or by the end of the connection. `ended`: the
/// connection has ended, no more bytes will follow `buf`.
///
/// # Errors
/// Why the bytes are no such response, or cannot become one.
pub fn response_body(buf: &[u8], ended: bool) -> Result<Option<Vec<u8>>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if ended => return Err(ResponseError::Incomplete),
        Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD => return Ok(None),
        _ => return Err(ResponseError::Malformed),
    };
    if head.code != Some(STATUS_OK) {
        return Err(ResponseError::UnexpectedStatus);
    }
    let content = &buf[body_start..];
    let is_chunked = field(head.headers, "transfer-encoding")
        .is_some_and(|value| value.to_ascii_lowercase().ends_with("chunked"));
    if is_chunked {
        return match chunked_body(content)? {
            None if ended => Err(ResponseError::Incomplete),
            body => Ok(body),
        };
    }
    let Some(length) = field(head.headers, "content-length") else {
        return Ok(ended.then(|| content.to_vec()));
    };
    let length: usize = length
        .parse()
        .map_err(|_| ResponseError::InvalidContentLength)?;
    match content.get(..length) {
        _ if length > MAX_BODY => Err(ResponseError::TooLong),
        Some(body) => Ok(Some(body.to_vec())),
        None if ended => Err(ResponseError::Incomplete),
        None => Ok(None),
    }
}

/// The body in the chunked transfer coding (RFC 9112, section 7.1), or `None` while its last chunk is missing.
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
        if size > MAX_BODY as u64 {
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

/// What a request asks for (RFC 9112, section 3).
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// The method, as it was received.
    pub method: String,
    /// The request target, as it was received.
    pub path: String,
}

/// Why bytes are no request that can be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// They are no request of HTTP/1.0 or 1.1, or the connection ended before the request did.
    #[error("this is no HTTP/1.1 request")]
    Unreadable,
    /// The request line and header section exceed [`MAX_HEAD`], or there are too many fields.
    #[error("a head has {MAX_HEAD} bytes at most")]
    TooLong,
}

/// The head of a request, or `None` while more bytes are needed. `ended`: no more bytes will follow `buf`. A body is
/// not looked at.
///
/// # Errors
/// Why the bytes are no head of a request, or cannot become one.
pub fn request_head(buf: &[u8], ended: bool) -> Result<Option<RequestHead>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) if len > MAX_HEAD => Err(RequestError::TooLong),
        Ok(httparse::Status::Complete(_)) => Ok(Some(RequestHead {
            method: head.method.unwrap_or_default().to_string(),
            path: head.path.unwrap_or_default().to_string(),
        })),
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD => Err(RequestError::TooLong),
        Ok(httparse::Status::Partial) if !ended => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(RequestError::TooLong),
        _ => Err(RequestError::Unreadable),
    }
}

/// A complete response with a plain text, which tells the client that the connection will be closed.
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
