//! A server that gives scripted answers, one a connection.

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

/// What the server does with one connection after it has read the request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Answers with a status and a JSON body.
    Answer(u16, &'static str),
    /// Answers with these pieces, each written on its own, then closes.
    Pieces(Vec<&'static str>),
    /// Answers with these pieces and leaves the connection open.
    Stalled(Vec<&'static str>),
    /// Closes without an answer.
    Close,
    /// Never answers.
    Silence,
}

/// The requests that the server has read.
pub type Requests = Rc<RefCell<Vec<String>>>;

/// Runs `test` on a runtime of its own.
pub fn block_on<T>(test: impl Future<Output = T>) -> T {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    let mut runtime = builder.enable_timer().build().unwrap();
    runtime.block_on(test)
}

/// Returns the address of a server that plays `scripts` in turn, and its requests.
pub fn serve(scripts: Vec<Script>) -> (SocketAddr, Requests) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Requests::default();
    monoio::spawn(play(listener, scripts, requests.clone()));
    (address, requests)
}

/// Returns a client of such a server, and its requests.
pub fn platform(scripts: Vec<Script>) -> (Platform, Requests) {
    let (address, requests) = serve(scripts);
    (client(vec![address]), requests)
}

/// Returns a client with short times.
pub fn client(addresses: Vec<SocketAddr>) -> Platform {
    let options = PlatformOptions {
        answer_timeout: Duration::from_secs(2),
        watch_silence: Duration::from_secs(2),
        confirm_pause: Duration::from_millis(1),
        ..PlatformOptions::default()
    };
    Platform::new(addresses, options)
}

async fn play(listener: TcpListener, scripts: Vec<Script>, requests: Requests) {
    let mut silent = Vec::new();
    for script in scripts {
        let (mut stream, _) = listener.accept().await.unwrap();
        let request = read_request(&mut stream).await;
        requests.borrow_mut().push(request);
        match script {
            Script::Answer(status, body) => {
                let length = body.len();
                let text = format!(
                    "HTTP/1.1 {status} X\r\nRetry-After: 1\r\nContent-Length: {length}\r\n\r\n{body}"
                );
                write(&mut stream, text).await;
            }
            Script::Pieces(pieces) => write_all(&mut stream, pieces).await,
            Script::Stalled(pieces) => {
                write_all(&mut stream, pieces).await;
                silent.push(stream);
            }
            Script::Close => {}
            Script::Silence => silent.push(stream),
        }
    }
    // The silent connections stay open; a task that nothing can wake is dropped.
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

/// Reads the head and a body of the declared length.
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
