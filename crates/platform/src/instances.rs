//! The platform's instance list.

use std::net::SocketAddr;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::InstanceName;
use serde::Deserialize;
use serde::Serialize;

use crate::client::Platform;
use crate::counts::Call;
use crate::error::Result;

/// An entry of the platform's instance list, which may be stale.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// The instance.
    pub name: InstanceName,
    /// The failure domain that the instance runs in.
    pub domain: DomainName,
    /// The address on which the instance listens for peers.
    pub address: SocketAddr,
    /// The lifecycle phase of the instance.
    pub phase: Phase,
}

#[derive(Deserialize)]
struct InstancesBody {
    instances: Vec<InstanceEntry>,
}

impl Platform {
    /// Returns the platform's instance list.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or its response is invalid.
    pub async fn instances(&self) -> Result<Vec<InstanceEntry>> {
        let response = self.read(Call::Read, "/v1/instances").await?;
        let body: InstancesBody = response.json()?;
        Ok(body.instances)
    }
}
