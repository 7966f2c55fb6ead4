//! An executor with its own threads, for the tasks of the stand-ins.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use async_channel::Sender;
use async_channel::bounded;
use smol::Executor;
use smol::Task;

/// An executor and its threads, both stopped on drop.
#[derive(Debug)]
pub struct Runner {
    executor: Arc<Executor<'static>>,
    stop: Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
    tasks: Mutex<Vec<Task<()>>>,
}

impl Runner {
    /// Start an executor on `count` threads.
    #[must_use]
    pub fn start(count: usize) -> Self {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = bounded::<()>(1);
        let threads = (0..count)
            .map(|_| {
                let (executor, stopped) = (Arc::clone(&executor), stopped.clone());
                thread::spawn(move || {
                    let _ = smol::future::block_on(executor.run(stopped.recv()));
                })
            })
            .collect();
        Self {
            executor,
            stop,
            threads,
            tasks: Mutex::default(),
        }
    }

    /// Run a task in the background until it ends or the runner is dropped.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the list of tasks.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let task = self.executor.spawn(task);
        let mut tasks = self.tasks.lock().expect("the task list is not poisoned");
        tasks.push(task);
    }

    /// Run a task that is cancelled when its handle is dropped.
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
        // Server tasks hold a reference to the executor, so dropping the executor
        // doesn't end them. Cancelling them closes their sockets.
        if let Ok(mut tasks) = self.tasks.lock() {
            for task in tasks.drain(..) {
                smol::block_on(task.cancel());
            }
        }
        self.stop.close();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
