//! Who reads the platform when, and what a registry keeps.

use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::Rank;
use mustardtiller_core::ReadOutcome;
use mustardtiller_core::ReadSchedule;
use mustardtiller_core::ReadScheduleRule;
use mustardtiller_core::Registration;
use mustardtiller_core::RegistrationState;
use mustardtiller_core::Registry;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn entry(name: &str, port: u16, started_ms: u64) -> Registration {
    Registration {
        name: name.into(),
        service: "shop".into(),
        place: "here".into(),
        address: ([127, 0, 0, 1], port).into(),
        slots: 4,
        state: RegistrationState::Ready,
        started_ms,
        cold: false,
    }
}

const fn rank(within: usize, place: usize) -> Rank {
    Rank { within, place }
}

/// Daemons of some places in given time: how many reads, and the oldest view of any place.
///
/// `reads` tells whether the daemon of a rank gets an answer at a time,
/// `told` whether what it reads reaches another place.
fn play_places(
    (places, daemons): (usize, usize),
    millis: u64,
    reaches: impl Fn(Rank, u64) -> bool,
    told: impl Fn(usize, usize) -> bool,
) -> (usize, u64) {
    let rule = ReadScheduleRule::default();
    let mut rng = fastrand::Rng::with_seed(3);
    let all = (0..places).flat_map(|place| (0..daemons).map(move |within| rank(within, place)));
    let all: Vec<Rank> = all.collect();
    let mut turns: Vec<ReadSchedule> = all.iter().map(|_| ReadSchedule::new(rule, at(0))).collect();
    let mut views: Vec<Option<Instant>> = vec![None; places];
    let (mut reads, mut oldest) = (0, 0);
    for now in 0..millis {
        for (index, &rank) in all.iter().enumerate() {
            let due = turns[index].next_read(views[rank.place], rank);
            if !due.has_passed(at(now)) {
                continue;
            }
            reads += 1;
            let outcome = if reaches(rank, now) {
                for (place, view) in views.iter_mut().enumerate() {
                    if place == rank.place || told(rank.place, place) {
                        *view = Some(at(now));
                    }
                }
                ReadOutcome::Read
            } else {
                ReadOutcome::Failed
            };
            turns[index].record_outcome(outcome, rank, at(now), &mut rng);
        }
        for view in views.iter().flatten() {
            oldest = oldest.max(at(now).micros_since(*view) / 1_000);
        }
    }
    (reads, oldest)
}

#[test]
fn one_place_reads_for_all() {
    let (reads, oldest) = play_places((5, 16), 60_000, |_, _| true, |_, _| true);
    assert!(reads <= 60_000 / 600 + 80, "{reads} reads");
    assert!(oldest <= 600, "{oldest} ms");
}

#[test]
fn a_place_apart_reads_for_itself() {
    let apart = |from, to| from != 0 && to != 0;
    let (reads, oldest) = play_places((5, 16), 60_000, |_, _| true, apart);
    assert!(reads <= 2 * 60_000 / 600 + 80, "{reads} reads");
    assert!(
        oldest < 1_800,
        "an upstream that drains is known within 2 s: {oldest} ms"
    );
}

#[test]
fn the_next_place_reads_when_the_first_can_not() {
    let reaches = |rank: Rank, now| now < 10_000 || rank.place != 0;
    let (_, oldest) = play_places((5, 16), 60_000, reaches, |_, _| true);
    assert!(oldest < 1_000, "{oldest} ms");
}

/// Daemons of one place in given time: how many reads, and the oldest view.
///
/// `reaches` tells whether the daemon of a rank reads and tells others at a time.
fn play(daemons: usize, millis: u64, reaches: impl Fn(usize, u64) -> bool) -> (usize, u64) {
    let reaches = |rank: Rank, now| reaches(rank.within, now);
    play_places((1, daemons), millis, reaches, |_, _| true)
}

#[test]
fn one_reads_for_all() {
    let (reads, oldest) = play(30, 60_000, |_, _| true);
    assert!(reads <= 60_000 / 600 + 30, "{reads} reads");
    assert!(oldest <= 600);
}

#[test]
fn the_next_reads_when_the_first_is_cut_off() {
    // The first three in rank reach nobody from the tenth second on.
    let (_, oldest) = play(30, 60_000, |rank, now| now < 10_000 || rank > 2);
    assert!(
        oldest < 1_800,
        "an upstream that drains is known within 2 s"
    );
}

#[test]
fn an_outage_is_not_met_by_everybody() {
    let (reads, _) = play(90, 30_000, |_, now| now < 5_000);
    let naive = 90 * 25_000 / 600;
    assert!(reads * 3 < naive, "{reads} reads, {naive} without ranks");
}

#[test]
fn entries_missing_after_a_gap_are_kept_a_while() {
    let mut turn = ReadSchedule::new(ReadScheduleRule::default(), at(0));
    assert!(!turn.keeps_missing(Some(at(1_000)), at(1_600)));
    assert!(turn.keeps_missing(Some(at(1_600)), at(6_000)));
    assert!(turn.keeps_missing(Some(at(7_400)), at(8_000)));
    assert!(!turn.keeps_missing(Some(at(8_000)), at(8_600)));
}

#[test]
fn the_newest_incarnation_has_the_address() {
    let (old, new) = (entry("a", 1, 10), entry("b", 1, 20));
    let other = entry("c", 2, 5);
    let registry = Registry::new([old.clone(), new.clone(), other.clone()], at(0));
    assert!(!registry.is_newest(&old));
    assert!(registry.is_newest(&new) && registry.is_newest(&other));
    assert_eq!(
        registry.at_address(old.address).map(|e| e.name.as_str()),
        Some("b")
    );
}

#[test]
fn a_delta_leads_to_the_same_registry() {
    let mut rng = fastrand::Rng::with_seed(9);
    let draw = |rng: &mut fastrand::Rng| -> Vec<Registration> {
        let mut entries = Vec::new();
        for n in 0..20 {
            if rng.bool() {
                entries.push(entry(&format!("u{n}"), n, rng.u64(0..3)));
            }
        }
        entries
    };
    for _ in 0..200 {
        let before = Registry::new(draw(&mut rng), at(1));
        let after = Registry::new(draw(&mut rng), at(2));
        let reached = before.with(&after.delta_from(&before), at(2));
        assert_eq!(reached.digest(), after.digest());
        assert_eq!(reached.len(), after.len());
    }
}

#[test]
fn deadlines_are_kept_apart() {
    let rule = ReadScheduleRule::default();
    let turn = ReadSchedule::new(rule, at(0));
    let first = turn.next_read(Some(at(100)), rank(0, 0));
    let second = turn.next_read(Some(at(100)), rank(1, 0));
    assert_eq!(first, Deadline::at(at(100 + rule.read_ms)));
    assert_eq!(second, Deadline::at(at(100 + rule.read_ms + rule.step_ms)));
}
