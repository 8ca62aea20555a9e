//! A server that follows a script, with one step per connection.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_platform::Platform;
use limpetsaddle_platform::PlatformOptions;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

/// The action of the server on a connection after it has read the request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Responds with a status and a JSON body.
    Respond(u16, &'static str),
    /// Writes these pieces separately, then closes.
    Pieces(Vec<&'static str>),
    /// Writes these pieces and leaves the connection open.
    PiecesThenStall(Vec<&'static str>),
    /// Closes without a response.
    Close,
    /// Sends nothing and leaves the connection open.
    Stall,
}

/// The requests that the server has read.
pub type Requests = Rc<RefCell<Vec<String>>>;

/// Runs `test` on a new runtime.
pub fn block_on<T>(test: impl Future<Output = T>) -> T {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().unwrap();
    runtime.block_on(test)
}

/// Starts a server that follows `scripts` in turn; returns its address and requests.
pub fn serve(scripts: Vec<Script>) -> (SocketAddr, Requests) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Requests::default();
    monoio::spawn(run_scripts(listener, scripts, requests.clone()));
    (address, requests)
}

/// Starts such a server; returns a client of it and its requests.
pub fn platform(scripts: Vec<Script>) -> (Platform, Requests) {
    let (address, requests) = serve(scripts);
    (client(vec![address]), requests)
}

/// Returns a client with short timeouts.
pub fn client(addresses: Vec<SocketAddr>) -> Platform {
    let options = PlatformOptions {
        response_timeout: Duration::from_secs(2),
        watch_idle_timeout: Duration::from_secs(2),
        confirm_retry_delay: Duration::from_millis(1),
        ..PlatformOptions::default()
    };
    Platform::new(addresses, options)
}

async fn run_scripts(listener: TcpListener, scripts: Vec<Script>, requests: Requests) {
    let mut open = Vec::new();
    for script in scripts {
        let (mut stream, _) = listener.accept().await.unwrap();
        let request = read_request(&mut stream).await;
        requests.borrow_mut().push(request);
        match script {
            Script::Respond(status, body) => {
                let length = body.len();
                let text = format!(
                    "HTTP/1.1 {status} X\r\nRetry-After: 1\r\nContent-Length: {length}\r\n\r\n{body}"
                );
                write(&mut stream, text).await;
            }
            Script::Pieces(pieces) => write_all(&mut stream, pieces).await,
            Script::PiecesThenStall(pieces) => {
                write_all(&mut stream, pieces).await;
                open.push(stream);
            }
            Script::Close => {}
            Script::Stall => open.push(stream),
        }
    }
    // Keeps the task, and with it the open connections, alive: the runtime drops tasks that
    // cannot be woken.
    monoio::time::sleep(Duration::from_mins(1)).await;
}

async fn write_all(stream: &mut TcpStream, pieces: Vec<&'static str>) {
    for piece in pieces {
        write(stream, piece.to_owned()).await;
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
}

async fn write(stream: &mut TcpStream, text: String) {
    stream.write_all(text.into_bytes()).await.0.unwrap();
}

/// Reads a request with a body of the declared length.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    loop {
        let (read, buf) = stream.read(vec![0; 64 * 1024]).await;
        text.push_str(std::str::from_utf8(&buf[..read.unwrap()]).unwrap());
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.to_lowercase();
            let length = length
                .split_once("content-length: ")
                .map_or(0, |(_, rest)| {
                    rest.lines().next().unwrap().trim().parse().unwrap()
                });
            if body.len() >= length {
                return text;
            }
        }
    }
}
