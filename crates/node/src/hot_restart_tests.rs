use super::*;

fn sealed(checkpoint: &Checkpoint) -> Vec<u8> {
    let payload = postcard::to_stdvec(checkpoint).unwrap();
    encode("me", VERSION, 0, &payload).unwrap()
}

#[test]
fn intact_snapshot_with_impossible_content_is_not_restored() {
    let empty = Checkpoint::default();
    let restored = unpack("me", 5, &sealed(&empty)).unwrap();
    assert_eq!(
        restored,
        AgedCheckpoint {
            checkpoint: empty.clone(),
            age: 5
        }
    );
    let mut impossible = serde_json::to_value(&empty).unwrap();
    impossible["late"] = 2.0.into();
    let impossible = serde_json::from_value(impossible).unwrap();
    let error = unpack("me", 5, &sealed(&impossible)).unwrap_err();
    assert_eq!(error.to_string(), "holds what no node remembers");
    let short = encode("me", VERSION, 0, &[1, 2]).unwrap();
    let error = unpack("me", 5, &short).unwrap_err();
    assert!(error.to_string().starts_with("cannot be read: "));
}
