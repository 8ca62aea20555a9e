//! What a quarantine withholds from upstreams.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use crate::part_key::PartKey;
use crate::request_key::RequestKey;

/// Something that requests have in common, and that may end upstreams.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A part of prompts.
    Part(#[serde_as(as = "DisplayFromStr")] PartKey),
    /// The content of requests.
    Request(#[serde_as(as = "DisplayFromStr")] RequestKey),
}

impl Subject {
    /// Returns the kind in logs and metrics.
    #[must_use]
    pub const fn kind(self) -> &'static str {
        match self {
            Self::Part(_) => "part",
            Self::Request(_) => "request",
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(key) => key.fmt(f),
            Self::Request(key) => key.fmt(f),
        }
    }
}

impl From<PartKey> for Subject {
    fn from(key: PartKey) -> Self {
        Self::Part(key)
    }
}

impl From<RequestKey> for Subject {
    fn from(key: RequestKey) -> Self {
        Self::Request(key)
    }
}
