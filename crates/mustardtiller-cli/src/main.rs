//! The operator's command: check, build and compare sets of objects, and explain requests.
//!
//! It talks to no running process. What it builds is published by the
//! platform's own means.

mod commands;

use std::alloc::System;
use std::process::ExitCode;

use clap::Arg;
use clap::Command;

#[global_allocator]
static ALLOCATOR: System = System;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let (name, arguments) = matches.subcommand().expect("a subcommand is required");
    let text = |name: &str| arguments.get_one::<String>(name).expect("required").clone();
    match name {
        "check" => commands::check(&text("dir")),
        "build" => commands::build(&text("dir"), &text("out")),
        "diff" => commands::diff(&text("old"), &text("new")),
        "hosts" => commands::hosts(&text("dir")),
        "explain" => {
            let files = arguments.get_many::<String>("files").expect("required");
            commands::explain(&text("id"), &files.cloned().collect::<Vec<_>>())
        }
        _ => unreachable!("every subcommand is listed"),
    }
}

fn command() -> Command {
    let dir = |name: &'static str, help: &'static str| {
        Arg::new(name).required(true).value_name("DIR").help(help)
    };
    Command::new("mustardtiller")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks, builds and compares the objects that describe a fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Check a set of objects and report every fault at once")
                .arg(dir("dir", "The folder of .ini files")),
        )
        .subcommand(
            Command::new("build")
                .about("Write the artefact to publish")
                .arg(dir("dir", "The folder of .ini files"))
                .arg(
                    Arg::new("out")
                        .long("out")
                        .required(true)
                        .value_name("DIR")
                        .help("The folder to write: `manifest` and `parts/`"),
                ),
        )
        .subcommand(
            Command::new("diff")
                .about("Show what a change does before it is published")
                .arg(dir("old", "The folder in force"))
                .arg(dir("new", "The folder to be published")),
        )
        .subcommand(
            Command::new("hosts")
                .about("Print the host list that fits a set, all hosts live")
                .arg(dir("dir", "The folder of .ini files")),
        )
        .subcommand(
            Command::new("explain")
                .about("Join what daemons logged of one request into one account")
                .arg(
                    Arg::new("id")
                        .required(true)
                        .value_name("ID")
                        .help("The identity that the caller gave the request"),
                )
                .arg(
                    Arg::new("files")
                        .required(true)
                        .num_args(1..)
                        .value_name("FILE")
                        .help("The logs of daemons"),
                ),
        )
}
