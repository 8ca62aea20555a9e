//! A TCP proxy that counts bytes.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use limpetsaddle_router::errors::Result;
use limpetsaddle_router::run::block_on;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt as _;
use monoio::io::Splitable as _;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

/// The size of the read buffer, in bytes.
const BUFFER_BYTES: usize = 16_384;

/// Forwards connections to one address and counts their bytes.
pub struct Relay {
    /// The address to connect to instead of the target.
    pub address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Returns the number of bytes forwarded so far, in both directions together.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Starts a relay in front of each target, all on one thread that runs until the
/// process exits.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub fn start(targets: &[SocketAddr]) -> io::Result<Vec<Relay>> {
    let mut relays = Vec::new();
    let mut routes = Vec::new();
    for target in targets {
        let listener = StdListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let bytes = Arc::new(AtomicU64::new(0));
        relays.push(Relay {
            address: listener.local_addr()?,
            bytes: Arc::clone(&bytes),
        });
        routes.push((listener, *target, bytes));
    }
    thread::spawn(move || {
        let ran: Result<()> = block_on(async {
            for (listener, target, bytes) in routes {
                monoio::spawn(accept(listener, target, bytes));
            }
            std::future::pending().await
        });
        ran.expect("the relay runtime failed");
    });
    Ok(relays)
}

async fn accept(listener: StdListener, target: SocketAddr, bytes: Arc<AtomicU64>) {
    let listener = TcpListener::from_std(listener).expect("failed to register the listener");
    while let Ok((client, _)) = listener.accept().await {
        monoio::spawn(forward(client, target, Arc::clone(&bytes)));
    }
}

async fn forward(client: TcpStream, target: SocketAddr, bytes: Arc<AtomicU64>) {
    // Dropping the client connection signals that the target is unreachable.
    let Ok(server) = TcpStream::connect_addr(target).await else {
        return;
    };
    // Without this, Nagle's algorithm would delay small messages.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    monoio::spawn(copy(client_read, server_write, Arc::clone(&bytes)));
    copy(server_read, client_write, bytes).await;
}

async fn copy(mut from: impl AsyncReadRent, mut to: impl AsyncWriteRent, bytes: Arc<AtomicU64>) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let (read, filled) = from.read(buf).await;
        buf = filled;
        let count = match read {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        bytes.fetch_add(count as u64, Ordering::Relaxed);
        let (written, sent_buf) = to.write_all(buf[..count].to_vec()).await;
        drop(sent_buf);
        if written.is_err() {
            break;
        }
    }
    // The peer may have closed the connection already.
    let _ = to.shutdown().await;
}
