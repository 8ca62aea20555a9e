//! A stand-in for the KV store: blocks by hash.
//!
//! `PUT /blocks/{hash}` keeps the body, `GET /blocks/{hash}` gives it back.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;

use crate::answers::Answer;
use crate::answers::empty;
use crate::host::Fake;
use crate::host::Shared;

/// A `FakeKvStore` is a running stand-in of the KV store.
pub type FakeKvStore = Fake<KvStore>;

/// A `KvStore` is what the store holds.
#[derive(Clone, Debug, Default)]
pub struct KvStore {
    /// The blocks by the text of their hash.
    pub blocks: BTreeMap<String, Bytes>,
}

impl Fake<KvStore> {
    /// Starts an empty store at `listen`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        Self::launch(listen, KvStore::default(), attend)
    }
}

async fn attend(mut connection: Connection, shared: Shared<KvStore>) {
    while let Ok(Some(req)) = connection.next_request().await {
        let res = answer(&req, &mut shared.lock());
        if connection.respond(res).await.is_err() {
            return;
        }
    }
}

fn answer(req: &Request, store: &mut KvStore) -> Answer {
    let Some(hash) = req.uri().path().strip_prefix("/blocks/") else {
        return empty(StatusCode::NOT_FOUND);
    };
    match *req.method() {
        Method::GET => match store.blocks.get(hash) {
            Some(block) => Answer::new(block.clone()),
            None => empty(StatusCode::NOT_FOUND),
        },
        Method::PUT => {
            store.blocks.insert(hash.to_owned(), req.body().clone());
            empty(StatusCode::NO_CONTENT)
        }
        _ => empty(StatusCode::METHOD_NOT_ALLOWED),
    }
}
