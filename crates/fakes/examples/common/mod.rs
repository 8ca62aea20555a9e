//! Command-line settings and startup of the fakes as processes.

use std::io;
use std::io::Write as _;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;

use getopts::Matches;
use getopts::Options;
use limpetsaddle_fakes::Fake;

/// An option with a numeric value.
pub struct Setting {
    name: &'static str,
    help: &'static str,
}

impl Setting {
    #[allow(dead_code, reason = "not every process has numbers to set")]
    pub const fn new(name: &'static str, help: &'static str) -> Self {
        Self { name, help }
    }
}

/// The settings of a process.
pub struct Settings(Matches);

/// Reads the settings, or returns `None` after printing the requested help.
pub fn read_settings(numbers: &[Setting]) -> io::Result<Option<Settings>> {
    let mut opts = Options::new();
    opts.optflag("h", "help", "show this help");
    opts.optopt(
        "",
        "address",
        "address to listen on, by default 127.0.0.1",
        "IP",
    );
    opts.optopt(
        "",
        "port",
        "port to listen on, by default 0 for any",
        "PORT",
    );
    opts.optopt("", "model", "model that an engine has loaded", "NAME");
    for number in numbers {
        opts.optopt("", number.name, number.help, "N");
    }
    let matches = opts
        .parse(std::env::args().skip(1))
        .map_err(io::Error::other)?;
    if matches.opt_present("help") {
        print!("{}", opts.usage("Runs a fake."));
        return Ok(None);
    }
    Ok(Some(Settings(matches)))
}

impl Settings {
    pub fn listen(&self) -> io::Result<SocketAddr> {
        let ip: IpAddr = self.number("address", IpAddr::from([127, 0, 0, 1]))?;
        Ok((ip, self.number("port", 0)?).into())
    }

    #[allow(dead_code, reason = "only engines have a model")]
    pub fn text(&self, name: &str) -> Option<String> {
        self.0.opt_str(name)
    }

    pub fn number<T: FromStr>(&self, name: &str, default: T) -> io::Result<T> {
        let Some(text) = self.0.opt_str(name) else {
            return Ok(default);
        };
        let invalid = |_| io::Error::other(format!("invalid value of --{name}"));
        text.parse().map_err(invalid)
    }
}

/// Prints the address of `fake` and serves until the process ends.
pub fn announce<S: Send + 'static>(fake: Fake<S>) -> io::Result<()> {
    let mut out = io::stdout();
    writeln!(out, "listening on {}", fake.address())?;
    out.flush()?;
    fake.wait();
    Ok(())
}
