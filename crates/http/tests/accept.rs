//! Shutdown of a server with connections that it has not accepted yet.

#[allow(dead_code, reason = "the test needs no waits for single bytes")]
mod support;

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;

use futures::channel::oneshot;
use http::Response;
use limpetsaddle_http::Connection;
use limpetsaddle_http::ServerOptions;
use limpetsaddle_http::serve;
use support::DEADLINE;
use support::block_on;
use support::listen;
use support::receive;

const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

async fn greet(mut connection: Connection) {
    if let Ok(Some(_)) = connection.next_request().await {
        let res = Response::new("hello".into());
        connection.respond(res).await.expect("the caller waits");
    }
}

fn send_request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the queue has room");
    stream.set_read_timeout(Some(DEADLINE)).unwrap();
    stream.write_all(REQUEST).unwrap();
    stream
}

#[test]
fn verify_a_shutdown_answers_requests_on_connections_in_the_queue() {
    let (listener, address) = listen();
    listener.set_nonblocking(true).unwrap();
    let callers: Vec<TcpStream> = (0..20).map(|_| send_request(address)).collect();
    let (tx, rx) = mpsc::channel();
    block_on(async {
        let listener = monoio::net::TcpListener::from_std(listener).unwrap();
        let (stop, shutdown) = oneshot::channel::<()>();
        drop(stop);
        serve(listener, ServerOptions::default(), shutdown, greet).await;
        for mut caller in callers {
            let tx = tx.clone();
            thread::spawn(move || {
                let mut text = String::new();
                let result = caller.read_to_string(&mut text).map(|_| text);
                tx.send(result).expect("the test waits");
            });
        }
        drop(tx);
        while let Some(result) = receive(&rx).await {
            let text = result.expect("the connection is not reset");
            assert!(text.ends_with("hello"), "{text}");
        }
    });
    TcpStream::connect(address).expect_err("the listener is closed");
}
