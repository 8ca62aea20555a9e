//! A server on a thread of its own, and raw clients that talk to it.

use std::future::Future;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use futures::channel::oneshot;
use limpetsaddle_http::Connection;
use limpetsaddle_http::ServerOptions;
use limpetsaddle_http::serve;

/// The longest wait for anything that has to happen, far above what it takes.
pub const DEADLINE: Duration = Duration::from_secs(30);

/// The pause between looks at something that another thread changes, which does
/// not wake a runtime of this kind.
const POLL: Duration = Duration::from_millis(2);

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

/// A server that runs until it is dropped.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    pub fn start<F, R>(options: ServerOptions, handler: F) -> Self
    where
        F: Fn(Connection) -> R + Send + 'static,
        R: Future<Output = ()> + 'static,
    {
        let (listener, address) = listen();
        let stopped = Arc::new(AtomicBool::new(false));
        let watched = Arc::clone(&stopped);
        let thread = thread::spawn(move || {
            block_on(async {
                listener.set_nonblocking(true).unwrap();
                let listener = monoio::net::TcpListener::from_std(listener).unwrap();
                let (stop, shutdown) = oneshot::channel::<()>();
                monoio::spawn(async move {
                    while !watched.load(Ordering::Relaxed) {
                        monoio::time::sleep(POLL).await;
                    }
                    drop(stop);
                });
                serve(listener, options, shutdown, handler).await;
            });
        });
        Self {
            address,
            stopped,
            thread: Some(thread),
        }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the server accepts");
        stream.set_read_timeout(Some(DEADLINE)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
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

/// Sends `bytes` and returns all that comes back until the server closes.
pub fn exchange(server: &Server, bytes: &[u8]) -> String {
    let mut stream = server.connect();
    stream.write_all(bytes).expect("the server takes the bytes");
    read_to_end(&mut stream)
}

pub fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("the server closes");
    String::from_utf8(bytes).expect("the answers are text")
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
