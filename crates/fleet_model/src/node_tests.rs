//! Ids of servers.

use crate::node::{endpoint, server_number};

#[test]
fn server_number_is_parsed_from_the_server_id() {
    for server in [0, 9, 123] {
        assert_eq!(server_number(&endpoint(server).server), server);
    }
}
