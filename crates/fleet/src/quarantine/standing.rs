//! How certain the end of a process is.

use serde::Deserialize;
use serde::Serialize;

/// How certain the end of a process is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Standing {
    /// A connection was lost, and the process has shown no sign of life since.
    Suspected,
    /// The process has ended.
    Confirmed,
    /// The process, which was suspected to have ended, has shown a sign of life.
    Withdrawn,
}
