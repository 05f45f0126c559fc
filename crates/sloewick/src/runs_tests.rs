use super::*;

#[test]
fn results_are_told_in_order_whichever_ends_first() {
    for jobs in [1, 3, 8] {
        let mut told = Vec::new();
        let run = |n: u64| {
            // Some are much longer than those behind them.
            (0..if n.is_multiple_of(7) { 20_000 } else { 1 })
                .fold(n, |sum, i| std::hint::black_box(sum ^ i ^ i))
        };
        let count = all(200, jobs, &AtomicBool::new(false), run, |n| {
            told.push(n);
            n % 2 == 0
        });
        assert_eq!((count, told), (200, (0..200).collect::<Vec<_>>()));
    }
}

#[test]
fn after_an_interrupt_what_has_begun_is_finished_and_told() {
    let stop = AtomicBool::new(false);
    let mut told = Vec::new();
    let run = |n: u64| {
        stop.fetch_or(n == 5, Ordering::Relaxed);
        n
    };
    let count = all(1_000_000, 2, &stop, run, |n| {
        told.push(n);
        false
    });
    assert!((6..=8).contains(&count), "{count}");
    assert_eq!(told, (0..count).collect::<Vec<_>>());
}

#[test]
#[should_panic(expected = "a scoped thread panicked")]
fn a_run_that_panics_ends_all() {
    all(
        1000,
        3,
        &AtomicBool::new(false),
        |n| assert_ne!(n, 3),
        |()| false,
    );
}

#[test]
fn no_run_is_far_ahead_of_the_first_that_is_not_told() {
    let mut turns = Turns::new(10, 4);
    let first: Vec<_> = (0..5).map(|_| turns.take()).collect();
    assert_eq!(
        first,
        [Ok(Some(0)), Ok(Some(1)), Ok(Some(2)), Ok(Some(3)), Err(())]
    );
    turns.told = 7;
    assert_eq!(
        (0..6).filter_map(|_| turns.take().ok().flatten()).count(),
        6
    );
    assert_eq!(turns.take(), Ok(None));
}
