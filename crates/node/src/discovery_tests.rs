use super::*;

#[test]
fn starts_are_put_on_the_clock_of_the_node() {
    let began = 1_700_000_000_000_000;
    assert_eq!(started(0, began, 1_000), None);
    assert_eq!(started(1_700_000_055_000, began, 60_000_000), Some(55_000_000));
    assert_eq!(started(1_699_999_999_000, began, 60_000_000), Some(-1_000_000));
    assert_eq!(started(1_700_000_099_000, began, 7), Some(7));
    assert!(started(i64::MAX, began, 7).is_some_and(|at| at <= 7));
}

// Guards against a cut answer that drops the servers which it no longer names: wherever the connection ends, it
// is no list, whether its length was told or its end is the connection's.
#[test]
fn an_answer_that_is_cut_at_any_byte_is_no_list() {
    let target =
        |uid| format!(r#"{{"uid":"{uid}","endpoint":"10.1.0.18:6379","state":"in_service","boot_ms":0}}"#);
    let text = format!(r#"{{"rev":41,"all":true,"targets":[{},{}]}}"#, target("s-1"), target("s-2"));
    let length = format!("Content-Length: {}\r\n", text.len());
    for told in ["", &length] {
        let whole = format!("HTTP/1.1 200 OK\r\n{told}Connection: close\r\n\r\n{text}").into_bytes();
        let list = |bytes: &[u8]| {
            let body = http::body(bytes, true).ok().flatten()?;
            answer(&serde_json::from_slice(&body).ok()?).ok()
        };
        assert_eq!(list(&whole).map(|list| list.targets.len()), Some(2), "{told}");
        for cut in 0..whole.len() {
            assert!(list(&whole[..cut]).is_none(), "{told} cut at {cut}");
        }
    }
}
