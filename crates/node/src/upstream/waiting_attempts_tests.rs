use super::*;

fn attempt(request: usize) -> AttemptId {
    AttemptId {
        request,
        serial: request as u64,
        attempt: 0,
    }
}

/// Takes all attempts that wait for a server, where each client has as many open requests as attempts that wait.
fn take_all(waiting: &mut WaitingAttempts, server: &ServerId, open: &[usize]) -> Vec<usize> {
    let mut taken = Vec::new();
    while let Some(attempt) = waiting.take_next(server, |client| open[client]) {
        taken.push(attempt.request);
    }
    taken
}

#[test]
fn client_with_fewest_open_requests_is_first_and_then_the_longest_waiting() {
    let (a, b) = (ServerId::from("a"), ServerId::from("b"));
    let mut waiting = WaitingAttempts::default();
    for request in 0..4 {
        waiting.add(&a, 0, attempt(request));
    }
    waiting.add(&a, 1, attempt(4));
    waiting.add(&a, 2, attempt(5));
    waiting.add(&b, 3, attempt(6));
    // Added once more after it could not get a connection.
    waiting.add(&a, 0, attempt(0));
    assert_eq!(waiting.len(&a), 6);
    let open = [4, 2, 2, 1];
    assert_eq!(take_all(&mut waiting, &a, &open), [4, 5, 0, 1, 2, 3]);
    assert_eq!(waiting.servers(), std::slice::from_ref(&b));
    assert_eq!(take_all(&mut waiting, &b, &open), [6]);
    assert!(waiting.servers().is_empty());
}

#[test]
fn attempts_that_no_longer_wait_are_removed() {
    let server = ServerId::from("a");
    let mut waiting = WaitingAttempts::default();
    for request in 0..10 {
        waiting.add(&server, request % 2, attempt(request));
    }
    waiting.retain(|attempt| attempt.request >= 8);
    assert_eq!(waiting.len(&server), 2);
    assert_eq!(take_all(&mut waiting, &server, &[1, 1]), [8, 9]);
    waiting.add(&server, 0, attempt(10));
    waiting.retain(|_| false);
    assert!(waiting.servers().is_empty());
}
