//! Keys of callers.

use limpetsaddle_core::config::KeyRecord;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::config::TeamSpec;
use limpetsaddle_core::keys::SECRET_BYTES;
use limpetsaddle_core::names::KeyId;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::units::Revision;
use limpetsaddle_platform::Platform;

use super::editor;
use super::teams;
use crate::error::Error;
use crate::error::Result;
use crate::report::KeyReport;
use crate::report::Report;

async fn team(platform: &Platform, team: &TeamName) -> Result<(ObjectId, Revision, TeamSpec)> {
    let id = teams::id(team)?;
    let object: Object = editor::get_existing(platform, &id).await?;
    match object.spec.as_deref() {
        Some(Spec::Team(spec)) => Ok((id, object.revision, spec.clone())),
        _ => Err(Error::NotFound { id }),
    }
}

fn random<const N: usize>() -> Result<[u8; N]> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(Error::Random)?;
    Ok(bytes)
}

fn new_key_id() -> Result<KeyId> {
    let text = format!("{:016x}", u64::from_be_bytes(random()?));
    text.parse()
        .map_err(|e: limpetsaddle_core::Error| Error::invalid(&text, e))
}

pub(super) async fn issue(platform: &Platform, name: &TeamName) -> Result<Report> {
    let (id, revision, mut spec) = team(platform, name).await?;
    let secret: [u8; SECRET_BYTES] = random()?;
    let key = limpetsaddle_core::keys::issue_key(&new_key_id()?, secret);
    spec.keys.push(key.record.clone());
    // The key is returned only after the platform has confirmed the write.
    let change = editor::write(platform, &id, revision, Some(&Spec::Team(spec))).await?;
    Ok(Report::Key(KeyReport {
        team: name.clone(),
        id: key.record.id,
        key: key.text,
        revision: change.revision,
    }))
}

pub(super) async fn list(platform: &Platform, name: &TeamName) -> Result<Report> {
    let (_, _, spec) = team(platform, name).await?;
    Ok(Report::Keys(spec.keys))
}

pub(super) async fn withdraw(platform: &Platform, name: &TeamName, key: &KeyId) -> Result<Report> {
    let (id, revision, mut spec) = team(platform, name).await?;
    let found = spec.keys.iter_mut().find(|k: &&mut KeyRecord| k.id == *key);
    let Some(record) = found else {
        return Err(Error::KeyNotFound {
            team: name.clone(),
            key: key.clone(),
        });
    };
    record.withdrawn = true;
    let change = editor::write(platform, &id, revision, Some(&Spec::Team(spec))).await?;
    Ok(Report::Written(vec![change]))
}
