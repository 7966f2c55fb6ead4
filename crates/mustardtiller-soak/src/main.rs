//! Runs seeds one after the other and prints the promises that they break.

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
use mustardtiller_soak::run_plan;

/// Breaches printed for each seed; all of them are written to its folder.
const MAX_PRINTED_BREACHES: usize = 5;

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
        if !run_seed(&Plan::draw(seed, scale), &program, &keep) {
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
        .about("Injects seeded faults into real daemons, and checks their promises")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("First seed [default: random]"),
        )
        .arg(number(
            "seeds",
            "1",
            "Number of seeds to run, one after the other",
        ))
        .arg(number(
            "hosts",
            "6",
            "Number of hosts, each with an upstream and its daemon",
        ))
        .arg(number(
            "millis",
            "12000",
            "Length of each run, in milliseconds",
        ))
        .arg(number(
            "calls-per-s",
            "200",
            "Calls per second, by all callers together",
        ))
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .default_value("target/release/mustardtillerd")
                .help("Path of the daemon's executable"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .default_value("target/soak")
                .help("Folder for the plans, histories and logs of failed seeds"),
        )
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    let value: &String = matches.get_one(name).expect("it has a default");
    value
}

/// Run one plan, and report whether every promise held.
fn run_seed(plan: &Plan, program: &Path, keep: &Path) -> bool {
    let folder = keep.join(format!("seed-{}", plan.seed));
    // Files of an earlier run of this seed must not be mistaken for this run's.
    let _ = fs::remove_dir_all(&folder);
    if let Err(e) = fs::create_dir_all(&folder) {
        eprintln!("mustardtiller-soak: {}: {e}", folder.display());
        return false;
    }
    let history = run_plan(plan, program, &folder);
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
    for breach in breaches.iter().take(MAX_PRINTED_BREACHES) {
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
