//! Runs a daemon in a separate process.

use std::fs::File;
use std::io::Read as _;
use std::io::Seek as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;

use super::get;
use super::wait_until;

/// The settings that a daemon is started with.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// The name of the instance.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The address at which the daemon reaches the platform.
    pub platform: SocketAddr,
    /// The listening address for callers.
    pub listen: SocketAddr,
    /// The listening address for operators.
    pub admin: SocketAddr,
    /// The listening address for other instances.
    pub peer: SocketAddr,
    /// The address at which other instances reach the daemon.
    pub advertise: SocketAddr,
    /// The peer addresses to contact at startup.
    pub seeds: Vec<SocketAddr>,
    /// Additional command-line flags.
    pub flags: Vec<String>,
}

/// A running daemon, killed on drop.
pub struct Daemon {
    /// The settings that the daemon was started with.
    pub options: DaemonOptions,
    child: Child,
    log: File,
}

/// The port range for daemons. It lies below the ephemeral ports, so that no
/// outgoing connection occupies a daemon's port while the daemon is down.
const PORTS: std::ops::Range<u32> = 10_000..32_000;

/// The number of ports reserved for each test process.
const PORTS_PER_PROCESS: u32 = 200;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns an address on which nothing listens.
pub fn free_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in PORTS {
        let offset = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + offset % (PORTS.end - PORTS.start);
        let port = u16::try_from(port).expect("the port range fits into u16");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        // Connects instead of binding: a child process that another thread
        // spawns at the same time could inherit a bound socket.
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
    panic!("no free port in the range");
}

impl Daemon {
    /// Starts a daemon.
    pub fn start(options: DaemonOptions) -> Self {
        let log = tempfile::tempfile().expect("failed to create the log file");
        let seeds: Vec<String> = options.seeds.iter().map(ToString::to_string).collect();
        let child = Command::new(env!("CARGO_BIN_EXE_limpetsaddle"))
            .args(["--name", &options.name, "--domain", &options.domain])
            .args(["--platform", &options.platform.to_string()])
            .args(["--listen", &options.listen.to_string()])
            .args(["--admin", &options.admin.to_string()])
            .args(["--peer", &options.peer.to_string()])
            .args(["--advertise", &options.advertise.to_string()])
            .args(["--seeds", &seeds.join(",")])
            .args(&options.flags)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.try_clone().expect("failed to duplicate the log file"))
            .spawn()
            .expect("failed to start the daemon");
        Self {
            options,
            child,
            log,
        }
    }

    /// Returns the listening address for callers.
    pub const fn listen(&self) -> SocketAddr {
        self.options.listen
    }

    /// Returns the process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("invalid process ID"), signal)
            .expect("failed to signal the daemon");
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Starts a graceful stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("exit of the process", || {
            status = self.child.try_wait().expect("failed to query the process");
            status.is_some()
        });
        status.expect("the process has exited")
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts a new one with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        let next = Self::start(self.options.clone());
        *self = next;
    }

    /// Returns whether the daemon reports that it is ready.
    pub fn is_ready(&self) -> bool {
        get(self.options.admin, "/readyz", &[]).status == 200
    }

    /// Waits until the daemon is ready.
    #[track_caller]
    pub fn wait_ready(&self) {
        wait_until("readiness", || self.is_ready());
    }

    /// Returns the daemon's status document.
    pub fn status(&self) -> Value {
        get(self.options.admin, "/status", &[]).json()
    }

    /// Returns the configuration revision that the daemon has applied.
    pub fn revision(&self) -> u64 {
        self.status()["revision"].as_u64().unwrap_or(0)
    }

    /// Returns the value of a metric, 0 if it is absent. `name` is a prefix of
    /// the sample, such as `limpetsaddle_level{of="queued"`.
    pub fn metric(&self, name: &str) -> u64 {
        let text = get(self.options.admin, "/metrics", &[]).body;
        let line = text.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Returns the daemon's log.
    pub fn log(&mut self) -> String {
        let mut text = String::new();
        self.log.rewind().expect("failed to rewind the log");
        self.log
            .read_to_string(&mut text)
            .expect("failed to read the log as UTF-8");
        text
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = self.log();
            eprintln!("log of {}:\n{log}", self.options.name);
        }
    }
}
