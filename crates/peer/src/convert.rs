//! Encoding and decoding of exchange messages.

use std::time::Duration;

use limpetsaddle_core::membership::Replaced;
use limpetsaddle_core::membership::exchange::Completeness;
use limpetsaddle_core::membership::exchange::ExchangeReply;
use limpetsaddle_core::membership::exchange::ExchangeRequest;
use limpetsaddle_core::membership::exchange::PeerState;
use limpetsaddle_core::store::DigestReply;
use limpetsaddle_core::store::DigestRequest;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;

use crate::errors::Result;
use crate::objects::parse;
use crate::objects::read_heartbeats;
use crate::objects::read_objects;
use crate::objects::read_record;
use crate::objects::read_records;
use crate::objects::read_versions;
use crate::objects::size;
use crate::objects::write_heartbeats;
use crate::objects::write_numbers;
use crate::objects::write_objects;
use crate::objects::write_record;
use crate::objects::write_records;
use crate::objects::write_versions;
use crate::peer_capnp::exchange_reply;
use crate::peer_capnp::exchange_request;
use crate::peer_capnp::exchange_request::query;
use crate::peer_capnp::state;
use crate::peer_capnp::state::completeness;

pub fn write_request(
    mut builder: exchange_request::Builder<'_>,
    request: &ExchangeRequest,
) -> Result<()> {
    write_record(builder.reborrow().init_from(), &request.from);
    let records = builder.reborrow().init_rows(size(request.records.len()));
    write_records(records, &request.records);
    let heartbeats = builder
        .reborrow()
        .init_beats(size(request.heartbeats.len()));
    write_heartbeats(heartbeats, &request.heartbeats);
    let unknown: Vec<u64> = request.unknown.iter().map(|i| i.0).collect();
    write_numbers(
        builder.reborrow().init_unknown(size(unknown.len())),
        &unknown,
    );
    builder.set_root(request.root);
    write_query(builder.reborrow().init_query(), &request.query);
    let objects = builder.init_objects(size(request.objects.len()));
    write_objects(objects, &request.objects)
}

fn write_query(mut builder: query::Builder<'_>, request: &DigestRequest) {
    match request {
        DigestRequest::Nothing => builder.set_nothing(()),
        DigestRequest::Root => builder.set_root(()),
        DigestRequest::Versions { buckets, held } => {
            let mut builder = builder.init_versions();
            builder.set_buckets(buckets);
            write_versions(builder.init_held(size(held.len())), held);
        }
    }
}

pub fn read_request(reader: exchange_request::Reader<'_>) -> Result<ExchangeRequest> {
    let unknown = reader.get_unknown()?;
    Ok(ExchangeRequest {
        from: read_record(reader.get_from()?)?,
        records: read_records(reader.get_rows()?)?,
        heartbeats: read_heartbeats(reader.get_beats()?)?,
        unknown: unknown.iter().map(Incarnation).collect(),
        root: reader.get_root(),
        query: read_query(reader.get_query())?,
        objects: read_objects(reader.get_objects()?)?,
    })
}

fn read_query(reader: query::Reader<'_>) -> Result<DigestRequest> {
    Ok(match reader.which()? {
        query::Nothing(()) => DigestRequest::Nothing,
        query::Root(()) => DigestRequest::Root,
        query::Versions(versions) => DigestRequest::Versions {
            buckets: versions.get_buckets()?.to_vec(),
            held: read_versions(versions.get_held()?)?,
        },
    })
}

pub fn write_reply(mut builder: exchange_reply::Builder<'_>, reply: &ExchangeReply) -> Result<()> {
    match reply {
        ExchangeReply::State(state) => write_state(builder.init_state(), state),
        ExchangeReply::Replaced(replaced) => {
            builder.set_replaced(replaced.by.0);
            Ok(())
        }
    }
}

fn write_state(mut builder: state::Builder<'_>, state: &PeerState) -> Result<()> {
    write_record(builder.reborrow().init_from(), &state.from);
    let records = builder.reborrow().init_rows(size(state.records.len()));
    write_records(records, &state.records);
    let heartbeats = builder.reborrow().init_beats(size(state.heartbeats.len()));
    write_heartbeats(heartbeats, &state.heartbeats);
    builder.set_root(state.root);
    let completeness = builder.reborrow().init_completeness();
    write_completeness(completeness, state.completeness);
    let buckets = builder
        .reborrow()
        .init_buckets(size(state.digests.buckets.len()));
    write_numbers(buckets, &state.digests.buckets);
    let objects = builder
        .reborrow()
        .init_objects(size(state.digests.objects.len()));
    write_objects(objects, &state.digests.objects)?;
    let mut wanted = builder
        .reborrow()
        .init_wanted(size(state.digests.wanted.len()));
    for (i, id) in (0..).zip(&state.digests.wanted) {
        wanted.set(i, id.to_string());
    }
    builder.set_more(state.digests.more);
    Ok(())
}

fn write_completeness(mut builder: completeness::Builder<'_>, confirmed: Option<Completeness>) {
    let Some(confirmed) = confirmed else {
        builder.set_unconfirmed(());
        return;
    };
    let mut builder = builder.init_confirmed();
    let millis = u64::try_from(confirmed.age.as_millis()).unwrap_or(u64::MAX);
    builder.set_revision(confirmed.revision.0);
    // Rounded up, so that the confirmation never appears newer than it is.
    builder.set_age_ms(millis.saturating_add(1));
}

pub fn read_reply(reader: exchange_reply::Reader<'_>) -> Result<ExchangeReply> {
    Ok(match reader.which()? {
        exchange_reply::State(state) => ExchangeReply::State(Box::new(read_state(state?)?)),
        exchange_reply::Replaced(by) => ExchangeReply::Replaced(Replaced {
            by: Incarnation(by),
        }),
    })
}

fn read_state(reader: state::Reader<'_>) -> Result<PeerState> {
    let wanted = reader.get_wanted()?;
    Ok(PeerState {
        from: read_record(reader.get_from()?)?,
        records: read_records(reader.get_rows()?)?,
        heartbeats: read_heartbeats(reader.get_beats()?)?,
        root: reader.get_root(),
        completeness: read_completeness(reader.get_completeness())?,
        digests: DigestReply {
            buckets: reader.get_buckets()?.iter().collect(),
            objects: read_objects(reader.get_objects()?)?,
            wanted: wanted.iter().map(|id| parse(id?)).collect::<Result<_>>()?,
            more: reader.get_more(),
        },
    })
}

fn read_completeness(reader: completeness::Reader<'_>) -> Result<Option<Completeness>> {
    Ok(match reader.which()? {
        completeness::Unconfirmed(()) => None,
        completeness::Confirmed(confirmed) => Some(Completeness {
            revision: Revision(confirmed.get_revision()),
            age: Duration::from_millis(confirmed.get_age_ms()),
        }),
    })
}
