use super::*;
use proptest::prelude::*;

/// Decodes the frames in `input`, which arrives in fragments: it is split at the positions `cuts`, each taken modulo the
/// length of the input plus one.
fn decode_all(input: &[u8], cuts: &[usize]) -> (Vec<Frame>, Option<DecodeError>) {
    let mut at: Vec<usize> = cuts.iter().map(|c| c % (input.len() + 1)).collect();
    at.extend([0, input.len()]);
    at.sort_unstable();
    let (mut buf, mut out) = (BytesMut::new(), Vec::new());
    for fragment in at.windows(2) {
        buf.extend_from_slice(&input[fragment[0]..fragment[1]]);
        loop {
            match decode(&mut buf) {
                Ok(Some(frame)) => out.push(frame),
                Ok(None) => break,
                Err(error) => return (out, Some(error)),
            }
        }
    }
    (out, None)
}

fn any_text(max_len: usize) -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..max_len).prop_map(Bytes::from)
}

fn any_hello() -> impl Strategy<Value = Message> {
    let numbers = any::<(u16, u64, u16, u64)>();
    let nodes = prop::collection::vec(any_text(40), 0..5);
    (numbers, any_text(256), any_text(256), nodes).prop_map(|(numbers, site, node, nodes)| {
        let (version, epoch, lease_lifetime_ms, node_list_version) = numbers;
        Message::Hello(Hello {
            version,
            epoch,
            lease_lifetime_ms,
            site,
            node,
            node_list_version,
            nodes,
        })
    })
}

fn any_request() -> impl Strategy<Value = Message> {
    let numbers = any::<(u64, u64, u32, bool, bool, u32)>();
    let texts = (any_text(256), any_text(256), any_text(256), any_text(600));
    (numbers, texts).prop_map(|(numbers, (class, tenant, idempotency_key, key))| {
        let (lease_epoch, lease_number, time_left_us, is_write, is_retry, value_len) = numbers;
        Message::Request(Request {
            lease_epoch,
            lease_number,
            time_left_us,
            is_write,
            is_retry,
            id: class.clone(),
            class,
            tenant,
            idempotency_key,
            key,
            value_len,
        })
    })
}

fn any_response_head() -> impl Strategy<Value = Message> {
    let outcomes = vec![
        Outcome::Served,
        Outcome::NoValue,
        Outcome::Rejected,
        Outcome::Failed,
        Outcome::Late,
    ];
    (prop::sample::select(outcomes), any::<(u32, u32)>()).prop_map(
        |(outcome, (retry_after_ms, value_len))| Message::ResponseHead {
            outcome,
            retry_after_ms,
            value_len,
        },
    )
}

fn any_claim_response() -> impl Strategy<Value = Message> {
    let verdicts = vec![
        ClaimVerdict::Here,
        ClaimVerdict::Served,
        ClaimVerdict::Crossed,
        ClaimVerdict::Undecided,
    ];
    (prop::sample::select(verdicts), any_text(300))
        .prop_map(|(verdict, receipt)| Message::ClaimResponse { verdict, receipt })
}

fn any_message() -> impl Strategy<Value = Message> {
    prop_oneof![
        any_hello(),
        any_request(),
        any_response_head(),
        any_text(3_000).prop_map(Message::Body),
        Just(Message::Cancel),
        any::<u32>().prop_map(Message::Credit),
        any::<(bool, u64)>().prop_map(|(is_echo, sent)| Message::Heartbeat { is_echo, sent }),
        any::<(u64, u64)>().prop_map(|(epoch, number)| Message::Lease { epoch, number }),
        any_text(256).prop_map(Message::Claim),
        any_claim_response(),
        Just(Message::GoAway),
    ]
}

#[test]
fn heartbeat_and_response_head_are_encoded_as_specified() {
    let mut out = Vec::new();
    let heartbeat = Message::Heartbeat {
        is_echo: true,
        sent: 0x0102,
    };
    encode(&mut out, 0, &heartbeat);
    assert_eq!(
        out,
        b"\x07\x00\x00\x09\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x01\x02"
    );
    out.clear();
    let rejection = Message::ResponseHead {
        outcome: Outcome::Rejected,
        retry_after_ms: 120,
        value_len: 0,
    };
    encode(&mut out, 9, &rejection);
    assert_eq!(
        out,
        b"\x03\x00\x00\x09\x00\x00\x00\x09\x02\x00\x00\x00\x78\x00\x00\x00\x00"
    );
}

