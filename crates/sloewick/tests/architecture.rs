//! Checks that the files, types and members that docs/ARCHITECTURE.md names exist.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Every Rust file of the packages' `src` folders, with its text.
fn rust_files(folder: &Path, files: &mut BTreeMap<PathBuf, String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let is_source = path
            .components()
            .any(|component| component.as_os_str() == "src");
        if path.is_dir() {
            rust_files(&path, files);
        } else if is_source && path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).unwrap();
            files.insert(path, text);
        }
    }
}

/// The texts between backticks in a Markdown page, except for those in indented code blocks.
fn code_spans(page: &str) -> Vec<&str> {
    page.lines()
        .filter(|line| !line.starts_with("    "))
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

fn is_rust_file(word: &str) -> bool {
    Path::new(word)
        .extension()
        .is_some_and(|extension| extension == "rs")
}

fn is_identifier(word: &str) -> bool {
    !word.is_empty() && word.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
}

fn is_type_name(word: &str) -> bool {
    is_identifier(word)
        && word.starts_with(|c: char| c.is_ascii_uppercase())
        && word.contains(|c: char| c.is_ascii_lowercase())
}

/// Whether a text declares a type of this name.
fn declares_type(text: &str, name: &str) -> bool {
    ["struct", "enum", "trait", "type"].iter().any(|keyword| {
        text.match_indices(&format!("{keyword} {name}"))
            .any(|(at, found)| {
                let next = text[at + found.len()..].chars().next();
                !next.is_some_and(|c| c.is_ascii_alphanumeric() || c == '_')
            })
    })
}

/// Whether a text contains this identifier, as the name of a function, a field or a variant does.
fn contains_identifier(text: &str, name: &str) -> bool {
    text.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_'))
        .any(|word| word == name)
}

/// The files, types and members that a page names and that do not exist.
fn missing_names(page: &str, crates: &Path) -> Vec<String> {
    let mut files = BTreeMap::new();
    rust_files(crates, &mut files);
    let mut missing = Vec::new();
    for word in code_spans(page) {
        let is_path = is_rust_file(word) || word.ends_with("/src");
        if is_path && !crates.join(word).exists() {
            missing.push(format!("file {word}"));
        }
        let mut parts = word.trim_end_matches("()").split("::");
        let name = parts.next().unwrap_or_default();
        if !is_type_name(name) {
            continue;
        }
        let declaring: Vec<&String> = files
            .values()
            .filter(|text| declares_type(text, name))
            .collect();
        if declaring.is_empty() {
            missing.push(format!("type {name}"));
        }
        if let Some(member) = parts.next() {
            let found = files
                .values()
                .any(|text| contains_identifier(text, name) && contains_identifier(text, member));
            if !declaring.is_empty() && !found {
                missing.push(format!("member {name}::{member}"));
            }
        }
    }
    missing
}

#[test]
fn files_types_and_members_named_in_the_architecture_page_exist() {
    let page = fs::read_to_string(workspace_root().join("docs/ARCHITECTURE.md")).unwrap();
    let paths = code_spans(&page)
        .iter()
        .filter(|word| is_rust_file(word))
        .count();
    assert!(
        paths >= 20,
        "found only {paths} file names; was the page parsed correctly?"
    );
    let missing = missing_names(&page, &workspace_root().join("crates"));
    assert!(
        missing.is_empty(),
        "docs/ARCHITECTURE.md names files, types or members that do not exist: {missing:#?}"
    );
}

#[test]
fn missing_files_types_and_members_are_reported() {
    let page = "`decision/src/no_such_file.rs` holds `NoSuchType` and `Balancer::no_such_member`, beside `Balancer::handle`.";
    assert_eq!(
        missing_names(page, &workspace_root().join("crates")),
        [
            "file decision/src/no_such_file.rs",
            "type NoSuchType",
            "member Balancer::no_such_member",
        ]
    );
}
