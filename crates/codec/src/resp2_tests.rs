use super::*;
use proptest::prelude::*;

/// Decodes the commands in `input`, which arrives in fragments. `bytes` is the size of the budget.
fn commands(input: &[u8], cuts: &[usize], bytes: usize) -> (Vec<Command>, Option<DecodeError>) {
    let (mut reader, mut buf, mut out) = (CommandReader::default(), BytesMut::new(), Vec::new());
    let mut budget = ByteBudget::new(bytes);
    for fragment in split(input, cuts) {
        buf.extend_from_slice(fragment);
        loop {
            match reader.next(&mut buf, &mut budget) {
                Ok(Some(command)) => out.push(command),
                Ok(None) => break,
                Err(error) => return (out, Some(error)),
            }
        }
    }
    (out, None)
}

/// Decodes the replies in `input`, which arrives in fragments. The chunks of a long value are joined into one event.
fn replies(input: &[u8], cuts: &[usize]) -> (Vec<DecodeEvent>, Option<DecodeError>) {
    let (mut reader, mut buf, mut out) = (ReplyReader::default(), BytesMut::new(), Vec::new());
    for fragment in split(input, cuts) {
        buf.extend_from_slice(fragment);
        loop {
            match (reader.next(&mut buf), out.last_mut()) {
                (Ok(Some(DecodeEvent::ValueChunk(more))), Some(DecodeEvent::ValueChunk(bytes))) => {
                    *bytes = [&bytes[..], &more[..]].concat().into();
                }
                (Ok(Some(event)), _) => out.push(event),
                (Ok(None), _) => break,
                (Err(error), _) => return (out, Some(error)),
            }
        }
    }
    (out, None)
}

/// Splits `input` at the positions `cuts`, each taken modulo the length of the input plus one.
fn split<'a>(input: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut at: Vec<usize> = cuts.iter().map(|c| c % (input.len() + 1)).collect();
    at.extend([0, input.len()]);
    at.sort_unstable();
    at.windows(2).map(|w| &input[w[0]..w[1]]).collect()
}

fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::new();
    write_header(&mut out, b'*', words.len());
    for word in words {
        write_bulk(&mut out, word);
    }
    out
}

#[test]
fn commands_split_at_any_byte_are_decoded_the_same() {
    let value = vec![b'v'; 9000];
    let mut input = command(&[b"C.SET", b"key", b"id", b"c=put", &value]);
    input.extend(b"*0\r\n");
    input.extend(command(&[b"PING"]));
    let (complete, error) = commands(&input, &[], 1 << 20);
    assert_eq!((complete.len(), error), (2, None));
    assert_eq!(complete[0].arguments[4], value);
    assert_eq!(complete[0].reserved, 9000);
    for cut in 0..input.len() {
        assert_eq!(
            commands(&input, &[cut], 1 << 20),
            (commands(&input, &[], 1 << 20).0, None)
        );
    }
}

#[test]
fn value_beyond_the_budget_is_discarded_and_the_next_command_is_decoded() {
    let mut input = command(&[b"C.SET", b"key", b"id", b"c=put", &[b'v'; 9000]]);
    input.extend(command(&[b"PING"]));
    let (got, error) = commands(&input, &[5000], 8999);
    assert_eq!(error, None);
    assert!(got[0].value_discarded && got[0].reserved == 0 && got[0].arguments[4].is_empty());
    assert_eq!(got[1].arguments, ["PING"]);
}

#[test]
fn announced_lengths_allocate_no_memory_and_invalid_lengths_are_errors() {
    let long_line = [b'x'; 2000];
    let cases: [&[u8]; 9] = [
        b"*99999999\r\n",
        b"*-5\r\n",
        b"*1\r\n$99999999999\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$5000\r\n",
        b"*1\r\n$+4\r\nPING\r\n",
        b"*1\r\n$4\r\nPINGxx",
        b"GET /\r\n",
        &long_line,
    ];
    for input in cases {
        assert!(commands(input, &[], 1 << 20).1.is_some(), "{input:?}");
    }
    let (mut reader, mut buf) = (CommandReader::default(), BytesMut::new());
    buf.extend_from_slice(b"*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$4194304\r\nxy");
    assert_eq!(
        reader.next(&mut buf, &mut ByteBudget::new(MAX_VALUE_BYTES)),
        Ok(None)
    );
    assert!(buf.capacity() < 4096);
}

proptest! {
    #[test]
    fn decoded_commands_do_not_depend_on_how_bytes_are_split(
        lists in prop::collection::vec(prop::collection::vec(
            prop::collection::vec(any::<u8>(), 0..40), 1..6), 1..5),
        cuts in prop::collection::vec(any::<usize>(), 0..20),
    ) {
        let mut input = Vec::new();
        for words in &lists {
            input.extend(command(&words.iter().map(|w| &w[..]).collect::<Vec<_>>()));
        }
        let (got, error) = commands(&input, &cuts, 0);
        prop_assert_eq!(error, None);
        let words: Vec<Vec<Vec<u8>>> =
            got.iter().map(|c| c.arguments.iter().map(|w| w.to_vec()).collect()).collect();
        prop_assert_eq!(words, lists);
    }

    #[test]
    fn decoded_replies_do_not_depend_on_how_bytes_are_split(
        kinds in prop::collection::vec(0usize..6, 1..8),
        cuts in prop::collection::vec(any::<usize>(), 0..20),
    ) {
        let mut input = Vec::new();
        for kind in &kinds {
            match kind {
                0 => input.extend(b"+PONG\r\n"),
                1 => input.extend(b"-BUSY inflight=7\r\n"),
                2 => input.extend(b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"),
                3 => input.extend(b":12\r\n$-1\r\n"),
                4 => {
                    input.extend(b"*3\r\n");
                    write_bulk(&mut input, &vec![b'l'; MAX_BUFFERED_VALUE_BYTES + 7]);
                    input.extend(b"$4\r\nmiss\r\n$-1\r\n");
                }
                _ => input.extend(b"*-1\r\n*1\r\n$0\r\n\r\n"),
            }
        }
        let (complete, error) = replies(&input, &[]);
        prop_assert_eq!(error, None);
        prop_assert_eq!(replies(&input, &cuts), (complete, None));
    }

    #[test]
    fn arbitrary_bytes_never_panic_and_splitting_them_changes_nothing(
        input in prop::collection::vec(prop::sample::select(b"*$+-:\r\n0123459x".to_vec()), 0..80),
        cuts in prop::collection::vec(any::<usize>(), 0..5),
    ) {
        let once = commands(&input, &[], 100);
        prop_assert_eq!(once, commands(&input, &cuts, 100));
        let once = replies(&input, &[]);
        prop_assert_eq!(once, replies(&input, &cuts));
    }
}