#[test]
fn request_and_hello_are_encoded_as_specified() {
    let request = Message::Request(Request {
        lease_epoch: 1,
        lease_number: 2,
        time_left_us: 3,
        is_write: true,
        is_retry: true,
        class: Bytes::from_static(b"c"),
        tenant: Bytes::from_static(b"t"),
        idempotency_key: Bytes::new(),
        id: Bytes::from_static(b"i"),
        key: Bytes::from_static(b"key"),
        value_len: 4,
    });
    let mut out = Vec::new();
    encode(&mut out, 5, &request);
    assert_eq!(
        out,
        b"\x02\x00\x00\x25\x00\x00\x00\x05\
        \x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x02\x00\x00\x00\x03\x03\
        \x01c\x01t\x00\x01i\x00\x03key\x00\x00\x00\x04"
    );
    let hello = Message::Hello(Hello {
        version: VERSION,
        epoch: 2,
        lease_lifetime_ms: 3,
        site: Bytes::from_static(b"s"),
        node: Bytes::from_static(b"n"),
        node_list_version: 4,
        nodes: vec![Bytes::from_static(b"n")],
    });
    out.clear();
    encode(&mut out, 0, &hello);
    assert_eq!(
        out,
        b"\x01\x00\x00\x1c\x00\x00\x00\x00\
        \x00\x01\x00\x00\x00\x00\x00\x00\x00\x02\x00\x03\x01s\x01n\
        \x00\x00\x00\x00\x00\x00\x00\x04\x00\x01\x01n"
    );
}

#[test]
fn frames_that_version_1_does_not_define_are_errors() {
    let cases: [(&[u8], &str); 9] = [
        (b"\x00\x00\x00\x00\x00\x00\x00\x00", "unknown frame kind"),
        (b"\x0c\x00\x00\x00\x00\x00\x00\x00", "unknown frame kind"),
        (b"\x05\x01\x00\x00\x00\x00\x00\x00", "unknown flags"),
        (
            b"\x04\x00\x40\x01\x00\x00\x00\x00",
            "frame body is too long",
        ),
        (
            b"\x05\x00\x00\x01\x00\x00\x00\x00x",
            "frame body is longer than its fields",
        ),
        (
            b"\x06\x00\x00\x03\x00\x00\x00\x00abc",
            "frame body is shorter than its fields",
        ),
        (
            b"\x03\x00\x00\x09\x00\x00\x00\x00\x09abcdefgh",
            "unknown request outcome",
        ),
        (
            b"\x0a\x00\x00\x01\x00\x00\x00\x00\x04",
            "unknown claim verdict",
        ),
        // A RESP2 command instead of a frame: its second byte is decoded as flags.
        (b"*4\r\n$5\r\nC.GET\r\n", "unknown flags"),
    ];
    for (input, message) in cases {
        let (frames, error) = decode_all(input, &[3, 5]);
        assert!(frames.is_empty());
        let error = error.map(|error| error.to_string());
        assert_eq!(error.as_deref(), Some(message), "{input:?}");
    }
}

proptest! {
    #[test]
    fn decoded_frames_equal_the_encoded_ones_however_bytes_are_split(
        list in prop::collection::vec((any::<u32>(), any_message()), 1..8),
        cuts in prop::collection::vec(any::<usize>(), 0..20),
    ) {
        let mut input = Vec::new();
        let mut frames = Vec::new();
        for (request, message) in list {
            encode(&mut input, request, &message);
            frames.push(Frame { request, message });
        }
        prop_assert_eq!(decode_all(&input, &cuts), (frames, None));
    }

    #[test]
    fn arbitrary_bytes_never_panic_and_splitting_them_changes_nothing(
        mut input in prop::collection::vec(any::<u8>(), 0..200),
        kind in 0u8..13,
        cuts in prop::collection::vec(any::<usize>(), 0..5),
    ) {
        if input.len() > 4 {
            input[..3].copy_from_slice(&[kind, 0, 0]);
        }
        prop_assert_eq!(decode_all(&input, &[]), decode_all(&input, &cuts));
    }
}
