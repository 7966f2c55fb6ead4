//! Containment of panics: one task ends, not the process.

use std::any::Any;
use std::panic::AssertUnwindSafe;

use smol::future::FutureExt;

/// Run a task, and return the text of its panic if it panics.
///
/// A panic means a broken invariant. In a task that handles one connection or one
/// message, what it breaks ends with the task.
pub async fn contained<T>(task: impl Future<Output = T>) -> Result<T, String> {
    let result = AssertUnwindSafe(task).catch_unwind().await;
    result.map_err(|payload| panic_text(payload.as_ref()))
}

fn panic_text(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().map(ToString::to_string);
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "panic without a text".to_owned())
}
