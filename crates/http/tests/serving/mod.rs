//! A server on its own thread, and raw clients.

use std::future::Future;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use futures::channel::oneshot;
use limpetsaddle_http::Connection;
use limpetsaddle_http::ServerOptions;
use limpetsaddle_http::serve;

use crate::support::DEADLINE;
use crate::support::POLL;
use crate::support::block_on;
use crate::support::listen;

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

/// Sends `bytes` and returns everything received until the server closes.
pub fn exchange(server: &Server, bytes: &[u8]) -> String {
    let mut stream = server.connect();
    stream
        .write_all(bytes)
        .expect("the server accepts the bytes");
    read_to_end(&mut stream)
}

pub fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("the server closes");
    String::from_utf8(bytes).expect("the responses are UTF-8")
}
