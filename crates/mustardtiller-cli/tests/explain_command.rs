//! `explain` joins the log lines of several daemons about one request.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

const ENTRY: &str = r#"noise before {"time":"2026-02-25T09:08:36.645Z","level":"WARN","event":"E510","text":"call not answered","id":"b8a6","kind":"r-9","outcome":"not-run","reason":"queue-full","left_ms":454,"offers":[{"upstream":"i-16","may_wait":false,"result":"busy"}]}
{"time":"2026-02-25T09:08:36.700Z","level":"WARN","event":"E510","text":"call not answered","id":"b8a61","kind":"r-9"}
not json"#;

const GATE: &str = r#"{"time":"2026-02-25T09:08:36.403Z","level":"INFO","event":"E520","text":"gate refused a request","id":"b8a6","upstream":"i-16","sent":false,"reason":"busy"}
{"time":"2026-02-25T09:08:36.500Z","level":"INFO","event":"E520","text":"gate refused a request","id":"b8a6.77","upstream":"i-20","sent":false,"reason":"too-late"}"#;

#[test]
fn lines_are_sorted_by_time() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("explain");
    fs::create_dir_all(&dir).expect("the directory can be created");
    fs::write(dir.join("entry.log"), ENTRY).expect("the log can be written");
    fs::write(dir.join("gate.log"), GATE).expect("the log can be written");
    let run = |id: &str| {
        Command::new(env!("CARGO_BIN_EXE_mustardtiller"))
            .current_dir(&dir)
            .args(["explain", id, "entry.log", "gate.log"])
            .output()
            .expect("the command can be started")
    };
    let output = run("b8a6");
    assert!(output.status.success());
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout), @r"
    2026-02-25T09:08:36.403Z E520 gate refused a request (gate.log)
        id=b8a6 reason=busy sent=false upstream=i-16
    2026-02-25T09:08:36.500Z E520 gate refused a request (gate.log)
        id=b8a6.77 reason=too-late sent=false upstream=i-20
    2026-02-25T09:08:36.645Z E510 call not answered (entry.log)
        id=b8a6 kind=r-9 left_ms=454 outcome=not-run reason=queue-full
        offer: may_wait=false result=busy upstream=i-16
    ");
    assert_eq!(run("none").status.code(), Some(1));
}
