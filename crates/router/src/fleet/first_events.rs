//! Log lines and a histogram of requests that begin on outdated weights.

use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::weights::Outdated;
use limpetsaddle_platform_wire::headers;
use log::info;

use super::forward::Forwarder;
use super::relay::UpstreamResponse;
use crate::clock::millis;

/// Records a response whose first event was made on outdated weights. `sent` is for how
/// long the upstream's weights were outdated when the request was sent.
pub fn record(
    forwarder: &Forwarder<'_>,
    placement: &Placement,
    sent: Option<Outdated>,
    response: &UpstreamResponse,
) {
    let ran_on = headers::response_fields(response.headers()).weights;
    let Some(outdated) = forwarder.outdated(ran_on) else {
        return;
    };
    let source = outdated.source.code();
    let metrics = &forwarder.instance.metrics;
    metrics.record_outdated_weights(outdated.age, source);
    info!(
        id = forwarder.accepted.fields.id.as_deref().unwrap_or_default(),
        upstream:display = placement.upstream,
        weights = ran_on.unwrap_or_default(),
        placed_for = placement.weights.unwrap_or_default(),
        newer = outdated.newer,
        age_ms = millis(outdated.age),
        least_age_ms = millis(outdated.least),
        sent_age_ms:? = sent.map(|sent| millis(sent.age)),
        source,
        expected_ms = millis(placement.expected_latency);
        "request begun on outdated weights"
    );
}
