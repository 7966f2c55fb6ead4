//! Interim answers (1xx), which may come before an answer.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use event_listener::Event;
use hyper::Request;
use hyper::ext::on_informational;

/// Most interim answers that may come before an answer.
const MAX_INTERIM_ANSWERS: u32 = 1_000;

/// Counts the interim answers to one request.
#[derive(Debug, Default)]
pub struct InterimAnswers {
    count: AtomicU32,
    exceeded: Event,
}

impl InterimAnswers {
    /// Count the interim answers to a request that is about to be sent.
    pub fn count_for<B>(req: &mut Request<B>) -> Arc<Self> {
        let answers = Arc::new(Self::default());
        let counted = Arc::clone(&answers);
        on_informational(req, move |_| counted.count());
        answers
    }

    fn count(&self) {
        if self.count.fetch_add(1, Ordering::SeqCst) == MAX_INTERIM_ANSWERS {
            self.exceeded.notify(usize::MAX);
        }
    }

    /// Wait until there are more than [`MAX_INTERIM_ANSWERS`].
    pub async fn exceeded(&self) {
        loop {
            let exceeded = self.exceeded.listen();
            if self.count.load(Ordering::SeqCst) > MAX_INTERIM_ANSWERS {
                return;
            }
            exceeded.await;
        }
    }
}
