use super::*;
use sloewick_decision::settings::{self, Fields};

/// Parses a file for a node with the example settings and 64 MiB of memory.
fn parse_config(text: &str) -> Result<MemcachedConfig, Vec<String>> {
    let node_config = include_str!("../../../examples/node.json");
    let json: serde_json::Value = serde_json::from_str(node_config).unwrap();
    let object = Fields::from_value(&json["settings"], "settings").unwrap();
    let (settings, names) = settings::parse(&object).unwrap();
    parse(text, &names, &settings.classes, 64 << 20)
        .map_err(|list| list.iter().map(ToString::to_string).collect())
}

#[test]
fn shipped_config_file_is_valid() {
    let config = parse_config(include_str!("../../../deploy/memcached.toml")).unwrap();
    assert!(config.listen.is_some());
    assert!(config
        .routes
        .find(Operation::Get, b"logger/00001")
        .is_some());
    assert!(config
        .routes
        .find(Operation::Set, b"logger/00001")
        .is_none());
}

#[test]
fn config_with_cache_server_models_only_needs_no_listener() {
    let config = parse_config("[[box]]\nmodel = \"new\"\nprotocol = \"memcached\"\n").unwrap();
    assert_eq!(
        (config.listen, config.cache_server_models),
        (None, vec!["new".to_string()])
    );
}

#[test]
fn all_config_errors_are_reported_at_once() {
    let text = "listen = \"here\"\nvalue_most = 0\n[ledger]\nentries = 90000\nremember_ms = 5\n\
                [[route]]\noperation = \"touch\"\nkeys = \"a*b\"\nclass = \"no\"\n\
                [[route]]\noperation = \"set\"\nkeys = \"x\"\nclass = \"alarm-set\"\n\
                [[box]]\nmodel = \"m\"\nprotocol = \"text\"\n";
    let problems = parse_config(text).unwrap_err();
    let top_level_and_ledger = [
        "1: listen",
        "2: value_most",
        "4: ledger.entries",
        "5: ledger.remember_ms",
    ];
    let lists = [
        "7: route[0].operation",
        "8: route[0].keys",
        "9: route[0].class",
        "16: box[0].protocol",
    ];
    let expected: Vec<&str> = top_level_and_ledger.into_iter().chain(lists).collect();
    let lines_and_fields: Vec<String> = problems
        .iter()
        .map(|problem| {
            problem["line ".len()..]
                .splitn(3, ": ")
                .take(2)
                .collect::<Vec<_>>()
                .join(": ")
        })
        .collect();
    assert_eq!(lines_and_fields, expected);
    // Errors of the table are reported only if each route is valid by itself.
    let problems =
        parse_config("[[route]]\noperation = \"set\"\nkeys = \"x\"\nclass = \"alarm-set\"\n")
            .unwrap_err();
    assert_eq!(
        problems,
        ["line 1: route[0].key_from: the class requires an idempotency key: set the source of the key"]
    );
    let timestamp_route =
        "[[route]]\noperation = \"set\"\nkeys = \"x\"\nclass = \"alarm-set\"\nkey_from = \"stamp\"\n";
    assert!(parse_config(timestamp_route).is_ok());
    let problems =
        parse_config(&format!("[ledger]\nmargin_ms = 9500\n{timestamp_route}")).unwrap_err();
    assert!(
        problems[0].starts_with("line 7: route[0].key_from: every timestamp would be too old"),
        "{problems:?}"
    );
    let problems = parse_config("listen = \"127.0.0.1:11211\"").unwrap_err();
    assert!(
        problems[0].contains("every request is rejected"),
        "{problems:?}"
    );
}
