use super::*;

fn sealed(memory: &Checkpoint) -> Vec<u8> {
    encode("me", VERSION, 0, &postcard::to_stdvec(memory).unwrap()).unwrap()
}

#[test]
fn a_whole_snapshot_that_no_node_can_have_kept_is_refused() {
    let none = Checkpoint::default();
    assert_eq!(unpack("me", 5, &sealed(&none)), Ok((none.clone(), 5)));
    let mut text = serde_json::to_value(&none).unwrap();
    text["late"] = 2.0.into();
    let spoilt = serde_json::from_value(text).unwrap();
    assert_eq!(
        unpack("me", 5, &sealed(&spoilt)),
        Err("holds what no node remembers".to_string())
    );
    let short = encode("me", VERSION, 0, &[1, 2]).unwrap();
    assert!(unpack("me", 5, &short)
        .unwrap_err()
        .starts_with("cannot be read: "));
}
