use std::cell::RefCell;
use std::rc::Rc;

use super::*;

/// A source that succeeds (true) or fails in this order and repeats the last result, with the number of its reads.
fn scripted_source(results: &[bool]) -> (ConfigSource, Rc<RefCell<usize>>) {
    let reads = Rc::new(RefCell::new(0));
    let (results, count) = (results.to_vec(), reads.clone());
    let read = move || {
        let n = *count.borrow();
        *count.borrow_mut() += 1;
        if results[n.min(results.len() - 1)] {
            Ok(crate::config::parse(&crate::test_support::config_text()).unwrap())
        } else {
            Err(SettingsError::new("discovery", "is missing"))
        }
    };
    (Box::new(read), reads)
}

/// Expires timers until none is set. Returns the outcomes, and the time of the last timer.
fn expire_all(reload: &mut Reload, timers: &mut Timers) -> (Vec<ReloadOutcome>, Micros) {
    let (mut outcomes, mut last) = (Vec::new(), 0);
    while let Some(at) = timers.next() {
        assert_eq!(timers.pop_expired(at), Some(TimerEvent::Reload));
        outcomes.extend(reload.timer_expired(at, timers));
        last = at;
    }
    (outcomes, last)
}

#[test]
fn failed_reload_is_retried_until_it_succeeds() {
    let (source, reads) = scripted_source(&[false, false, false, true]);
    let (mut reload, mut timers) = (Reload::new(source), Timers::default());
    assert!(matches!(
        reload.handle_signal(0, &mut timers),
        ReloadOutcome::Failed(_)
    ));
    let (outcomes, _) = expire_all(&mut reload, &mut timers);
    assert!(matches!(
        outcomes[..],
        [
            ReloadOutcome::StillFailing,
            ReloadOutcome::StillFailing,
            ReloadOutcome::Done(_)
        ]
    ));
    assert_eq!(*reads.borrow(), 4);
}

#[test]
fn reload_that_never_succeeds_is_given_up_after_the_retry_time() {
    let (source, _) = scripted_source(&[false]);
    let (mut reload, mut timers) = (Reload::new(source), Timers::default());
    reload.handle_signal(0, &mut timers);
    let (outcomes, last) = expire_all(&mut reload, &mut timers);
    assert!(matches!(outcomes.last(), Some(ReloadOutcome::GivenUp(_))));
    assert_eq!(last, MAX_RETRY_TIME);
}

#[test]
fn success_after_a_second_signal_ends_the_retries_of_the_first() {
    let (source, reads) = scripted_source(&[false, true]);
    let (mut reload, mut timers) = (Reload::new(source), Timers::default());
    reload.handle_signal(0, &mut timers);
    assert!(matches!(
        reload.handle_signal(1, &mut timers),
        ReloadOutcome::Done(_)
    ));
    let (outcomes, _) = expire_all(&mut reload, &mut timers);
    assert!(outcomes.is_empty());
    assert_eq!(*reads.borrow(), 2);
}
