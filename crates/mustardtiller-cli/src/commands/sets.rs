//! The subcommands `check`, `diff` and `hosts`, which only read sets.

use std::path::Path;
use std::process::ExitCode;

use super::EXIT_FAULTS;
use super::EXIT_IO;
use super::EXIT_STALE;
use mustardtiller_config::CheckError;
use mustardtiller_config::ObjectSet;
use mustardtiller_config::check_dir;

/// Read and check a set, or print its faults and return the exit code.
pub fn read(dir: &str) -> Result<ObjectSet, ExitCode> {
    check_dir(Path::new(dir)).map_err(|e| {
        if let CheckError::Faults { faults } = &e {
            for fault in faults {
                eprintln!("{fault}");
            }
            eprintln!("{dir}: {e}");
            return ExitCode::from(EXIT_FAULTS);
        }
        eprintln!("mustardtiller: {e}");
        ExitCode::from(EXIT_IO)
    })
}

/// Check a set and print a summary.
pub fn check(dir: &str) -> ExitCode {
    match read(dir) {
        Err(code) => code,
        Ok(set) => {
            let upstreams: usize = set.services.iter().map(|s| s.upstreams.len()).sum();
            let kinds: usize = set.services.iter().map(|s| s.kinds.len()).sum();
            println!(
                "{dir}: good; revision {}, {} services, {kinds} kinds, {upstreams} upstreams",
                set.fleet.revision,
                set.services.len()
            );
            for place in &set.fleet.evacuated {
                println!("{dir}: place {place} is evacuated");
            }
            ExitCode::SUCCESS
        }
    }
}

/// Compare two sets and print the differences.
pub fn diff(old: &str, new: &str) -> ExitCode {
    let (old, new) = match (read(old), read(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(code), _) | (_, Err(code)) => return code,
    };
    let lines = mustardtiller_config::diff(&old, &new);
    for line in &lines {
        println!("{line}");
    }
    if !lines.is_empty() && new.fleet.revision <= old.fleet.revision {
        return ExitCode::from(EXIT_STALE);
    }
    ExitCode::SUCCESS
}

/// Print a host list with every upstream of a set as live.
pub fn hosts(dir: &str) -> ExitCode {
    match read(dir) {
        Err(code) => code,
        Ok(set) => {
            for upstream in set.services.iter().flat_map(|s| &s.upstreams) {
                println!(
                    "{} {} {} live",
                    upstream.name, upstream.data_centre, upstream.link
                );
            }
            ExitCode::SUCCESS
        }
    }
}
