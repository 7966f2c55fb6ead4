//! A place that operators take out of service in the product's own form.

mod util;

use util::Fleet;
use util::FleetPlan;
use util::wait_for;

/// Hosts of the fleet.
const HOSTS: usize = 3;

fn start() -> Fleet {
    let settings = "[spread]\nreaders = 1\ngossip_ms = 200\nhosts_ms = 300\nretry_ms = 100\n\
                    max_retry_ms = 500\nidle_read_ms = 600000\n";
    Fleet::start(FleetPlan {
        upstreams: HOSTS,
        settings: settings.to_owned(),
        ..FleetPlan::default()
    })
}

fn publish(fleet: &mut Fleet, revision: u64, place: &str) {
    place.clone_into(&mut fleet.plan.place);
    let artefact = fleet.artefact(revision, HOSTS);
    fleet.platform.publish(&artefact);
}

fn wait_evacuated(fleet: &Fleet, evacuated: bool) {
    for index in 0..HOSTS {
        wait_for("every gate to know", || {
            (fleet.metric(index, "evacuated") > 0.5) == evacuated
        });
    }
}

#[test]
fn requests_are_refused_until_the_place_is_back() {
    let mut fleet = start();
    publish(&mut fleet, 2, "evacuated = yes\n");
    wait_evacuated(&fleet, true);
    for index in 0..HOSTS {
        wait_for("the entry to know", || {
            fleet.get(index, "/ready").reason() == "no-upstream"
        });
        let answer = fleet.get(index, "/ready");
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    }
    publish(&mut fleet, 3, "");
    wait_evacuated(&fleet, false);
    for index in 0..HOSTS {
        wait_for("requests to be served again", || {
            fleet.get(index, "/ready").outcome() == "answered"
        });
    }
}

#[test]
fn a_restart_without_the_platform_ends_no_evacuation() {
    let mut fleet = start();
    publish(&mut fleet, 2, "evacuated = yes\n");
    wait_evacuated(&fleet, true);
    fleet.platform.set_down(true);
    fleet.kill(1);
    fleet.start_daemon(1);
    // It may know nothing yet; once it does, it knows of the evacuation.
    wait_for("the restarted daemon to know a configuration", || {
        let answer = fleet.get(1, "/ready");
        assert_ne!(answer.outcome(), "answered");
        answer.reason() == "no-upstream"
    });
    assert!(fleet.metric(1, "evacuated") > 0.5);
}
