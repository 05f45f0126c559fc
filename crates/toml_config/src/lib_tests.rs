use super::*;

/// The messages of all problems of a text.
fn messages(text: &str) -> Vec<String> {
    let result = read(text, |reader, top| {
        reader.reject_unknown_fields(top, &["name", "most", "kind", "part", "item"]);
        reader.text(top, "name", "text");
        reader.integer(top, "most", 1..=9, Some(3));
        reader.parsed_text(top, "kind", "a or b", Some(0), |word| {
            ["a", "b"].iter().position(|w| *w == word)
        });
        if let Some(part) = reader.section(top, "part") {
            reader.integer(part, "size", 0..=u32::MAX, None);
        }
        for item in reader.list(top, "item") {
            if reader.text(item, "name", "text") == Some("bad") {
                reader.report(item, "name", "is bad");
            }
        }
        Some(())
    });
    result
        .err()
        .unwrap_or_default()
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn valid_text_has_no_problems() {
    assert_eq!(messages("name = \"x\""), [""; 0]);
    assert_eq!(
        messages("name = \"x\"\nmost = 9\nkind = \"b\"\n[part]\nsize = 0\n[[item]]\nname = \"y\""),
        [""; 0]
    );
}

#[test]
fn every_problem_is_reported_with_line_field_and_allowed_values() {
    let text = "nam = 1\nmost = 10\nkind = \"c\"\n[part]\nsize = 1.5\n[[item]]\n[[item]]\nname = \"bad\"\n";
    let expected = [
        "line 1: nam: is no known field; name?; allowed: name, most, kind, part, item",
        "line 1: name: is missing; allowed: text",
        "line 2: most: is 10; allowed: a whole number from 1 to 9",
        "line 3: kind: is \"c\"; allowed: a or b",
        "line 5: part.size: is 1.5; allowed: a whole number from 0 to 4294967295",
        "line 6: item[0].name: is missing; allowed: text",
        "line 8: item[1].name: is bad",
    ];
    assert_eq!(messages(text), expected);
    assert_eq!(
        messages("name = \"x\"\npart = 3\nitem = [1]")[0],
        "line 2: part: is 3; allowed: a table"
    );
    assert_eq!(
        messages("name = \"x\"\nitem = [1]"),
        ["line 2: item: holds 1; allowed: tables"]
    );
    assert!(messages("name = \"x")[0].starts_with("line 1: (file): is not TOML"));
}
