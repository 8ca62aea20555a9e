//! Display and selection of the presets.

use std::sync::Arc;

use limpetsaddle_core::config::Kind;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Preset;
use limpetsaddle_core::config::PresetsSpec;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::store::PRESETS_NAME;
use limpetsaddle_core::units::Revision;
use limpetsaddle_platform::Platform;

use super::editor;
use crate::error::Error;
use crate::error::Result;
use crate::report::Report;

fn presets_id() -> Result<ObjectId> {
    let name = PRESETS_NAME.parse();
    let name = name.map_err(|e: limpetsaddle_core::Error| Error::invalid(&PRESETS_NAME, e))?;
    Ok(editor::id(Kind::Presets, name))
}

async fn current(platform: &Platform, id: &ObjectId) -> Result<(Revision, PresetsSpec)> {
    let Some(object) = platform.get(id).await? else {
        return Ok((Revision::ABSENT, PresetsSpec::default()));
    };
    let spec = match object.spec.as_deref() {
        Some(Spec::Presets(presets)) => presets.clone(),
        _ => PresetsSpec::default(),
    };
    Ok((object.revision, spec))
}

pub(super) async fn show(platform: &Platform) -> Result<Report> {
    let (_, presets) = current(platform, &presets_id()?).await?;
    Ok(Report::Presets(Arc::new(presets)))
}

pub(super) async fn switch(platform: &Platform, preset: Preset) -> Result<Report> {
    let id = presets_id()?;
    let (revision, mut presets) = current(platform, &id).await?;
    presets.active = preset;
    let spec = Spec::Presets(presets);
    let change = editor::write(platform, &id, revision, Some(&spec)).await?;
    Ok(Report::Written(vec![change]))
}
