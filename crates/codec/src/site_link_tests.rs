use super::*;
use proptest::prelude::*;

fn read(input: &[u8], cuts: &[usize]) -> (Vec<(u32, Message)>, Option<DecodeError>) {
    let mut at: Vec<usize> = cuts.iter().map(|c| c % (input.len() + 1)).collect();
    at.extend([0, input.len()]);
    at.sort_unstable();
    let (mut buf, mut out) = (BytesMut::new(), Vec::new());
    for piece in at.windows(2) {
        buf.extend_from_slice(&input[piece[0]..piece[1]]);
        loop {
            match next(&mut buf) {
                Ok(Some(message)) => out.push(message),
                Ok(None) => break,
                Err(broken) => return (out, Some(broken)),
            }
        }
    }
    (out, None)
}

fn text(most: usize) -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..most).prop_map(Bytes::from)
}

fn any_message() -> impl Strategy<Value = Message> {
    let hello = (
        any::<(u16, u64, u16, u64)>(),
        text(256),
        text(256),
        prop::collection::vec(text(40), 0..5),
    )
        .prop_map(|((version, epoch, life, list), site, node, nodes)| {
            Message::Hello(Hello {
                version,
                epoch,
                life,
                site,
                node,
                list,
                nodes,
            })
        });
    let request = (
        any::<(u64, u64, u32, bool, bool, u32)>(),
        text(256),
        text(256),
        text(256),
        text(600),
    )
        .prop_map(
            |((epoch, lease, left, write, retry, value), class, tenant, idem, key)| {
                let id = class.clone();
                Message::Request(Request {
                    epoch,
                    lease,
                    left,
                    write,
                    retry,
                    class,
                    tenant,
                    idem,
                    id,
                    key,
                    value,
                })
            },
        );
    let ends = [
        Ended::Served,
        Ended::NoValue,
        Ended::Refused,
        Ended::Failed,
        Ended::Late,
    ];
    let claims = [
        Claimed::Here,
        Claimed::Served,
        Claimed::Crossed,
        Claimed::CantTell,
    ];
    prop_oneof![
        hello,
        request,
        (prop::sample::select(ends.to_vec()), any::<(u32, u32)>()).prop_map(
            |(ended, (retry_after, value))| Message::Head {
                ended,
                retry_after,
                value
            }
        ),
        text(3_000).prop_map(Message::Body),
        Just(Message::Cancel),
        any::<u32>().prop_map(Message::Credit),
        any::<(bool, u64)>().prop_map(|(echo, sent)| Message::Beat { echo, sent }),
        any::<(u64, u64)>().prop_map(|(epoch, number)| Message::Lease { epoch, number }),
        text(256).prop_map(Message::Claim),
        (prop::sample::select(claims.to_vec()), text(300))
            .prop_map(|(claimed, receipt)| Message::Claimed { claimed, receipt }),
        Just(Message::GoAway),
    ]
}

#[test]
fn frames_are_as_the_specification_shows_them() {
    let mut out = Vec::new();
    put(
        &mut out,
        0,
        &Message::Beat {
            echo: true,
            sent: 0x0102,
        },
    );
    assert_eq!(
        out,
        b"\x07\x00\x00\x09\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x01\x02"
    );
    out.clear();
    put(
        &mut out,
        9,
        &Message::Head {
            ended: Ended::Refused,
            retry_after: 120,
            value: 0,
        },
    );
    assert_eq!(
        out,
        b"\x03\x00\x00\x09\x00\x00\x00\x09\x02\x00\x00\x00\x78\x00\x00\x00\x00"
    );
}

#[test]
fn what_version_1_does_not_have_is_broken() {
    let cases: [(&[u8], &str); 9] = [
        (b"\x00\x00\x00\x00\x00\x00\x00\x00", "unknown kind of frame"),
        (b"\x0c\x00\x00\x00\x00\x00\x00\x00", "unknown kind of frame"),
        (b"\x05\x01\x00\x00\x00\x00\x00\x00", "unknown flags"),
        (b"\x04\x00\x40\x01\x00\x00\x00\x00", "a body is too long"),
        (
            b"\x05\x00\x00\x01\x00\x00\x00\x00x",
            "a body is longer than its parts",
        ),
        (
            b"\x06\x00\x00\x03\x00\x00\x00\x00abc",
            "a body is shorter than its parts",
        ),
        (
            b"\x03\x00\x00\x09\x00\x00\x00\x00\x09abcdefgh",
            "unknown end",
        ),
        (b"\x0a\x00\x00\x01\x00\x00\x00\x00\x04", "unknown claim"),
        (b"*4\r\n$5\r\nC.GET\r\n", "unknown kind of frame"),
    ];
    for (input, why) in cases {
        // The last one is RESP2: its first four bytes claim a body, which is waited for or refused.
        let (got, broken) = read(input, &[3, 5]);
        assert!(got.is_empty());
        if input[0] != b'*' {
            assert_eq!(broken, Some(DecodeError(why)), "{input:?}");
        } else {
            assert!(broken.is_some(), "{input:?}");
        }
    }
}

proptest! {
    #[test]
    fn messages_come_back_as_they_were_however_they_are_cut(
        list in prop::collection::vec((any::<u32>(), any_message()), 1..8),
        cuts in prop::collection::vec(any::<usize>(), 0..20),
    ) {
        let mut input = Vec::new();
        list.iter().for_each(|(request, message)| put(&mut input, *request, message));
        prop_assert_eq!(read(&input, &cuts), (list, None));
    }

    #[test]
    fn noise_never_panics_and_is_cut_alike(
        mut input in prop::collection::vec(any::<u8>(), 0..200),
        kind in 0u8..13,
        cuts in prop::collection::vec(any::<usize>(), 0..5),
    ) {
        if input.len() > 4 {
            input[..3].copy_from_slice(&[kind, 0, 0]);
        }
        prop_assert_eq!(read(&input, &[]), read(&input, &cuts));
    }
}
