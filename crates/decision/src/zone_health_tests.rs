use super::*;

fn id(n: usize) -> ServerId {
    format!("s{n}").into()
}

fn two() -> Fates {
    let mut fates = Fates::default();
    fates.list([Some(0), Some(1)].into_iter());
    fates
}

#[test]
fn three_servers_in_a_row_lose_a_zone_and_one_answer_brings_it_back() {
    let mut fates = two();
    assert!(!fates.unreached(0, Some(1), &id(1), UNREACHED));
    assert!(!fates.unreached(0, Some(1), &id(2), UNREACHED));
    assert!(
        fates.unreached(0, Some(1), &id(3), UNREACHED)
            && fates.lost(Some(1))
            && !fates.lost(Some(0))
    );
    assert!(fates.reached(Some(1)) && !fates.lost(Some(1)));
}

#[test]
fn one_server_is_no_zone_and_an_answer_between_clears_it() {
    let mut fates = two();
    for _ in 0..50 {
        assert!(!fates.unreached(0, Some(1), &id(1), UNREACHED));
    }
    for n in 0..50 {
        assert!(!fates.unreached(0, Some(0), &id(n), UNREACHED));
        assert!(!fates.unreached(0, Some(0), &id(n + 1), UNREACHED));
        assert!(!fates.reached(Some(0)));
    }
}

#[test]
fn an_answer_clears_both_who_failed_and_what_it_said() {
    let mut fates = two();
    fates.unreached(0, Some(1), &id(1), UNREACHED);
    fates.unreached(0, Some(1), &id(2), UNREACHED);
    fates.reached(Some(1));
    for _ in 0..9 {
        assert!(!fates.unreached(0, Some(1), &id(3), UNREACHED));
    }
    fates.reached(Some(1));
    assert!(
        (0..3).all(|n| !fates.unreached(0, Some(1), &id(n), SILENT)),
        "silence says less"
    );
}

#[test]
fn the_last_zone_is_never_lost() {
    let mut fates = Fates::default();
    fates.list([None].into_iter());
    for n in 0..9 {
        fates.unreached(0, None, &id(n), UNREACHED);
    }
    assert!(!fates.lost(None));
    let mut fates = two();
    for zone in 0..2 {
        (0..9).for_each(|n| {
            fates.unreached(0, Some(zone), &id(n), UNREACHED);
        });
    }
    assert!(!fates.lost(Some(0)) && !fates.lost(Some(1)));
}

#[test]
fn looks_come_rarely_and_never_end() {
    let mut fates = two();
    (0..3).for_each(|n| {
        fates.unreached(0, Some(1), &id(n), UNREACHED);
    });
    let (mut looks, mut now) = (0, 0);
    while now < 60_000_000 {
        now += fates.plan(now, Some(1)).unwrap().max(1);
        assert_eq!(fates.plan(now, Some(1)), None, "one timer at a time");
        fates.planned_is_due(Some(1));
        looks += u32::from(fates.look(now, Some(1), 0.5));
    }
    assert!((30..=35).contains(&looks), "{looks} looks in a minute");
    assert_eq!(fates.plan(now, Some(0)), None);
}

/// One sound server in a bad zone brings it back whenever it is the one that is asked; the others must not
/// cost a request each time they are met.
#[test]
fn a_zone_with_one_sound_server_costs_few_requests() {
    const SERVERS: usize = 36;
    let (mut fates, mut rng) = (two(), crate::rng::Rng(7));
    let (mut met, mut failed) = (0, 0);
    for step in 0..600 {
        let now = step * 100_000;
        let mut draw = || (rng.next() * SERVERS as f64) as usize;
        let (probed, asked) = (draw(), draw());
        let looks = fates.look(now, Some(1), 0.5);
        if looks && probed == 0 {
            fates.reached(Some(1));
        }
        if fates.lost(Some(1)) {
            continue;
        }
        met += 1;
        if asked == 0 {
            fates.reached(Some(1));
        } else {
            failed += 1;
            fates.unreached(now, Some(1), &id(asked), UNREACHED);
        }
    }
    assert!(
        met > 0 && failed < 60,
        "{failed} of 600 requests were lost to the zone"
    );
}
