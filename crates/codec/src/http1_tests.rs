use super::*;

#[test]
fn body_length_follows_from_content_length_chunks_or_end_of_connection() {
    let length = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    assert_eq!(response_body(length, false), Ok(Some(b"{}".to_vec())));
    let chunked =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1;x=y\r\n}\r\n0\r\n\r\n";
    assert_eq!(response_body(chunked, false), Ok(Some(b"{}".to_vec())));
    let until_end = b"HTTP/1.1 200 OK\r\n\r\n{}";
    assert_eq!(response_body(until_end, false), Ok(None));
    assert_eq!(response_body(until_end, true), Ok(Some(b"{}".to_vec())));
    for cut in 0..length.len() {
        assert_eq!(response_body(&length[..cut], false), Ok(None));
        assert!(response_body(&length[..cut], true).is_err());
    }
    let failed = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    assert!(response_body(failed, false).is_err());
    assert!(response_body(
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        false
    )
    .is_err());
}

#[test]
fn incomplete_request_needs_more_bytes_and_invalid_requests_are_errors() {
    let input = b"POST /api/evacuate HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
    let head = RequestHead {
        method: "POST".to_string(),
        path: "/api/evacuate".to_string(),
    };
    assert_eq!(request_head(input, false), Ok(Some(head)));
    for cut in 0..input.len() - 2 {
        assert_eq!(request_head(&input[..cut], false), Ok(None), "{cut}");
        assert_eq!(
            request_head(&input[..cut], true),
            Err(RequestError::Malformed),
            "{cut}"
        );
    }
    assert_eq!(
        request_head(b"*1\r\n$4\r\nPING\r\n", false),
        Err(RequestError::Malformed)
    );
    let long = format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(MAX_HEAD_BYTES));
    assert_eq!(
        request_head(long.as_bytes(), false),
        Err(RequestError::TooLong)
    );
    let many = format!(
        "GET / HTTP/1.1\r\n{}\r\n",
        "X: y\r\n".repeat(MAX_HEADERS + 1)
    );
    assert_eq!(
        request_head(many.as_bytes(), false),
        Err(RequestError::TooLong)
    );
    let response = text_response(503, "no\n");
    assert!(
        response.starts_with("HTTP/1.1 503 Service Unavailable\r\n"),
        "{response}"
    );
    assert!(
        response.ends_with("Content-Length: 3\r\nConnection: close\r\n\r\nno\n"),
        "{response}"
    );
}
