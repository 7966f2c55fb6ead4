//! Plays seeds one after the other and tells which promises they break.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use mustardtiller_soak::Plan;
use mustardtiller_soak::Scale;
use mustardtiller_soak::check;
use mustardtiller_soak::play;

/// Breaches that are printed of one seed; all of them go to its folder.
const PRINTED: usize = 5;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let scale = Scale {
        hosts: number("hosts") as usize,
        millis: number("millis"),
        calls_per_s: number("calls-per-s"),
    };
    let first = match matches.get_one::<u64>("seed") {
        Some(seed) => *seed,
        None => fastrand::u64(..1 << 32),
    };
    let keep = PathBuf::from(text(&matches, "keep"));
    let program = PathBuf::from(text(&matches, "daemon"));
    let mut failed = Vec::new();
    for seed in first..first + number("seeds") {
        if !play_seed(&Plan::draw(seed, scale), &program, &keep) {
            failed.push(seed);
        }
    }
    println!("failed seeds: {failed:?}");
    if failed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("mustardtiller-soak")
        .about("Strikes real daemons with faults drawn from seeds, and checks their promises")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("The first seed; drawn if there is none"),
        )
        .arg(number("seeds", "1", "Seeds to play, one after the other"))
        .arg(number(
            "hosts",
            "6",
            "Hosts, each with an upstream and its daemon",
        ))
        .arg(number("millis", "12000", "Length of each run"))
        .arg(number(
            "calls-per-s",
            "200",
            "Calls a second, of all callers together",
        ))
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .default_value("target/release/mustardtillerd")
                .help("The daemon's program"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .default_value("target/soak")
                .help("Where plans, histories and logs of failed seeds are kept"),
        )
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    let value: &String = matches.get_one(name).expect("it has a default");
    value
}

/// Play one seed, and report whether it keeps every promise.
fn play_seed(plan: &Plan, program: &Path, keep: &Path) -> bool {
    let folder = keep.join(format!("seed-{}", plan.seed));
    // What an earlier run of this seed left is not to be taken for this one's.
    let _ = fs::remove_dir_all(&folder);
    if let Err(e) = fs::create_dir_all(&folder) {
        eprintln!("mustardtiller-soak: {}: {e}", folder.display());
        return false;
    }
    let history = play(plan, program, &folder);
    let breaches = check(&history);
    println!(
        "seed {}: {} faults, {history}; {} breaches",
        plan.seed,
        plan.faults.len(),
        breaches.len()
    );
    if breaches.is_empty() {
        let _ = fs::remove_dir_all(&folder);
        return true;
    }
    for breach in breaches.iter().take(PRINTED) {
        println!("  {breach}");
    }
    let kept = fs::write(folder.join("plan"), lines(&plan.faults))
        .and_then(|()| fs::write(folder.join("breaches"), lines(&breaches)))
        .and_then(|()| fs::write(folder.join("history"), format!("{history:#?}")));
    if let Err(e) = kept {
        eprintln!("mustardtiller-soak: {}: {e}", folder.display());
    }
    false
}

fn lines(items: &[impl ToString]) -> String {
    let lines: Vec<String> = items.iter().map(ToString::to_string).collect();
    lines.join("\n") + "\n"
}
