//! Threads that run a stand-in's tasks.

use std::sync::Arc;
use std::sync::Mutex;
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
    tasks: Mutex<Vec<Task<()>>>,
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
                    let _ = smol::future::block_on(executor.run(ended.recv()));
                })
            })
            .collect();
        Self {
            executor,
            end,
            threads,
            tasks: Mutex::default(),
        }
    }

    /// Run a task in the background, until its end or the runner's.
    ///
    /// # Panics
    ///
    /// Panics if a thread that held the tasks has panicked.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let task = self.executor.spawn(task);
        let mut tasks = self.tasks.lock().expect("no thread panics here");
        tasks.push(task);
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
        // A task that serves holds the executor; ending it closes its sockets.
        if let Ok(mut tasks) = self.tasks.lock() {
            for task in tasks.drain(..) {
                smol::block_on(task.cancel());
            }
        }
        self.end.close();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
