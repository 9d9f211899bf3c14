//! A thread pool for blocking calls.

use crossbeam_channel::Sender;

/// Stack size of a worker thread.
const STACK_BYTES: usize = 512 << 10;

type Job = Box<dyn FnOnce() + Send>;

/// A fixed number of threads that start jobs in order of arrival.
#[derive(Clone)]
pub struct ThreadPool {
    jobs: Sender<Job>,
}

impl ThreadPool {
    /// Starts `count` threads. They end when the last clone of the pool is dropped.
    pub fn start(count: usize) -> std::io::Result<ThreadPool> {
        let (jobs, queue) = crossbeam_channel::unbounded::<Job>();
        for _ in 0..count {
            let queue = queue.clone();
            let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
            thread.spawn(move || queue.into_iter().for_each(|job| job()))?;
        }
        Ok(ThreadPool { jobs })
    }

    /// Runs `job` on one of the threads.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        self.jobs.send(Box::new(job)).expect("the threads hold the queue as long as self lives");
    }
}
