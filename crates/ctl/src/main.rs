//! `limpetctl`, the command-line client for operators.

use std::io;
use std::process::ExitCode;

use limpetsaddle_ctl::run;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let Ok(mut runtime) = runtime else {
        return limpetsaddle_ctl::ExitCode::Unavailable.into();
    };
    let env = |name: &str| std::env::var(name).ok();
    let mut out = io::stdout();
    let mut err = io::stderr();
    let code = runtime.block_on(run(&args, env, &mut out, &mut err));
    code.into()
}
