//! Two attempts at one call, of which the first answer counts.

use std::pin::pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use smol::future;

/// What one attempt and its hedge came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RaceEnd<T, E> {
    /// The main attempt answered.
    Main(T),
    /// The hedge answered.
    Hedge(T),
    /// Neither answered.
    Failed {
        /// Why the main attempt did not.
        main: E,
        /// Why the hedge did not; `None` if it was never begun.
        hedge: Option<E>,
    },
}

enum First<T, E> {
    Main(Result<T, E>),
    Hedge(Result<T, E>),
}

/// Take the first answer of two attempts.
///
/// The hedge sets `begun` before it sends anything; until then, it may wait forever.
/// If one attempt fails, the other may still answer. A hedge that was begun may have
/// run, so the failure of the main attempt alone is never the call's outcome.
pub async fn first_answer<T, E>(
    main: impl Future<Output = Result<T, E>>,
    hedge: impl Future<Output = Result<T, E>>,
    begun: &AtomicBool,
) -> RaceEnd<T, E> {
    let (mut main, mut hedge) = (pin!(main), pin!(hedge));
    let first_main = async { First::Main(main.as_mut().await) };
    let first_hedge = async { First::Hedge(hedge.as_mut().await) };
    match future::or(first_main, first_hedge).await {
        First::Main(Ok(answer)) => RaceEnd::Main(answer),
        First::Hedge(Ok(answer)) => RaceEnd::Hedge(answer),
        First::Main(Err(e)) if !begun.load(Ordering::SeqCst) => RaceEnd::Failed {
            main: e,
            hedge: None,
        },
        First::Main(Err(e)) => match hedge.await {
            Ok(answer) => RaceEnd::Hedge(answer),
            Err(hedge) => RaceEnd::Failed {
                main: e,
                hedge: Some(hedge),
            },
        },
        First::Hedge(Err(hedge)) => match main.await {
            Ok(answer) => RaceEnd::Main(answer),
            Err(main) => RaceEnd::Failed {
                main,
                hedge: Some(hedge),
            },
        },
    }
}
