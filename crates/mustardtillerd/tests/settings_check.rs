//! Checking of the settings at the start and at a reload.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

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
fn valid_settings_pass() {
    let text = "[daemon]\nupstream = a\nplace = p\nentry = 127.0.0.1:1\nlink = 127.0.0.1:2\n\
                [platform]\naddress = 127.0.0.1:3\n";
    let output = run("good.ini", text);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn every_fault_is_reported_at_once() {
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
fn a_missing_file_is_reported() {
    let output = Command::new(env!("CARGO_BIN_EXE_mustardtillerd"))
        .arg("/nowhere/daemon.ini")
        .output()
        .expect("the daemon can be started");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn sighup_reloads_without_stopping() {
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join("hangup.ini");
    let ip = format!("127.{}.77.1", 20 + std::process::id() % 200);
    let text = format!(
        "[daemon]\nupstream = a\nplace = p\nentry = {ip}:8000\nlink = {ip}:9000\n\
         withdraw_ms = 10\nstop_ms = 10\n[platform]\naddress = {ip}:6000\n"
    );
    fs::write(&path, &text).expect("the settings can be written");
    let log = dir.join("hangup.log");
    let mut child = Command::new(env!("CARGO_BIN_EXE_mustardtillerd"))
        .arg(&path)
        .stdout(fs::File::create(&log).expect("the log can be created"))
        .spawn()
        .expect("the daemon starts");
    let pid = rustix::process::Pid::from_child(&child);
    let wait_until_logged = |event: &str| {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !fs::read_to_string(&log).unwrap_or_default().contains(event) {
            assert!(
                Instant::now() < deadline,
                "{event} did not appear in the log within 20 s"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    };
    wait_until_logged("E100");
    rustix::process::kill_process(pid, rustix::process::Signal::HUP)
        .expect("the daemon is running");
    wait_until_logged("E105");
    fs::write(&path, "[daemon]\nupsteam = a\n").expect("the settings can be written");
    rustix::process::kill_process(pid, rustix::process::Signal::HUP)
        .expect("the daemon is running");
    wait_until_logged("E106");
    rustix::process::kill_process(pid, rustix::process::Signal::TERM)
        .expect("the daemon is running");
    assert!(child.wait().expect("the daemon exits").success());
    let log = fs::read_to_string(&log).expect("the log can be read");
    assert!(
        log.contains("E102"),
        "the log lacks the last line of the daemon"
    );
}
