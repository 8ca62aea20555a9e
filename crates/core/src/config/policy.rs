//! Presets and the policy that each puts in force.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::objects::require;
use crate::errors::FieldRule;
use crate::errors::Result;

/// A `Preset` is the mode of operation that operators choose.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Preset {
    /// An ordinary day.
    #[default]
    Ordinary,
    /// A peak.
    Peak,
    /// Maintenance.
    Maintenance,
}

impl Preset {
    /// Every preset.
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

/// A `PresetsSpec` holds the three presets and which one is in force.
///
/// One object holds all of it, so that exactly one preset is in force at any
/// revision.
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
    /// The preset in force.
    pub active: Preset,
    /// The policy of ordinary days.
    pub ordinary: Policy,
    /// The policy of peaks.
    pub peak: Policy,
    /// The policy of maintenance.
    pub maintenance: Policy,
}

impl PresetsSpec {
    /// Returns the policy in force.
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

/// A `Policy` holds the weights and bounds that a preset sets.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Policy {
    /// The weight of recomputed tokens against waiting, in percent.
    pub recompute_weight: u32,
    /// The outstanding requests that an engine gets at most.
    pub max_outstanding: u32,
    /// The requests that an instance queues at most.
    pub max_queued: u32,
    /// The longest wait in an instance's queue.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_wait_ms")]
    pub max_wait: Duration,
    /// The attempts that a request gets at most.
    pub max_attempts: u32,
    /// The retries per hundred requests that an instance permits.
    pub retry_percent: u32,
    /// The extra cost of leaving the caller's failure domain.
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
