use super::*;

#[test]
fn start_of_a_server_is_converted_to_the_clock_of_the_node() {
    let process_start = 1_700_000_000_000_000;
    assert_eq!(start_on_node_clock(0, process_start, 1_000), None);
    assert_eq!(
        start_on_node_clock(1_700_000_055_000, process_start, 60_000_000),
        Some(55_000_000)
    );
    assert_eq!(
        start_on_node_clock(1_699_999_999_000, process_start, 60_000_000),
        Some(-1_000_000)
    );
    assert_eq!(
        start_on_node_clock(1_700_000_099_000, process_start, 7),
        Some(7)
    );
    assert!(start_on_node_clock(i64::MAX, process_start, 7).is_some_and(|at| at <= 7));
}
