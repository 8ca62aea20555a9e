//! Parts that were present at the same crashes and answers, of which the evidence says the same.

use std::collections::HashMap;

use limpetsaddle_core::hash::stable_hash;
use limpetsaddle_core::units::Time;

use super::answers::Answers;
use super::evidence::CrashLog;
use crate::part_key::PartKey;
use crate::part_list::PartList;

/// What the evidence on a part depends on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Presence {
    /// The hash of the set of suspects and answers with the part.
    runs: u64,
    /// When the part was last answered, as far as the log of crashes knows.
    last_survival: Option<Time>,
    /// The answers on the part before this instance started.
    earlier_answers: usize,
}

/// Returns one part of each class of `parts` that were present in the same suspects and answers:
/// the one with the last place in a prompt. Prompts have many parts in common, and the evidence on
/// each costs time.
pub fn representatives(log: &CrashLog, answers: &Answers<'_>, parts: Vec<PartKey>) -> Vec<PartKey> {
    if parts.len() < 2 {
        return parts;
    }
    let mut places: HashMap<PartKey, (Presence, usize)> = HashMap::new();
    for part in parts {
        let presence = Presence {
            runs: 0,
            last_survival: log.last_survival(part),
            earlier_answers: answers.earlier(part),
        };
        places.insert(part, (presence, 0));
    }
    for (parts, hash) in hash_lists(log, answers) {
        for (place, part) in parts.iter().enumerate() {
            if let Some((presence, last)) = places.get_mut(part) {
                presence.runs = presence.runs.wrapping_add(hash);
                *last = place.max(*last);
            }
        }
    }
    let mut classes: HashMap<Presence, (usize, PartKey)> = HashMap::new();
    for (part, (presence, place)) in places {
        let last = classes.entry(presence).or_insert((place, part));
        *last = (place, part).max(*last);
    }
    classes.into_values().map(|(_, part)| part).collect()
}

/// Returns the different lists of parts of all suspects and answers, each with a hash of those that
/// have it.
fn hash_lists<'a>(
    log: &'a CrashLog,
    answers: &'a Answers<'_>,
) -> impl Iterator<Item = (&'a PartList, u64)> {
    let runs = log.crashes.iter().flat_map(|crash| &crash.runs);
    let all = runs.map(|run| &run.parts).chain(answers.own_lists());
    let mut lists: HashMap<*const (), (&PartList, u64)> = HashMap::new();
    for (number, parts) in all.enumerate() {
        let (_, hash) = lists.entry(parts.identity()).or_insert((parts, 0));
        *hash = hash.wrapping_add(stable_hash(&[&number.to_le_bytes()]));
    }
    lists.into_values()
}
