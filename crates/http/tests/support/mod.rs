//! What the tests of both sides need: a runtime, sockets and waits.

use std::future::Future;
use std::io::Read as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

/// The longest wait for anything that has to happen, far above what it takes.
pub const DEADLINE: Duration = Duration::from_secs(30);

/// The pause between looks at something that another thread changes, which does
/// not wake a runtime of this kind.
pub const POLL: Duration = Duration::from_millis(2);

/// Runs `work` on a runtime of its own.
pub fn block_on<T>(work: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime can be built")
        .block_on(work)
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    (listener, address)
}

/// Waits for what another thread sends.
pub async fn receive<T>(rx: &mpsc::Receiver<T>) -> Option<T> {
    loop {
        match rx.try_recv() {
            Ok(item) => return Some(item),
            Err(mpsc::TryRecvError::Disconnected) => return None,
            Err(mpsc::TryRecvError::Empty) => monoio::time::sleep(POLL).await,
        }
    }
}

/// Reads until what came ends with `end`, and returns it.
pub fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    while !text.ends_with(end) {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the server sends more");
        text.push(char::from(byte[0]));
    }
    text
}
