//! Removal of header fields that concern only one connection.

use http::HeaderMap;
use limpetsaddle_platform_wire::headers::END_TO_END_FIELDS;

/// Removes the hop-by-hop fields of a received message.
///
/// Fields for the next recipient have to be set afterwards, as the sender of the message chooses
/// the names in `Connection`.
pub fn remove(headers: &mut HeaderMap) {
    limpetsaddle_http::remove_hop_by_hop(headers, &END_TO_END_FIELDS);
}
