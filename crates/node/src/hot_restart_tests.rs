use super::*;

fn encode_checkpoint(checkpoint: &Checkpoint) -> Vec<u8> {
    let payload = postcard::to_stdvec(checkpoint).unwrap();
    encode("me", VERSION, 0, &payload).unwrap()
}

#[test]
fn intact_snapshot_with_invalid_values_is_not_restored() {
    let empty = Checkpoint::default();
    let restored = unpack("me", 5, &encode_checkpoint(&empty)).unwrap();
    assert_eq!(
        restored,
        AgedCheckpoint {
            checkpoint: empty.clone(),
            age: 5
        }
    );
    let mut invalid = serde_json::to_value(&empty).unwrap();
    invalid["late"] = 2.0.into();
    let invalid = serde_json::from_value(invalid).unwrap();
    let error = unpack("me", 5, &encode_checkpoint(&invalid)).unwrap_err();
    assert_eq!(error.to_string(), "contains invalid values");
    let short = encode("me", VERSION, 0, &[1, 2]).unwrap();
    let error = unpack("me", 5, &short).unwrap_err();
    assert!(error.to_string().starts_with("cannot be read: "));
}
