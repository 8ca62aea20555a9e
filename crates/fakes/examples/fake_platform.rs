//! Runs a fake platform until the process ends.

mod common;

use limpetsaddle_fakes::FakePlatform;
use limpetsaddle_fakes::PlatformOptions;

fn main() -> std::io::Result<()> {
    let Some(settings) = common::read_settings(&[])? else {
        return Ok(());
    };
    let options = PlatformOptions {
        listen: settings.listen()?,
        ..PlatformOptions::default()
    };
    common::announce(FakePlatform::start(options)?)
}
