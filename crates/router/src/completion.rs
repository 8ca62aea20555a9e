//! Requests for completions and the events that engines answer with.

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

/// The bytes of prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// The largest number of tokens that a request may ask for.
const MAX_ANSWER: u64 = 1 << 20;

/// An `Endpoint` is one of the two endpoints for completions.
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

/// A `Body` is the part of a caller's body that the daemon reads.
#[derive(Debug, Deserialize)]
struct Body {
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

/// A `CompletionRequest` is a caller's request for an answer.
#[derive(Debug)]
pub struct CompletionRequest {
    /// The endpoint that the request came to.
    pub endpoint: Endpoint,
    /// The model that is to answer.
    pub model: ModelName,
    /// Whether the caller wants the answer as it is made.
    pub stream: bool,
    /// The prompt as the bytes that blocks are cut from.
    pub prompt: Vec<u8>,
    /// The longest answer.
    pub max_output_tokens: Tokens,
    upstream: Map<String, Value>,
}

/// A `EngineFields` holds the fields that the daemon sets for an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineFields {
    /// The scope of cached blocks.
    pub salt: Digest,
    /// The priority; a smaller number is served first.
    pub priority: u8,
    /// The tokens that the caller already has.
    pub resume_from: u64,
}

impl CompletionRequest {
    /// Returns the request that `body` holds.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::BadBody`] for a body that the endpoint cannot take and
    /// [`Reason::UnknownModel`] for a model whose name is not a name.
    pub fn parse(
        endpoint: Endpoint,
        body: &[u8],
        default_max_tokens: Tokens,
    ) -> Result<Self, Reason> {
        let body: Body = serde_json::from_slice(body).map_err(|_| Reason::BadBody)?;
        if body.n.is_some_and(|n| n != 1) {
            return Err(Reason::BadBody);
        }
        let model = body.model.parse().map_err(|_| Reason::UnknownModel)?;
        let asked = body.max_completion_tokens.or(body.max_tokens);
        let max_output_tokens = asked.unwrap_or(default_max_tokens.0);
        if !(1..=MAX_ANSWER).contains(&max_output_tokens) {
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

    /// Returns the estimated length of the prompt.
    #[must_use]
    pub fn prompt_tokens(&self) -> Tokens {
        let bytes = u64::try_from(self.prompt.len()).unwrap_or(u64::MAX);
        Tokens(bytes.div_ceil(BYTES_PER_TOKEN))
    }

    /// Returns the body that goes to an engine.
    #[must_use]
    pub fn upstream_body(&self, dispatch: &EngineFields) -> Bytes {
        let mut body = self.upstream.clone();
        body.insert("stream".into(), true.into());
        let options = serde_json::json!({ "include_usage": true });
        body.insert("stream_options".into(), options);
        body.insert("cache_salt".into(), dispatch.salt.to_string().into());
        body.insert("priority".into(), dispatch.priority.into());
        if dispatch.resume_from > 0 {
            body.insert("resume_from".into(), dispatch.resume_from.into());
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

/// A `TokenEvent` is one event of an engine's answer.
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

/// A `Usage` is an engine's account of the tokens of an answer.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Usage {
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The tokens of the answer.
    pub completion_tokens: u64,
    /// The account of the prompt in detail.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// A `PromptDetails` is an engine's account of a prompt.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PromptDetails {
    /// The tokens of the prompt that were in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl TokenEvent {
    /// Returns the event that `data` holds, or `None` when it is not one.
    #[must_use]
    pub fn parse(data: &str) -> Option<Self> {
        let mut event: Self = serde_json::from_str(data).ok()?;
        data.clone_into(&mut event.data);
        Some(event)
    }

    /// Returns the event as it goes to the caller.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        format!("data: {}\n\n", self.data).into()
    }

    /// Returns the part that places the event in its answer.
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

    /// Returns the engine's account of the tokens, if the event carries it.
    #[must_use]
    pub fn usage(&self) -> Option<&Usage> {
        self.usage.as_ref()
    }
}

/// An `CompletionAssembler` gathers the events of an answer into one document.
#[derive(Debug, Default)]
pub struct CompletionAssembler {
    text: String,
    finish_reason: Option<String>,
    usage: Option<Usage>,
}

impl CompletionAssembler {
    /// Adds an event that has been accepted.
    pub fn add(&mut self, event: &TokenEvent) {
        self.text.push_str(event.text());
        if let Some(reason) = event.finish_reason() {
            self.finish_reason = Some(reason.to_owned());
        }
        if let Some(usage) = event.usage() {
            self.usage = Some(usage.clone());
        }
    }

    /// Returns the engine's account of the tokens, once it has come.
    #[must_use]
    pub const fn usage(&self) -> Option<&Usage> {
        self.usage.as_ref()
    }

    /// Returns the whole answer as a JSON document.
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
