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

/// Installed signal handlers.
///
/// Signals are kept from the installation on, which needs no runtime, until they are
/// received.
pub struct SignalHandlers {
    rx: StdUnixStream,
}

impl SignalHandlers {
    /// Installs the handlers of SIGTERM and SIGINT, which request a stop.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signals`] if a handler cannot be installed.
    pub fn for_stop() -> Result<Self> {
        Self::install(&[SIGTERM, SIGINT])
    }

    /// Installs the handler of SIGHUP, which requests a reload of the settings.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signals`] if the handler cannot be installed.
    pub fn for_reload() -> Result<Self> {
        Self::install(&[SIGHUP])
    }

    fn install(signals: &[i32]) -> Result<Self> {
        let (rx, tx) = StdUnixStream::pair().map_err(Error::Signals)?;
        for signal in signals {
            let copy = tx.try_clone().map_err(Error::Signals)?;
            pipe::register(*signal, copy).map_err(Error::Signals)?;
        }
        Ok(Self { rx })
    }

    /// Returns the receiver of the signals; to be called within a runtime.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signals`] if the runtime cannot watch for signals.
    pub fn into_signals(self) -> Result<Signals> {
        self.rx.set_nonblocking(true).map_err(Error::Signals)?;
        let stream = UnixStream::from_std(self.rx).map_err(Error::Signals)?;
        Ok(Signals { stream })
    }
}

/// Receives signals.
pub struct Signals {
    stream: UnixStream,
}

/// The number of signals that are received as one.
const MAX_PENDING_SIGNALS: usize = 1_024;

impl Signals {
    /// Waits for the next signal.
    pub async fn next(&mut self) {
        self.read(1).await;
    }

    /// Waits for the next signal, and receives those that have arrived by then as one.
    pub async fn next_series(&mut self) {
        self.read(MAX_PENDING_SIGNALS).await;
    }

    async fn read(&mut self, max: usize) {
        loop {
            let (read, _) = self.stream.read(vec![0_u8; max]).await;
            match read {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }
}
