//! Failure domains, pools, upstreams and routes.

use std::net::SocketAddr;
use std::sync::Arc;

use limpetsaddle_core::config::DomainSpec;
use limpetsaddle_core::config::Kind;
use limpetsaddle_core::config::Phase;
use limpetsaddle_core::config::PoolSpec;
use limpetsaddle_core::config::RouteSpec;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::config::UpstreamSpec;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::ObjectName;
use limpetsaddle_core::names::PoolName;
use limpetsaddle_platform::Platform;

use super::editor;
use super::references;
use crate::command::ObjectKind;
use crate::error::Error;
use crate::error::Result;
use crate::report::Report;

impl ObjectKind {
    const fn id_kind(self) -> Kind {
        match self {
            Self::Domain => Kind::Domain,
            Self::Pool => Kind::Pool,
            Self::Route => Kind::Route,
            Self::Team => Kind::Team,
            Self::Upstream => Kind::Upstream,
        }
    }
}

pub(super) async fn list(platform: &Platform, kind: ObjectKind) -> Result<Report> {
    let mut objects = platform.list().await?.objects;
    objects.retain(|o| o.id.kind == kind.id_kind() && o.spec.is_some());
    objects.sort_by(|a, b| a.id.cmp(&b.id));
    Ok(Report::Objects(objects))
}

pub(super) async fn retire(
    platform: &Platform,
    kind: ObjectKind,
    name: ObjectName,
) -> Result<Report> {
    let id = editor::id(kind.id_kind(), name);
    let object = editor::get_existing(platform, &id).await?;
    let change = editor::write(platform, &id, object.revision, None).await?;
    Ok(Report::Written(vec![change]))
}

/// Creates or replaces an object after checking its references.
async fn set(platform: &Platform, name: ObjectName, spec: Spec) -> Result<Report> {
    let id = editor::id(spec.kind(), name);
    references::check(platform, &id, &spec).await?;
    let expected = editor::current_revision(platform, &id).await?;
    let change = editor::write(platform, &id, expected, Some(&spec)).await?;
    Ok(Report::Written(vec![change]))
}

pub(super) async fn set_domain(
    platform: &Platform,
    name: ObjectName,
    region: DomainName,
    slots: u16,
) -> Result<Report> {
    let spec = DomainSpec { region, slots };
    set(platform, name, Spec::Domain(spec)).await
}

pub(super) async fn set_pool(
    platform: &Platform,
    name: ObjectName,
    pool: PoolSpec,
) -> Result<Report> {
    set(platform, name, Spec::Pool(pool)).await
}

pub(super) async fn set_route(
    platform: &Platform,
    name: ObjectName,
    route: RouteSpec,
) -> Result<Report> {
    set(platform, name, Spec::Route(route)).await
}

pub(super) async fn set_upstream(
    platform: &Platform,
    name: ObjectName,
    pool: PoolName,
    domain: DomainName,
    address: SocketAddr,
) -> Result<Report> {
    let spec = UpstreamSpec {
        pool,
        domain,
        address,
        phase: Phase::Live,
    };
    set(platform, name, Spec::Upstream(spec)).await
}

pub(super) async fn leave(platform: &Platform, name: ObjectName) -> Result<Report> {
    let id = editor::id(Kind::Upstream, name);
    let object = editor::get_existing(platform, &id).await?;
    let Some(Spec::Upstream(upstream)) = object.spec.as_deref() else {
        return Err(Error::NotFound { id });
    };
    let mut upstream = upstream.clone();
    upstream.phase = Phase::Leaving;
    let spec = Arc::new(Spec::Upstream(upstream));
    let change = editor::write(platform, &id, object.revision, Some(&spec)).await?;
    Ok(Report::Written(vec![change]))
}
