//! Tests of completion requests, token events and response assembly.

use limpetsaddle_core::hash::Digest;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_router::completion::CompletionAssembler;
use limpetsaddle_router::completion::CompletionRequest;
use limpetsaddle_router::completion::Endpoint;
use limpetsaddle_router::completion::EngineFields;
use limpetsaddle_router::completion::TokenEvent;
use serde_json::Value;
use serde_json::json;
use yare::parameterized;

const DEFAULT_MAX_TOKENS: Tokens = Tokens(512);

fn chat_body() -> Value {
    json!({"model": "birch", "messages": [{"role": "user", "content": "dry?"}]})
}

fn with_field(mut body: Value, field: &str, value: Value) -> Value {
    body[field] = value;
    body
}

fn parse(endpoint: Endpoint, body: &Value) -> Result<CompletionRequest, Reason> {
    CompletionRequest::parse(endpoint, body.to_string().as_bytes(), DEFAULT_MAX_TOKENS)
}

#[parameterized(
    chat = { Endpoint::Chat, chat_body(), None },
    text = { Endpoint::Text, json!({"model": "birch", "prompt": "dry?"}), None },
    chat_with_prompt = { Endpoint::Chat, with_field(chat_body(), "prompt", json!("x")), Some(Reason::BadBody) },
    text_with_messages = { Endpoint::Text, chat_body(), Some(Reason::BadBody) },
    no_messages = { Endpoint::Chat, with_field(chat_body(), "messages", json!([])), Some(Reason::BadBody) },
    no_model = { Endpoint::Chat, json!({"messages": []}), Some(Reason::BadBody) },
    invalid_model_name = { Endpoint::Chat, with_field(chat_body(), "model", json!("Not A Name")), Some(Reason::UnknownModel) },
    no_tokens = { Endpoint::Chat, with_field(chat_body(), "max_tokens", json!(0)), Some(Reason::BadBody) },
    too_many_tokens = { Endpoint::Chat, with_field(chat_body(), "max_tokens", json!(1_u64 << 40)), Some(Reason::BadBody) },
    negative_tokens = { Endpoint::Chat, with_field(chat_body(), "max_tokens", json!(-1)), Some(Reason::BadBody) },
    two_choices = { Endpoint::Chat, with_field(chat_body(), "n", json!(2)), Some(Reason::BadBody) },
    not_an_object = { Endpoint::Chat, json!([1]), Some(Reason::BadBody) },
)]
fn verify_body(endpoint: Endpoint, body: Value, refused: Option<Reason>) {
    assert_eq!(parse(endpoint, &body).err(), refused);
}

#[test]
fn verify_upstream_body_replaces_engine_fields_of_caller() {
    let mut body = with_field(chat_body(), "temperature", json!(0.5));
    for field in ["cache_salt", "priority", "resume_from"] {
        body = with_field(body, field, json!(7));
    }
    let completion = parse(Endpoint::Chat, &body).expect("a valid body");
    let dispatch = EngineFields {
        salt: Digest::of(b"team"),
        priority: 3,
        resume_from: 0,
    };
    let sent = completion.upstream_body(&dispatch);
    let sent: Value = serde_json::from_slice(&sent).expect("a JSON document");
    assert_eq!(sent["temperature"], json!(0.5));
    assert_eq!(sent["cache_salt"], json!(Digest::of(b"team").to_string()));
    assert_eq!(sent["priority"], json!(3));
    assert_eq!(sent["max_tokens"], json!(DEFAULT_MAX_TOKENS.0));
    assert_eq!(sent["stream"], json!(true));
    assert!(sent.get("resume_from").is_none());
}

#[test]
fn verify_events_are_assembled_into_document() {
    let completion = parse(Endpoint::Chat, &chat_body()).expect("a valid body");
    let mut assembly = CompletionAssembler::default();
    let events = [
        r#"{"id":"r","index":0,"choices":[{"delta":{"content":"quite "},"finish_reason":null}]}"#,
        r#"{"id":"r","index":1,"choices":[{"delta":{"content":"dry"},"finish_reason":"stop"}],
            "usage":{"prompt_tokens":9,"completion_tokens":2}}"#,
    ];
    for event in events {
        let event = TokenEvent::parse(event).expect("an event");
        assembly.add(&event);
    }
    let document = assembly.document(&completion, "r");
    let document: Value = serde_json::from_slice(&document).expect("a JSON document");
    assert_eq!(
        document["choices"][0]["message"]["content"],
        json!("quite dry")
    );
    assert_eq!(document["choices"][0]["finish_reason"], json!("stop"));
    assert_eq!(document["usage"]["completion_tokens"], json!(2));
}

#[parameterized(
    not_json = { "birch" },
    no_index = { r#"{"id":"r","choices":[]}"# },
    negative_index = { r#"{"id":"r","index":-1,"choices":[]}"# },
)]
fn verify_malformed_event(data: &str) {
    assert!(TokenEvent::parse(data).is_none());
}
