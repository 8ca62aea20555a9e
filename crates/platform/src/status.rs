//! What an instance reports of itself.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::config::Preset;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// An `InstanceStatus` is the value of an instance's record in the collection
/// [`Collection::Status`](crate::Collection::Status), under the instance's name.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceName,
    /// The failure domain that the instance runs in.
    pub domain: DomainName,
    /// The run of the instance.
    pub incarnation: Incarnation,
    /// Where the instance stands in its life.
    pub phase: Phase,
    /// The revision up to which the configuration is in force.
    pub revision: Revision,
    /// The preset in force.
    pub preset: Preset,
    /// The age of the last contact with the platform.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "platform_age_ms")]
    pub platform_age: Duration,
    /// The refusals since the start, by the code of their reason.
    #[serde(default)]
    pub refusals: BTreeMap<Arc<str>, u64>,
}
