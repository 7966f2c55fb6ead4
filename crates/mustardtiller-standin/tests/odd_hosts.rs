//! Malformed lines of the host list cost themselves, and no other host.

mod util;

use mustardtiller_standin::HttpCall;
use util::Fleet;
use util::FleetPlan;
use util::HOST;
use util::wait_for;

/// Lines that name no host: fields missing, too many, of another form, or not readable.
const ODD_LINES: &[&str] = &[
    "alone",
    "name home",
    "name home 127.0.0.9",
    "name home 127.0.0.9:70000 live",
    "name home 127.0.0.9:9000",
    "name home 127.0.0.9:9000 gone",
    "name home 127.0.0.9:9000 live and more",
    "\u{0}\u{7}\u{fffd}",
];

fn plan() -> FleetPlan {
    FleetPlan {
        settings: "[spread]\nhosts_ms = 200\n".to_owned(),
        ..FleetPlan::default()
    }
}

/// One malformed line kept every change of the host list from all daemons.
#[test]
fn odd_lines_keep_no_departure_from_daemons() {
    let fleet = Fleet::start(plan());
    let hosts = fleet.hosts(&[0]);
    let sound: Vec<&str> = hosts.lines().collect();
    let text = format!("{}\n{}\n", ODD_LINES.join("\n"), sound.join("\nodd\n"));
    fleet.platform.set_hosts(&text);
    wait_for("the departure to be known", || {
        fleet.log(0).contains("E400")
    });
    wait_for("the malformed lines to be logged", || {
        fleet.log(0).contains("E206")
    });
    let answer = fleet.call(1, &HttpCall::new("GET", HOST, "/item"));
    assert_eq!(answer.status, 200);
}

/// A text that names no host is no host list.
#[test]
fn a_text_without_a_host_changes_nothing() {
    let fleet = Fleet::start(plan());
    fleet.platform.set_hosts(&fleet.hosts(&[0]));
    wait_for("the departure to be known", || {
        fleet.log(0).contains("E400")
    });
    fleet.platform.set_hosts("<html>unavailable</html>\n");
    wait_for("the text to be refused", || fleet.log(0).contains("E206"));
    assert!(
        !fleet.log(0).contains("E401"),
        "the departure was forgotten"
    );
    let answer = fleet.call(1, &HttpCall::new("GET", HOST, "/item"));
    assert_eq!(answer.status, 200);
}
