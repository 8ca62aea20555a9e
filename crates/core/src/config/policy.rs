//! Presets and their policies.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::objects::require;
use crate::errors::FieldRule;
use crate::errors::Result;

/// A mode of operation that operators select.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Preset {
    /// Ordinary load.
    #[default]
    Ordinary,
    /// Peak load.
    Peak,
    /// Maintenance.
    Maintenance,
}

impl Preset {
    /// All presets.
    pub const ALL: [Self; 3] = [Self::Ordinary, Self::Peak, Self::Maintenance];

    /// Returns the name of the preset.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::Peak => "peak",
            Self::Maintenance => "maintenance",
        }
    }
}

/// A `PresetsSpec` holds the policies of the three presets and selects the active one.
///
/// All of it is one object, so that exactly one preset is active at any revision.
///
/// ```
/// use limpetsaddle_core::config::PresetsSpec;
///
/// let presets = PresetsSpec::default();
/// assert_eq!(presets.active_policy(), &presets.ordinary);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PresetsSpec {
    /// The active preset.
    pub active: Preset,
    /// The policy for ordinary load.
    pub ordinary: Policy,
    /// The policy for peak load.
    pub peak: Policy,
    /// The policy for maintenance.
    pub maintenance: Policy,
}

impl PresetsSpec {
    /// Returns the policy of the active preset.
    #[must_use]
    pub const fn active_policy(&self) -> &Policy {
        match self.active {
            Preset::Ordinary => &self.ordinary,
            Preset::Peak => &self.peak,
            Preset::Maintenance => &self.maintenance,
        }
    }

    pub(super) fn validate(&self) -> Result<()> {
        self.ordinary.validate()?;
        self.peak.validate()?;
        self.maintenance.validate()
    }
}

/// A `Policy` holds the weights and limits of a preset.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Policy {
    /// The weight of prefill time relative to waiting time, in percent.
    pub recompute_weight: u32,
    /// The maximum number of outstanding requests per engine.
    pub max_outstanding: u32,
    /// The maximum number of queued requests per instance.
    pub max_queued: u32,
    /// The maximum wait in an instance's queue.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_wait_ms")]
    pub max_wait: Duration,
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// The maximum number of retries per hundred requests of an instance.
    pub retry_percent: u32,
    /// The extra cost of an upstream in a remote failure domain.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "leave_domain_ms")]
    pub leave_domain: Duration,
    /// Whether non-idempotent requests are admitted.
    pub admit_non_idempotent: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            recompute_weight: 200,
            max_outstanding: 64,
            max_queued: 256,
            max_wait: Duration::from_millis(400),
            max_attempts: 3,
            retry_percent: 10,
            leave_domain: Duration::from_millis(20),
            admit_non_idempotent: true,
        }
    }
}

impl Policy {
    fn validate(&self) -> Result<()> {
        let outstanding = self.max_outstanding > 0;
        require(outstanding, "max_outstanding", FieldRule::Zero)?;
        require(self.max_attempts > 0, "max_attempts", FieldRule::Zero)?;
        require(
            self.retry_percent <= 100,
            "retry_percent",
            FieldRule::TooLarge,
        )
    }
}
