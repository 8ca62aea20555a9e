//! Errors of the daemon.

use std::io;
use std::net::SocketAddr;

use thiserror::Error as ThisError;

use crate::settings::SettingErrors;

/// The result of an operation that may fail with the daemon's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error that ends the daemon.
#[derive(Debug, ThisError)]
pub enum Error {
    /// One or more settings are missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingErrors),
    /// The settings file of a fleet could not be read.
    #[error("cannot read the settings file {}: {source}", path.display())]
    SettingsFile {
        /// The path of the file.
        path: std::path::PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The settings file of a fleet is invalid.
    #[error(transparent)]
    FleetSettings(#[from] limpetsaddle_platform_wire::Error),
    /// Standard output could not be set up for logs.
    #[error("cannot set up standard output: {0}")]
    Output(#[source] io::Error),
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The address for other instances could not be bound.
    #[error("cannot serve other instances: {0}")]
    Peers(#[from] limpetsaddle_peer::Error),
    /// The runtime could not be built.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers could not be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The logger could not be installed.
    #[error("cannot install the logger: {0}")]
    Logging(#[from] log::SetLoggerError),
    /// Metrics could not be set up.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] MetricsError),
    /// The operating system provided no random numbers.
    #[error("cannot get random numbers from the operating system: {0}")]
    Random(#[from] getrandom::Error),
}

/// An error in the collection or encoding of metrics.
#[derive(Debug, ThisError)]
pub enum MetricsError {
    /// The exporter could not be registered.
    #[error("cannot register the exporter: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The samples could not be encoded.
    #[error("cannot encode the samples: {0}")]
    Encode(#[from] prometheus::Error),
}
