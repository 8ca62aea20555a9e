//! Log lines of entries of a store that cannot be used.

use std::cell::RefCell;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::unusable_entries::UnusableEntries;
use log::warn;

/// The maximum length of a name or a reason in a log line, in characters. Other writers choose
/// names of any length, and a longer line is lost.
const MAX_LOGGED_CHARS: usize = 200;

/// An entry that cannot be used.
pub struct UnusableEntry<'a> {
    /// The kind of the entry.
    pub kind: &'static str,
    /// The name, or empty if it cannot be read.
    pub name: &'a str,
    /// Why the entry cannot be used.
    pub reason: &'a str,
}

/// Records an entry, logs it when it is first read, and returns whether it was not known.
pub fn record(
    entries: &RefCell<UnusableEntries>,
    entry: &UnusableEntry<'_>,
    message: &str,
    now: Time,
) -> bool {
    let &UnusableEntry { kind, name, reason } = entry;
    let reading = entries.borrow_mut().record(kind, name, reason, now);
    if reading.is_logged {
        let name = shorten(name);
        let error = shorten(reason);
        let left_out = reading.left_out;
        warn!(kind, name, error, left_out; "{message}");
    }
    reading.is_new
}

fn shorten(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_LOGGED_CHARS);
    end.map_or(text, |(end, _)| &text[..end])
}
