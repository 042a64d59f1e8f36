//! Time limits for a sequence of steps on one timer: a period for each step and a deadline for all.

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

/// A step exceeded one of its time limits.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum StepTimeout {
    /// The step did not end within its period.
    #[error("nothing moved within the progress timeout")]
    NoProgress,
    /// The deadline of all steps passed.
    #[error("the deadline passed")]
    Deadline,
}

/// Limits the steps of one exchange. The timer is armed once per period rather than once per step.
#[derive(Debug)]
pub(crate) struct StepTimer {
    timer: Timer,
    period: Duration,
    deadline: Instant,
    step_deadline: Instant,
}

impl StepTimer {
    /// Starts the first period now.
    pub fn start(period: Duration, deadline: Instant) -> Self {
        let step_deadline = deadline.min(Instant::now() + period);
        Self {
            timer: Timer::at(step_deadline),
            period,
            deadline,
            step_deadline,
        }
    }

    /// Runs one step with a new period, and within the deadline.
    pub async fn step<F>(&mut self, future: F) -> Result<F::Output, StepTimeout>
    where
        F: Future,
    {
        self.step_deadline = self.deadline.min(Instant::now() + self.period);
        let mut future = pin!(future);
        poll_fn(|context| {
            if let Poll::Ready(value) = future.as_mut().poll(context) {
                return Poll::Ready(Ok(value));
            }
            self.poll_timeout(context).map(Err)
        })
        .await
    }

    fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<StepTimeout> {
        loop {
            ready!(Pin::new(&mut self.timer).poll(context));
            let now = Instant::now();
            if now >= self.deadline {
                return Poll::Ready(StepTimeout::Deadline);
            }
            if now >= self.step_deadline {
                return Poll::Ready(StepTimeout::NoProgress);
            }
            self.timer.set_at(self.step_deadline);
        }
    }
}
