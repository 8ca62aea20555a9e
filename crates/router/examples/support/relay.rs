//! A relay of TCP connections that counts their bytes.

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

/// The bytes that are read at once.
const BUFFER_BYTES: usize = 16_384;

/// A `Relay` passes connections on to one address and counts their bytes.
pub struct Relay {
    /// The address to dial instead of the target.
    pub address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Returns the bytes passed on so far, both ways together.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Starts a relay in front of each target, all on one thread, which lives for
/// as long as the process.
///
/// # Errors
///
/// Fails when an address cannot be bound.
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
        ran.expect("a relay runs until the end");
    });
    Ok(relays)
}

async fn accept(listener: StdListener, target: SocketAddr, bytes: Arc<AtomicU64>) {
    let listener = TcpListener::from_std(listener).expect("a bound socket is taken");
    while let Ok((near, _)) = listener.accept().await {
        monoio::spawn(pass(near, target, Arc::clone(&bytes)));
    }
}

async fn pass(near: TcpStream, target: SocketAddr, bytes: Arc<AtomicU64>) {
    // Dropping the near side tells that the target cannot be reached.
    let Ok(far) = TcpStream::connect_addr(target).await else {
        return;
    };
    // Without this the relay would hold small messages back.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    monoio::spawn(copy(near_read, far_write, Arc::clone(&bytes)));
    copy(far_read, near_write, bytes).await;
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
        let (written, back) = to.write_all(buf[..count].to_vec()).await;
        drop(back);
        if written.is_err() {
            break;
        }
    }
    // The other side may be closed already.
    let _ = to.shutdown().await;
}
