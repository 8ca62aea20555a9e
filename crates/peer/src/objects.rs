//! Encoding and decoding of configuration objects and member records.

use std::sync::Arc;

use capnp::primitive_list;
use capnp::struct_list;
use capnp::text;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Phase;
use limpetsaddle_core::membership::Heartbeat;
use limpetsaddle_core::membership::MemberRecord;
use limpetsaddle_core::store::ObjectVersion;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;

use crate::errors::Result;
use crate::peer_capnp::Phase as WirePhase;
use crate::peer_capnp::beat;
use crate::peer_capnp::object;
use crate::peer_capnp::row;
use crate::peer_capnp::version;

/// Returns `len` as a list size of the schema, the maximum for any list in a message.
pub fn size(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

pub fn parse<T>(text: text::Reader<'_>) -> Result<T>
where
    T: std::str::FromStr<Err = limpetsaddle_core::Error>,
{
    Ok(text.to_str()?.parse()?)
}

const fn write_phase(phase: Phase) -> WirePhase {
    match phase {
        Phase::Live => WirePhase::Live,
        Phase::Leaving => WirePhase::Leaving,
    }
}

const fn read_phase(phase: WirePhase) -> Phase {
    match phase {
        WirePhase::Live => Phase::Live,
        WirePhase::Leaving => Phase::Leaving,
    }
}

pub fn write_record(mut builder: row::Builder<'_>, record: &MemberRecord) {
    builder.set_name(record.name.as_str());
    builder.set_incarnation(record.incarnation.0);
    builder.set_domain(record.domain.as_str());
    builder.set_address(record.address.to_string());
    builder.set_phase(write_phase(record.phase));
    builder.set_heartbeat(record.heartbeat);
    builder.set_revision(record.revision.0);
}

pub fn read_record(reader: row::Reader<'_>) -> Result<MemberRecord> {
    Ok(MemberRecord {
        name: parse(reader.get_name()?)?,
        incarnation: Incarnation(reader.get_incarnation()),
        domain: parse(reader.get_domain()?)?,
        address: reader.get_address()?.to_str()?.parse()?,
        phase: read_phase(reader.get_phase()?),
        heartbeat: reader.get_heartbeat(),
        revision: Revision(reader.get_revision()),
    })
}

pub fn write_records(mut builder: struct_list::Builder<'_, row::Owned>, records: &[MemberRecord]) {
    for (i, record) in (0..).zip(records) {
        write_record(builder.reborrow().get(i), record);
    }
}

pub fn read_records(reader: struct_list::Reader<'_, row::Owned>) -> Result<Vec<MemberRecord>> {
    reader.iter().map(read_record).collect()
}

pub fn write_heartbeats(
    mut builder: struct_list::Builder<'_, beat::Owned>,
    heartbeats: &[Heartbeat],
) {
    for (i, heartbeat) in (0..).zip(heartbeats) {
        let mut builder = builder.reborrow().get(i);
        builder.set_incarnation(heartbeat.incarnation.0);
        builder.set_heartbeat(heartbeat.heartbeat);
        builder.set_phase(write_phase(heartbeat.phase));
        builder.set_revision(heartbeat.revision.0);
    }
}

pub fn read_heartbeats(reader: struct_list::Reader<'_, beat::Owned>) -> Result<Vec<Heartbeat>> {
    let read = |reader: beat::Reader<'_>| {
        Ok(Heartbeat {
            incarnation: Incarnation(reader.get_incarnation()),
            heartbeat: reader.get_heartbeat(),
            phase: read_phase(reader.get_phase()?),
            revision: Revision(reader.get_revision()),
        })
    };
    reader.iter().map(read).collect()
}

pub fn write_numbers(mut builder: primitive_list::Builder<'_, u64>, numbers: &[u64]) {
    for (i, number) in (0..).zip(numbers) {
        builder.set(i, *number);
    }
}

pub fn write_versions(
    mut builder: struct_list::Builder<'_, version::Owned>,
    versions: &[ObjectVersion],
) {
    for (i, version) in (0..).zip(versions) {
        let mut builder = builder.reborrow().get(i);
        builder.set_id(version.id.to_string());
        builder.set_revision(version.revision.0);
        builder.set_rejected(version.rejected.0);
    }
}

pub fn read_versions(
    reader: struct_list::Reader<'_, version::Owned>,
) -> Result<Vec<ObjectVersion>> {
    let read = |reader: version::Reader<'_>| {
        Ok(ObjectVersion {
            id: parse::<ObjectId>(reader.get_id()?)?,
            revision: Revision(reader.get_revision()),
            rejected: Revision(reader.get_rejected()),
        })
    };
    reader.iter().map(read).collect()
}

pub fn write_objects(
    mut builder: struct_list::Builder<'_, object::Owned>,
    objects: &[Object],
) -> Result<()> {
    for (i, object) in (0..).zip(objects) {
        let mut builder = builder.reborrow().get(i);
        builder.set_id(object.id.to_string());
        builder.set_revision(object.revision.0);
        if let Some(spec) = &object.spec {
            builder.set_spec(&serde_json::to_vec(spec)?);
        }
    }
    Ok(())
}

pub fn read_objects(reader: struct_list::Reader<'_, object::Owned>) -> Result<Vec<Object>> {
    reader.iter().map(read_object).collect()
}

fn read_object(reader: object::Reader<'_>) -> Result<Object> {
    let content = reader.get_spec()?;
    let spec = if content.is_empty() {
        None
    } else {
        Some(Arc::new(serde_json::from_slice(content)?))
    };
    Ok(Object {
        id: parse(reader.get_id()?)?,
        revision: Revision(reader.get_revision()),
        spec,
    })
}
