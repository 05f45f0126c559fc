//! The parts of HTTP/1.1 (RFC 9112) that the node needs: for a call to discovery one answer on a connection, its
//! body by length, by chunks or by the end of the connection; for operators one call on a connection.

/// Longest body: over ten thousand servers.
pub const BODY_MOST: usize = 4 << 20;
/// Longest head.
pub const HEAD_MOST: usize = 16 << 10;
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
        Ok(httparse::Status::Partial) if buf.len() <= HEAD_MOST => return Ok(None),
        _ => return Err("answer is not HTTP"),
    };
    if head.code != Some(200) {
        return Err("status is not 200");
    }
    let header = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
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
        _ if length > BODY_MOST => Err("answer too long"),
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
        if size > BODY_MOST as u64 {
            return Err("answer too long");
        }
        let end = start + size as usize;
        let Some(after) = rest.get(end..end + 2) else { return Ok(None) };
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
/// The bytes are no head of HTTP/1.0 or 1.1, cannot become one, or are longer than [`HEAD_MOST`].
pub fn request(buf: &[u8], ended: bool) -> Result<Option<Head>, Refused> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) if len > HEAD_MOST => Err(Refused::TooLong),
        Ok(httparse::Status::Complete(_)) => {
            let text = |t: Option<&str>| t.unwrap_or_default().to_string();
            Ok(Some(Head { method: text(head.method), path: text(head.path) }))
        }
        Ok(httparse::Status::Partial) if buf.len() > HEAD_MOST => Err(Refused::TooLong),
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
mod tests {
    use super::*;

    #[test]
    fn bodies_by_length_chunks_and_end() {
        let length = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
        assert_eq!(body(length, false), Ok(Some(b"{}".to_vec())));
        let chunked =
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1;x=y\r\n}\r\n0\r\n\r\n";
        assert_eq!(body(chunked, false), Ok(Some(b"{}".to_vec())));
        let open = b"HTTP/1.1 200 OK\r\n\r\n{}";
        assert_eq!(body(open, false), Ok(None));
        assert_eq!(body(open, true), Ok(Some(b"{}".to_vec())));
        for cut in 0..length.len() {
            assert_eq!(body(&length[..cut], false), Ok(None));
            assert!(body(&length[..cut], true).is_err());
        }
        let failed = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
        assert!(body(failed, false).is_err());
        assert!(body(b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", false).is_err());
    }
    #[test]
    fn a_call_is_read_whole_from_any_split_and_told_from_what_is_none() {
        let call = b"POST /api/evacuate HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
        let head = Head { method: "POST".to_string(), path: "/api/evacuate".to_string() };
        assert_eq!(request(call, false), Ok(Some(head)));
        for cut in 0..call.len() - 2 {
            assert_eq!(request(&call[..cut], false), Ok(None), "{cut}");
            assert_eq!(request(&call[..cut], true), Err(Refused::Unreadable), "{cut}");
        }
        assert_eq!(request(b"*1\r\n$4\r\nPING\r\n", false), Err(Refused::Unreadable));
        let long = format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(HEAD_MOST));
        assert_eq!(request(long.as_bytes(), false), Err(Refused::TooLong));
        let many = format!("GET / HTTP/1.1\r\n{}\r\n", "X: y\r\n".repeat(HEADERS + 1));
        assert_eq!(request(many.as_bytes(), false), Err(Refused::TooLong));
        let said = answer(503, "no\n");
        assert!(said.starts_with("HTTP/1.1 503 Service Unavailable\r\n"), "{said}");
        assert!(said.ends_with("Content-Length: 3\r\nConnection: close\r\n\r\nno\n"), "{said}");
    }
}
