//! The status that an instance reports.

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

/// The value of an instance's record in
/// [`Collection::Status`](crate::Collection::Status), stored under the instance's name.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceName,
    /// The failure domain that the instance runs in.
    pub domain: DomainName,
    /// The incarnation of the instance's process.
    pub incarnation: Incarnation,
    /// The lifecycle phase of the instance.
    pub phase: Phase,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The preset in force.
    pub preset: Preset,
    /// The time since the last contact with the platform.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "platform_age_ms")]
    pub platform_age: Duration,
    /// The number of refusals since the start, by reason code.
    #[serde(default)]
    pub refusals: BTreeMap<Arc<str>, u64>,
}
