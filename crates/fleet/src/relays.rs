//! The choice of the peer through which a request reaches a service.

use std::net::SocketAddr;

use crate::Name;
use crate::service_reach::Reach;

/// A peer that accepts requests of other instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Relay {
    /// The peer's name.
    pub name: Name,
    /// The address for requests of other instances.
    pub address: SocketAddr,
    /// The secret by which the peer recognizes instances of its fleet.
    pub secret: Name,
    /// Whether it reaches the service.
    pub reach: Reach,
    /// Its requests in progress at upstreams.
    pub load: u32,
}

/// Returns one of the peers that reach the service, or else of those without recent requests
/// to it.
/// The less loaded one of two random peers is chosen, so that the load is shared though
/// reports of it are late.
///
/// ```
/// use limpetsaddle_fleet::relays::Relay;
/// use limpetsaddle_fleet::relays::choose;
/// use limpetsaddle_fleet::service_reach::Reach;
///
/// let relay = |name: &str, reach, load| Relay {
///     name: name.into(),
///     address: ([10, 0, 0, 1], 7_600).into(),
///     secret: "s".into(),
///     reach,
///     load,
/// };
/// let relays = vec![
///     relay("a", Reach::Failing, 0),
///     relay("b", Reach::Unknown, 0),
///     relay("c", Reach::Reached, 9),
/// ];
/// assert_eq!(&*choose(relays, 7).unwrap().name, "c");
/// ```
#[must_use]
pub fn choose(mut relays: Vec<Relay>, random: u64) -> Option<Relay> {
    let best = if relays.iter().any(|relay| relay.reach == Reach::Reached) {
        Reach::Reached
    } else {
        Reach::Unknown
    };
    relays.retain(|relay| relay.reach == best);
    if relays.is_empty() {
        return None;
    }
    let count = relays.len() as u64;
    let index = |random: u64| usize::try_from(random % count).unwrap_or(0);
    let first = index(random);
    let second = index(random >> 32);
    let chosen = if relays[second].load < relays[first].load {
        second
    } else {
        first
    };
    Some(relays.swap_remove(chosen))
}
