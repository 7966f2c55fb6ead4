//! A stand-in for an upstream; on SIGTERM, it drains before it stops.
//!
//! Prints `run KEY` for each order and upload that it runs.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_signal::Signal;
use async_signal::Signals;
use clap::Arg;
use clap::Command;
use clap::value_parser;
use smol::Timer;
use smol::stream::StreamExt;

use mustardtiller_standin::Runner;
use mustardtiller_standin::StandinUpstream;
use mustardtiller_standin::UpstreamPlan;
use mustardtiller_standin::UpstreamRecord;

/// Interval between checks for requests in flight while draining, in milliseconds.
const POLL_MS: u64 = 20;

fn main() -> ExitCode {
    let matches = Command::new("standin-upstream")
        .about("Answers browses, runs orders and stores uploads")
        .arg(Arg::new("listen").required(true))
        .arg(
            Arg::new("slots")
                .long("slots")
                .default_value("12")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("service-us")
                .long("service-us")
                .default_value("2000")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("drain-ms")
                .long("drain-ms")
                .default_value("5000")
                .value_parser(value_parser!(u64)),
        )
        .get_matches();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let listen: &String = matches.get_one("listen").expect("required");
    let Ok(address) = listen.parse() else {
        eprintln!("standin-upstream: invalid listen address `{listen}`; expected IP:PORT");
        return ExitCode::FAILURE;
    };
    let Ok(mut signals) = Signals::new([Signal::Term]) else {
        return ExitCode::FAILURE;
    };
    let runner = Runner::start(2);
    let plan = Arc::new(UpstreamPlan::new(number("service-us")));
    let record = Arc::new(UpstreamRecord::default());
    record.print_runs();
    let slots = number("slots") as usize;
    let upstream = StandinUpstream::start(&runner, address, slots, plan, record);
    smol::future::block_on(async {
        signals.next().await;
        upstream.plan().set_draining(true);
        Timer::after(Duration::from_millis(number("drain-ms"))).await;
        while upstream.record().in_flight() > 0 {
            Timer::after(Duration::from_millis(POLL_MS)).await;
        }
    });
    ExitCode::SUCCESS
}
