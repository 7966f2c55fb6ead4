//! Prints the table of docs/CAPACITY.md from measured slopes and a fleet size.

use std::process::ExitCode;

use clap::Arg;
use clap::Command;
use clap::value_parser;

use mustardtiller::config::Source;
use mustardtiller_standin::FleetSize;
use mustardtiller_standin::Slopes;
use mustardtiller_standin::capacity_table;

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default);
        arg.value_parser(value_parser!(u64).range(1..))
    };
    let matches = Command::new("standin-capacity")
        .about("Prints the cost of the control plane at a fleet size")
        .arg(Arg::new("slopes").default_value("docs/slopes.ini"))
        .arg(number("upstreams", "4800"))
        .arg(number("services", "190"))
        .arg(number("services-called", "22"))
        .arg(number("subset", "20"))
        .arg(number("places", "13"))
        .arg(number("readers", "3"))
        .arg(number("changes-per-day", "8000"))
        .arg(number("hosts-every-s", "60"))
        .get_matches();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let path: &String = matches.get_one("slopes").expect("it has a default");
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("standin-capacity: {path}: {e}");
            return ExitCode::FAILURE;
        }
    };
    let slopes = match Slopes::read(&Source::new(path.as_str(), text)) {
        Ok(slopes) => slopes,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::FAILURE;
        }
    };
    let size = FleetSize {
        upstreams: number("upstreams"),
        services: number("services"),
        services_called: number("services-called"),
        subset: number("subset"),
        data_centres: number("places"),
        readers: number("readers"),
        changes_per_day: number("changes-per-day"),
        hosts_every_s: number("hosts-every-s"),
    };
    print!("{}", capacity_table(&slopes, &size));
    ExitCode::SUCCESS
}
