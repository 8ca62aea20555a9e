//! Signals and the channel that notifies tasks of a planned stop.

use std::io::ErrorKind;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::time::Duration;

use futures::FutureExt as _;
use futures::channel::oneshot;
use futures::future::Shared;
use monoio::io::AsyncReadRent as _;
use monoio::net::UnixStream;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::low_level::pipe;

use crate::errors::Error;
use crate::errors::Result;

/// The sending end of the stop channel: notifies all [`Stopping`] receivers when
/// dropped.
#[derive(Debug)]
pub struct Stopper {
    _tx: oneshot::Sender<()>,
}

/// The receiving end of the stop channel.
#[derive(Clone, Debug)]
pub struct Stopping {
    rx: Shared<oneshot::Receiver<()>>,
}

/// Returns a stop channel.
///
/// ```
/// use limpetsaddle_router::shutdown::channel;
///
/// let (stopper, stopping) = channel();
/// assert!(!stopping.is_closed());
/// drop(stopper);
/// assert!(stopping.is_closed());
/// ```
#[must_use]
pub fn channel() -> (Stopper, Stopping) {
    let (tx, rx) = oneshot::channel();
    (Stopper { _tx: tx }, Stopping { rx: rx.shared() })
}

impl Stopping {
    /// Waits until the stopper has been dropped.
    pub async fn closed(&self) {
        // The sender never sends, so the only result is the cancellation.
        let _ = self.rx.clone().await;
    }

    /// Waits for `span` or until the stopper is dropped, and returns whether the
    /// task is to continue.
    pub async fn pause(&self, span: Duration) -> bool {
        // Both results, the timeout and the stop, end the wait.
        let _ = monoio::time::timeout(span, self.closed()).await;
        !self.is_closed()
    }

    /// Returns whether the stopper has been dropped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.rx.clone().now_or_never().is_some()
    }
}

/// Receives the signals that request a stop, SIGTERM and SIGINT.
pub struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Installs the handlers of SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signals`] if a handler cannot be installed.
    pub fn install() -> Result<Self> {
        let (rx, tx) = StdUnixStream::pair().map_err(Error::Signals)?;
        let copy = tx.try_clone().map_err(Error::Signals)?;
        pipe::register(SIGTERM, tx).map_err(Error::Signals)?;
        pipe::register(SIGINT, copy).map_err(Error::Signals)?;
        Ok(Self {
            stream: receiver(rx)?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        wait_for_byte(&mut self.stream).await;
    }
}

/// Receives SIGHUP, which requests a reload of the settings.
pub struct ReloadSignals {
    stream: UnixStream,
}

impl ReloadSignals {
    /// Installs the handler of SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signals`] if the handler cannot be installed.
    pub fn install() -> Result<Self> {
        let (rx, tx) = StdUnixStream::pair().map_err(Error::Signals)?;
        pipe::register(SIGHUP, tx).map_err(Error::Signals)?;
        Ok(Self {
            stream: receiver(rx)?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        wait_for_byte(&mut self.stream).await;
    }
}

fn receiver(rx: StdUnixStream) -> Result<UnixStream> {
    rx.set_nonblocking(true).map_err(Error::Signals)?;
    UnixStream::from_std(rx).map_err(Error::Signals)
}

async fn wait_for_byte(stream: &mut UnixStream) {
    loop {
        let (read, _) = stream.read(vec![0_u8; 1]).await;
        match read {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => return,
        }
    }
}
