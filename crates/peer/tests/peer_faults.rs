//! Tests of faulty peers and connections, over TCP on loopback.

mod peer_support;

use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::store::DigestRequest;
use limpetsaddle_peer::ClientOptions;
use limpetsaddle_peer::Error;
use limpetsaddle_peer::MAX_MESSAGE_BYTES;
use limpetsaddle_peer::PeerClient;
use limpetsaddle_peer::PeerServer;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use yare::parameterized;

use crate::peer_support::client_with_long_timeout;
use crate::peer_support::empty_request;
use crate::peer_support::loopback;
use crate::peer_support::object;
use crate::peer_support::request;
use crate::peer_support::run;
use crate::peer_support::serve;
use crate::peer_support::state;
use crate::peer_support::versions_query;
use crate::peer_support::wait_until;

/// Returns the bytes that a client sends for its first call.
async fn capture_call() -> Vec<u8> {
    let listener = TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        let client = PeerClient::new(ClientOptions {
            call_timeout: Duration::from_secs(1),
            ..ClientOptions::default()
        });
        let call = request(versions_query(), vec![object(4, "/echo")]);
        assert!(matches!(
            client.exchange(address, &call).await,
            Err(Error::Timeout)
        ));
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    loop {
        let (read, buf) = stream.read(vec![0; 4_096]).await;
        match read {
            Ok(n) if n > 0 => bytes.extend_from_slice(&buf[..n]),
            _ => return bytes,
        }
    }
}

async fn send(address: SocketAddr, bytes: Vec<u8>) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    stream
}

async fn assert_still_serves(server: &PeerServer) {
    wait_until(|| server.counters().open == 0).await;
    let reply = client_with_long_timeout()
        .exchange(server.address(), &empty_request())
        .await;
    assert_eq!(reply.unwrap(), state(None));
}

#[parameterized(
    text = { b"GET / HTTP/1.1\r\n\r\n".to_vec() },
    zeros = { vec![0; 64] },
    ones = { vec![0xff; 64] },
    segment_of_a_gigabyte = { [0_u32, 1 << 27].map(u32::to_le_bytes).concat() },
    half_a_message = { [0_u32, 8, 0].map(u32::to_le_bytes).concat() },
    nothing = { Vec::new() },
)]
fn verify_malformed_bytes_close_only_their_connection(bytes: Vec<u8>) {
    run(async {
        let (server, requests) = serve(loopback(), state(None));
        drop(send(server.address(), bytes.clone()).await);
        let stream = send(server.address(), bytes).await;
        assert_still_serves(&server).await;
        assert_eq!(requests.borrow().len(), 1);
        drop(stream);
    });
}

#[test]
fn verify_corrupted_calls_close_only_their_connection() {
    run(async {
        let call = capture_call().await;
        let (server, requests) = serve(loopback(), state(None));
        let mut sent = 0;
        for position in (0..call.len()).step_by(3) {
            let mut bytes = call.clone();
            bytes[position] ^= 0x55;
            drop(send(server.address(), bytes).await);
            sent += 1;
            wait_until(|| server.counters().open == 0).await;
        }
        let counters = server.counters();
        assert!(counters.malformed > 0, "{counters:?}");
        assert!(requests.borrow().len() < sent);
        assert_still_serves(&server).await;
    });
}

#[test]
fn verify_oversized_message_is_rejected() {
    run(async {
        let (server, requests) = serve(loopback(), state(None));
        let path = "/".repeat(MAX_MESSAGE_BYTES + 1);
        let large = request(DigestRequest::Nothing, vec![object(4, &path)]);
        let client = client_with_long_timeout();
        assert!(client.exchange(server.address(), &large).await.is_err());
        assert!(requests.borrow().is_empty());
        assert_eq!(client.connections(), 0);
        assert_still_serves(&server).await;
    });
}

#[test]
fn verify_slow_sender_is_disconnected() {
    run(async {
        let call = capture_call().await;
        let (server, _) = serve(loopback(), state(None));
        let half = call[..call.len() / 2].to_vec();
        let mut stream = send(server.address(), half).await;
        wait_until(|| server.counters().idle == 1).await;
        while let (Ok(1..), _) = stream.read(vec![0; 4_096]).await {}
        assert_still_serves(&server).await;
    });
}

#[test]
fn verify_number_of_connections_is_limited() {
    run(async {
        let (server, _) = serve(loopback(), state(None));
        let mut streams = Vec::new();
        for _ in 0..5 {
            streams.push(send(server.address(), vec![0; 4]).await);
        }
        wait_until(|| server.counters().refused > 0).await;
        assert!(server.counters().open <= 4);
        drop(streams);
        assert_still_serves(&server).await;
    });
}

#[test]
fn verify_silent_peer_causes_a_timeout() {
    run(async {
        let listener = TcpListener::bind(loopback()).unwrap();
        let client = PeerClient::new(ClientOptions {
            call_timeout: Duration::from_millis(50),
            ..ClientOptions::default()
        });
        let address = listener.local_addr().unwrap();
        let result = client.exchange(address, &empty_request()).await;
        assert!(matches!(result, Err(Error::Timeout)), "{result:?}");
        assert_eq!(client.connections(), 0);
    });
}

#[test]
fn verify_client_reconnects_after_a_lost_connection() {
    run(async {
        let (server, _) = serve(loopback(), state(None));
        let address = server.address();
        let client = client_with_long_timeout();
        client.exchange(address, &empty_request()).await.unwrap();
        drop(server);
        let result = client.exchange(address, &empty_request()).await;
        assert!(result.is_err(), "{result:?}");
        let (_server, _) = serve(address, state(None));
        client.exchange(address, &empty_request()).await.unwrap();
    });
}
