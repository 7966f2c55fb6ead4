//! Short runs of the real daemon: one of each sort, and every seed that ever failed.

use std::fs;
use std::path::PathBuf;

use mustardtiller_soak::Plan;
use mustardtiller_soak::Scale;
use mustardtiller_soak::check;
use mustardtiller_soak::play;

/// Size of a run in CI.
const SHORT: Scale = Scale {
    hosts: 4,
    millis: 6_000,
    calls_per_s: 100,
};

/// Seeds that failed once, each with its size and its cause.
const REGRESSIONS: &str = include_str!("regressions.txt");

/// The daemon's program lies beside the soak's.
fn daemon_program() -> PathBuf {
    let soak = PathBuf::from(env!("CARGO_BIN_EXE_mustardtiller-soak"));
    let folder = soak.parent().expect("a program lies in a folder");
    folder.join("mustardtillerd")
}

fn keeps_every_promise(seed: u64, scale: Scale) {
    let plan = Plan::draw(seed, scale);
    let name = format!("mustardtiller-soak-{}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("the folder can be made");
    let history = play(&plan, &daemon_program(), &folder);
    let breaches = check(&history);
    assert!(
        breaches.is_empty(),
        "seed {seed}, logs in {}: {history}\n{:#?}",
        folder.display(),
        breaches.iter().take(5).collect::<Vec<_>>()
    );
    assert!(!history.runs.is_empty(), "seed {seed} ran nothing");
    fs::remove_dir_all(&folder).expect("the folder can be removed");
}

#[test]
fn planned_work_alone() {
    let seed = 4_000;
    assert!(Plan::draw(seed, SHORT).planned_only);
    keeps_every_promise(seed, SHORT);
}

#[test]
fn faults_of_every_sort() {
    let seed = 4_001;
    assert!(!Plan::draw(seed, SHORT).planned_only);
    keeps_every_promise(seed, SHORT);
}

#[test]
fn seeds_that_failed_once() {
    for line in REGRESSIONS.lines().filter(|line| !line.starts_with('#')) {
        let mut words = line.split_whitespace();
        let mut number = || words.next().and_then(|word| word.parse().ok());
        let read = (number(), number(), number(), number());
        let (Some(seed), Some(hosts), Some(millis), Some(calls_per_s)) = read else {
            panic!("`{line}` is no regression");
        };
        let scale = Scale {
            hosts: hosts as usize,
            millis,
            calls_per_s,
        };
        keeps_every_promise(seed, scale);
    }
}
