//! Orders to model engines.
//!
//! Provides the lease by which one instance at a time may issue orders, and the
//! planner that decides which order to send to which engine. Each order carries the
//! fencing number of the lease. Engines that don't check the number are protected by
//! a delay: a new holder waits until no order of its predecessor can take effect.
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

/// An `OrderOptions` contains the timeouts and limits of the lease and of orders.
///
/// All instances must use the same lease duration and the same order times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderOptions {
    /// The time for which a renewal extends the lease, counted from when it was sent.
    pub lease_duration: Duration,
    /// The additional time that a candidate waits after the lease duration, to allow
    /// for different clock rates.
    pub lease_margin: Duration,
    /// The interval between renewals by the holder.
    pub renew_interval: Duration,
    /// The interval between reads by a candidate.
    pub read_interval: Duration,
    /// The maximum time from sending an order to its arrival.
    pub order_transit: Duration,
    /// The maximum time that an engine takes to execute an order.
    pub order_execution: Duration,
    /// The age at which a report of an engine is too old to act on.
    pub report_max_age: Duration,
    /// The maximum number of engines that load weights at the same time.
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
    /// Returns the maximum time from sending an order to its last effect.
    #[must_use]
    pub fn order_lifetime(&self) -> Duration {
        self.order_transit + self.order_execution
    }
}
