//! Execution of commands.

mod claims;
mod editor;
mod files;
mod inventory;
mod keys;
mod presets;
mod references;
mod status;
mod teams;

use limpetsaddle_platform::Platform;

use crate::command::Command;
use crate::error::Result;
use crate::report::Report;
use crate::settings::Settings;

/// Runs a command.
pub(crate) async fn run(
    platform: &Platform,
    settings: &Settings,
    command: Command,
) -> Result<Report> {
    let timeout = settings.timeout;
    match command {
        Command::TeamCreate(team, change) => teams::create(platform, &team, change, timeout).await,
        Command::TeamSet(team, change) => teams::set(platform, &team, change, timeout).await,
        Command::TeamShow(team) => teams::show(platform, &team).await,
        Command::KeyIssue(team) => keys::issue(platform, &team).await,
        Command::KeyList(team) => keys::list(platform, &team).await,
        Command::KeyWithdraw(team, key) => keys::withdraw(platform, &team, &key).await,
        Command::ClaimShow(team, key) => claims::show(platform, &team, &key).await,
        Command::ClaimRelease(team, key) => claims::release(platform, &team, &key).await,
        Command::PresetShow => presets::show(platform).await,
        Command::PresetSwitch(preset) => presets::switch(platform, preset).await,
        Command::List(kind) => inventory::list(platform, kind).await,
        Command::Retire(kind, name) => inventory::retire(platform, kind, name).await,
        Command::DomainSet(name, region, slots) => {
            inventory::set_domain(platform, name, region, slots).await
        }
        Command::PoolSet(name, pool) => inventory::set_pool(platform, name, pool).await,
        Command::UpstreamSet(name, pool, domain, address) => {
            inventory::set_upstream(platform, name, pool, domain, address).await
        }
        Command::UpstreamLeave(name) => inventory::leave(platform, name).await,
        Command::RouteSet(name, route) => inventory::set_route(platform, name, route).await,
        Command::Validate(path) => files::validate(platform, settings, &path).await,
        Command::Apply(path) => files::apply(platform, &path, timeout).await,
        Command::Status => status::show(platform).await,
        Command::Wait(revision) => {
            status::wait_until_in_force(platform, revision, timeout).await?;
            Ok(Report::InForce(revision))
        }
    }
}
