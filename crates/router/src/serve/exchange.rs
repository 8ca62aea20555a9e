//! One request with the connection that waits for its answer.

use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use limpetsaddle_core::keys::authenticate;
use limpetsaddle_core::keys::presented_key;
use limpetsaddle_core::names::KeyId;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use serde::Serialize;

use super::forward;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::responses;

/// A `Caller` is who sent a request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The team that the key belongs to.
    pub team: TeamName,
    /// The key.
    pub key_id: KeyId,
}

/// An `Exchange` is one request with the connection that waits for its answer.
pub struct Exchange<'a> {
    /// The instance that serves.
    pub instance: &'a Rc<Instance>,
    /// The caller's connection.
    pub conn: &'a mut Connection,
    /// The request's id.
    pub id: Rc<str>,
    /// The caller's request.
    pub req: Request,
    /// Whether a part of the answer has been sent.
    pub started: bool,
    /// The caller's own id of the request, which is given back with the answer.
    pub client_id: Option<HeaderValue>,
    /// Whether the connection must be closed, as the answer is incomplete.
    pub abandoned: bool,
}

impl Exchange<'_> {
    /// Returns the caller whose key came with the request.
    ///
    /// # Errors
    ///
    /// Refuses a request whose key is missing, unknown or withdrawn.
    pub fn authenticate(&self) -> Result<Caller, Refusal> {
        let key = self.key().map_err(Refusal::not_run)?;
        let board = self.instance.board.borrow();
        let (team, key_id) = authenticate(&board.store, key).map_err(Refusal::not_run)?;
        Ok(Caller { team, key_id })
    }

    /// Returns the key that came with the request.
    ///
    /// # Errors
    ///
    /// Returns the reason when there is no single well-formed key.
    pub fn key(&self) -> Result<&[u8], Reason> {
        let headers = self.req.headers().iter();
        presented_key(headers.map(|(name, value)| (name.as_str(), value.as_bytes())))
    }

    /// Answers with a JSON document.
    pub async fn document<T: Serialize>(&mut self, value: &T) {
        let res = responses::document(StatusCode::OK, responses::json(value));
        self.respond(res).await;
    }

    /// Names the request in the head of an answer, by the id of this instance
    /// and by the caller's own.
    pub fn identify(&self, headers: &mut HeaderMap) {
        let name = HeaderName::from_static(responses::REQUEST_ID_HEADER);
        forward::set_header(headers, name, &self.id);
        if let Some(id) = &self.client_id {
            headers.insert(responses::CLIENT_REQUEST_ID_HEADER, id.clone());
        }
    }

    /// Sends a whole answer. A caller that has left needs none.
    pub async fn respond(&mut self, mut res: Response<Bytes>) {
        self.identify(res.headers_mut());
        if self.conn.respond(res).await.is_err() {
            self.instance.metrics.count(Event::CallerLeft);
        }
    }

    /// Ends a started stream with an error event, so that it cannot be taken
    /// for a complete one.
    pub async fn end_with_error(&mut self, refusal: &Refusal) -> bool {
        let body = responses::refusal_body(refusal, &self.id);
        let mut event = Vec::with_capacity(body.len() + 16);
        event.extend_from_slice(b"data: ");
        event.extend_from_slice(&body);
        event.extend_from_slice(b"\n\n");
        self.conn.send(event.into()).await.is_ok() && self.conn.finish().await.is_ok()
    }
}
