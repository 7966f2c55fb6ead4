//! The daemon, which runs beside each upstream.

use std::alloc::System;
use std::fs;
use std::process::ExitCode;
use std::sync::Arc;

use async_signal::Signal;
use async_signal::Signals;
use clap::Arg;
use clap::ArgAction;
use clap::Command;
use smol::stream::StreamExt;

use mustardtiller::Clock;
use mustardtiller::Daemon;
use mustardtiller::Event;
use mustardtiller::Phase;
use mustardtiller::PlatformKind;
use mustardtiller::Settings;
use mustardtiller::StartError;
use mustardtiller::config::Source;
use mustardtiller::start_logger;
use mustardtiller_platform::StoreClient;
use mustardtiller_platform::dialect;
use mustardtiller_platform::translate_settings;

#[global_allocator]
static ALLOCATOR: System = System;

/// Exit code if the settings can't be read or have faults.
const EXIT_SETTINGS: u8 = 2;

/// Exit code if the daemon could not start.
const EXIT_START: u8 = 3;

fn main() -> ExitCode {
    silence_task_panics();
    let matches = command().get_matches();
    let path: &String = matches
        .get_one("settings")
        .expect("the argument is required");
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("{path}: good");
        return ExitCode::SUCCESS;
    }
    match run(path, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("mustardtillerd: {cause}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn command() -> Command {
    Command::new("mustardtillerd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Load balancer daemon; one runs beside each upstream")
        .arg(
            Arg::new("settings")
                .required(true)
                .value_name("FILE")
                .help("Settings file in INI format"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

fn read_settings(path: &str) -> Result<Settings, Vec<String>> {
    let text = fs::read_to_string(path).map_err(|e| vec![format!("{path}: {e}")])?;
    let text = translate_settings(&text).map_err(|e| vec![format!("{path}: {e}")])?;
    let settings = Settings::read(&Source::new(path, text));
    settings.map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

fn run(path: &str, settings: Settings) -> Result<(), String> {
    start_logger(settings.level).map_err(|e| format!("failed to start the logger: {e}"))?;
    let mut random = [0; 16];
    getrandom::fill(&mut random).map_err(|e| format!("failed to get random bytes: {e}"))?;
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|e| format!("failed to install the signal handlers: {e}"))?;
    let daemon = start(settings, u128::from_le_bytes(random)).map_err(|e| e.to_string())?;
    let node = Arc::clone(daemon.node());
    let path = path.to_owned();
    daemon.node().spawn(async move {
        let mut signals = signals;
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => match read_settings(&path) {
                    Ok(settings) => node.reload(&settings),
                    Err(faults) => Event::ReloadRefused.log(faults.join("; ")),
                },
                _ => node.board.phase.advance(Phase::Withdrawn),
            }
        }
    });
    daemon.join();
    log::logger().flush();
    Ok(())
}

fn start(settings: Settings, random: u128) -> Result<Daemon, StartError> {
    match settings.platform_kind {
        PlatformKind::Artefacts => Daemon::start(settings, random),
        PlatformKind::Store => {
            let clock = Clock::start();
            let store = Arc::new(StoreClient::new(settings.platform, clock));
            Daemon::start_with(settings, random, clock, store, dialect())
        }
    }
}

/// Leave panics to the tasks, which contain and log them.
///
/// The default hook would also write a text that is no log line.
fn silence_task_panics() {
    std::panic::set_hook(Box::new(|_| {}));
}
