//! Counters of calls to the platform.

use std::cell::Cell;

/// A kind of call to the platform.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Call {
    /// A list of all configuration objects.
    List,
    /// A watch, which the platform counts as one call for its whole duration.
    Watch,
    /// A read of one object, of records or of the instances.
    Read,
    /// A conditional write or a deletion.
    Write,
}

impl Call {
    /// All kinds, in declaration order.
    pub const ALL: [Self; 4] = [Self::List, Self::Watch, Self::Read, Self::Write];

    /// Returns the name of the kind in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch => "watch",
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// Counters of one kind of call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Calls started.
    pub begun: u64,
    /// Calls that failed or had an invalid response.
    pub failed: u64,
}

/// Counters of all kinds of calls.
#[derive(Debug, Default)]
pub struct Counts {
    counts: [Cell<CallCounts>; Call::ALL.len()],
}

impl Counts {
    /// Returns the counters of one kind of call.
    ///
    /// ```
    /// use limpetsaddle_platform::Call;
    /// use limpetsaddle_platform::Counts;
    ///
    /// assert_eq!(Counts::default().get(Call::Read).begun, 0);
    /// ```
    #[must_use]
    pub const fn get(&self, call: Call) -> CallCounts {
        self.counts[call as usize].get()
    }

    pub(crate) fn begin(&self, call: Call) {
        let mut counts = self.get(call);
        counts.begun += 1;
        self.counts[call as usize].set(counts);
    }

    pub(crate) fn fail(&self, call: Call) {
        let mut counts = self.get(call);
        counts.failed += 1;
        self.counts[call as usize].set(counts);
    }
}
