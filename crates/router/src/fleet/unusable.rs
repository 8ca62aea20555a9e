//! Log lines and counters of entries of the store that cannot be used.

use std::borrow::Cow;

use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Object;

use super::instance::FleetInstance;
use crate::unusable;
use crate::unusable::UnusableEntry;

/// Counts an entry that cannot be used, and logs it when it is first read.
pub fn record(
    instance: &FleetInstance,
    kind: &'static str,
    object: &Object,
    error: &wire::Error,
    message: &str,
) {
    let reason = match error {
        // The name is logged apart, so that a long one leaves room for the reason.
        wire::Error::Object { reason, .. } => Cow::Borrowed(*reason),
        other => Cow::Owned(other.to_string()),
    };
    record_named(instance, kind, &object.name, &reason, message);
}

/// Counts and logs an entry of which nothing but the name is of interest, if it is malformed.
pub fn record_if_malformed(instance: &FleetInstance, kind: &'static str, object: &Object) {
    if let (true, Err(error)) = (object.is_malformed, object.content()) {
        record(instance, kind, object, &error, "ignoring a malformed entry");
    }
}

/// Counts entries that do not show which object they concern, and logs them when such entries of
/// the kind are first read.
pub fn record_unnamed(instance: &FleetInstance, kind: &'static str, entries: usize) {
    if entries > 0 {
        let reason = "the metadata has no readable name";
        record_named(
            instance,
            kind,
            "",
            reason,
            "ignoring entries without a name",
        );
    }
}

/// Begins the reading of an entry, or of all of a kind if there is no name.
pub fn begin(instance: &FleetInstance, kind: &'static str, name: Option<&str>) {
    instance.unusable_entries.borrow_mut().begin(kind, name);
}

/// Ends a reading: what was not recorded meanwhile can be used or has gone.
pub fn end(instance: &FleetInstance, kind: &'static str, name: Option<&str>) {
    instance.unusable_entries.borrow_mut().end(kind, name);
}

fn record_named(
    instance: &FleetInstance,
    kind: &'static str,
    name: &str,
    reason: &str,
    message: &str,
) {
    let entry = UnusableEntry { kind, name, reason };
    let now = instance.now();
    if unusable::record(&instance.unusable_entries, &entry, message, now) {
        instance.metrics.record_unusable_entry(kind);
    }
}
