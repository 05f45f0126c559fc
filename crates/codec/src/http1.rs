//! The parts of HTTP/1.1 (RFC 9112) that the node needs: for a call to discovery one answer on a connection, its
//! body by length, by chunks or by the end of the connection; for operators one call on a connection.

/// Longest body: over ten thousand servers.
pub const MAX_BODY: usize = 4 << 20;
/// Longest head.
pub const MAX_HEAD: usize = 16 << 10;
const HEADERS: usize = 64;

/// The body of a whole answer with status 200; none while it is still coming. `ended`: no more bytes will come.
///
/// # Errors
/// Why the bytes are no such answer, or cannot become one.
pub fn body(buf: &[u8], ended: bool) -> Result<Option<Vec<u8>>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(buf) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if ended => return Err("answer cut off"),
        Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD => return Ok(None),
        _ => return Err("answer is not HTTP"),
    };
    if head.code != Some(200) {
        return Err("status is not 200");
    }
    let header = |name: &str| {
        let found = head
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name));
        found
            .and_then(|h| std::str::from_utf8(h.value).ok())
            .map(str::trim)
    };
    let rest = &buf[start..];
    if header("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().ends_with("chunked")) {
        return match chunks(rest)? {
            None if ended => Err("answer cut off"),
            body => Ok(body),
        };
    }
    let Some(length) = header("content-length") else {
        return Ok(ended.then(|| rest.to_vec()));
    };
    let length: usize = length.parse().map_err(|_| "bad content-length")?;
    match rest.get(..length) {
        _ if length > MAX_BODY => Err("answer too long"),
        Some(body) => Ok(Some(body.to_vec())),
        None if ended => Err("answer cut off"),
        None => Ok(None),
    }
}

fn chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, &'static str> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("bad chunk"),
        };
        if size == 0 {
            return Ok(Some(body));
        }
        if size > MAX_BODY as u64 {
            return Err("answer too long");
        }
        let end = start + size as usize;
        let Some(after) = rest.get(end..end + 2) else {
            return Ok(None);
        };
        if after != b"\r\n" {
            return Err("bad chunk");
        }
        body.extend_from_slice(&rest[start..end]);
        rest = &rest[end + 2..];
    }
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    pub method: String,
    pub path: String,
}

/// Why bytes are no request that can be served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refused {
    Unreadable,
    TooLong,
}

/// The head of a request; none while it is still coming. `ended`: no more bytes will come. A body is left
/// where it is.
///
/// # Errors
/// The bytes are no head of HTTP/1.0 or 1.1, cannot become one, or are longer than [`MAX_HEAD`].
pub fn request(buf: &[u8], ended: bool) -> Result<Option<Head>, Refused> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) if len > MAX_HEAD => Err(Refused::TooLong),
        Ok(httparse::Status::Complete(_)) => {
            let text = |t: Option<&str>| t.unwrap_or_default().to_string();
            Ok(Some(Head {
                method: text(head.method),
                path: text(head.path),
            }))
        }
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD => Err(Refused::TooLong),
        Ok(httparse::Status::Partial) if !ended => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Refused::TooLong),
        _ => Err(Refused::Unreadable),
    }
}

/// A whole answer with a text, after which the connection ends.
pub fn answer(status: u16, text: &str) -> String {
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
