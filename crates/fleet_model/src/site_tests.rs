//! The slow period of a site, and the settings derived from a site.

use crate::site::{class_limits, Site, MICROS_PER_SECOND};

#[test]
fn slow_period_includes_its_start_and_excludes_its_end() {
    let site = Site::default().with_slow_origin(10..12, 8.0);
    let slowdowns = [
        10 * MICROS_PER_SECOND - 1,
        10 * MICROS_PER_SECOND,
        12 * MICROS_PER_SECOND - 1,
        12 * MICROS_PER_SECOND,
    ]
    .map(|now| site.origin_slowdown(now));
    assert_eq!(slowdowns, [1.0, 8.0, 8.0, 1.0]);
}

#[test]
fn settings_contain_the_limits_of_each_class() {
    let settings = Site::default().settings();
    for write in [false, true] {
        let limits = class_limits(write);
        let class = &settings.classes[limits.index];
        assert_eq!(class.deadline, limits.deadline);
        assert_eq!(class.latency_objective, limits.latency_objective);
        assert_eq!(class.priority_weight, f64::from(limits.priority_weight));
    }
}

#[test]
fn settings_contain_the_number_of_nodes() {
    let site = Site {
        nodes: 7,
        ..Site::default()
    };
    assert_eq!(site.settings().nodes, 7);
}
