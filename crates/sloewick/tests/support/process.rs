//! Node processes: the commands that start them, their configuration, and control of running ones.

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::{
    accept, endpoint_list, free_address, listener, settings, target, wait_until, Peer, WAIT_LIMIT,
};

/// The bit of SIGHUP in the system's masks of signals.
const HANGUP_BIT: u64 = 1;

/// The command that runs the built program as a node.
pub(crate) fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_sloewick"));
    program.arg("run");
    program
}

/// The command that runs the program as a node with this limit on open descriptors.
pub(crate) fn program_with_descriptor_limit(descriptors: usize) -> Command {
    let mut shell = Command::new("sh");
    let script = format!("ulimit -n {descriptors} && exec \"$0\" run");
    shell.args(["-c", &script, env!("CARGO_BIN_EXE_sloewick")]);
    shell
}

/// The command that runs the program as a node that inherits the clients' listener as descriptor 3, as the platform does
/// for an upgrade.
pub(crate) fn program_inheriting(socket: &TcpListener) -> Command {
    let mut shell = Command::new("/bin/sh");
    let program = env!("CARGO_BIN_EXE_sloewick");
    shell.args(["-c", &format!("exec 3<&0 </dev/null; exec {program} run")]);
    shell.stdin(Stdio::from(std::os::fd::OwnedFd::from(
        socket.try_clone().unwrap(),
    )));
    shell.env("BALANCER_ACCEPT_FD", "3");
    shell
}

/// Raises the limit on this process's own descriptors to the most that it may have.
pub(crate) fn raise_descriptor_limit() {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let maximum = getrlimit(Resource::Nofile).maximum;
    let raised = Rlimit {
        current: maximum,
        maximum,
    };
    setrlimit(Resource::Nofile, raised).unwrap();
}

/// Whether the node accepts connections. The one that finds it out is shut down, not only closed: a process that another
/// test is starting may hold a copy of its descriptor, which would leave it open.
fn listens(address: SocketAddr) -> bool {
    let Ok(connection) = TcpStream::connect(address) else {
        return false;
    };
    // Fails only if the node has reset the connection.
    let _ = connection.shutdown(Shutdown::Both);
    true
}

/// Sends a signal to a process of the test.
pub(crate) fn send_signal(process: u32, name: &str) {
    let kill = Command::new("kill")
        .args([&format!("-{name}"), &process.to_string()])
        .status();
    assert!(kill.unwrap().success());
}

/// A node process, killed when dropped.
pub(crate) struct Node {
    child: Child,
    /// Address at which the node listens for clients.
    pub(crate) address: SocketAddr,
    /// Listener at the configured address of discovery.
    pub(crate) discovery: TcpListener,
    /// The configuration file, removed when the node is dropped.
    file: PathBuf,
}

/// Configuration of a node, and the command that starts it.
pub(crate) struct NodeBuilder {
    command: Command,
    settings: Value,
    targets: Vec<Value>,
    admin: Option<SocketAddr>,
    /// JSON pointers into the configuration, and the values to set there.
    edits: Vec<(&'static str, Value)>,
}

impl NodeBuilder {
    /// Starts the node with this command instead of [`program`].
    pub(crate) fn command(mut self, command: Command) -> NodeBuilder {
        self.command = command;
        self
    }

    pub(crate) fn settings(mut self, settings: Value) -> NodeBuilder {
        self.settings = settings;
        self
    }

    /// Sets the endpoint list in the node's configuration.
    pub(crate) fn targets(mut self, targets: &[Value]) -> NodeBuilder {
        self.targets = targets.to_vec();
        self
    }

    /// Listens for clients at this address instead of a free one.
    pub(crate) fn listen(self, address: SocketAddr) -> NodeBuilder {
        self.set("/listen", address.to_string())
    }

    /// Serves the admin interface at this address.
    pub(crate) fn admin(mut self, address: SocketAddr) -> NodeBuilder {
        self.admin = Some(address);
        self
    }

    /// Sets an existing field of the configuration, given as a JSON pointer.
    pub(crate) fn set(mut self, pointer: &'static str, value: impl Into<Value>) -> NodeBuilder {
        self.edits.push((pointer, value.into()));
        self
    }

