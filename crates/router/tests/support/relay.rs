//! A TCP proxy that can simulate a network partition.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// The timeout for a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Forwards TCP connections to a target unless the path is cut.
pub struct Relay {
    address: SocketAddr,
    path: Arc<Mutex<Connections>>,
}

#[derive(Default)]
struct Connections {
    is_cut: bool,
    streams: Vec<TcpStream>,
}

impl Relay {
    /// Starts a relay that forwards to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind the relay");
        let address = listener
            .local_addr()
            .expect("failed to read the local address");
        let path = Arc::new(Mutex::new(Connections::default()));
        let shared = Arc::clone(&path);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let path = Arc::clone(&shared);
                thread::spawn(move || forward(&stream, target, &path));
            }
        });
        Self { address, path }
    }

    /// Returns the listening address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the path: closes open connections and rejects new ones.
    pub fn cut(&self) {
        let mut path = self.path.lock().expect("poisoned lock");
        path.is_cut = true;
        for stream in path.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections again.
    pub fn heal(&self) {
        self.path.lock().expect("poisoned lock").is_cut = false;
    }
}

fn forward(client: &TcpStream, target: SocketAddr, path: &Mutex<Connections>) {
    let Ok(server) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else {
        return;
    };
    let Ok(()) = register(client, &server, path) else {
        let _ = client.shutdown(Shutdown::Both);
        return;
    };
    let (Ok(from), Ok(to)) = (server.try_clone(), client.try_clone()) else {
        return;
    };
    let reverse = thread::spawn(move || copy(from, to));
    if let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) {
        copy(from, to);
    }
    let _ = reverse.join();
}

fn register(client: &TcpStream, server: &TcpStream, path: &Mutex<Connections>) -> io::Result<()> {
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let mut path = path.lock().expect("poisoned lock");
    if path.is_cut {
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    path.streams.push(client.try_clone()?);
    path.streams.push(server.try_clone()?);
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 << 10];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
