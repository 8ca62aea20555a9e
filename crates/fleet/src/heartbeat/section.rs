//! The sections of a heartbeat, in which optional behaviour reports.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::HeartbeatError;

/// The behaviour that a section reports on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum SectionKind {
    /// Canary rollouts of services.
    Canary = 1,
    /// The demand and the room at upstreams by urgency.
    Room = 2,
    /// The observed speed and pace of upstreams.
    Speed = 3,
}

#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Section {
    kind: u8,
    content: Vec<u8>,
}

/// The maximum size of a section's content in bytes, so that sections add little to a
/// datagram whatever peers send.
pub const MAX_SECTION_BYTES: usize = 4 * 1024;

/// The maximum number of sections.
const MAX_SECTIONS: usize = 8;

/// The reports of optional behaviour, which instances without it skip.
///
/// ```
/// use limpetsaddle_fleet::heartbeat::Heartbeat;
/// use limpetsaddle_fleet::heartbeat::SectionKind;
///
/// let mut heartbeat = Heartbeat::new("a-1", 7, 1);
/// heartbeat.sections.add(SectionKind::Room, &(3_u32, 4_u32))?;
/// let datagram = heartbeat.encode()?.for_recipient(None)?;
/// let (received, _) = Heartbeat::decode(&datagram)?;
/// assert_eq!(received.sections.get(SectionKind::Room)?, Some((3_u32, 4_u32)));
/// assert_eq!(received.sections.get::<u32>(SectionKind::Canary)?, None);
/// # Ok::<(), limpetsaddle_fleet::heartbeat::HeartbeatError>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sections(Vec<Section>);

impl Sections {
    /// Returns whether there are none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a section.
    ///
    /// # Errors
    ///
    /// Returns [`HeartbeatError::Malformed`] if the report cannot be encoded, and
    /// [`HeartbeatError::OversizedSection`] if its encoding is too long.
    pub fn add<T: Serialize>(
        &mut self,
        kind: SectionKind,
        report: &T,
    ) -> Result<(), HeartbeatError> {
        let section = Section {
            kind: kind as u8,
            content: postcard::to_stdvec(report)?,
        };
        section.check_size()?;
        self.0.push(section);
        Ok(())
    }

    /// Returns the report of a section, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`HeartbeatError::Malformed`] if the section is no such report, and
    /// [`HeartbeatError::OversizedSection`] if it is too long.
    pub fn get<T: DeserializeOwned>(&self, kind: SectionKind) -> Result<Option<T>, HeartbeatError> {
        let mut sections = self.0.iter();
        let Some(section) = sections.find(|section| section.kind == kind as u8) else {
            return Ok(None);
        };
        section.check_size()?;
        Ok(Some(postcard::from_bytes(&section.content)?))
    }

    /// Drops the sections beyond the maximum number.
    pub(super) fn truncate(&mut self) {
        self.0.truncate(MAX_SECTIONS);
    }
}

impl Section {
    fn check_size(&self) -> Result<(), HeartbeatError> {
        let bytes = self.content.len();
        if bytes <= MAX_SECTION_BYTES {
            return Ok(());
        }
        Err(HeartbeatError::OversizedSection {
            kind: self.kind,
            bytes,
        })
    }
}
