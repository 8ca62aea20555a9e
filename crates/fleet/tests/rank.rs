//! The rank of requests among the priorities of teams and routes.

use std::time::Duration;

use limpetsaddle_fleet::configuration::CallerLimits;
use limpetsaddle_fleet::configuration::Charge;
use limpetsaddle_fleet::configuration::Configuration;
use limpetsaddle_fleet::configuration::Route;
use limpetsaddle_fleet::configuration::RouteKind;
use limpetsaddle_fleet::configuration::Share;
use limpetsaddle_fleet::configuration::Team;

fn route(priority: u8) -> Route {
    Route {
        name: format!("route-{priority}").as_str().into(),
        host: "a.example".into(),
        prefix: format!("/{priority}/").as_str().into(),
        kind: RouteKind::Idempotent,
        shares: vec![Share {
            service: "service".into(),
            weight: 1,
        }],
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(400),
        caller_patience: Duration::from_secs(2),
        max_attempts: 2,
        priority,
        public: false,
    }
}

fn team(name: &str, priority: Option<u8>) -> Team {
    Team {
        name: name.into(),
        priority,
        isolated: false,
        charge: Charge::Requests,
        rate: 0,
        burst: 0,
    }
}

fn configuration(routes: &[u8], teams: &[Team]) -> Configuration {
    let routes = routes.iter().map(|priority| route(*priority)).collect();
    let teams = teams
        .iter()
        .map(|team| (team.clone(), Vec::new()))
        .collect();
    Configuration::new(1, CallerLimits::default(), routes, Vec::new(), teams)
}

/// Guards against teams of one priority whose urgent requests engines can't tell from others.
#[test]
fn verify_routes_decide_among_teams_of_one_priority() {
    let teams = [team("one", Some(1)), team("two", Some(1))];
    let configuration = configuration(&[0, 2], &teams);
    let rank = |priority, team| configuration.rank(&route(priority), Some(team));
    assert!(rank(0, &teams[0]) < rank(2, &teams[1]));
    assert_eq!(rank(0, &teams[0]), rank(0, &teams[1]));
}

/// Guards against routes that outrank the priorities of teams.
#[test]
fn verify_the_priority_of_a_team_takes_precedence() {
    let teams = [
        team("first", Some(0)),
        team("last", Some(5)),
        team("any", None),
    ];
    let configuration = configuration(&[0, 2], &teams);
    let rank = |priority, team| configuration.rank(&route(priority), Some(team));
    assert!(rank(2, &teams[0]) < rank(0, &teams[1]));
    assert_eq!(rank(0, &teams[2]), configuration.rank(&route(0), None));
    assert_eq!(rank(0, &teams[0]), 0);
}

/// Guards against ranks beyond those that engines know.
#[test]
fn verify_many_priorities_are_ranked_in_order_from_0_to_9() {
    let priorities: Vec<u8> = (0..=9).collect();
    let teams: Vec<Team> = (0..=9).map(|p| team("team", Some(p))).collect();
    let configuration = configuration(&priorities, &teams);
    let ranks: Vec<u8> = teams
        .iter()
        .flat_map(|team| priorities.iter().map(move |p| (team, *p)))
        .map(|(team, priority)| configuration.rank(&route(priority), Some(team)))
        .collect();
    assert!(ranks.is_sorted());
    assert_eq!((ranks[0], ranks[99]), (0, 9));
}
