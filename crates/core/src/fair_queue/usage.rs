//! Recent token usage per team and the resulting engine priority.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::TeamName;
use crate::units::Time;
use crate::units::Tokens;

/// The length of a usage window.
const WINDOW: Duration = Duration::from_secs(2);

/// The lowest priority, which has the largest number.
const LOWEST_PRIORITY: u8 = 7;

/// Returns the engine priority for a team's request, from 0 (served first) to 7,
/// which is served last.
///
/// `team` and `total` are the recent usage and the weight of the team and of all
/// teams together. A team within its fair share gets 0; each doubling of its
/// usage beyond that adds one. As usage decays, the priority of a waiting team
/// returns to 0, so that no team starves.
///
/// ```
/// use limpetsaddle_core::fair_queue::engine_priority;
/// use limpetsaddle_core::units::Tokens;
///
/// let total = (Tokens(1_000), 10);
/// assert_eq!(engine_priority((Tokens(100), 1), total), 0);
/// assert_eq!(engine_priority((Tokens(400), 1), total), 2);
/// ```
#[must_use]
pub fn engine_priority(team: (Tokens, u32), total: (Tokens, u32)) -> u8 {
    let used = u128::from(team.0.0) * u128::from(total.1);
    let fair = u128::from(total.0.0) * u128::from(team.1);
    let mut priority = 0;
    while priority < LOWEST_PRIORITY && used > fair << priority {
        priority += 1;
    }
    priority
}

/// The usage of one team in the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    weight: u32,
    window: u128,
    current: Tokens,
    previous: Tokens,
}

impl Usage {
    fn advance(&mut self, window: u128) {
        if window == self.window {
            return;
        }
        let adjacent = window == self.window + 1;
        self.previous = if adjacent { self.current } else { Tokens::ZERO };
        self.current = Tokens::ZERO;
        self.window = window;
    }
}

/// A `TeamUsage` counts the recently used tokens of each team in a sliding window.
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
    teams: BTreeMap<TeamName, Usage>,
}

impl TeamUsage {
    /// Adds the tokens of a request to its team's usage.
    pub fn charge(&mut self, team: &TeamName, weight: u32, cost: Tokens, now: Time) {
        let window = window_at(now);
        self.teams
            .retain(|_, usage| window <= usage.window.saturating_add(1));
        let usage = self.teams.entry(team.clone()).or_insert(Usage {
            weight,
            window,
            ..Usage::default()
        });
        usage.advance(window);
        usage.weight = weight;
        usage.current += cost;
    }

    /// Returns the engine priority for the next request of a team.
    #[must_use]
    pub fn priority(&self, team: &TeamName, now: Time) -> u8 {
        let Some(own) = self.teams.get(team) else {
            return 0;
        };
        let mut total = (Tokens::ZERO, 0);
        for usage in self.teams.values() {
            total.0 += recent(usage, now);
            total.1 += usage.weight;
        }
        engine_priority((recent(own, now), own.weight), total)
    }
}

fn window_at(now: Time) -> u128 {
    now.since_origin().as_millis() / WINDOW.as_millis()
}

/// Returns the usage of the current window plus a share of the previous one that
/// decreases linearly.
fn recent(usage: &Usage, now: Time) -> Tokens {
    let mut usage = *usage;
    usage.advance(window_at(now));
    let elapsed = now.since_origin().as_millis() % WINDOW.as_millis();
    let remaining = u64::try_from(WINDOW.as_millis() - elapsed).unwrap_or(0);
    let length = u64::try_from(WINDOW.as_millis()).unwrap_or(1);
    usage.current + Tokens(usage.previous.0 * remaining / length)
}
