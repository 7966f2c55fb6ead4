//! The subcommands that read sets and build artefacts, run as processes.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

fn create_set(name: &str, text: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("the directory can be created");
    fs::write(dir.join("set.ini"), text).expect("the set can be written");
    dir
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mustardtiller"))
        .args(arguments)
        .output()
        .expect("the command can be started")
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn the_examples_pass_the_check() {
    for name in ["forge", "doormats"] {
        let output = run(&["check", &example(name)]);
        assert_eq!(output.status.code(), Some(0));
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(text.contains("3 services"), "{text}");
        assert!(text.contains("12 upstreams"), "{text}");
    }
}

#[test]
fn a_set_with_faults_writes_nothing() {
    let dir = create_set("faulty", "[fleet f]\nrevision = 1\n[service s]\n");
    let out = dir.join("out");
    let out_text = out.display().to_string();
    let output = run(&["build", &dir.display().to_string(), "--out", &out_text]);
    assert_eq!(output.status.code(), Some(1));
    assert!(!out.exists(), "a set with faults was written");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("[service s] the service has no kind"),
        "{text}"
    );
    assert!(
        text.contains("[service s] the service has no upstream"),
        "{text}"
    );
}

#[test]
fn a_build_is_reproducible() {
    let dir = create_set("built", "");
    let outs = ["one", "two"].map(|name| dir.join(name));
    for out in &outs {
        let output = run(&[
            "build",
            &example("forge"),
            "--out",
            &out.display().to_string(),
        ]);
        assert_eq!(output.status.code(), Some(0));
    }
    let manifest = |out: &PathBuf| fs::read(out.join("manifest")).expect("the build wrote it");
    assert_eq!(manifest(&outs[0]), manifest(&outs[1]));
    let parts = fs::read_dir(outs[0].join("parts"))
        .expect("the build wrote it")
        .count();
    assert_eq!(parts, 4);
}

#[test]
fn a_missing_directory_is_reported() {
    assert_eq!(run(&["check", "/nowhere"]).status.code(), Some(2));
    assert_eq!(run(&["check", &example("")]).status.code(), Some(2));
}

#[test]
fn a_change_without_a_new_revision_is_reported() {
    let text = fs::read_to_string(format!("{}/fleet.ini", example("forge")))
        .expect("the example can be read");
    let dir = create_set("stale", &text);
    for name in ["katalog", "narudzbe", "nacrti"] {
        let from = format!("{}/{name}.ini", example("forge"));
        let text = fs::read_to_string(from).expect("the example can be read");
        let text = text.replace("slots = 12", "slots = 13");
        fs::write(dir.join(format!("{name}.ini")), text).expect("the set can be written");
    }
    let output = run(&["diff", &example("forge"), &dir.display().to_string()]);
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        text.contains("~ [upstream katalog-1] slots: 12 -> 13"),
        "{text}"
    );
    assert!(
        text.contains("! revision 1 does not rise above 1"),
        "{text}"
    );
}
