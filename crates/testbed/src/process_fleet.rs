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

pub(crate) struct Process {
    child: Child,
    /// Its configuration and its log; goes with it.
    folder: tempfile::TempDir,
}

impl Process {
    /// Starts `program run` with this configuration, and waits until it listens. `memcached`: the text of that file.
    ///
    /// # Errors
    /// It cannot be started, ends at once, or does not listen within ten seconds.
    pub(crate) fn start(
        program: &Path,
        name: &str,
        config: &str,
        memcached: Option<&str>,
        listen: SocketAddr,
    ) -> io::Result<Process> {
        let folder = tempfile::Builder::new().prefix(name).tempdir()?;
        let path = folder.path().join("config.json");
        fs::write(&path, config)?;
        let mut command = Command::new(program);
        command
            .arg("run")
            .env("BALANCER_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        command
            .env("TMPDIR", folder.path())
            .stderr(File::create(folder.path().join("log"))?);
        if let Some(text) = memcached {
            let path = folder.path().join("memcached.toml");
            fs::write(&path, text)?;
            command.arg("--memcached").arg(path);
        }
        let mut process = Process {
            child: command.spawn()?,
            folder,
        };
        let begun = Instant::now();
        while TcpStream::connect_timeout(&listen, READY).is_err() {
            if let Some(status) = process.ended() {
                return Err(io::Error::other(format!(
                    "it ended ({status}): {}",
                    process.last_words()
                )));
            }
            if begun.elapsed() > READY {
                return Err(io::ErrorKind::TimedOut.into());
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(process)
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
        let (path, next) = (self.file("config.json"), self.file("config.next"));
        let mut config: serde_json::Value = serde_json::from_str(&fs::read_to_string(&path)?)?;
        config["discovery"] = discovery.to_string().into();
        fs::write(&next, config.to_string())?;
        fs::rename(next, path)
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
