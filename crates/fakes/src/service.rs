//! A fake plain service that records the requests it runs.

use std::io;
use std::net::SocketAddr;

use http::StatusCode;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use serde::Deserialize;
use serde::Serialize;

use crate::control;
use crate::control::handle_control_call;
use crate::host::Fake;
use crate::host::Shared;
use crate::responses::empty;
use crate::responses::json;
use crate::responses::not_run;
use crate::responses::stall;

/// A running fake service.
pub type FakeService = Fake<Service>;

/// The state of a service.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    /// Every run, in order.
    pub runs: Vec<ServiceRun>,
    /// The active fault.
    pub fault: Option<ServiceFault>,
}

/// An execution of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServiceRun {
    /// The router's request ID, or an empty string.
    pub request_id: String,
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The header fields, as `name: value`.
    pub headers: Vec<String>,
    /// The body as text.
    pub body: String,
}

/// A fault that affects the next requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceFault {
    /// The kind of fault.
    pub kind: ServiceFaultKind,
    /// The number of requests that it still affects.
    pub requests: u32,
}

/// The kinds of service faults.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFaultKind {
    /// Closes the connection without running the request.
    CloseNotRun,
    /// Runs the request and closes the connection without a response.
    CloseAfterRun,
    /// Runs the request and never responds.
    SilentAfterRun,
    /// Never responds and does not run the request.
    SilentNotRun,
    /// Responds with 503 and `x-not-run` without running the request.
    RefuseNotRun,
}

impl Service {
    fn next_fault(&mut self) -> Option<ServiceFaultKind> {
        let fault = self.fault.as_mut()?;
        fault.requests = fault.requests.checked_sub(1)?;
        Some(fault.kind)
    }

    fn record(&mut self, req: &Request) {
        self.runs.push(ServiceRun {
            request_id: header_text(req, "x-request-id"),
            method: req.method().to_string(),
            path: req.uri().to_string(),
            headers: header_lines(req),
            body: String::from_utf8_lossy(req.body()).into_owned(),
        });
    }
}

impl Fake<Service> {
    /// Starts a service at `listen`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        Self::launch(listen, Service::default(), serve_connection)
    }
}

/// Returns the value of a header field, or an empty string.
pub fn header_text(req: &Request, name: &str) -> String {
    let value = req.headers().get(name);
    value.map_or_else(String::new, |value| {
        String::from_utf8_lossy(value.as_bytes()).into_owned()
    })
}

/// Returns all header fields as `name: value`.
pub fn header_lines(req: &Request) -> Vec<String> {
    let format_line = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        format!("{name}: {}", String::from_utf8_lossy(value.as_bytes()))
    };
    req.headers().iter().map(format_line).collect()
}

async fn serve_connection(connection: Connection, shared: Shared<Service>) {
    control::serve_connection(connection, shared, handle_control, serve_call).await;
}

fn handle_control(req: &Request, service: &mut Service) -> Option<crate::responses::HttpResponse> {
    handle_control_call(req, service, |service| &mut service.fault)
}

async fn serve_call(
    req: &Request,
    connection: &mut Connection,
    shared: &Shared<Service>,
) -> Option<crate::responses::HttpResponse> {
    use ServiceFaultKind as Kind;
    let fault = shared.lock().next_fault();
    let is_run = matches!(
        fault,
        None | Some(Kind::CloseAfterRun | Kind::SilentAfterRun)
    );
    if is_run {
        shared.lock().record(req);
    }
    match fault {
        None if req.uri().path() == "/healthz" => Some(empty(StatusCode::OK)),
        None => {
            let last_run = shared.lock().runs.last().cloned();
            Some(json(StatusCode::OK, &last_run))
        }
        Some(Kind::CloseNotRun | Kind::CloseAfterRun) => None,
        Some(Kind::SilentAfterRun | Kind::SilentNotRun) => {
            stall(connection, || false).await;
            None
        }
        Some(Kind::RefuseNotRun) => Some(not_run(StatusCode::SERVICE_UNAVAILABLE)),
    }
}
