//! Runs a fake model engine until the process ends.

mod common;

use std::time::Duration;

use limpetsaddle_core::units::WeightsVersion;
use limpetsaddle_fakes::EngineOptions;
use limpetsaddle_fakes::FakeEngine;

const NUMBERS: [common::Setting; 7] = [
    common::Setting::new("weights", "version of the weights"),
    common::Setting::new("block-tokens", "tokens in a cache block"),
    common::Setting::new("cache-blocks", "capacity of the cache, in blocks"),
    common::Setting::new("prefill-rate", "prompt tokens computed per second"),
    common::Setting::new("token-delay-us", "microseconds between tokens"),
    common::Setting::new("slots", "maximum number of concurrent requests"),
    common::Setting::new("records", "1 to record requests, 0 not to"),
];

fn main() -> std::io::Result<()> {
    let Some(settings) = common::read_settings(&NUMBERS)? else {
        return Ok(());
    };
    let default = EngineOptions::default();
    let options = EngineOptions {
        listen: settings.listen()?,
        model: settings.text("model").unwrap_or(default.model),
        weights: WeightsVersion(settings.number("weights", default.weights.0)?),
        block_tokens: settings.number("block-tokens", default.block_tokens)?,
        cache_blocks: settings.number("cache-blocks", default.cache_blocks)?,
        prefill_rate: settings.number("prefill-rate", default.prefill_rate)?,
        token_delay: Duration::from_micros(settings.number("token-delay-us", 0)?),
        slots: settings.number("slots", default.slots)?,
        records: settings.number("records", 1)? != 0,
        ..default
    };
    common::announce(FakeEngine::start(options)?)
}
