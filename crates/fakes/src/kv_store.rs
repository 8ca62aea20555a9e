//! A fake KV store: blocks by hash.
//!
//! `PUT /blocks/{hash}` stores the body, `GET /blocks/{hash}` returns it.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;

use crate::host::Fake;
use crate::host::Shared;
use crate::responses::HttpResponse;
use crate::responses::empty;

/// A running fake KV store.
pub type FakeKvStore = Fake<KvStore>;

/// The contents of the store.
#[derive(Clone, Debug, Default)]
pub struct KvStore {
    /// The blocks by hash.
    pub blocks: BTreeMap<String, Bytes>,
}

impl Fake<KvStore> {
    /// Starts an empty store at `listen`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        Self::launch(listen, KvStore::default(), serve_connection)
    }
}

async fn serve_connection(mut connection: Connection, shared: Shared<KvStore>) {
    while let Ok(Some(req)) = connection.next_request().await {
        let res = respond(&req, &mut shared.lock());
        if connection.respond(res).await.is_err() {
            return;
        }
    }
}

fn respond(req: &Request, store: &mut KvStore) -> HttpResponse {
    let Some(hash) = req.uri().path().strip_prefix("/blocks/") else {
        return empty(StatusCode::NOT_FOUND);
    };
    match *req.method() {
        Method::GET => match store.blocks.get(hash) {
            Some(block) => HttpResponse::new(block.clone()),
            None => empty(StatusCode::NOT_FOUND),
        },
        Method::PUT => {
            store.blocks.insert(hash.to_owned(), req.body().clone());
            empty(StatusCode::NO_CONTENT)
        }
        _ => empty(StatusCode::METHOD_NOT_ALLOWED),
    }
}
