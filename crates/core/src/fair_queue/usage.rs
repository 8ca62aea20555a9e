//! The recent use of each team and the engine's priority that follows.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::TeamName;
use crate::units::Time;
use crate::units::Tokens;

/// The span over which use is counted.
const WINDOW: Duration = Duration::from_secs(2);

/// The largest number of a priority: the last to be served.
const LAST_PRIORITY: u8 = 7;

/// Returns the engine's priority for a team's request, from 0 (served first)
/// to 7, of the team's use per weight against that of all teams together.
///
/// Within its fair share a team gets 0; each doubling beyond adds one. As use
/// is forgotten, a team that is made to wait comes back to 0: none starves.
///
/// ```
/// use limpetsaddle_core::fair_queue::engine_priority;
/// use limpetsaddle_core::units::Tokens;
///
/// let whole = (Tokens(1_000), 10);
/// assert_eq!(engine_priority((Tokens(100), 1), whole), 0);
/// assert_eq!(engine_priority((Tokens(400), 1), whole), 2);
/// ```
#[must_use]
pub fn engine_priority(team: (Tokens, u32), whole: (Tokens, u32)) -> u8 {
    let used = u128::from(team.0.0) * u128::from(whole.1);
    let fair = u128::from(whole.0.0) * u128::from(team.1);
    let mut priority = 0;
    while priority < LAST_PRIORITY && used > fair << priority {
        priority += 1;
    }
    priority
}

#[derive(Clone, Copy, Debug, Default)]
struct Used {
    weight: u32,
    window: u128,
    current: Tokens,
    last: Tokens,
}

impl Used {
    fn advance(&mut self, window: u128) {
        if window == self.window {
            return;
        }
        let adjacent = window == self.window + 1;
        self.last = if adjacent { self.current } else { Tokens::ZERO };
        self.current = Tokens::ZERO;
        self.window = window;
    }
}

/// A `TeamUsage` counts the tokens that each team used within the last seconds.
///
/// ```
/// use limpetsaddle_core::fair_queue::TeamUsage;
/// use limpetsaddle_core::names::TeamName;
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_core::units::Tokens;
///
/// let (large, small): (TeamName, TeamName) = ("large".parse()?, "small".parse()?);
/// let mut usage = TeamUsage::default();
/// usage.charge(&large, 1, Tokens(90_000), Time::ZERO);
/// usage.charge(&small, 1, Tokens(1_000), Time::ZERO);
/// assert!(usage.priority(&large, Time::ZERO) > usage.priority(&small, Time::ZERO));
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct TeamUsage {
    teams: BTreeMap<TeamName, Used>,
}

impl TeamUsage {
    /// Counts tokens that a team's request uses.
    pub fn charge(&mut self, team: &TeamName, weight: u32, cost: Tokens, now: Time) {
        let window = window_of(now);
        self.teams
            .retain(|_, used| window <= used.window.saturating_add(1));
        let used = self.teams.entry(team.clone()).or_insert(Used {
            weight,
            window,
            ..Used::default()
        });
        used.advance(window);
        used.weight = weight;
        used.current += cost;
    }

    /// Returns the engine's priority for the next request of a team.
    #[must_use]
    pub fn priority(&self, team: &TeamName, now: Time) -> u8 {
        let Some(own) = self.teams.get(team) else {
            return 0;
        };
        let mut whole = (Tokens::ZERO, 0);
        for used in self.teams.values() {
            whole.0 += recent(used, now);
            whole.1 += used.weight;
        }
        engine_priority((recent(own, now), own.weight), whole)
    }
}

fn window_of(now: Time) -> u128 {
    now.since_origin().as_millis() / WINDOW.as_millis()
}

/// Returns the use of the current window and what is left of the last one.
fn recent(used: &Used, now: Time) -> Tokens {
    let mut used = *used;
    used.advance(window_of(now));
    let elapsed = now.since_origin().as_millis() % WINDOW.as_millis();
    let left = u64::try_from(WINDOW.as_millis() - elapsed).unwrap_or(0);
    let whole = u64::try_from(WINDOW.as_millis()).unwrap_or(1);
    used.current + Tokens(used.last.0 * left / whole)
}
