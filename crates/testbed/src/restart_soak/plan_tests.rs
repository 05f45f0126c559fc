use super::*;

const DEFAULT_LONGEST_DEADLINE: Micros = 2_000_000;

fn plans() -> impl Iterator<Item = Plan> {
    (1..=300).map(|seed| Plan::draw(seed, DEFAULT_LONGEST_DEADLINE, &Part::ALL))
}

#[test]
fn same_seed_draws_the_same_plan_and_another_seed_another_one() {
    let plan = |seed| Plan::draw(seed, DEFAULT_LONGEST_DEADLINE, &Part::ALL);
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7).restarts, plan(8).restarts);
}

#[test]
fn node_is_not_restarted_again_before_the_kill_time_of_its_previous_restart() {
    for plan in plans() {
        for (index, restart) in plan.restarts.iter().enumerate() {
            let earlier = &plan.restarts[..index];
            if let Some(last) = earlier.iter().rfind(|r| r.node == restart.node) {
                assert!(
                    restart.at >= last.at + plan.kill_after(),
                    "seed {}",
                    plan.seed
                );
            }
        }
    }
}

#[test]
fn drawn_values_are_within_their_ranges() {
    let (mut pressures, mut large) = (0, 0);
    for plan in plans() {
        let nodes = plan.scenario.nodes;
        assert!((2..=6).contains(&nodes) || (20..=30).contains(&nodes));
        assert!((300_000..=20_000_000).contains(&plan.longest_deadline));
        assert!(plan.kill_after() <= 3_700_000);
        for restart in &plan.restarts {
            assert!((200_000..=400_000).contains(&restart.new_connections_for));
            assert!(restart.signals.iter().all(|(at, _)| at.abs() <= 600_000));
        }
        assert!(plan.holds.iter().all(|hold| hold.lasts <= 150_000));
        pressures += usize::from(plan.descriptor_pressure.is_some());
        large += usize::from(nodes > 6);
    }
    assert_eq!(pressures, 100, "a third of the seeds");
    assert!((10..50).contains(&large), "{large}");
}

#[test]
fn parts_that_are_not_selected_are_left_out_and_the_rest_is_unchanged() {
    for seed in 1..=60 {
        let plan = Plan::draw(seed, DEFAULT_LONGEST_DEADLINE, &[]);
        assert!(
            plan.descriptor_pressure.is_none()
                && plan.holds.is_empty()
                && plan.scenario.faults.is_empty()
        );
        assert!(plan
            .restarts
            .iter()
            .all(|restart| restart.signals.is_empty()));
        // The remaining fields are those of the whole plan.
        let whole = Plan::draw(seed, DEFAULT_LONGEST_DEADLINE, &Part::ALL);
        assert_eq!(plan.restarts.len(), whole.restarts.len());
        assert_eq!(plan.connections, whole.connections);
    }
}

#[test]
fn unknown_part_is_rejected_with_the_allowed_names() {
    assert_eq!("holds".parse(), Ok(Part::Holds));
    let error = "hold".parse::<Part>().unwrap_err().to_string();
    assert_eq!(
        error,
        "\"hold\" is not a part of the soak; allowed: servers, signals, descriptors, discovery, holds"
    );
}
