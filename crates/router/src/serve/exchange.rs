//! A request and the connection that its response is sent on.

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

/// The authenticated sender of a request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The team that the key belongs to.
    pub team: TeamName,
    /// The id of the key.
    pub key_id: KeyId,
}

/// A request and the connection that its response is sent on.
pub struct Exchange<'a> {
    /// The instance that serves.
    pub instance: &'a Rc<Instance>,
    /// The caller's connection.
    pub conn: &'a mut Connection,
    /// The request's id.
    pub id: Rc<str>,
    /// The caller's request.
    pub req: Request,
    /// Whether the head of a streamed response has been sent.
    pub response_started: bool,
    /// The caller's own id of the request, which the response returns.
    pub client_id: Option<HeaderValue>,
    /// Whether the connection must be closed because the response is incomplete.
    pub response_truncated: bool,
}

impl Exchange<'_> {
    /// Returns the caller that the request's key identifies.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key is missing, unknown or withdrawn.
    pub fn authenticate(&self) -> Result<Caller, Refusal> {
        let key = self.key().map_err(Refusal::not_run)?;
        let board = self.instance.board.borrow();
        let (team, key_id) = authenticate(&board.store, key).map_err(Refusal::not_run)?;
        Ok(Caller { team, key_id })
    }

    /// Returns the key in the request's headers.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is not exactly one well-formed key.
    pub fn key(&self) -> Result<&[u8], Reason> {
        let headers = self.req.headers().iter();
        presented_key(headers.map(|(name, value)| (name.as_str(), value.as_bytes())))
    }

    /// Responds with a JSON document.
    pub async fn document<T: Serialize>(&mut self, value: &T) {
        let res = responses::document(StatusCode::OK, responses::json(value));
        self.respond(res).await;
    }

    /// Adds the request id of this instance and the caller's own id to the headers
    /// of a response.
    pub fn identify(&self, headers: &mut HeaderMap) {
        let name = HeaderName::from_static(responses::REQUEST_ID_HEADER);
        forward::set_header(headers, name, &self.id);
        if let Some(id) = &self.client_id {
            headers.insert(responses::CLIENT_REQUEST_ID_HEADER, id.clone());
        }
    }

    /// Announces the end of the connection in the next response if the instance is
    /// stopping.
    pub fn announce_close(&mut self) {
        if self.instance.draining.is_closed() {
            self.conn.close_after_response();
        }
    }

    /// Sends a complete response. A disconnected caller is only counted.
    pub async fn respond(&mut self, mut res: Response<Bytes>) {
        self.identify(res.headers_mut());
        self.announce_close();
        if self.conn.respond(res).await.is_err() {
            self.instance.metrics.count(Event::CallerDisconnected);
        }
    }

    /// Ends a started stream with an error event, so that the caller cannot take it
    /// for complete, and returns whether the connection can be reused.
    pub async fn end_with_error(&mut self, refusal: &Refusal) -> bool {
        let body = responses::refusal_body(refusal, &self.id);
        let mut event = Vec::with_capacity(body.len() + 16);
        event.extend_from_slice(b"data: ");
        event.extend_from_slice(&body);
        event.extend_from_slice(b"\n\n");
        self.conn.send(event.into()).await.is_ok() && self.conn.finish().await.is_ok()
    }
}
