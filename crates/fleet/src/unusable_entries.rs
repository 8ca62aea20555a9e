//! Entries of the platform's store that cannot be used.
//!
//! Anyone may write to the store. An entry that cannot be used is counted and logged when it is
//! first read, and not each time that it is read again.

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::hash::stable_hash;
use limpetsaddle_core::units::Time;

/// Bounds on what is remembered and logged of entries that cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnusableEntryOptions {
    /// The maximum number of entries that are remembered. Further ones are counted each time that
    /// they are read, and not logged.
    pub max_entries: usize,
    /// The maximum number of log lines in each period.
    pub max_lines: u32,
    /// The length of a period.
    pub period: Duration,
}

impl Default for UnusableEntryOptions {
    fn default() -> Self {
        Self {
            max_entries: 4_096,
            max_lines: 64,
            period: Duration::from_secs(10),
        }
    }
}

/// What is to be done about an entry that was read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reading {
    /// Whether the entry is to be counted, as it was not known.
    pub is_new: bool,
    /// Whether the entry is to be logged.
    pub is_logged: bool,
    /// The number of log lines that were left out before this one.
    pub left_out: u64,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    reason: u64,
    is_logged: bool,
    /// Whether the entry has been read since the last call that expects it.
    is_current: bool,
}

/// The name of an entry, as a hash, within its kind.
type Key = (&'static str, u64);

/// The entries that cannot be used, as they were last read.
///
/// ```
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_fleet::unusable_entries::UnusableEntries;
///
/// let mut entries = UnusableEntries::default();
/// let first = entries.record("upstreams", "a&b", "it has no content", Time::ZERO);
/// assert!(first.is_new && first.is_logged);
/// let again = entries.record("upstreams", "a&b", "it has no content", Time::ZERO);
/// assert!(!again.is_new && !again.is_logged);
/// ```
#[derive(Debug, Default)]
pub struct UnusableEntries {
    options: UnusableEntryOptions,
    known: HashMap<Key, Known>,
    period_start: Option<Time>,
    lines: u32,
    left_out: u64,
}

impl UnusableEntries {
    /// Returns a record without entries.
    #[must_use]
    pub fn new(options: UnusableEntryOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the number of entries that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no entry is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Records that an entry was read that cannot be used. It is logged once for each reason.
    pub fn record(&mut self, kind: &'static str, name: &str, reason: &str, now: Time) -> Reading {
        let key = (kind, stable_hash(&[name.as_bytes()]));
        let reason = stable_hash(&[reason.as_bytes()]);
        let known = self.known.get(&key).copied();
        let is_new = known.is_none();
        if is_new && self.known.len() >= self.options.max_entries {
            self.left_out += 1;
            return Reading {
                is_new,
                ..Reading::default()
            };
        }
        let was_logged = known.is_some_and(|known| known.is_logged && known.reason == reason);
        let is_logged = !was_logged && self.take_line(now);
        let entry = Known {
            reason,
            is_logged: was_logged || is_logged,
            is_current: true,
        };
        self.known.insert(key, entry);
        Reading {
            is_new,
            is_logged,
            left_out: if is_logged {
                std::mem::take(&mut self.left_out)
            } else {
                0
            },
        }
    }

    /// Begins the reading of an entry, or of all of a kind if there is no name.
    pub fn begin(&mut self, kind: &'static str, name: Option<&str>) {
        self.retain(kind, name, |known| {
            known.is_current = false;
            true
        });
    }

    /// Ends a reading. What was not recorded since it began has gone, or can be used now.
    pub fn end(&mut self, kind: &'static str, name: Option<&str>) {
        self.retain(kind, name, |known| known.is_current);
    }

    /// Forgets an entry that can be used now.
    pub fn remove(&mut self, kind: &'static str, name: &str) {
        self.retain(kind, Some(name), |_| false);
    }

    /// Keeps the entries for which `keep` returns `true`, among those of a kind and name.
    fn retain(
        &mut self,
        kind: &'static str,
        name: Option<&str>,
        mut keep: impl FnMut(&mut Known) -> bool,
    ) {
        let Some(name) = name else {
            self.known
                .retain(|(other, _), known| *other != kind || keep(known));
            return;
        };
        let key = (kind, stable_hash(&[name.as_bytes()]));
        if self.known.get_mut(&key).is_some_and(|known| !keep(known)) {
            self.known.remove(&key);
        }
    }

    /// Returns whether a line may be logged.
    fn take_line(&mut self, now: Time) -> bool {
        let is_over = |start| now.since(start) >= self.options.period;
        if self.period_start.is_none_or(is_over) {
            self.period_start = Some(now);
            self.lines = 0;
        }
        if self.lines >= self.options.max_lines {
            self.left_out += 1;
            return false;
        }
        self.lines += 1;
        true
    }
}
