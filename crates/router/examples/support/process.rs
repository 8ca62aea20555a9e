//! Runs a daemon in a separate process and reads its CPU time and memory.

use std::fs;
use std::io;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

/// The clock ticks per second in which the kernel counts CPU time.
const TICKS_PER_SECOND: u64 = 100;

/// The size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// A running daemon, killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the daemon at `program`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn start(program: &Path, flags: &[String]) -> io::Result<Self> {
        let child = Command::new(program)
            .args(flags)
            .args(["--log-level", "warn"])
            .env_clear()
            .stdin(Stdio::null())
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the CPU time used so far.
    pub fn cpu_time(&self) -> Duration {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        // Fields are counted after the command name, which may contain spaces.
        let fields = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<u64>().ok());
        let ticks = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
        Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
    }

    /// Returns the resident memory in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/statm", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let pages = text.split_whitespace().nth(1);
        pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
