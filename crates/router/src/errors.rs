//! Errors of the daemon.

use std::io;
use std::net::SocketAddr;

use thiserror::Error as ThisError;

use crate::settings::SettingErrors;

/// A `Result` whose error is the daemon's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An `Error` ends the daemon.
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
    /// The settings file of a fleet is not usable.
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
    /// The exporter of metrics could not be built.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] MetricsError),
    /// The operating system gave no random number.
    #[error("no random numbers: {0}")]
    Random(#[from] getrandom::Error),
}

/// A `MetricsError` tells why metrics cannot be collected or printed.
#[derive(Debug, ThisError)]
pub enum MetricsError {
    /// The exporter could not be registered.
    #[error("cannot register the exporter: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The samples could not be encoded.
    #[error("cannot encode the samples: {0}")]
    Encode(#[from] prometheus::Error),
}
