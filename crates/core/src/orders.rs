//! Orders to model engines.
//!
//! Provides the lease that makes one instance at a time the giver of orders, and
//! the planner that decides which engine gets which order. Orders carry the
//! lease's fencing number. Engines that ignore the number are protected by time:
//! a new holder waits until no order of its predecessor can still take effect.
//!
//! ```
//! use limpetsaddle_core::orders::LeaseAction;
//! use limpetsaddle_core::orders::LeaseWriteResult;
//! use limpetsaddle_core::orders::LeaseHolder;
//! use limpetsaddle_core::orders::LeaseKeeper;
//! use limpetsaddle_core::orders::OrderOptions;
//! use limpetsaddle_core::units::FencingNumber;
//! use limpetsaddle_core::units::Incarnation;
//! use limpetsaddle_core::units::Revision;
//! use limpetsaddle_core::units::Time;
//!
//! let holder = LeaseHolder {
//!     instance: "entry-1".parse()?,
//!     incarnation: Incarnation(4),
//! };
//! let mut keeper = LeaseKeeper::new(holder, OrderOptions::default());
//! assert_eq!(keeper.poll(Time::ZERO), Some(LeaseAction::Read));
//! keeper.on_read(None, Time::ZERO);
//! assert!(matches!(keeper.poll(Time::ZERO), Some(LeaseAction::Write(_))));
//! keeper.on_write(LeaseWriteResult::Written(Revision(2)), Time::ZERO);
//! assert_eq!(keeper.held_lease(Time::ZERO).unwrap().fencing, FencingNumber(1));
//! # Ok::<(), limpetsaddle_core::Error>(())
//! ```

mod lease;
mod planner;

pub use self::lease::HeldLease;
pub use self::lease::LeaseAction;
pub use self::lease::LeaseHolder;
pub use self::lease::LeaseKeeper;
pub use self::lease::LeaseRecord;
pub use self::lease::LeaseWrite;
pub use self::lease::LeaseWriteResult;
pub use self::lease::VersionedLease;
pub use self::planner::DesiredEngine;
pub use self::planner::EngineReport;
pub use self::planner::EngineView;
pub use self::planner::Order;
pub use self::planner::OrderOutcome;
pub use self::planner::OrderPlanner;
pub use self::planner::PlannedOrder;
pub use self::planner::Role;

use std::time::Duration;

/// An `OrderOptions` holds the times and bounds of orders.
///
/// All instances must run with the same lease duration and the same order times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderOptions {
    /// The time for which a renewal keeps the lease, from when it was sent.
    pub lease_duration: Duration,
    /// The time beyond the lease's duration that a candidate waits, for clocks
    /// that run at different speeds.
    pub lease_margin: Duration,
    /// The time between two renewals.
    pub renew_interval: Duration,
    /// The time between two reads of a candidate.
    pub read_interval: Duration,
    /// The longest time between the sending of an order and its arrival.
    pub order_transit: Duration,
    /// The longest time that an engine takes to carry out an order.
    pub order_execution: Duration,
    /// The age from which a report of an engine is not acted on.
    pub report_max_age: Duration,
    /// The engines that load weights at the same time at most.
    pub max_loads: usize,
}

impl Default for OrderOptions {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(6),
            lease_margin: Duration::from_secs(1),
            renew_interval: Duration::from_secs(2),
            read_interval: Duration::from_secs(2),
            order_transit: Duration::from_secs(2),
            order_execution: Duration::from_secs(10),
            report_max_age: Duration::from_secs(5),
            max_loads: 2,
        }
    }
}

impl OrderOptions {
    /// Returns the longest time from the sending of an order to its last effect.
    #[must_use]
    pub fn order_life(&self) -> Duration {
        self.order_transit + self.order_execution
    }
}
