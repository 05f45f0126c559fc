use super::*;

#[test]
fn seeds_are_parsed_as_one_seed_or_an_inclusive_range() {
    let range = |first, last| Ok(SeedRange { first, last });
    assert_eq!("7".parse(), range(7, 7));
    assert_eq!("1..50".parse(), range(1, 50));
    for text in ["", "x", "5..4", "..", "1..", "-1", "1..2..3"] {
        assert_eq!(
            text.parse::<SeedRange>(),
            Err(InvalidSeeds(text.to_string()))
        );
    }
}

#[test]
fn adding_counts_sums_totals_and_keeps_maxima() {
    let mut sum = Counts {
        requests: 2,
        max_memory_mb: 9,
        ..Counts::default()
    };
    sum += Counts {
        requests: 3,
        restarts: 1,
        max_memory_mb: 7,
        ..Counts::default()
    };
    assert_eq!((sum.requests, sum.restarts, sum.max_memory_mb), (5, 1, 9));
}
