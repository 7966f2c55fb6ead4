//! Threads that run a stand-in's tasks.

use std::sync::Arc;
use std::thread;

use async_channel::Sender;
use async_channel::bounded;
use smol::Executor;
use smol::Task;

/// An executor with threads of its own, ended when dropped.
#[derive(Debug)]
pub struct Runner {
    executor: Arc<Executor<'static>>,
    end: Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Runner {
    /// Start `count` threads.
    #[must_use]
    pub fn start(count: usize) -> Self {
        let executor = Arc::new(Executor::new());
        let (end, ended) = bounded::<()>(1);
        let threads = (0..count)
            .map(|_| {
                let (executor, ended) = (Arc::clone(&executor), ended.clone());
                thread::spawn(move || {
                    let _ = smol::block_on(executor.run(ended.recv()));
                })
            })
            .collect();
        Self {
            executor,
            end,
            threads,
        }
    }

    /// Run a task to its end in the background.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Run a task that ends when its handle is dropped.
    pub fn spawn_task<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(task)
    }

    /// Return the executor.
    #[must_use]
    pub const fn executor(&self) -> &Arc<Executor<'static>> {
        &self.executor
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.end.close();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
