//! The part of an instance's memory and descriptors that callers may use.

use crate::settings::Resources;

/// The memory of an instance that states none, in bytes. Its callers get as much as all large
/// responses and some large bodies need.
const DEFAULT_MEMORY: u64 = 256 * 1024 * 1024;

/// The descriptors of an instance for which neither its settings nor the system state any.
const DEFAULT_DESCRIPTORS: u64 = 16 * 1024;

/// The descriptors that the instance needs itself: listeners, calls to the store and to peers,
/// reports of upstreams.
const OWN_DESCRIPTORS: u64 = 32;

/// The part that one address may have while others have nothing, in percent. Callers behind a
/// balancer may all have one.
const DEFAULT_ADDRESS_SHARE: u8 = 75;

/// The part that one team may have while others have nothing, in percent.
const DEFAULT_TEAM_SHARE: u8 = 75;

/// The limits on what all callers make an instance hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerResources {
    /// The memory in bytes.
    pub memory: u64,
    /// The number of connections.
    pub connections: u64,
    /// The number of connections and requests together, as each request needs a descriptor for
    /// its upstream.
    pub descriptors: u64,
    /// The part of each of these that one address may have, in percent.
    pub address_share: u8,
    /// The part of memory and descriptors that the requests of one team may have, in percent.
    pub team_share: u8,
}

impl CallerResources {
    /// Returns what callers get of an instance's resources.
    ///
    /// Callers get three eighths of the memory. The rest is for the instance itself, which
    /// holds some 20 MiB in a test build, and for memory that is free and not returned to the
    /// system. A quarter of the descriptors is kept for calls.
    ///
    /// ```
    /// use limpetsaddle_fleet::caller_resources::CallerResources;
    /// use limpetsaddle_fleet::settings::Resources;
    ///
    /// let callers = CallerResources::of(&Resources {
    ///     memory_bytes: Some(88 << 20),
    ///     max_descriptors: Some(4_100),
    ///     ..Resources::default()
    /// });
    /// assert_eq!(callers.memory, 33 << 20);
    /// assert_eq!(callers.connections, 3_043);
    /// assert_eq!(callers.descriptors, 4_068);
    /// ```
    #[must_use]
    pub fn of(resources: &Resources) -> Self {
        let memory = resources.memory_bytes.unwrap_or(DEFAULT_MEMORY);
        let descriptors = resources.max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let connections = (descriptors - descriptors / 4).saturating_sub(OWN_DESCRIPTORS);
        Self {
            memory: resources.caller_memory_bytes.unwrap_or(memory / 8 * 3),
            connections: resources.caller_connections.unwrap_or(connections).max(1),
            descriptors: descriptors.saturating_sub(OWN_DESCRIPTORS).max(2),
            address_share: resources.address_share.unwrap_or(DEFAULT_ADDRESS_SHARE),
            team_share: resources.team_share.unwrap_or(DEFAULT_TEAM_SHARE),
        }
    }
}
