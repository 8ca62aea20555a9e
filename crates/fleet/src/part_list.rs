//! The parts of a prompt, shared by all runs of prompts with the same ones.

use std::borrow::Borrow;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::ops::Deref;
use std::rc::Rc;

use crate::part_key::PartKey;

/// The parts of a prompt in order.
///
/// Cloning is cheap, and the time of a look-up grows with the logarithm of the length.
///
/// ```
/// use limpetsaddle_fleet::part_key::PartKey;
/// use limpetsaddle_fleet::part_list::PartList;
///
/// let parts = PartList::from([PartKey::of("5c1e"), PartKey::of("91bd")]);
/// assert!(parts.contains(PartKey::of("91bd")));
/// assert_eq!(parts.len(), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PartList(Rc<Parts>);

#[derive(Debug, Default)]
struct Parts {
    ordered: Box<[PartKey]>,
    sorted: Box<[PartKey]>,
}

impl PartList {
    /// Returns whether a part is among them.
    #[must_use]
    pub fn contains(&self, part: PartKey) -> bool {
        self.0.sorted.binary_search(&part).is_ok()
    }

    /// Returns whether any of these parts is among them.
    #[must_use]
    pub fn contains_any(&self, parts: &BTreeSet<PartKey>) -> bool {
        if parts.len() < self.len() {
            parts.iter().any(|part| self.contains(*part))
        } else {
            self.iter().any(|part| parts.contains(part))
        }
    }

    /// Returns the number of parts that both lists begin with.
    #[must_use]
    pub fn common_prefix(&self, other: &[PartKey]) -> usize {
        let pairs = self.iter().zip(other);
        pairs.take_while(|(own, other)| own == other).count()
    }

    /// Returns these parts, followed by those of another list that are not among them.
    #[must_use]
    pub fn union(&self, other: &Self) -> Self {
        let is_new = |part: &&PartKey| !self.contains(**part);
        let mut missing = other.iter().filter(is_new).peekable();
        if Rc::ptr_eq(&self.0, &other.0) || missing.peek().is_none() {
            return self.clone();
        }
        self.iter().chain(missing).copied().collect()
    }

    /// Returns what is the same for clones of one list alone.
    pub(crate) fn identity(&self) -> *const () {
        Rc::as_ptr(&self.0).cast()
    }
}

impl Deref for PartList {
    type Target = [PartKey];

    fn deref(&self) -> &[PartKey] {
        &self.0.ordered
    }
}

impl Borrow<[PartKey]> for PartList {
    fn borrow(&self) -> &[PartKey] {
        self
    }
}

impl PartialEq for PartList {
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.0, &other.0) || **self == **other
    }
}

impl Eq for PartList {}

impl Hash for PartList {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // As the slice, which a list is looked up by.
        (**self).hash(state);
    }
}

impl FromIterator<PartKey> for PartList {
    fn from_iter<T: IntoIterator<Item = PartKey>>(parts: T) -> Self {
        let ordered: Box<[PartKey]> = parts.into_iter().collect();
        let mut sorted = ordered.clone();
        sorted.sort_unstable();
        Self(Rc::new(Parts { ordered, sorted }))
    }
}

impl From<Vec<PartKey>> for PartList {
    fn from(parts: Vec<PartKey>) -> Self {
        parts.into_iter().collect()
    }
}

impl<const N: usize> From<[PartKey; N]> for PartList {
    fn from(parts: [PartKey; N]) -> Self {
        parts.into_iter().collect()
    }
}

/// The least number of lists above which unused ones are removed.
const MIN_PRUNE_THRESHOLD: usize = 256;

/// The lists in use, each of which is stored once.
#[derive(Debug, Default)]
pub struct PartLists {
    known: HashSet<PartList>,
    /// The number of lists above which unused ones are removed; it grows with the number of
    /// used ones, so that the cost of an addition doesn't.
    prune_threshold: usize,
}

impl PartLists {
    /// Returns the list of these parts.
    pub fn intern(&mut self, parts: &[PartKey]) -> PartList {
        if let Some(known) = self.known.get(parts) {
            return known.clone();
        }
        if self.known.len() >= self.prune_threshold {
            self.known.retain(|list| Rc::strong_count(&list.0) > 1);
            self.prune_threshold = (2 * self.known.len()).max(MIN_PRUNE_THRESHOLD);
        }
        let list: PartList = parts.iter().copied().collect();
        self.known.insert(list.clone());
        list
    }
}
