//! Views of the registrations that are older than what is known change nothing.

use mustardtiller_core::Instant;
use mustardtiller_core::Registration;
use mustardtiller_core::RegistrationState;
use mustardtiller_core::Registry;
use mustardtiller_core::RegistryView;
use mustardtiller_core::RegistryViewRule;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn entry(name: &str) -> Registration {
    Registration {
        name: name.into(),
        service: "shop".into(),
        data_centre: "here".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        slots: 4,
        state: RegistrationState::Ready,
        started_ms: 1,
        cold: false,
    }
}

/// Return a registry as read at a time, in milliseconds.
fn read(names: &[&str], revision: u64, millis: u64) -> Registry {
    Registry::new(names.iter().map(|name| entry(name)), revision, at(millis))
}

fn view() -> RegistryView {
    RegistryView::new(RegistryViewRule::default())
}

/// Return the names that a view uses.
fn used(view: &RegistryView) -> Vec<String> {
    let usable = view.usable(|_| true);
    usable
        .entries()
        .map(|entry| entry.name.to_string())
        .collect()
}

#[test]
fn entries_missing_after_a_gap_are_kept_for_a_while() {
    let mut view = view();
    view.accept(read(&["a", "b"], 1, 1_000), at(1_000));
    view.accept(read(&["a", "b"], 2, 1_600), at(1_600));
    assert_eq!(view.keep_until(), None, "no gap");
    view.accept(read(&["a"], 3, 6_000), at(6_000));
    assert_eq!(used(&view), ["a", "b"]);
    assert!(!view.expire(at(8_000)));
    view.accept(read(&["a"], 4, 8_000), at(8_000));
    assert_eq!(used(&view), ["a", "b"]);
    assert!(view.expire(at(8_200)));
    assert_eq!(used(&view), ["a"]);
}

#[test]
fn entries_that_are_kept_are_told_to_nobody() {
    let mut view = view();
    view.accept(read(&["a", "b"], 1, 1_000), at(1_000));
    view.accept(read(&["a"], 3, 6_000), at(6_000));
    let listed = view.listed().expect("it was read");
    assert_eq!(listed.digest(), read(&["a"], 3, 0).digest());
}

#[test]
fn removals_are_final_where_reads_had_no_gap() {
    let mut view = view();
    for (revision, millis) in [(1, 1_000), (2, 2_000)] {
        view.accept(read(&["a", "b"], revision, millis), at(millis));
    }
    assert!(view.accept(read(&["a"], 3, 3_000), at(3_000)));
    assert_eq!(used(&view), ["a"]);
    // A daemon that was cut off tells the last that it knew, read late by its message's delay.
    assert!(!view.accept(read(&["a", "b"], 2, 4_000), at(4_000)));
    assert_eq!(used(&view), ["a"]);
}

#[test]
fn a_daemon_that_was_cut_off_hears_what_has_left() {
    let mut view = view();
    view.accept(read(&["a", "b"], 1, 1_000), at(1_000));
    view.accept(read(&["a"], 9, 5_000), at(5_000));
    assert_eq!(used(&view), ["a", "b"], "nobody has told it");
    let stale = view.hear_of_reads(9, at(200), at(1_200));
    assert!(
        !stale,
        "a peer that was cut off too tells nothing of the gap"
    );
    assert!(view.hear_of_reads(9, at(200), at(4_700)));
    assert_eq!(used(&view), ["a"]);
}

#[test]
fn a_delayed_message_of_an_older_revision_covers_no_gap() {
    let mut view = view();
    view.accept(read(&["a", "b"], 1, 1_000), at(1_000));
    view.accept(read(&["a"], 9, 5_000), at(5_000));
    // Read at 1,000 and delayed until 5,000, so it seems to be from 4,900.
    assert!(!view.hear_of_reads(1, at(200), at(4_900)));
    assert_eq!(used(&view), ["a", "b"]);
    assert!(view.hear_of_reads(9, at(200), at(4_900)));
}

/// Return a registry as a peer tells it that says that its reads had no gap.
fn told(view: &RegistryView, names: &[&str], revision: u64, millis: u64) -> Registry {
    let mut told = read(names, revision, millis);
    told.unbroken_since = view.covered_since(at(200), at(millis));
    told
}

