//! Encoding and decoding of the messages that transfer tokens.

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
    write_tokens(builder.reborrow().init_ask(), request.tokens.as_ref());
    let mut reports = builder.init_reports(size(request.reports.len()));
    for (i, report) in (0..).zip(&request.reports) {
        write_report(reports.reborrow().get(i), report);
    }
}

fn write_tokens(mut builder: ask::Builder<'_>, tokens: Option<&TokenRequest>) {
    let Some(tokens) = tokens else {
        builder.set_nothing(());
        return;
    };
    let mut builder = builder.init_tokens();
    builder.set_team(tokens.team.as_str());
    builder.set_slot(tokens.slot);
    builder.set_needed(tokens.needed.0);
    builder.set_wanted(tokens.wanted.0);
    builder.set_partial(tokens.partial);
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
        tokens: read_tokens(reader.get_ask())?,
        reports: read_reports(reader.get_reports()?)?,
    })
}

fn read_tokens(reader: ask::Reader<'_>) -> Result<Option<TokenRequest>> {
    Ok(match reader.which()? {
        ask::Nothing(()) => None,
        ask::Tokens(tokens) => Some(TokenRequest {
            team: parse(tokens.get_team()?)?,
            slot: tokens.get_slot(),
            needed: Tokens(tokens.get_needed()),
            wanted: Tokens(tokens.get_wanted()),
            partial: tokens.get_partial(),
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
    write_grant(builder.init_offer(), reply.grant);
}

fn write_grant(mut builder: offer::Builder<'_>, grant: Option<Grant>) {
    let Some(grant) = grant else {
        builder.set_nothing(());
        return;
    };
    let mut builder = builder.init_tokens();
    builder.set_granter(grant.id.incarnation.0);
    builder.set_number(grant.id.number);
    builder.set_amount(grant.amount.0);
}

pub fn read_reply(reader: grant_reply::Reader<'_>) -> Result<GrantReply> {
    Ok(GrantReply {
        request: RequestId(reader.get_request()),
        grant: read_grant(reader.get_offer())?,
        retry_after: Duration::from_millis(reader.get_retry_after_ms()),
    })
}

fn read_grant(reader: offer::Reader<'_>) -> Result<Option<Grant>> {
    Ok(match reader.which()? {
        offer::Nothing(()) => None,
        offer::Tokens(grant) => Some(Grant {
            id: GrantId {
                incarnation: Incarnation(grant.get_granter()),
                number: grant.get_number(),
            },
            amount: Tokens(grant.get_amount()),
        }),
    })
}
