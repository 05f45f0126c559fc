//! The module stays readable: its size and width.

#[test]
fn the_module_keeps_its_size() {
    let text = include_str!("../src/balancer.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(
        (300..=1200).contains(&lines),
        "{lines} lines that are not blank"
    );
    let wide = text
        .lines()
        .enumerate()
        .find(|(_, l)| l.chars().count() > 110);
    assert!(
        wide.is_none(),
        "line {} is too long",
        wide.map_or(0, |(i, _)| i + 1)
    );
}
