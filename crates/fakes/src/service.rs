//! A stand-in for a plain service, which records what it runs.

use std::io;
use std::net::SocketAddr;

use http::StatusCode;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use serde::Deserialize;
use serde::Serialize;

use crate::answers::empty;
use crate::answers::hang;
use crate::answers::json;
use crate::answers::not_run;
use crate::control;
use crate::control::control;
use crate::host::Fake;
use crate::host::Shared;

/// A `FakeService` is a running stand-in of a plain service.
pub type FakeService = Fake<Service>;

/// A `Service` is the state of a plain service.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    /// Every run, in order.
    pub runs: Vec<ServiceRun>,
    /// The fault in force.
    pub fault: Option<ServiceFault>,
}

/// A `ServiceRun` is one execution of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServiceRun {
    /// The router's id of the request, empty if it had none.
    pub request_id: String,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The fields of the head, one `name: value` each.
    pub headers: Vec<String>,
    /// The body as text.
    pub body: String,
}

/// A `ServiceFault` is what goes wrong with the next requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceFault {
    /// What goes wrong.
    pub kind: ServiceFaultKind,
    /// How many more requests it befalls.
    pub requests: u32,
}

/// A `ServiceFaultKind` is a way in which a service fails.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFaultKind {
    /// Closes the connection and runs nothing.
    CloseNotRun,
    /// Runs the request and closes the connection without an answer.
    CloseAfterRun,
    /// Runs the request and never answers.
    SilentAfterRun,
    /// Never answers and runs nothing.
    SilentNotRun,
    /// Says with 503 and `x-not-run` that nothing was run.
    RefuseNotRun,
}

impl Service {
    fn take_fault(&mut self) -> Option<ServiceFaultKind> {
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
        Self::launch(listen, Service::default(), attend)
    }
}

/// Returns the value of a field, or an empty text.
pub fn header_text(req: &Request, name: &str) -> String {
    let value = req.headers().get(name);
    value.map_or_else(String::new, |value| {
        String::from_utf8_lossy(value.as_bytes()).into_owned()
    })
}

/// Returns every field of the head as `name: value`.
pub fn header_lines(req: &Request) -> Vec<String> {
    let line = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        format!("{name}: {}", String::from_utf8_lossy(value.as_bytes()))
    };
    req.headers().iter().map(line).collect()
}

async fn attend(connection: Connection, shared: Shared<Service>) {
    control::attend(connection, shared, control_call, run).await;
}

fn control_call(req: &Request, service: &mut Service) -> Option<crate::answers::Answer> {
    control(req, service, |service| &mut service.fault)
}

async fn run(
    req: &Request,
    connection: &mut Connection,
    shared: &Shared<Service>,
) -> Option<crate::answers::Answer> {
    use ServiceFaultKind as Kind;
    let fault = shared.lock().take_fault();
    let runs = matches!(
        fault,
        None | Some(Kind::CloseAfterRun | Kind::SilentAfterRun)
    );
    if runs {
        shared.lock().record(req);
    }
    match fault {
        None if req.uri().path() == "/healthz" => Some(empty(StatusCode::OK)),
        None => {
            let last = shared.lock().runs.last().cloned();
            Some(json(StatusCode::OK, &last))
        }
        Some(Kind::CloseNotRun | Kind::CloseAfterRun) => None,
        Some(Kind::SilentAfterRun | Kind::SilentNotRun) => {
            hang(connection, || false).await;
            None
        }
        Some(Kind::RefuseNotRun) => Some(not_run(StatusCode::SERVICE_UNAVAILABLE)),
    }
}
