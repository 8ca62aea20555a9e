//! The platform's instance list.

use std::net::SocketAddr;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::InstanceName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::client::Platform;
use crate::counts::Call;
use crate::entries;
use crate::entries::Entries;
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
struct InstancesBody<'a> {
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

impl Platform {
    /// Returns the platform's instance list.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or its response is invalid.
    pub async fn instances(&self) -> Result<Entries<InstanceEntry>> {
        let response = self.read(Call::Read, "/v1/instances").await?;
        let outline = response.outline(entries::LISTED_DEPTH);
        let body: InstancesBody<'_> = response.decode(&outline)?;
        Ok(entries::decode(&outline, &body.instances))
    }
}
