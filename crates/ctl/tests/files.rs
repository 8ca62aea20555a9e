//! Tests of the offline validation of object files.

use std::path::PathBuf;

use limpetsaddle_ctl::ExitCode;
use limpetsaddle_ctl::run;
use serde_json::Value;
use yare::parameterized;

/// Validates a file with `text` and returns the exit code and the printed details.
fn validate(name: &str, text: &str) -> (ExitCode, Vec<String>) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&path, text).unwrap();
    let args = ["--json", "validate", path.to_str().unwrap()].map(str::to_owned);
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().unwrap();
    let mut out = Vec::new();
    let mut err = Vec::new();
    let code = runtime.block_on(run(&args, |_| None, &mut out, &mut err));
    let details = serde_json::from_slice(&err).map_or(Vec::new(), |report: Value| {
        let details = report["error"]["details"].as_array().unwrap().clone();
        details
            .iter()
            .map(|d| d.as_str().unwrap().to_owned())
            .collect()
    });
    (code, details)
}

const DOMAIN: &str = r#"{"id":"domain/a","spec":{"domain":{"region":"r","slots":2}}}"#;

#[parameterized(
    empty = { "empty", "[]", ExitCode::Success, &[] },
    valid = { "valid", &format!("[{DOMAIN}]"), ExitCode::Success, &[] },
    retired = { "retired", r#"[{"id":"domain/a","spec":null}]"#, ExitCode::Success, &[] },
    slots = {
        "slots", r#"[{"id":"slots/a","spec":{"slots":{"owners":[]}}}]"#, ExitCode::Invalid, &["instances"]
    },
    not_json = { "not_json", "[", ExitCode::Invalid, &["EOF"] },
    not_a_list = { "not_a_list", DOMAIN, ExitCode::Invalid, &["expected a sequence"] },
    unknown_field = {
        "unknown_field", r#"[{"id":"domain/a","spec":null,"revision":3}]"#, ExitCode::Invalid, &["revision"]
    },
    all_errors = {
        "all_errors",
        &format!(
            r#"[{DOMAIN},{DOMAIN},{{"id":"crew/x","spec":null}},
               {{"id":"pool/b","spec":{{"domain":{{"region":"r","slots":0}}}}}}]"#
        ),
        ExitCode::Invalid,
        &["[2]: invalid name", "domain/a: occurs more than once", "pool/b: the content", "pool/b: field slots"]
    },
)]
fn verify_file_validation(name: &str, text: &str, code: ExitCode, details: &[&str]) {
    let (found, printed) = validate(name, text);
    assert_eq!(found, code, "{printed:?}");
    assert_eq!(printed.len(), details.len(), "{printed:?}");
    for (line, part) in printed.iter().zip(details) {
        assert!(line.contains(part), "{line:?} lacks {part:?}");
    }
}

#[test]
fn verify_file_that_cannot_be_read() {
    let args = ["validate", "/nonexistent/objects.json"].map(str::to_owned);
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().unwrap();
    let mut err = Vec::new();
    let code = runtime.block_on(run(&args, |_| None, &mut Vec::new(), &mut err));
    assert_eq!(code, ExitCode::Invalid);
    assert!(
        String::from_utf8(err)
            .unwrap()
            .contains("/nonexistent/objects.json")
    );
}

#[test]
fn verify_documentation_examples_are_valid() {
    let text = include_str!("../../../docs/CONFIGURATION.md");
    let blocks = text.split("```json\n").skip(1);
    let mut objects = Vec::new();
    for block in blocks.map(|rest| rest.split("```").next().unwrap()) {
        let values = serde_json::Deserializer::from_str(block).into_iter::<Value>();
        objects.extend(values.map(Result::unwrap));
    }
    assert!(!objects.is_empty());
    let text = serde_json::to_string(&objects).unwrap();
    let (code, details) = validate("documentation", &text);
    assert_eq!(code, ExitCode::Success, "{details:?}");
}
