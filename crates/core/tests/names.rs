//! Tests of names and object identifiers.

use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::names::TeamName;
use yare::parameterized;

#[parameterized(
    plain = { "yard", true },
    punctuated = { "a.b-c_d", true },
    empty = { "", false },
    upper_case = { "Yard", false },
    slash = { "a/b", false },
    too_long = { "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", false },
)]
fn verify_name_validation(text: &str, valid: bool) {
    assert_eq!(text.parse::<TeamName>().is_ok(), valid);
}

#[parameterized(
    team = { "team/yard", true },
    no_kind = { "yard", false },
    unknown_kind = { "crew/yard", false },
)]
fn verify_object_id_round_trip(text: &str, valid: bool) {
    let parsed = text.parse::<ObjectId>();
    assert_eq!(parsed.is_ok(), valid);
    if let Ok(id) = parsed {
        assert_eq!(id.to_string(), text);
    }
}
