//! Two attempts at one call: which answer counts, and what a failure may claim.

use std::sync::atomic::AtomicBool;
use std::time::Duration;

use smol::Timer;
use smol::future;

use mustardtiller::RaceEnd;
use mustardtiller::first_answer;

async fn after(millis: u64, result: Result<u8, &'static str>) -> Result<u8, &'static str> {
    Timer::after(Duration::from_millis(millis)).await;
    result
}

fn race(
    main: impl Future<Output = Result<u8, &'static str>>,
    hedge: impl Future<Output = Result<u8, &'static str>>,
    begun: bool,
) -> RaceEnd<u8, &'static str> {
    let begun = AtomicBool::new(begun);
    smol::block_on(first_answer(main, hedge, &begun))
}

#[test]
fn first_answers_count() {
    let end = race(after(1, Ok(1)), after(40, Ok(2)), true);
    assert_eq!(end, RaceEnd::Main(1));
    let end = race(after(40, Ok(1)), after(1, Ok(2)), true);
    assert_eq!(end, RaceEnd::Hedge(2));
}

#[test]
fn refused_main_attempts_wait_for_the_hedge() {
    // The main attempt was refused while the hedge ran: the call has run.
    let end = race(after(1, Err("not run")), after(20, Ok(2)), true);
    assert_eq!(end, RaceEnd::Hedge(2));
    let end = race(after(1, Err("not run")), after(20, Err("lost")), true);
    let failed = RaceEnd::Failed {
        main: "not run",
        hedge: Some("lost"),
    };
    assert_eq!(end, failed);
}

#[test]
fn lost_hedges_are_remembered() {
    let end = race(after(20, Err("not run")), after(1, Err("lost")), true);
    let failed = RaceEnd::Failed {
        main: "not run",
        hedge: Some("lost"),
    };
    assert_eq!(end, failed);
    let end = race(after(20, Ok(1)), after(1, Err("lost")), true);
    assert_eq!(end, RaceEnd::Main(1));
}

#[test]
fn hedges_that_never_began_are_not_awaited() {
    let end = race(after(1, Err("not run")), future::pending(), false);
    let failed = RaceEnd::Failed {
        main: "not run",
        hedge: None,
    };
    assert_eq!(end, failed);
}
