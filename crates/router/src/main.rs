//! The daemon of limpetsaddle, a router for language-model traffic.

use std::process::ExitCode;

use limpetsaddle_router::Result;
use limpetsaddle_router::fleet;
use limpetsaddle_router::run;
use limpetsaddle_router::settings;
use limpetsaddle_router::settings::Command;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("limpetsaddle: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "fleet") {
        return fleet::run();
    }
    match settings::parse(&args, |name| std::env::var(name).ok())? {
        Command::Help(text) => print!("{text}"),
        Command::Version => println!("limpetsaddle {}", env!("CARGO_PKG_VERSION")),
        Command::Check(_) => println!("the settings are valid"),
        Command::Run(settings) => run::run(*settings)?,
    }
    Ok(())
}
