//! Runs a fake KV store until the process ends.

mod common;

use limpetsaddle_fakes::FakeKvStore;

fn main() -> std::io::Result<()> {
    let Some(settings) = common::read_settings(&[])? else {
        return Ok(());
    };
    common::announce(FakeKvStore::start(settings.listen()?)?)
}
