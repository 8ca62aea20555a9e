//! Conversions of the messages by which tokens move.

use std::time::Duration;

use capnp::struct_list;
use limpetsaddle_core::limits::Grant;
use limpetsaddle_core::limits::GrantId;
use limpetsaddle_core::limits::GrantReply;
use limpetsaddle_core::limits::GrantReport;
use limpetsaddle_core::limits::GrantRequest;
use limpetsaddle_core::limits::RequestId;
use limpetsaddle_core::limits::TokenRequest;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Tokens;

use crate::errors::Result;
use crate::objects::parse;
use crate::objects::size;
use crate::peer_capnp::grant_reply;
use crate::peer_capnp::grant_reply::offer;
use crate::peer_capnp::grant_report;
use crate::peer_capnp::grant_request;
use crate::peer_capnp::grant_request::ask;

pub fn write_request(mut builder: grant_request::Builder<'_>, request: &GrantRequest) {
    builder.set_from(request.from.as_str());
    builder.set_incarnation(request.incarnation.0);
    builder.set_id(request.id.0);
    write_ask(builder.reborrow().init_ask(), request.tokens.as_ref());
    let mut reports = builder.init_reports(size(request.reports.len()));
    for (i, report) in (0..).zip(&request.reports) {
        write_report(reports.reborrow().get(i), report);
    }
}

fn write_ask(mut builder: ask::Builder<'_>, ask: Option<&TokenRequest>) {
    let Some(ask) = ask else {
        builder.set_nothing(());
        return;
    };
    let mut builder = builder.init_tokens();
    builder.set_team(ask.team.as_str());
    builder.set_slot(ask.slot);
    builder.set_needed(ask.needed.0);
    builder.set_wanted(ask.wanted.0);
    builder.set_partial(ask.partial);
}

fn write_report(mut builder: grant_report::Builder<'_>, report: &GrantReport) {
    builder.set_granter(report.id.incarnation.0);
    builder.set_number(report.id.number);
    builder.set_team(report.team.as_str());
    builder.set_slot(report.slot);
    builder.set_used(report.used.0);
    builder.set_returned(report.returned.0);
}

pub fn read_request(reader: grant_request::Reader<'_>) -> Result<GrantRequest> {
    Ok(GrantRequest {
        from: parse(reader.get_from()?)?,
        incarnation: Incarnation(reader.get_incarnation()),
        id: RequestId(reader.get_id()),
        tokens: read_ask(reader.get_ask())?,
        reports: read_reports(reader.get_reports()?)?,
    })
}

fn read_ask(reader: ask::Reader<'_>) -> Result<Option<TokenRequest>> {
    Ok(match reader.which()? {
        ask::Nothing(()) => None,
        ask::Tokens(ask) => Some(TokenRequest {
            team: parse(ask.get_team()?)?,
            slot: ask.get_slot(),
            needed: Tokens(ask.get_needed()),
            wanted: Tokens(ask.get_wanted()),
            partial: ask.get_partial(),
        }),
    })
}

fn read_reports(reader: struct_list::Reader<'_, grant_report::Owned>) -> Result<Vec<GrantReport>> {
    let read = |reader: grant_report::Reader<'_>| {
        Ok(GrantReport {
            id: GrantId {
                incarnation: Incarnation(reader.get_granter()),
                number: reader.get_number(),
            },
            team: parse(reader.get_team()?)?,
            slot: reader.get_slot(),
            used: Tokens(reader.get_used()),
            returned: Tokens(reader.get_returned()),
        })
    };
    reader.iter().map(read).collect()
}

pub fn write_reply(mut builder: grant_reply::Builder<'_>, reply: &GrantReply) {
    builder.set_request(reply.request.0);
    let millis = u64::try_from(reply.retry_after.as_millis()).unwrap_or(u64::MAX);
    builder.set_retry_after_ms(millis);
    write_offer(builder.init_offer(), reply.grant);
}

fn write_offer(mut builder: offer::Builder<'_>, offer: Option<Grant>) {
    let Some(offer) = offer else {
        builder.set_nothing(());
        return;
    };
    let mut builder = builder.init_tokens();
    builder.set_granter(offer.id.incarnation.0);
    builder.set_number(offer.id.number);
    builder.set_amount(offer.amount.0);
}

pub fn read_reply(reader: grant_reply::Reader<'_>) -> Result<GrantReply> {
    Ok(GrantReply {
        request: RequestId(reader.get_request()),
        grant: read_offer(reader.get_offer())?,
        retry_after: Duration::from_millis(reader.get_retry_after_ms()),
    })
}

fn read_offer(reader: offer::Reader<'_>) -> Result<Option<Grant>> {
    Ok(match reader.which()? {
        offer::Nothing(()) => None,
        offer::Tokens(offer) => Some(Grant {
            id: GrantId {
                incarnation: Incarnation(offer.get_granter()),
                number: offer.get_number(),
            },
            amount: Tokens(offer.get_amount()),
        }),
    })
}
