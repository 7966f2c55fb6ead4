//! Sends a load of browses, orders and uploads to entries and prints the results.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Arg;
use clap::Command;
use clap::value_parser;

use mustardtiller_standin::LoadPlan;
use mustardtiller_standin::LoadReport;
use mustardtiller_standin::Runner;
use mustardtiller_standin::run_load;

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default);
        arg.value_parser(value_parser!(u64))
    };
    let text = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default)
    };
    let matches = Command::new("standin-load")
        .about("Sends a load to entries and prints the results")
        .arg(Arg::new("entries").required(true).num_args(1..))
        .arg(text("browse-host", "katalog"))
        .arg(text("order-host", "narudzbe"))
        .arg(text("upload-host", "nacrti"))
        .arg(
            Arg::new("journal")
                .long("journal")
                .help("File to write the keys of done and refused calls to"),
        )
        .arg(number("rate", "400"))
        .arg(number("millis", "10000"))
        .arg(number("order-percent", "10"))
        .arg(number("upload-percent", "5"))
        .arg(number("upload-bytes", "100000"))
        .arg(number("seed", "1"))
        .get_matches();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let text = |name: &str| {
        matches
            .get_one::<String>(name)
            .expect("it has a default")
            .clone()
    };
    let arguments = matches.get_many::<String>("entries").expect("required");
    let entries: Result<Vec<SocketAddr>, _> = arguments.map(|argument| argument.parse()).collect();
    let Ok(entries) = entries else {
        eprintln!("standin-load: invalid entry address; expected IP:PORT");
        return ExitCode::FAILURE;
    };
    let plan = LoadPlan {
        entries,
        browse_host: text("browse-host"),
        order_host: text("order-host"),
        upload_host: text("upload-host"),
        rate: number("rate"),
        millis: number("millis"),
        order_percent: number("order-percent") as u8,
        upload_percent: number("upload-percent") as u8,
        upload_bytes: number("upload-bytes") as usize,
        seed: number("seed"),
    };
    let runner = Runner::start(2);
    let report = smol::future::block_on(run_load(runner.executor(), &plan));
    if let Some(path) = matches.get_one::<String>("journal")
        && let Err(e) = write_journal(path, &report)
    {
        eprintln!("standin-load: {path}: {e}");
        return ExitCode::FAILURE;
    }
    println!("{report}");
    if report.wrong > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn write_journal(path: &str, report: &LoadReport) -> std::io::Result<()> {
    let done = report.done.iter().map(|key| format!("done {key}\n"));
    let refused = report.refused.iter().map(|key| format!("refused {key}\n"));
    std::fs::write(path, done.chain(refused).collect::<String>())
}
