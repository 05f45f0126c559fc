//! A node as a process of its own: the program as operators start it, its configuration in a file, signals for what
//! happens to it. Ends with the value: killed, and waited for, also when it is stopped.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

/// How long a node may take until it listens.
const READY: Duration = Duration::from_secs(10);
/// Bytes of the log's end that are shown of a node that ended unasked.
const WORDS_MOST: usize = 400;

/// What a node's process is started with.
pub(crate) struct ProcessSettings<'a> {
    /// The program; it is started as `PROGRAM run`.
    pub(crate) program: &'a Path,
    /// Its name in logs.
    pub(crate) name: String,
    /// The text of its configuration.
    pub(crate) configuration: &'a str,
    /// The text of its file for the memcached protocol.
    pub(crate) memcached: Option<&'a str>,
    /// It writes the event trace to its log.
    pub(crate) traces: bool,
}

/// What a process uses.
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
    /// Its configuration and its log; goes with it.
    folder: tempfile::TempDir,
}

impl Process {
    /// Starts a process.
    ///
    /// # Errors
    /// Its files can't be written, or it can't be started.
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
    /// It ends at once, or does not listen within ten seconds.
    pub(crate) fn wait_until_listening(&mut self, listen: SocketAddr) -> io::Result<()> {
        let begun = Instant::now();
        while TcpStream::connect_timeout(&listen, READY).is_err() {
            if let Some(status) = self.ended() {
                let words = self.last_words();
                return Err(io::Error::other(format!("it ended ({status}): {words}")));
            }
            if begun.elapsed() > READY {
                return Err(io::ErrorKind::TimedOut.into());
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    /// Its name in logs.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Where its log is.
    pub(crate) fn log(&self) -> PathBuf {
        self.file("log")
    }

    /// The text of its configuration.
    ///
    /// # Errors
    /// The file can't be read.
    pub(crate) fn configuration(&self) -> io::Result<String> {
        fs::read_to_string(self.file("config.json"))
    }

    /// Replaces its configuration, which is complete at each moment. It has to be told (SIGHUP).
    ///
    /// # Errors
    /// The file can't be written.
    pub(crate) fn set_configuration(&self, text: &str) -> io::Result<()> {
        let next = self.file("config.next");
        fs::write(&next, text)?;
        fs::rename(next, self.file("config.json"))
    }

    /// What it uses now; none where the system does not say.
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

    /// A signal to a process that has ended, and was not waited for yet, does nothing.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Discovery is elsewhere from now on: its configuration says so, whole at each moment. It has to be told (SIGHUP).
    ///
    /// # Errors
    /// The file cannot be read or written.
    pub(crate) fn moves(&self, discovery: SocketAddr) -> io::Result<()> {
        let mut config: serde_json::Value = serde_json::from_str(&self.configuration()?)?;
        config["discovery"] = discovery.to_string().into();
        self.set_configuration(&config.to_string())
    }

    /// How it ended, if it has.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// The end of its log.
    pub(crate) fn last_words(&self) -> String {
        let log = fs::read(self.file("log")).unwrap_or_default();
        String::from_utf8_lossy(&log[log.len().saturating_sub(WORDS_MOST)..])
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
