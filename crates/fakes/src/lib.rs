//! Fakes of the systems around limpetsaddle.
//!
//! Provides the platform's object API, a model engine, a plain service and the
//! KV store, each on its own thread, with faults that can be changed at run time.
//! A running fake is a [`Fake`]; it stops when dropped.

mod control;
mod engine;
mod host;
mod kv_store;
mod platform;
mod responses;
mod service;

pub use engine::Engine;
pub use engine::EngineFaults;
pub use engine::EngineOptions;
pub use engine::FakeEngine;
pub use engine::Received;
pub use engine::Role;
pub use engine::Run;
pub use engine::StreamFault;
pub use engine::StreamFaultKind;
pub use engine::expected_completion;
pub use engine::prompt_bytes;
pub use host::Fake;
pub use host::any_port;
pub use kv_store::FakeKvStore;
pub use kv_store::KvStore;
pub use platform::FakePlatform;
pub use platform::Instance;
pub use platform::Outage;
pub use platform::Platform;
pub use platform::PlatformCalls;
pub use platform::PlatformFaults;
pub use platform::PlatformOptions;
pub use platform::WatchFault;
pub use service::FakeService;
pub use service::Service;
pub use service::ServiceFault;
pub use service::ServiceFaultKind;
pub use service::ServiceRun;
