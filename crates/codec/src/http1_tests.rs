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
    assert!(body(
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        false
    )
    .is_err());
}
#[test]
fn a_call_is_read_whole_from_any_split_and_told_from_what_is_none() {
    let call = b"POST /api/evacuate HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
    let head = Head {
        method: "POST".to_string(),
        path: "/api/evacuate".to_string(),
    };
    assert_eq!(request(call, false), Ok(Some(head)));
    for cut in 0..call.len() - 2 {
        assert_eq!(request(&call[..cut], false), Ok(None), "{cut}");
        assert_eq!(
            request(&call[..cut], true),
            Err(Refused::Unreadable),
            "{cut}"
        );
    }
    assert_eq!(
        request(b"*1\r\n$4\r\nPING\r\n", false),
        Err(Refused::Unreadable)
    );
    let long = format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(MAX_HEAD));
    assert_eq!(request(long.as_bytes(), false), Err(Refused::TooLong));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "X: y\r\n".repeat(HEADERS + 1));
    assert_eq!(request(many.as_bytes(), false), Err(Refused::TooLong));
    let said = answer(503, "no\n");
    assert!(
        said.starts_with("HTTP/1.1 503 Service Unavailable\r\n"),
        "{said}"
    );
    assert!(
        said.ends_with("Content-Length: 3\r\nConnection: close\r\n\r\nno\n"),
        "{said}"
    );
}
