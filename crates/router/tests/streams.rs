//! Streams through whole daemons: complete, in order and the caller's own.

mod support;

use support::Fleet;
use support::FleetOptions;
use support::chat;
use support::tokens;

#[test]
fn verify_answers_are_complete_and_in_order() {
    let fleet = Fleet::start(&FleetOptions {
        daemons: vec!["a", "a"],
        engines: vec!["a", "a", "a"],
        ..FleetOptions::default()
    });
    for i in 0..10 {
        let daemon = &fleet.daemons[i % 2];
        let prompt = format!("question {i}");
        let answer = chat(daemon.listen(), &fleet.team.key, &prompt, 20);
        let body = support::chat_body(&prompt, 20);
        let expected = limpetsaddle_fakes::expected_answer(&body, 20);
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert!(answer.is_done());
        assert_eq!(tokens(&answer.body), expected);
    }
}
