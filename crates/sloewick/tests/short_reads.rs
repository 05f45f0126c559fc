//! No request is lost when reads from sockets are interrupted or return fewer bytes than are available.

mod support;

use support::*;

const REQUESTS: usize = 20;

// Guards against a node that treats a short read as the sign of an empty socket: the remaining bytes would stay unread,
// since edge-triggered polling does not report them again.
#[test]
fn requests_read_in_pieces_are_forwarded_and_get_their_replies() {
    let server = listener();
    let mut command = program();
    command.env("LD_PRELOAD", preload_library("short_reads"));
    let node = Node::before(&server).command(command).start();
    let value = vec![b'v'; 300];
    let mut cache = CacheServer::new(server, |_, _| Some(hit_reply(&value)));
    let mut client = node.client();
    for n in 0..REQUESTS {
        client.send_get(&format!("r{n}"));
        let reply_arrived = || {
            cache.poll();
            client.has_data()
        };
        wait_until("the client has a reply", reply_arrived);
        assert_eq!(client.read_bulk(), value);
    }
}
