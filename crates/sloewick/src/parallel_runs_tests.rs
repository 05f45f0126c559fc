use super::*;

#[test]
fn results_are_reported_in_order_although_later_runs_end_first() {
    for jobs in [1, 3, 8] {
        let mut reported = Vec::new();
        let run = |n: u64| {
            // Every seventh run takes much longer than the runs after it.
            (0..if n.is_multiple_of(7) { 20_000 } else { 1 })
                .fold(n, |sum, i| std::hint::black_box(sum ^ i ^ i))
        };
        let count = run_all(200, jobs, &AtomicBool::new(false), run, |n| {
            reported.push(n);
            n % 2 == 0
        });
        assert_eq!((count, reported), (200, (0..200).collect::<Vec<_>>()));
    }
}

#[test]
fn runs_started_before_an_interrupt_are_completed_and_reported() {
    let stop = AtomicBool::new(false);
    let mut reported = Vec::new();
    let run = |n: u64| {
        stop.fetch_or(n == 5, Ordering::Relaxed);
        n
    };
    let count = run_all(1_000_000, 2, &stop, run, |n| {
        reported.push(n);
        false
    });
    assert!((6..=8).contains(&count), "{count}");
    assert_eq!(reported, (0..count).collect::<Vec<_>>());
}

#[test]
#[should_panic(expected = "a scoped thread panicked")]
fn panic_in_one_run_ends_all_workers() {
    run_all(
        1000,
        3,
        &AtomicBool::new(false),
        |n| assert_ne!(n, 3),
        |()| false,
    );
}

#[test]
fn no_run_starts_too_far_ahead_of_the_first_unreported_one() {
    let mut queue = RunQueue::new(10, 4);
    let first: Vec<_> = (0..5).map(|_| queue.take()).collect();
    assert_eq!(
        first,
        [
            NextRun::Start(0),
            NextRun::Start(1),
            NextRun::Start(2),
            NextRun::Start(3),
            NextRun::Wait
        ]
    );
    queue.reported = 7;
    assert_eq!(
        (0..6)
            .filter(|_| matches!(queue.take(), NextRun::Start(_)))
            .count(),
        6
    );
    assert_eq!(queue.take(), NextRun::Finished);
}
