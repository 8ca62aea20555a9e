//! Requests for completions and the events of engines' responses.

use bytes::Bytes;
use limpetsaddle_core::hash::Digest;
use limpetsaddle_core::names::ModelName;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::stream::EventPosition;
use limpetsaddle_core::units::Tokens;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// The number of bytes of a prompt that are estimated as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// The maximum number of output tokens that a request may ask for.
const MAX_OUTPUT_TOKENS: u64 = 1 << 20;

/// The endpoints for completions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Endpoint {
    /// Returns the path of the endpoint.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    const fn object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion",
            Self::Text => "text_completion",
        }
    }
}

/// The body of a caller's request.
#[derive(Debug, Deserialize)]
struct RequestBody {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    messages: Option<Vec<Message>>,
    prompt: Option<String>,
    n: Option<u64>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Message {
    role: String,
    content: Value,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

/// A caller's request for a completion.
#[derive(Debug)]
pub struct CompletionRequest {
    /// The endpoint that the request came to.
    pub endpoint: Endpoint,
    /// The requested model.
    pub model: ModelName,
    /// Whether the caller wants the response as a stream of events.
    pub stream: bool,
    /// The bytes of the prompt, which prefix blocks are computed from.
    pub prompt: Vec<u8>,
    /// The maximum number of output tokens.
    pub max_output_tokens: Tokens,
    upstream: Map<String, Value>,
}

/// The fields that the daemon sets in a request to an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineFields {
    /// The salt that separates the scopes of cached blocks.
    pub salt: Digest,
    /// The priority; a smaller number is served first.
    pub priority: u8,
    /// The number of tokens that the caller has already received.
    pub resume_from: u64,
}

impl CompletionRequest {
    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::BadBody`] if the body is invalid for the endpoint and
    /// [`Reason::UnknownModel`] if the model's name is not well-formed.
    pub fn parse(
        endpoint: Endpoint,
        body: &[u8],
        default_max_tokens: Tokens,
    ) -> Result<Self, Reason> {
        let body: RequestBody = serde_json::from_slice(body).map_err(|_| Reason::BadBody)?;
        if body.n.is_some_and(|n| n != 1) {
            return Err(Reason::BadBody);
        }
        let model = body.model.parse().map_err(|_| Reason::UnknownModel)?;
        let requested = body.max_completion_tokens.or(body.max_tokens);
        let max_output_tokens = requested.unwrap_or(default_max_tokens.0);
        if !(1..=MAX_OUTPUT_TOKENS).contains(&max_output_tokens) {
            return Err(Reason::BadBody);
        }
        let mut upstream = body.rest;
        let prompt = match (endpoint, body.messages, body.prompt) {
            (Endpoint::Chat, Some(messages), None) if !messages.is_empty() => {
                let prompt = chat_prompt(&messages);
                let messages = serde_json::to_value(messages).map_err(|_| Reason::BadBody)?;
                upstream.insert("messages".into(), messages);
                prompt
            }
            (Endpoint::Text, None, Some(prompt)) => {
                upstream.insert("prompt".into(), prompt.clone().into());
                prompt.into_bytes()
            }
            _ => return Err(Reason::BadBody),
        };
        upstream.insert("model".into(), body.model.into());
        upstream.insert("max_tokens".into(), max_output_tokens.into());
        Ok(Self {
            endpoint,
            model,
            stream: body.stream,
            prompt,
            max_output_tokens: Tokens(max_output_tokens),
            upstream,
        })
    }

    /// Returns the estimated length of the prompt in tokens.
    #[must_use]
    pub fn prompt_tokens(&self) -> Tokens {
        let bytes = u64::try_from(self.prompt.len()).unwrap_or(u64::MAX);
        Tokens(bytes.div_ceil(BYTES_PER_TOKEN))
    }

    /// Returns the body of the request to an engine.
    #[must_use]
    pub fn upstream_body(&self, fields: &EngineFields) -> Bytes {
        let mut body = self.upstream.clone();
        body.insert("stream".into(), true.into());
        let options = serde_json::json!({ "include_usage": true });
        body.insert("stream_options".into(), options);
        body.insert("cache_salt".into(), fields.salt.to_string().into());
        body.insert("priority".into(), fields.priority.into());
        if fields.resume_from > 0 {
            body.insert("resume_from".into(), fields.resume_from.into());
        } else {
            // A caller cannot make the engine skip tokens.
            body.remove("resume_from");
        }
        crate::responses::json(&Value::Object(body))
    }
}

fn chat_prompt(messages: &[Message]) -> Vec<u8> {
    let mut prompt = Vec::new();
    for message in messages {
        prompt.extend_from_slice(message.role.as_bytes());
        prompt.push(b'\n');
        match &message.content {
            Value::String(text) => prompt.extend_from_slice(text.as_bytes()),
            other => prompt.extend_from_slice(other.to_string().as_bytes()),
        }
        prompt.push(b'\n');
    }
    prompt
}

/// An event of an engine's response.
#[derive(Debug, Deserialize)]
pub struct TokenEvent {
    id: String,
    index: u64,
    choices: Vec<Choice>,
    usage: Option<Usage>,
    #[serde(skip)]
    data: String,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Option<Delta>,
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// An engine's report of the tokens of a response.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Usage {
    /// The number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// The number of tokens of the completion.
    pub completion_tokens: u64,
    /// The details of the prompt's tokens.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// An engine's report of the tokens of a prompt.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PromptDetails {
    /// The number of tokens of the prompt that were in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl TokenEvent {
    /// Parses the data of an event. Returns `None` if it is invalid.
    #[must_use]
    pub fn parse(data: &str) -> Option<Self> {
        let mut event: Self = serde_json::from_str(data).ok()?;
        data.clone_into(&mut event.data);
        Some(event)
    }

    /// Returns the event as sent to the caller.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        format!("data: {}\n\n", self.data).into()
    }

    /// Returns the event's position in its response.
    #[must_use]
    pub fn position(&self) -> EventPosition<'_> {
        EventPosition {
            id: &self.id,
            index: self.index,
            last: self.finish_reason().is_some(),
        }
    }

    fn finish_reason(&self) -> Option<&str> {
        self.choices.first()?.finish_reason.as_deref()
    }

    fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let delta = choice.delta.as_ref().and_then(|d| d.content.as_deref());
        delta.or(choice.text.as_deref()).unwrap_or("")
    }

    /// Returns the engine's report of the tokens, if the event has one.
    #[must_use]
    pub fn usage(&self) -> Option<&Usage> {
        self.usage.as_ref()
    }
}

/// Assembles the events of a response into one document.
#[derive(Debug, Default)]
pub struct CompletionAssembler {
    text: String,
    finish_reason: Option<String>,
    usage: Option<Usage>,
}

impl CompletionAssembler {
    /// Adds an accepted event.
    pub fn add(&mut self, event: &TokenEvent) {
        self.text.push_str(event.text());
        if let Some(reason) = event.finish_reason() {
            self.finish_reason = Some(reason.to_owned());
        }
        if let Some(usage) = event.usage() {
            self.usage = Some(usage.clone());
        }
    }

    /// Returns the engine's report of the tokens, if it has been received.
    #[must_use]
    pub const fn usage(&self) -> Option<&Usage> {
        self.usage.as_ref()
    }

    /// Returns the complete response as a JSON document.
    #[must_use]
    pub fn document(&self, completion: &CompletionRequest, request_id: &str) -> Bytes {
        let choice = match completion.endpoint {
            Endpoint::Chat => serde_json::json!({
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": self.finish_reason,
            }),
            Endpoint::Text => serde_json::json!({
                "index": 0,
                "text": self.text,
                "finish_reason": self.finish_reason,
            }),
        };
        crate::responses::json(&serde_json::json!({
            "id": request_id,
            "object": completion.endpoint.object(),
            "model": completion.model.as_str(),
            "choices": [choice],
            "usage": self.usage,
        }))
    }
}
