use super::*;
use crate::config;
use crate::test_support::config_text;

fn parse(words: &[&'static str]) -> Result<ParsedCommand, CommandError> {
    let words: Vec<Bytes> = words.iter().map(|word| Bytes::from(*word)).collect();
    let names = config::parse(&config_text()).unwrap().names;
    parse_command(&words, &names)
}

#[test]
fn malformed_command_is_rejected_with_the_first_error_found() {
    for (words, expected) in [
        (&[][..], CommandError::UnknownCommand),
        (&["GET", "k"][..], CommandError::UnknownCommand),
        (&["C.GET", "k", "r1"][..], CommandError::ArgumentCount),
        (
            &["c.set", "k", "r1", "d=5"][..],
            CommandError::ArgumentCount,
        ),
        (
            &["C.GET", "k", "r1", "c=none"][..],
            CommandError::UnknownClass,
        ),
        (
            &["C.GET", "k", "r1", "d=-1"][..],
            CommandError::InvalidDeadline,
        ),
        (
            &["C.GET", "k", "r1", "d=inf"][..],
            CommandError::InvalidDeadline,
        ),
        (&["C.GET", "k", "r1", "d=5"][..], CommandError::NoClass),
        (
            &["C.GET", "k", "r1", "c=read"][..],
            CommandError::NoDeadline,
        ),
    ] {
        assert_eq!(parse(words).err(), Some(expected), "{words:?}");
    }
    assert_eq!(&CommandError::NoDeadline.encode()[..], b"-ERR no d\r\n");
}

#[test]
fn request_carries_the_fields_of_its_command() {
    let command = [
        "C.SET",
        "k",
        "r1",
        "c=read,t=acme,d=20.5,size=7,r=1,new=x",
        "v",
    ];
    let Ok(ParsedCommand::Request(request)) = parse(&command) else {
        panic!("the command is not parsed as a request")
    };
    assert_eq!((&*request.id, request.key.as_deref()), ("r1", Some("k")));
    assert_eq!((request.class, request.tenant), (0, Some(0)));
    assert_eq!((request.budget, request.size), (20_500, Some(7.0)));
    assert!(request.write && request.is_client_retry);
}

#[test]
fn ping_response_repeats_the_text_or_reports_the_availability_of_the_node() {
    let text = Bytes::from_static(b"hello");
    assert_eq!(&encode_pong(Some(&text), false)[..], b"$5\r\nhello\r\n");
    assert_eq!(&encode_pong(None, true)[..], b"+PONG\r\n");
    assert_eq!(&encode_pong(None, false)[..], b"-ERR leaving\r\n");
}
