//! The platform's list of instances.

use std::net::SocketAddr;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::InstanceName;
use serde::Deserialize;
use serde::Serialize;

use crate::client::Platform;
use crate::counts::Call;
use crate::error::Result;

/// An `InstanceEntry` is one instance in the platform's list, which lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// The instance.
    pub name: InstanceName,
    /// The failure domain that the instance runs in.
    pub domain: DomainName,
    /// The address on which the instance listens for its peers.
    pub address: SocketAddr,
    /// Where the instance stands in its life.
    pub phase: Phase,
}

#[derive(Deserialize)]
struct InstancesBody {
    instances: Vec<InstanceEntry>,
}

impl Platform {
    /// Returns the instances that the platform lists.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no valid answer.
    pub async fn instances(&self) -> Result<Vec<InstanceEntry>> {
        let answer = self.read(Call::Read, "/v1/instances").await?;
        let body: InstancesBody = answer.json()?;
        Ok(body.instances)
    }
}