    /// Starts the node and waits until it accepts clients.
    pub(crate) fn start(mut self) -> Node {
        let discovery = listener();
        let mut config = json!({
            "name": "n1", "listen": free_address().to_string(),
            "discovery": discovery.local_addr().unwrap().to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": endpoint_list(41, true, &self.targets), "settings": self.settings,
        });
        if let Some(admin) = self.admin {
            config["ops"] = json!(admin.to_string());
        }
        for (pointer, value) in self.edits {
            *config.pointer_mut(pointer).expect(pointer) = value;
        }
        let address: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
        let name = format!("{}-{}", config["discovery"].as_str().unwrap(), address);
        let name = name.replace([':', '.'], "-");
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        std::fs::write(&file, config.to_string()).unwrap();
        let child = self.command.env("BALANCER_CONFIG", &file).spawn().unwrap();
        let node = Node {
            child,
            address,
            discovery,
            file,
        };
        let started = Instant::now();
        while !listens(address) {
            assert!(started.elapsed() < WAIT_LIMIT, "the node does not listen");
            std::thread::sleep(Duration::from_millis(5));
        }
        node
    }
}

impl Node {
    /// A builder of a node with an empty endpoint list and the default [`settings`].
    pub(crate) fn builder() -> NodeBuilder {
        NodeBuilder {
            command: program(),
            settings: settings(),
            targets: Vec::new(),
            admin: None,
            edits: Vec::new(),
        }
    }

    /// A builder of a node in front of one cache server.
    pub(crate) fn before(server: &TcpListener) -> NodeBuilder {
        Node::builder().targets(&[target("s-1", server)])
    }

    /// Starts a node in front of one cache server.
    pub(crate) fn with_server(server: &TcpListener) -> Node {
        Node::before(server).start()
    }

    /// Starts a node in front of one cache server; returns it with the address of its admin interface.
    pub(crate) fn with_admin(server: &TcpListener) -> (Node, SocketAddr) {
        let admin = free_address();
        (Node::before(server).admin(admin).start(), admin)
    }

    /// Connects a client to the node.
    pub(crate) fn client(&self) -> Peer {
        Peer::new(TcpStream::connect(self.address).unwrap())
    }

    /// Sends the process this signal, named as for `kill`.
    pub(crate) fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Stops the process with SIGSTOP and waits until it has stopped. When it continues, it finds all events that happened
    /// meanwhile at once.
    pub(crate) fn pause(&self) {
        self.signal("STOP");
        let started = Instant::now();
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        while !state().rsplit_once(')').unwrap().1.starts_with(" T") {
            assert!(started.elapsed() < WAIT_LIMIT, "the process is not stopped");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Replaces the configuration file atomically and signals the node (SIGHUP) to reload it.
    pub(crate) fn reload(&self, text: &str) {
        self.replace_config(text);
        wait_until("SIGHUP is handled", || self.handles_hangup());
        self.signal("HUP");
    }

    /// Whether the program has installed its handler of SIGHUP. Before that, the signal ends any process.
    fn handles_hangup(&self) -> bool {
        let caught = self.status_field("SigCgt:").unwrap_or_default();
        u64::from_str_radix(&caught, 16).is_ok_and(|caught| caught & HANGUP_BIT != 0)
    }

    /// Replaces the configuration file atomically, without a signal.
    pub(crate) fn replace_config(&self, text: &str) {
        let next = self.file.with_extension("next");
        std::fs::write(&next, text).unwrap();
        std::fs::rename(&next, &self.file).unwrap();
    }

    /// The text of the node's configuration file.
    pub(crate) fn config(&self) -> String {
        std::fs::read_to_string(&self.file).unwrap()
    }

    /// Shuts the node down and returns all that it has written to standard error, which must be piped.
    pub(crate) fn shut_down_and_read_stderr(&mut self) -> String {
        self.signal("TERM");
        assert!(self.wait().success());
        let mut text = String::new();
        self.child
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut text)
            .unwrap();
        text
    }

    /// Takes the node's standard error, which must be piped.
    pub(crate) fn stderr(&mut self) -> std::process::ChildStderr {
        self.child.stderr.take().unwrap()
    }

    /// Waits until the process exits by itself.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(started.elapsed() < WAIT_LIMIT, "the node does not exit");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether the process has ended by itself.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// The process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory in megabytes.
    pub(crate) fn memory_mb(&self) -> usize {
        self.status_kilobytes("VmRSS:") / 1024
    }

    /// The highest resident memory since the process started, in kilobytes.
    pub(crate) fn peak_memory_kb(&self) -> usize {
        self.status_kilobytes("VmHWM:")
    }

    /// Resident memory in kilobytes.
    pub(crate) fn memory_kb(&self) -> usize {
        self.status_kilobytes("VmRSS:")
    }

    fn status_kilobytes(&self, field: &str) -> usize {
        self.status_field(field).unwrap().parse().unwrap()
    }

    /// The first word of a field in the system's status of the process.
    fn status_field(&self, field: &str) -> Option<String> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with(field))?;
        line.split_whitespace().nth(1).map(str::to_string)
    }

    /// Accepts the node's next request to discovery; returns its path and the connection to respond on.
    pub(crate) fn accept_discovery(&self) -> (String, Peer) {
        let mut peer = accept(&self.discovery);
        let header = peer.read_until(b"\r\n\r\n");
        let text = String::from_utf8(header).unwrap();
        (text.split(' ').nth(1).unwrap().to_string(), peer)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
