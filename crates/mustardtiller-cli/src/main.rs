//! Command-line tool of operators.
//!
//! It checks, builds and compares sets of objects, and explains requests from logs.
//! It contacts no running process. Operators publish the artefacts it builds with the
//! platform's own tools.

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
        _ => unreachable!("clap accepts only the subcommands above"),
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
                .about("Check a set of objects and report all faults at once")
                .arg(dir("dir", "Directory with the .ini files of the set")),
        )
        .subcommand(
            Command::new("build")
                .about("Build the artefact of a set for publishing")
                .arg(dir("dir", "Directory with the .ini files of the set"))
                .arg(
                    Arg::new("out")
                        .long("out")
                        .required(true)
                        .value_name("DIR")
                        .help("Directory to write `manifest` and `parts/` to"),
                ),
        )
        .subcommand(
            Command::new("diff")
                .about("Show the differences between two sets and their consequences")
                .arg(dir("old", "Directory with the set that is in force"))
                .arg(dir("new", "Directory with the set to publish")),
        )
        .subcommand(
            Command::new("hosts")
                .about("Print a host list for a set, with every host live")
                .arg(dir("dir", "Directory with the .ini files of the set")),
        )
        .subcommand(
            Command::new("explain")
                .about("Show the log lines of several daemons about one request, sorted by time")
                .arg(
                    Arg::new("id")
                        .required(true)
                        .value_name("ID")
                        .help("Id that the caller gave the request"),
                )
                .arg(
                    Arg::new("files")
                        .required(true)
                        .num_args(1..)
                        .value_name("FILE")
                        .help("Log files of daemons"),
                ),
        )
}
