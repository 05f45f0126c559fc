//! A node as a process of its own, started as operators start it: configured by a file and controlled by signals. The
//! process is killed and waited for when its value is dropped, also while it is stopped by SIGSTOP.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

/// How long a node may take after its start until it listens.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How many bytes of the end of its log are shown for a node that ended unexpectedly.
const MAX_LOG_TAIL: usize = 400;

/// Settings of a node's process.
pub(crate) struct ProcessSettings<'a> {
    /// Path of the program, which is started as `PROGRAM run`.
    pub(crate) program: &'a Path,
    /// The node's name in logs.
    pub(crate) name: String,
    /// The node's configuration (JSON).
    pub(crate) configuration: &'a str,
    /// The memcached configuration (TOML); None if the node does not serve the memcached protocol.
    pub(crate) memcached: Option<&'a str>,
    /// Whether the node writes the event trace to its log.
    pub(crate) traces: bool,
}

/// Resources that a process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProcessUsage {
    /// Open descriptors.
    pub(crate) descriptors: usize,
    /// Resident memory in MB.
    pub(crate) memory_mb: usize,
}

/// A node's process.
pub(crate) struct Process {
    child: Child,
    name: String,
    /// Holds the configuration and the log; deleted when the value is dropped.
    folder: tempfile::TempDir,
}

impl Process {
    /// Starts a process.
    ///
    /// # Errors
    /// The files can't be written, or the program can't be started.
    pub(crate) fn spawn(settings: &ProcessSettings<'_>) -> io::Result<Process> {
        let folder = tempfile::Builder::new().prefix(&settings.name).tempdir()?;
        let path = folder.path().join("config.json");
        fs::write(&path, settings.configuration)?;
        let mut command = Command::new(settings.program);
        command
            .arg("run")
            .env("BALANCER_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        command
            .env("TMPDIR", folder.path())
            .stderr(File::create(folder.path().join("log"))?);
        if settings.traces {
            command.arg("--trace");
        }
        if let Some(text) = settings.memcached {
            let path = folder.path().join("memcached.toml");
            fs::write(&path, text)?;
            command.arg("--memcached").arg(path);
        }
        Ok(Process {
            child: command.spawn()?,
            name: settings.name.clone(),
            folder,
        })
    }

    /// Waits until the process listens.
    ///
    /// # Errors
    /// The process ends before it listens, or does not listen within ten seconds.
    pub(crate) fn wait_until_listening(&mut self, listen: SocketAddr) -> io::Result<()> {
        let started = Instant::now();
        while TcpStream::connect_timeout(&listen, READY_TIMEOUT).is_err() {
            if let Some(status) = self.ended() {
                let log_tail = self.log_tail();
                return Err(io::Error::other(format!(
                    "process ended before it listened on {listen} ({status}): {log_tail}"
                )));
            }
            if started.elapsed() > READY_TIMEOUT {
                return Err(io::ErrorKind::TimedOut.into());
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    /// The node's name in logs.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Path of the log.
    pub(crate) fn log(&self) -> PathBuf {
        self.file("log")
    }

    /// Reads the configuration file.
    ///
    /// # Errors
    /// The file can't be read.
    pub(crate) fn configuration(&self) -> io::Result<String> {
        fs::read_to_string(self.file("config.json"))
    }

    /// Replaces the configuration file atomically. The process reads it on SIGHUP.
    ///
    /// # Errors
    /// The file can't be written.
    pub(crate) fn set_configuration(&self, text: &str) -> io::Result<()> {
        let next = self.file("config.next");
        fs::write(&next, text)?;
        fs::rename(next, self.file("config.json"))
    }

    /// The process's current resource usage; None if /proc does not report it.
    pub(crate) fn usage(&self) -> Option<ProcessUsage> {
        let id = self.child.id();
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: usize = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(ProcessUsage {
            descriptors,
            memory_mb: kilobytes / 1024,
        })
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Sends a signal. A process that has ended and was not waited for yet ignores it.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Replaces the address of discovery in the configuration file atomically. The process reads it on SIGHUP.
    ///
    /// # Errors
    /// The file can't be read, parsed or written.
    pub(crate) fn moves(&self, discovery: SocketAddr) -> io::Result<()> {
        let mut config: serde_json::Value = serde_json::from_str(&self.configuration()?)?;
        config["discovery"] = discovery.to_string().into();
        self.set_configuration(&config.to_string())
    }

    /// The exit status; None while the process runs.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// The end of the log, at most `MAX_LOG_TAIL` bytes.
    pub(crate) fn log_tail(&self) -> String {
        let log = fs::read(self.file("log")).unwrap_or_default();
        String::from_utf8_lossy(&log[log.len().saturating_sub(MAX_LOG_TAIL)..])
            .trim()
            .to_string()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL ends a stopped process too.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
