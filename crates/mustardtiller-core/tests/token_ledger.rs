//! The ledger against a plain model that never forgets.

use std::collections::HashMap;
use std::collections::HashSet;

use mustardtiller_core::Incarnation;
use mustardtiller_core::Instant;
use mustardtiller_core::Ledger;
use mustardtiller_core::LedgerLimits;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Presented;
use mustardtiller_core::Token;
use mustardtiller_core::TokenId;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::Verdict;

const GATE: Incarnation = Incarnation(1);

const LIMITS: LedgerLimits = LedgerLimits {
    tokens: 8,
    lifetime_micros: 1_000,
    skew_micros: 50,
};

fn token(sequence: u64, minted: u64) -> Token {
    Token {
        upstream: UpstreamName::new("u"),
        gate: GATE,
        id: TokenId {
            entry: Incarnation(9),
            sequence,
        },
        minted: Instant::from_micros(minted),
    }
}

/// What is known of one token in a whole history.
#[derive(Default)]
struct History {
    runs: u32,
    refused: bool,
}

/// Random histories: a token never runs twice, and a "not run" is final.
#[test]
fn at_most_once_over_random_histories() {
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut ledger: Ledger<u64> = Ledger::new(GATE, LIMITS);
        let mut minted: Vec<Token> = Vec::new();
        let mut known: HashMap<u64, History> = HashMap::new();
        let mut running: HashSet<u64> = HashSet::new();
        let mut now = 0;
        for step in 0..600 {
            now += rng.u64(0..20);
            if rng.bool() || minted.is_empty() {
                let at = (now + rng.u64(0..60)).saturating_sub(rng.u64(0..60));
                minted.push(token(step, at));
            }
            let chosen = minted[rng.usize(..minted.len())].clone();
            let sequence = chosen.id.sequence;
            let presented = ledger.present(&chosen, sequence, Instant::from_micros(now));
            let history = known.entry(sequence).or_default();
            match presented {
                Presented::Run => {
                    history.runs += 1;
                    running.insert(sequence);
                    assert!(!history.refused, "seed {seed}: ran after it was refused");
                }
                Presented::AlreadyRan(answer) => assert_eq!(answer, sequence, "another's answer"),
                Presented::Refuse(Verdict::NotRun(_)) => {
                    history.refused = true;
                    assert_eq!(history.runs, 0, "seed {seed}: refused after it ran");
                }
                Presented::Refuse(Verdict::Unknown(_)) => {}
            }
            assert!(known[&sequence].runs <= 1, "seed {seed}: ran twice");
            end_one(&mut ledger, &mut running, &mut known, &mut rng);
            assert!(ledger.len() <= LIMITS.tokens);
        }
    }
}

/// End some running request in one of the ways a gate ends it.
fn end_one(
    ledger: &mut Ledger<u64>,
    running: &mut HashSet<u64>,
    known: &mut HashMap<u64, History>,
    rng: &mut fastrand::Rng,
) {
    let mut all: Vec<u64> = running.iter().copied().collect();
    all.sort_unstable();
    if all.is_empty() || rng.bool() {
        return;
    }
    let sequence = all[rng.usize(..all.len())];
    running.remove(&sequence);
    let id = token(sequence, 0).id;
    match rng.u8(0..4) {
        0 => ledger.finish(id, Some(sequence)),
        1 => ledger.finish(id, None),
        2 => ledger.mark_unknown(id, UnknownReason::AnswerCut),
        _ => {
            // The gate refused before the first byte: it did not run after all.
            known.entry(sequence).or_default().runs = 0;
            ledger.void(id);
        }
    }
}

#[test]
fn another_incarnation_never_runs_it() {
    let mut ledger: Ledger<u64> = Ledger::new(Incarnation(2), LIMITS);
    let gone = Presented::Refuse(Verdict::Unknown(UnknownReason::IncarnationGone));
    assert_eq!(
        ledger.present(&token(1, 0), 1, Instant::from_micros(0)),
        gone
    );
}

#[test]
fn it_is_remembered_until_it_would_be_refused() {
    let mut ledger: Ledger<u64> = Ledger::new(GATE, LIMITS);
    let at = Instant::from_micros;
    assert_eq!(ledger.present(&token(1, 100), 1, at(100)), Presented::Run);
    ledger.finish(token(1, 100).id, Some(7));
    assert_eq!(
        ledger.present(&token(1, 100), 1, at(1_099)),
        Presented::AlreadyRan(7)
    );
    let expired = Presented::Refuse(Verdict::Unknown(UnknownReason::TokenExpired));
    assert_eq!(ledger.present(&token(1, 100), 1, at(1_100)), expired);
    assert!(ledger.is_empty());
}

#[test]
fn a_full_ledger_forgets_nothing() {
    let mut ledger: Ledger<u64> = Ledger::new(GATE, LIMITS);
    let at = Instant::from_micros;
    for sequence in 0..8 {
        assert_eq!(
            ledger.present(&token(sequence, 10), 0, at(10)),
            Presented::Run
        );
    }
    let full = Presented::Refuse(Verdict::NotRun(NotRunReason::LedgerFull));
    assert_eq!(ledger.present(&token(8, 20), 0, at(20)), full);
    // Room comes with the expiry of the first; what was refused stays refused.
    assert_eq!(ledger.present(&token(9, 30), 0, at(1_015)), Presented::Run);
    assert_eq!(ledger.present(&token(8, 20), 0, at(1_016)), full);
}

#[test]
fn a_token_from_the_future_is_not_judged() {
    let mut ledger: Ledger<u64> = Ledger::new(GATE, LIMITS);
    let early = Presented::Refuse(Verdict::Unknown(UnknownReason::TokenEarly));
    assert_eq!(
        ledger.present(&token(1, 200), 0, Instant::from_micros(100)),
        early
    );
    assert_eq!(
        ledger.present(&token(1, 200), 0, Instant::from_micros(150)),
        Presented::Run
    );
}
