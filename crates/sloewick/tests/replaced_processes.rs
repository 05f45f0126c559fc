//! A new process at the address of a cache server that has gone, before the endpoint list tells of it: a write with a key that may
//! have run is not sent to a process of another group. Uses real connections and processes.

mod support;

use std::net::TcpListener;
use std::time::Duration;

use serde_json::{json, Value};
use support::*;

const KEYED_FIELDS: &str = "c=keyed,t=acme,d=20000,k=key-";
/// How long a second attempt is awaited.
const OBSERVATION: Duration = Duration::from_millis(300);

/// Settings with retries and a class that cells deduplicate.
fn cell_settings() -> Value {
    let mut settings = settings_with_keyed_class();
    settings["policy_limits"]["try_limit"] = json!(3);
    settings
}

fn write_command(key: &str, id: &str) -> Vec<u8> {
    let fields = format!("{KEYED_FIELDS}{id}");
    command(&[
        b"C.SET",
        key.as_bytes(),
        id.as_bytes(),
        fields.as_bytes(),
        b"value",
    ])
}

/// A node before two servers of one cell.
struct Cell {
    servers: [TcpListener; 2],
    node: Node,
    client: Peer,
    /// A key whose home is the server with this index, for each.
    keys: [String; 2],
    /// The last connection from the node to each server.
    connections: [Option<Peer>; 2],
}

impl Cell {
    /// Starts the node, and has it send a write to each server.
    fn start() -> Cell {
        Cell::start_with(cell_settings())
    }

    fn start_with(settings: Value) -> Cell {
        let (servers, targets) = two_servers();
        let node = Node::builder().settings(settings).targets(&targets).start();
        let mut cell = Cell {
            client: node.client(),
            servers,
            node,
            keys: Default::default(),
            connections: [None, None],
        };
        for number in 0.. {
            if cell.connections.iter().all(Option::is_some) {
                break;
            }
            let key = format!("k{number}");
            cell.client.send(write_command(&key, &key));
            let (home, mut connection) = accept_either(&cell.servers);
            assert_eq!(connection.read_command()[2], key);
            connection.send(hit_reply(b"receipt"));
            cell.client.read_bulk();
            cell.keys[home] = key;
            if let Some(earlier) = cell.connections[home].replace(connection) {
                earlier.close();
            }
        }
        cell
    }

    /// Ends the process of a server; another one listens at its address.
    fn replace(&mut self, index: usize) {
        if let Some(connection) = self.connections[index].take() {
            connection.reset();
        }
        let old = std::mem::replace(&mut self.servers[index], listener());
        let address = close_listener(old);
        self.servers[index] = TcpListener::bind(address).unwrap();
        std::thread::sleep(Duration::from_millis(50));
    }

    /// Waits until the node has closed its idle connections.
    fn wait_until_unconnected(&mut self) {
        for mut connection in self.connections.iter_mut().filter_map(Option::take) {
            assert!(connection.read_to_end().is_empty());
        }
    }

    /// Accepts the connection with the next write, which must have this id.
    fn accept_write(&mut self, index: usize, id: &str) -> Peer {
        let mut connections: Vec<Peer> = self.connections[index].take().into_iter().collect();
        let server = &self.servers[index];
        assert_eq!(
            next_readable(&mut connections, server).read_command()[2],
            id
        );
        connections.pop().unwrap()
    }

    /// Whether a server gets this id within [`OBSERVATION`].
    fn receives(&mut self, index: usize) -> bool {
        std::thread::sleep(OBSERVATION);
        let has_data = self.connections[index].as_ref().is_some_and(Peer::has_data);
        has_data || try_accept(&self.servers[index]).is_some()
    }
}

#[test]
fn write_that_may_have_run_is_retried_in_its_cell() {
    let mut cell = Cell::start();
    cell.client.send(write_command(&cell.keys[0].clone(), "r1"));
    let mut connection = cell.accept_write(0, "r1");
    connection.send("-ERR failed\r\n");
    assert!(cell.receives(1));
}

#[test]
fn write_that_may_have_run_is_not_retried_at_a_process_that_took_the_address_of_a_server_of_the_cell(
) {
    let mut cell = Cell::start();
    cell.replace(1);
    cell.client.send(write_command(&cell.keys[0].clone(), "r1"));
    let mut connection = cell.accept_write(0, "r1");
    connection.send("-ERR failed\r\n");
    assert!(!cell.receives(1));
    // The server that has got it once knows its key.
    let mut retry = accept_request(&cell.servers[0], "r1");
    retry.send(hit_reply(b"receipt"));
    assert_eq!(cell.client.read_bulk(), b"receipt");
}

#[test]
fn write_that_may_have_run_at_a_process_that_took_the_address_of_a_server_is_not_retried_in_its_cell(
) {
    let mut cell = Cell::start();
    cell.replace(0);
    cell.client.send(write_command(&cell.keys[0].clone(), "r1"));
    let mut connection = cell.accept_write(0, "r1");
    connection.send("-ERR failed\r\n");
    assert!(!cell.receives(1));
    assert_eq!(cell.client.read_line(), FAILED);
}

#[test]
fn write_that_may_have_run_is_not_retried_between_servers_to_which_no_connection_was_open() {
    let mut settings = cell_settings();
    settings["policy_limits"]["conn_idle"] = json!(500.0);
    let mut cell = Cell::start_with(settings);
    cell.wait_until_unconnected();
    // Nobody sees that the server is replaced.
    cell.replace(1);
    cell.client.send(write_command(&cell.keys[0].clone(), "r1"));
    let mut connection = cell.accept_write(0, "r1");
    connection.send("-ERR failed\r\n");
    assert!(!cell.receives(1));
}

#[test]
fn server_that_the_endpoint_list_names_again_is_known() {
    let mut cell = Cell::start();
    cell.replace(1);
    let targets = [
        target("s-1", &cell.servers[0]),
        target("s-2", &cell.servers[1]),
    ];
    let list = endpoint_list(42, true, &targets);
    cell.node.accept_discovery().1.send_http_json(&list);
    std::thread::sleep(OBSERVATION);
    cell.client.send(write_command(&cell.keys[0].clone(), "r1"));
    let mut connection = cell.accept_write(0, "r1");
    connection.send("-ERR failed\r\n");
    assert!(cell.receives(1));
}
