//! Sends short requests to random instances.

use std::io;
use std::time::Duration;
use std::time::Instant;

use limpetsaddle_core::hash::mix;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_router::errors::Result;
use limpetsaddle_router::run::block_on;

use crate::support::caller::request;
use crate::support::caller::stream;
use crate::support::setup::InstanceConfig;

/// Sends `rate` requests per second at even intervals for the length of `window`,
/// with the keys in turn, each to a random instance.
pub fn send_requests(
    instances: &[InstanceConfig],
    keys: &[String],
    rate: u32,
    window: Duration,
) -> io::Result<()> {
    let seconds = u32::try_from(window.as_secs()).unwrap_or(u32::MAX);
    let ran: Result<()> = block_on(async {
        let client = Client::new(ClientOptions::default());
        let started = Instant::now();
        let mut tasks = Vec::new();
        for i in 0..rate * seconds {
            let at = Duration::from_secs(1) * i / rate;
            let wait = (started + at).saturating_duration_since(Instant::now());
            monoio::time::sleep(wait).await;
            let drawn = usize::try_from(mix(u64::from(i)) >> 8).unwrap_or(0);
            let address = instances[drawn % instances.len()].listen;
            let req = request(&keys[i as usize % keys.len()], None, "How dry?", 1);
            let client = client.clone();
            tasks.push(monoio::spawn(
                async move { stream(&client, address, req).await },
            ));
        }
        let mut failed = 0;
        for task in tasks {
            failed += u32::from(!task.await.complete);
        }
        if failed > 0 {
            eprintln!("{failed} of {} requests failed", rate * seconds);
        }
        Ok(())
    });
    ran.map_err(io::Error::other)
}
