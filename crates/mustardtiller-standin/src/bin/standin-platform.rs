//! A stand-in for the platform: serves an artefact from a folder and a host list.

use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::Command;

use mustardtiller_standin::Runner;
use mustardtiller_standin::StandinPlatform;

/// Interval between checks of the folder for changes, in milliseconds.
const POLL_MS: u64 = 100;

fn main() -> ExitCode {
    let matches = Command::new("standin-platform")
        .about("Serves a folder made by `mustardtiller build` and the host list `hosts` in it")
        .arg(Arg::new("listen").required(true))
        .arg(Arg::new("folder").required(true))
        .get_matches();
    let listen: &String = matches.get_one("listen").expect("required");
    let folder: &String = matches.get_one("folder").expect("required");
    let Ok(address) = listen.parse() else {
        eprintln!("standin-platform: invalid listen address `{listen}`; expected IP:PORT");
        return ExitCode::FAILURE;
    };
    let runner = Runner::start(2);
    let platform = StandinPlatform::start(&runner, address);
    let mut published = String::new();
    loop {
        let now = fingerprint(Path::new(folder));
        if now != published {
            publish(&platform, Path::new(folder));
            published = now;
        }
        smol::block_on(smol::Timer::after(Duration::from_millis(POLL_MS)));
    }
}

/// Return the times at which the manifest and the host list were modified.
fn fingerprint(folder: &Path) -> String {
    let stamp = |name: &str| {
        let modified = fs::metadata(folder.join(name)).and_then(|m| m.modified());
        format!("{modified:?}")
    };
    stamp("manifest") + &stamp("hosts")
}

fn publish(platform: &StandinPlatform, folder: &Path) {
    if let Ok(parts) = fs::read_dir(folder.join("parts")) {
        for part in parts.flatten() {
            if let Ok(bytes) = fs::read(part.path()) {
                let name = part.file_name().to_string_lossy().into_owned();
                platform.put(&format!("/config/parts/{name}"), bytes);
            }
        }
    }
    if let Ok(bytes) = fs::read(folder.join("manifest")) {
        platform.put("/config/manifest", bytes);
    }
    if let Ok(bytes) = fs::read(folder.join("hosts")) {
        platform.put("/hosts", bytes);
    }
}
