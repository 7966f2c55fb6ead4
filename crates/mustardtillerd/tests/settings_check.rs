//! The settings, checked before anything starts.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

fn run(name: &str, text: &str) -> Output {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the settings can be written");
    Command::new(env!("CARGO_BIN_EXE_mustardtillerd"))
        .arg("--check")
        .arg(&path)
        .output()
        .expect("the daemon can be started")
}

#[test]
fn good_settings_pass() {
    let text = "[daemon]\nupstream = a\nplace = p\nentry = 127.0.0.1:1\nlink = 127.0.0.1:2\n\
                [platform]\naddress = 127.0.0.1:3\n";
    let output = run("good.ini", text);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn every_fault_is_told_at_once() {
    let text = "[daemon]\nupsteam = a\nplace = p p\nentry = nowhere\nlink = 127.0.0.1:2\n\
                threads = 0\n[limit]\n[platform]\naddress = 127.0.0.1:3\n";
    let output = run("faults.ini", text);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    let lines: Vec<&str> = text
        .lines()
        .map(|line| line.split("faults.ini:").nth(1).unwrap_or(line))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_missing_file_is_told() {
    let output = Command::new(env!("CARGO_BIN_EXE_mustardtillerd"))
        .arg("/nowhere/daemon.ini")
        .output()
        .expect("the daemon can be started");
    assert_eq!(output.status.code(), Some(2));
}
