//! Short runs of the real daemon: planned work, all faults, and seeds that have failed.

use std::fs;
use std::path::PathBuf;

use mustardtiller_soak::Plan;
use mustardtiller_soak::Scale;
use mustardtiller_soak::check;
use mustardtiller_soak::run_plan;

/// Scale of a run in CI.
const SHORT: Scale = Scale {
    hosts: 4,
    millis: 6_000,
    calls_per_s: 100,
};

/// Seeds that have failed, each with its scale and cause.
const REGRESSIONS: &str = include_str!("regressions.txt");

/// Return the daemon's executable, which is built beside the soak's.
fn daemon_program() -> PathBuf {
    let soak = PathBuf::from(env!("CARGO_BIN_EXE_mustardtiller-soak"));
    let folder = soak.parent().expect("the executable is in a folder");
    folder.join("mustardtillerd")
}

fn assert_promises_hold(seed: u64, scale: Scale) {
    let plan = Plan::draw(seed, scale);
    let name = format!("mustardtiller-soak-{}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("failed to create the run's folder");
    let history = run_plan(&plan, &daemon_program(), &folder);
    let breaches = check(&history);
    assert!(
        breaches.is_empty(),
        "seed {seed}, logs in {}: {history}\n{:#?}",
        folder.display(),
        breaches.iter().take(5).collect::<Vec<_>>()
    );
    assert!(
        !history.runs.is_empty(),
        "seed {seed}: no upstream ran a request"
    );
    fs::remove_dir_all(&folder).expect("failed to remove the run's folder");
}

#[test]
fn planned_work_alone() {
    let seed = 4_000;
    assert!(Plan::draw(seed, SHORT).planned_only);
    assert_promises_hold(seed, SHORT);
}

#[test]
fn faults_of_every_sort() {
    let seed = 4_001;
    assert!(!Plan::draw(seed, SHORT).planned_only);
    assert_promises_hold(seed, SHORT);
}

/// Number of seeds run in parallel.
const PARALLEL_SEEDS: usize = 4;

fn regressions() -> Vec<(u64, Scale)> {
    let lines = REGRESSIONS.lines().filter(|line| !line.starts_with('#'));
    let parse = |line: &str| {
        let mut columns = line.split_whitespace();
        let mut number = || columns.next()?.parse::<u64>().ok();
        let seed = number()?;
        let scale = Scale {
            hosts: number()? as usize,
            millis: number()?,
            calls_per_s: number()?,
        };
        Some((seed, scale))
    };
    lines
        .map(|line| {
            parse(line).unwrap_or_else(|| panic!("malformed line in regressions.txt: `{line}`"))
        })
        .collect()
}

#[test]
fn seeds_that_failed_once() {
    for seeds in regressions().chunks(PARALLEL_SEEDS) {
        std::thread::scope(|scope| {
            for &(seed, scale) in seeds {
                scope.spawn(move || assert_promises_hold(seed, scale));
            }
        });
    }
}
