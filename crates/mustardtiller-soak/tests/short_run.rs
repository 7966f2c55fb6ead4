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

/// Seeds that are played side by side.
const AT_ONCE: usize = 4;

fn regressions() -> Vec<(u64, Scale)> {
    let lines = REGRESSIONS.lines().filter(|line| !line.starts_with('#'));
    let read = |line: &str| {
        let mut words = line.split_whitespace();
        let mut number = || words.next()?.parse::<u64>().ok();
        let seed = number()?;
        let scale = Scale {
            hosts: number()? as usize,
            millis: number()?,
            calls_per_s: number()?,
        };
        Some((seed, scale))
    };
    lines
        .map(|line| read(line).unwrap_or_else(|| panic!("`{line}` is no regression")))
        .collect()
}

#[test]
fn seeds_that_failed_once() {
    for seeds in regressions().chunks(AT_ONCE) {
        std::thread::scope(|scope| {
            for &(seed, scale) in seeds {
                scope.spawn(move || keeps_every_promise(seed, scale));
            }
        });
    }
}
