//! Which daemon reads the platform when, and which entries a registry keeps.

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
        data_centre: "here".into(),
        address: ([127, 0, 0, 1], port).into(),
        slots: 4,
        state: RegistrationState::Ready,
        started_ms,
        cold: false,
    }
}

const fn rank(within_data_centre: usize, data_centre: usize) -> Rank {
    Rank {
        within_data_centre,
        data_centre,
    }
}

/// Simulate the daemons of several data centres in virtual time.
///
/// `can_read` decides whether the daemon of a rank can read at a time, and
/// `reaches` whether its result reaches another data centre. Returns the number of
/// reads and the greatest age of any data centre's registry, in milliseconds.
fn simulate_data_centres(
    (data_centres, daemons): (usize, usize),
    millis: u64,
    can_read: impl Fn(Rank, u64) -> bool,
    reaches: impl Fn(usize, usize) -> bool,
) -> (usize, u64) {
    let rule = ReadScheduleRule::default();
    let mut rng = fastrand::Rng::with_seed(3);
    let all = (0..data_centres)
        .flat_map(|data_centre| (0..daemons).map(move |within| rank(within, data_centre)));
    let all: Vec<Rank> = all.collect();
    let mut schedules: Vec<ReadSchedule> = all
        .iter()
        .map(|_| ReadSchedule::new(rule, at(0), &mut rng))
        .collect();
    let mut read_at: Vec<Option<Instant>> = vec![None; data_centres];
    let (mut reads, mut oldest) = (0, 0);
    for now in 0..millis {
        for (index, &rank) in all.iter().enumerate() {
            let next = schedules[index].next_read(read_at[rank.data_centre], rank);
            if !next.has_passed(at(now)) {
                continue;
            }
            reads += 1;
            let outcome = if can_read(rank, now) {
                for (data_centre, read_at) in read_at.iter_mut().enumerate() {
                    if data_centre == rank.data_centre || reaches(rank.data_centre, data_centre) {
                        *read_at = Some(at(now));
                    }
                }
                ReadOutcome::Read
            } else {
                ReadOutcome::Failed
            };
            schedules[index].record_outcome(outcome, rank, at(now), &mut rng);
        }
        for read_at in read_at.iter().flatten() {
            oldest = oldest.max(at(now).micros_since(*read_at) / 1_000);
        }
    }
    (reads, oldest)
}

#[test]
fn first_data_centre_reads_for_all() {
    let (reads, oldest) = simulate_data_centres((5, 16), 60_000, |_, _| true, |_, _| true);
    assert!(reads <= 60_000 / 600 + 80, "{reads} reads");
    assert!(oldest <= 600, "{oldest} ms");
}

#[test]
fn partitioned_data_centre_reads_for_itself() {
    let not_place_0 = |from, to| from != 0 && to != 0;
    let (reads, oldest) = simulate_data_centres((5, 16), 60_000, |_, _| true, not_place_0);
    assert!(reads <= 2 * 60_000 / 600 + 80, "{reads} reads");
    assert!(
        oldest < 1_800,
        "a draining upstream must be known within 2 s, registry is {oldest} ms old"
    );
}

#[test]
fn next_data_centre_reads_when_the_first_can_not() {
    let can_read = |rank: Rank, now| now < 10_000 || rank.data_centre != 0;
    let (_, oldest) = simulate_data_centres((5, 16), 60_000, can_read, |_, _| true);
    assert!(oldest < 1_000, "{oldest} ms");
}

/// Simulate the daemons of one data centre, as [`simulate_data_centres`] does.
fn simulate(daemons: usize, millis: u64, can_read: impl Fn(usize, u64) -> bool) -> (usize, u64) {
    let can_read = |rank: Rank, now| can_read(rank.within_data_centre, now);
    simulate_data_centres((1, daemons), millis, can_read, |_, _| true)
}

#[test]
fn first_daemon_reads_for_its_data_centre() {
    let (reads, oldest) = simulate(30, 60_000, |_, _| true);
    assert!(reads <= 60_000 / 600 + 30, "{reads} reads");
    assert!(oldest <= 600);
}

#[test]
fn next_daemon_reads_when_the_first_can_not() {
    // The first three in rank can't read from the tenth second on.
    let (_, oldest) = simulate(30, 60_000, |rank, now| now < 10_000 || rank > 2);
    assert!(
        oldest < 1_800,
        "a draining upstream must be known within 2 s"
    );
}

#[test]
fn few_daemons_read_during_an_outage() {
    let (reads, _) = simulate(90, 30_000, |_, now| now < 5_000);
    let naive = 90 * 25_000 / 600;
    assert!(reads * 3 < naive, "{reads} reads, {naive} without ranks");
}

#[test]
fn newest_incarnation_owns_the_address() {
    let (old, new) = (entry("a", 1, 10), entry("b", 1, 20));
    let other = entry("c", 2, 5);
    let registry = Registry::new([old.clone(), new.clone(), other.clone()], 1, at(0));
    assert!(!registry.is_newest(&old));
    assert!(registry.is_newest(&new) && registry.is_newest(&other));
    assert_eq!(
        registry.at_address(old.address).map(|e| e.name.as_str()),
        Some("b")
    );
}

#[test]
fn applied_delta_gives_the_newer_registry() {
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
        let before = Registry::new(draw(&mut rng), 1, at(1));
        let after = Registry::new(draw(&mut rng), 2, at(2));
        let applied = before.with_delta(&after.delta_from(&before), 2, at(2));
        assert_eq!(applied.digest(), after.digest());
        assert_eq!(applied.len(), after.len());
    }
}

#[test]
fn each_rank_reads_one_step_later() {
    let rule = ReadScheduleRule::default();
    let schedule = ReadSchedule::new(rule, at(0), &mut fastrand::Rng::with_seed(1));
    let first = schedule.next_read(Some(at(100)), rank(0, 0));
    let second = schedule.next_read(Some(at(100)), rank(1, 0));
    assert_eq!(first, Deadline::at(at(100 + rule.read_ms)));
    assert_eq!(second, Deadline::at(at(100 + rule.read_ms + rule.step_ms)));
}