/// Return the view of a daemon that ran until 1,000 and again from 6,000.
fn woken() -> RegistryView {
    let mut view = view();
    view.note_run(at(1_000));
    view.accept(read(&["a", "b"], 1, 1_000), at(1_000));
    view.note_run(at(6_000));
    view
}

#[test]
fn messages_that_waited_for_a_sleeper_cover_no_gap() {
    let mut view = woken();
    // Sent at 1,200, before the platform was away and the lease of `b` lapsed.
    let waited = told(&view, &["a", "b"], 2, 5_900);
    view.accept(waited, at(6_000));
    view.accept(read(&["a"], 3, 6_050), at(6_100));
    assert_eq!(used(&view), ["a", "b"]);
    let covered = view.covered_since(at(200), at(5_950));
    assert!(!view.hear_of_reads(3, covered, at(5_950)));
    assert!(view.expire(at(8_200)));
    assert_eq!(used(&view), ["a"]);
}

#[test]
fn a_sleepers_own_read_ends_its_doubt() {
    let mut view = woken();
    view.note_own_read(at(900));
    assert_eq!(
        view.covered_since(at(200), at(5_900)),
        at(5_900),
        "begun before"
    );
    view.note_own_read(at(6_050));
    assert_eq!(view.covered_since(at(200), at(6_060)), at(200));
}

#[test]
fn a_sleeper_that_never_reads_doubts_for_the_time_of_a_lapse() {
    let mut view = woken();
    view.note_run(at(8_199));
    assert_eq!(view.covered_since(at(200), at(8_000)), at(8_000));
    view.note_run(at(8_200));
    assert_eq!(view.covered_since(at(200), at(8_100)), at(200));
}

#[test]
fn a_loop_that_runs_in_time_believes_its_peers() {
    let mut view = view();
    for millis in [1_000, 3_500, 6_000] {
        view.note_run(at(millis));
    }
    assert_eq!(view.covered_since(at(200), at(5_900)), at(200));
}

#[test]
fn a_peers_reads_cover_the_gap() {
    let mut view = view();
    view.accept(read(&["a", "b"], 1, 1_000), at(1_000));
    let mut told = read(&["a"], 9, 5_000);
    told.unbroken_since = at(200);
    view.accept(told, at(5_000));
    assert_eq!(used(&view), ["a"]);
}

#[test]
fn order_of_messages_makes_no_difference() {
    let states = [
        read(&["a", "b"], 1, 1_000),
        read(&["b"], 2, 1_500),
        read(&["b", "c"], 3, 2_000),
        read(&["c"], 4, 2_500),
    ];
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..200 {
        let mut order = states.to_vec();
        rng.shuffle(&mut order);
        let mut view = view();
        for state in order {
            view.accept(state, at(2_600));
        }
        let listed = view.listed().expect("it was told");
        assert_eq!(listed.digest(), states[3].digest());
        assert_eq!(used(&view), ["c"]);
    }
}

#[test]
fn a_later_read_of_a_lower_revision_ends_a_false_one() {
    let mut view = view();
    view.accept(read(&["x"], 9_000, 1_000), at(1_100));
    assert!(!view.supersedes(&read(&["a"], 5, 1_050)), "it began before");
    assert!(view.supersedes(&read(&["a"], 5, 1_200)));
    view.forget();
    assert!(view.accept(read(&["a"], 5, 1_200), at(1_250)));
}

#[test]
fn entries_of_unnamed_services_have_no_say() {
    let mut view = view();
    let foreign = Registration {
        service: "other".into(),
        started_ms: 2,
        ..entry("x")
    };
    view.accept(Registry::new([entry("a"), foreign], 1, at(1)), at(1));
    let usable = view.usable(|service| service.as_str() == "shop");
    let own = usable.get("a").expect("it is used");
    assert!(usable.is_newest(own), "hidden by a foreign entry");
    assert_eq!(usable.len(), 1);
    assert_eq!(view.listed().map(Registry::len), Some(2), "it is told on");
}
