use super::*;
use sloewick_decision::settings::{self, Fields};

fn parsed(text: &str) -> Result<File, Vec<String>> {
    let node = include_str!("../../../examples/node.json");
    let value: serde_json::Value = serde_json::from_str(node).unwrap();
    let object = Fields::of(&value["settings"], "settings").unwrap();
    let (set, names) = settings::parse(&object).unwrap();
    parse(text, &names, &set.classes, 64 << 20)
        .map_err(|list| list.iter().map(|p| p.to_string()).collect())
}

#[test]
fn the_shipped_file_can_be_used() {
    let file = parsed(include_str!("../../../deploy/memcached.toml")).unwrap();
    assert!(file.listen.is_some());
    assert!(file.routes.find(Operation::Get, b"logger/00001").is_some());
    assert!(file.routes.find(Operation::Set, b"logger/00001").is_none());
}

#[test]
fn nothing_but_boxes_needs_no_listener() {
    let file = parsed("[[box]]\nmodel = \"new\"\nprotocol = \"memcached\"\n").unwrap();
    assert_eq!((file.listen, file.models), (None, vec!["new".to_string()]));
}

#[test]
fn every_mistake_is_told_at_once() {
    let text = "listen = \"here\"\nvalue_most = 0\n[ledger]\nentries = 90000\nremember_ms = 5\n\
                [[route]]\noperation = \"touch\"\nkeys = \"a*b\"\nclass = \"no\"\n\
                [[route]]\noperation = \"set\"\nkeys = \"x\"\nclass = \"alarm-set\"\n\
                [[box]]\nmodel = \"m\"\nprotocol = \"text\"\n";
    let wrong = parsed(text).unwrap_err();
    let lines = [
        "1: listen",
        "2: value_most",
        "4: ledger.entries",
        "5: ledger.remember_ms",
    ];
    let more = [
        "7: route[0].operation",
        "8: route[0].keys",
        "9: route[0].class",
        "16: box[0].protocol",
    ];
    let expected: Vec<&str> = lines.into_iter().chain(more).collect();
    let starts: Vec<String> = wrong
        .iter()
        .map(|w| {
            w["line ".len()..]
                .splitn(3, ": ")
                .take(2)
                .collect::<Vec<_>>()
                .join(": ")
        })
        .collect();
    assert_eq!(starts, expected);
    // What a table as a whole may not be is told once each line by itself is right.
    let wrong = parsed("[[route]]\noperation = \"set\"\nkeys = \"x\"\nclass = \"alarm-set\"\n")
        .unwrap_err();
    assert_eq!(
        wrong,
        ["line 1: route[0].key_from: the class is keyed: say where its key comes from"]
    );
    let stamp =
        "[[route]]\noperation = \"set\"\nkeys = \"x\"\nclass = \"alarm-set\"\nkey_from = \"stamp\"\n";
    assert!(parsed(stamp).is_ok());
    let wrong = parsed(&format!("[ledger]\nmargin_ms = 9500\n{stamp}")).unwrap_err();
    assert!(
        wrong[0].starts_with("line 7: route[0].key_from: no stamp could be in time"),
        "{wrong:?}"
    );
    let wrong = parsed("listen = \"127.0.0.1:11211\"").unwrap_err();
    assert!(wrong[0].contains("every request is refused"), "{wrong:?}");
}
