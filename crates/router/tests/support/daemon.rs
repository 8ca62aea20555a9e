//! A daemon in a process of its own.

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

/// A `DaemonOptions` tells how a daemon is started.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// The name of the instance.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The address of the platform as the daemon reaches it.
    pub platform: SocketAddr,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The address for other instances.
    pub peer: SocketAddr,
    /// The address under which other instances reach the daemon.
    pub advertise: SocketAddr,
    /// The peer addresses to ask at the start.
    pub seeds: Vec<SocketAddr>,
    /// Further flags.
    pub flags: Vec<String>,
}

/// A `Daemon` is a running daemon, which is killed when this is dropped.
pub struct Daemon {
    /// How the daemon was started.
    pub options: DaemonOptions,
    child: Child,
    log: File,
}

/// The ports for daemons. The system takes ports of outgoing connections from
/// above them, so that none is taken while a daemon is down.
const PORTS: std::ops::Range<u32> = 10_000..32_000;

/// The ports that are set aside for one test process.
const PORTS_PER_PROCESS: u32 = 200;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns an address on which nothing listens.
pub fn free_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in PORTS {
        let offset = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + offset % (PORTS.end - PORTS.start);
        let port = u16::try_from(port).expect("the ports fit");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        // A socket bound here could live on in a child process that another
        // thread is just starting, so the port is tried by connecting.
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
    panic!("no port is free");
}

impl Daemon {
    /// Starts a daemon.
    pub fn start(options: DaemonOptions) -> Self {
        let log = tempfile::tempfile().expect("a file for the log");
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
            .stderr(log.try_clone().expect("a file can be shared"))
            .spawn()
            .expect("the daemon can be started");
        Self {
            options,
            child,
            log,
        }
    }

    /// Returns the address for callers.
    pub const fn listen(&self) -> SocketAddr {
        self.options.listen
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process id"), signal).expect("the daemon runs");
    }

    /// Stops the process without its knowledge.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the daemon to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the end of the process", || {
            status = self.child.try_wait().expect("the process is a child");
            status.is_some()
        });
        status.expect("the process has ended")
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        let next = Self::start(self.options.clone());
        *self = next;
    }

    /// Returns whether the daemon takes requests.
    pub fn is_ready(&self) -> bool {
        get(self.options.admin, "/readyz", &[]).status == 200
    }

    /// Waits until the daemon takes requests.
    #[track_caller]
    pub fn wait_ready(&self) {
        wait_until("readiness", || self.is_ready());
    }

    /// Returns what the daemon reports of itself.
    pub fn status(&self) -> Value {
        get(self.options.admin, "/status", &[]).json()
    }

    /// Returns the revision that the daemon has in force.
    pub fn revision(&self) -> u64 {
        self.status()["revision"].as_u64().unwrap_or(0)
    }

    /// Returns the value of a sample, 0 when there is none. `name` is the
    /// sample's name with one of its labels, such as `limpetsaddle_level{of="queued"`.
    pub fn metric(&self, name: &str) -> u64 {
        let text = get(self.options.admin, "/metrics", &[]).body;
        let line = text.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Returns what the daemon has logged.
    pub fn log(&mut self) -> String {
        let mut text = String::new();
        self.log.rewind().expect("a file can be read again");
        self.log.read_to_string(&mut text).expect("logs are text");
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
