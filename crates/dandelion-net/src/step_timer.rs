//! Time limits for a sequence of steps on one timer: each step gets a period, all get a deadline.

use std::future::poll_fn;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use thiserror::Error;

/// A step took too long.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum Late {
    /// No progress within the period.
    #[error("nothing moved within the progress timeout")]
    Quiet,
    /// The deadline passed.
    #[error("the deadline passed")]
    Deadline,
}

/// Limits the steps of one exchange. The timer is armed once a period, not once a step.
#[derive(Debug)]
pub(crate) struct Progress {
    timer: Timer,
    period: Duration,
    deadline: Instant,
    limit: Instant,
}

impl Progress {
    /// Starts the limits now.
    pub fn start(period: Duration, deadline: Instant) -> Self {
        let limit = deadline.min(Instant::now() + period);
        Self {
            timer: Timer::at(limit),
            period,
            deadline,
            limit,
        }
    }

    /// Runs one step within the period and the deadline.
    pub async fn step<F>(&mut self, future: F) -> Result<F::Output, Late>
    where
        F: Future,
    {
        self.limit = self.deadline.min(Instant::now() + self.period);
        let mut future = pin!(future);
        poll_fn(|context| {
            if let Poll::Ready(value) = future.as_mut().poll(context) {
                return Poll::Ready(Ok(value));
            }
            self.poll_late(context).map(Err)
        })
        .await
    }

    fn poll_late(&mut self, context: &mut Context<'_>) -> Poll<Late> {
        loop {
            ready!(Pin::new(&mut self.timer).poll(context));
            let now = Instant::now();
            if now >= self.deadline {
                return Poll::Ready(Late::Deadline);
            }
            if now >= self.limit {
                return Poll::Ready(Late::Quiet);
            }
            self.timer.set_at(self.limit);
        }
    }
}
