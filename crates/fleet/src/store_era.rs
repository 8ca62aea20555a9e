//! Eras of the platform's store.
//!
//! The store may return from a copy that is some seconds old. Its era rises each time.
//! Revisions of different eras can't be compared, as revisions are given out again.

use serde::Deserialize;
use serde::Serialize;

/// The number of times that the store has returned from an older copy; 0 for a store that
/// states none.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// What a response's era means for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// The era is the known one, or the first one that was seen.
    Same,
    /// The store has returned from an older copy.
    Risen {
        /// The era before.
        previous: StoreEra,
    },
    /// The response is from before the store returned, and its content may be lost.
    Outdated,
}

/// The highest era that was seen.
///
/// ```
/// use limpetsaddle_fleet::store_era::EraChange;
/// use limpetsaddle_fleet::store_era::KnownEra;
/// use limpetsaddle_fleet::store_era::StoreEra;
///
/// let mut known = KnownEra::default();
/// assert_eq!(known.observe(StoreEra(3)), EraChange::Same);
/// let previous = StoreEra(3);
/// assert_eq!(known.observe(StoreEra(4)), EraChange::Risen { previous });
/// assert_eq!(known.observe(StoreEra(3)), EraChange::Outdated);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownEra(Option<StoreEra>);

impl KnownEra {
    /// Compares an era with the highest one that was seen, and remembers it.
    pub fn observe(&mut self, era: StoreEra) -> EraChange {
        let Some(known) = self.0 else {
            self.0 = Some(era);
            return EraChange::Same;
        };
        if era > known {
            self.0 = Some(era);
            return EraChange::Risen { previous: known };
        }
        if era < known {
            return EraChange::Outdated;
        }
        EraChange::Same
    }

    /// Returns the highest era that was seen, if any.
    #[must_use]
    pub const fn get(&self) -> Option<StoreEra> {
        self.0
    }
}
