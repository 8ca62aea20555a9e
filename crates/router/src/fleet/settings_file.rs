//! The settings file of a fleet instance.

use std::fs::File;
use std::io;
use std::io::ErrorKind;
use std::io::Read as _;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::Path;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;

use limpetsaddle_fleet::settings::FleetSettings;
use limpetsaddle_platform_wire as wire;
use monoio::io::AsyncReadRent as _;
use monoio::net::UnixStream;

use crate::errors::Error;
use crate::errors::Result;

/// The largest size of a settings file in bytes.
const MAX_BYTES: u64 = 64 * 1024;

/// The settings file, which is read on a thread of its own: a file on a failed mount or a
/// FIFO may block its reader.
pub struct SettingsFile {
    path: PathBuf,
}

impl SettingsFile {
    /// Returns the file that the environment names.
    pub fn from_environment() -> Self {
        let path = std::env::var_os(wire::SETTINGS_VARIABLE)
            .map_or_else(|| PathBuf::from(wire::DEFAULT_SETTINGS_PATH), PathBuf::from);
        Self { path }
    }

    /// Reads and decodes the file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, is too large or has invalid settings.
    pub async fn read(&self) -> Result<FleetSettings> {
        let text = read_on_thread(self.path.clone()).await;
        let text = text.map_err(|source| Error::SettingsFile {
            path: self.path.clone(),
            source,
        })?;
        Ok(wire::settings::decode(&text)?)
    }
}

async fn read_on_thread(path: PathBuf) -> io::Result<String> {
    // Channels of other threads do not wake this runtime; the end of a socket does.
    let (done, end) = StdUnixStream::pair()?;
    end.set_nonblocking(true)?;
    let mut end = UnixStream::from_std(end)?;
    let (tx, rx) = mpsc::channel();
    let reader = thread::Builder::new().name("settings".into());
    reader.spawn(move || {
        // The receiver is gone when the process stops.
        let _ = tx.send(read_text(&path));
        drop(done);
    })?;
    let (closed, _) = end.read(vec![0_u8; 1]).await;
    closed?;
    let result = rx.try_recv();
    result.unwrap_or_else(|_| Err(io::Error::other("the reading thread has panicked")))
}

fn read_text(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    let file = File::open(path)?;
    file.take(MAX_BYTES + 1).read_to_string(&mut text)?;
    if text.len() as u64 > MAX_BYTES {
        let message = format!("larger than {MAX_BYTES} bytes");
        return Err(io::Error::new(ErrorKind::FileTooLarge, message));
    }
    Ok(text)
}
