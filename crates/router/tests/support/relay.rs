//! A network path that can be cut.

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

/// The longest wait for a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A `Relay` passes connections on to a target until it is cut.
pub struct Relay {
    address: SocketAddr,
    path: Arc<Mutex<Path>>,
}

#[derive(Default)]
struct Path {
    is_cut: bool,
    streams: Vec<TcpStream>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let path = Arc::new(Mutex::new(Path::default()));
        let shared = Arc::clone(&path);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let path = Arc::clone(&shared);
                thread::spawn(move || pass(&stream, target, &path));
            }
        });
        Self { address, path }
    }

    /// Returns the address that stands for the target.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the path: open connections break and new ones are closed.
    pub fn cut(&self) {
        let mut path = self.path.lock().expect("no holder panics");
        path.is_cut = true;
        for stream in path.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Opens the path again.
    pub fn heal(&self) {
        self.path.lock().expect("no holder panics").is_cut = false;
    }
}

fn pass(near: &TcpStream, target: SocketAddr, path: &Mutex<Path>) {
    let Ok(far) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else {
        return;
    };
    let Ok(()) = keep(near, &far, path) else {
        let _ = near.shutdown(Shutdown::Both);
        return;
    };
    let (Ok(from), Ok(to)) = (far.try_clone(), near.try_clone()) else {
        return;
    };
    let back = thread::spawn(move || copy(from, to));
    if let (Ok(from), Ok(to)) = (near.try_clone(), far.try_clone()) {
        copy(from, to);
    }
    let _ = back.join();
}

fn keep(near: &TcpStream, far: &TcpStream, path: &Mutex<Path>) -> io::Result<()> {
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let mut path = path.lock().expect("no holder panics");
    if path.is_cut {
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    path.streams.push(near.try_clone()?);
    path.streams.push(far.try_clone()?);
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
