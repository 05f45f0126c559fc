use super::*;

const S: Micros = 1_000_000;

#[test]
fn response_is_undelivered_until_it_is_acknowledged_whatever_follows() {
    let mut delivery = Delivery::default();
    delivery.record_response(100);
    assert!(delivery.is_undelivered(0), "it is not written");
    delivery.record_write(60);
    assert!(delivery.is_undelivered(0));
    delivery.record_write(50);
    assert!(delivery.is_undelivered(11) && !delivery.is_undelivered(10));
}

#[test]
fn delivery_has_stalled_only_while_nothing_is_acknowledged() {
    let mut delivery = Delivery::default();
    delivery.record_write(100 << 10);
    delivery.observe(0, 100 << 10);
    assert!(delivery.is_awaited() && delivery.has_stalled(S, S));
    delivery.observe(S, 60 << 10);
    assert!(!delivery.has_stalled(2 * S - 1, S), "bytes have moved");
    // Further output does not count as movement.
    delivery.record_write(1 << 20);
    delivery.observe(2 * S, (60 << 10) + (1 << 20));
    assert!(delivery.has_stalled(2 * S, S));
    delivery.observe(3 * S, 0);
    assert!(!delivery.is_awaited() && !delivery.has_stalled(99 * S, S));
}
