//! Runs a fake service until the process ends.

mod common;

use limpetsaddle_fakes::FakeService;

fn main() -> std::io::Result<()> {
    let Some(settings) = common::read_settings(&[])? else {
        return Ok(());
    };
    common::announce(FakeService::start(settings.listen()?)?)
}
