//! A future that waits for a timer.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use super::scheduler::{TimerAction, TimerKey};
use super::state::SharedState;

/// Waits until a point in virtual time.
pub(super) struct Sleep {
    state: SharedState,
    at: Duration,
    /// The timer, set by the first poll.
    timer: Option<TimerKey>,
}

impl Sleep {
    pub fn new(state: SharedState, at: Duration) -> Self {
        Sleep {
            state,
            at,
            timer: None,
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        let mut state = this.state.borrow_mut();
        // Ready only once the scheduler has fired the timer, not when it is due: the order of timers that are due is
        // drawn from the seed.
        match this.timer {
            Some(timer) if state.scheduler.replace_timer_waker(timer, context.waker()) => {
                Poll::Pending
            }
            Some(_) => Poll::Ready(()),
            None if this.at <= state.now => Poll::Ready(()),
            None => {
                let action = TimerAction::Wake(context.waker().clone());
                this.timer = Some(state.scheduler.add_timer(this.at, action));
                Poll::Pending
            }
        }
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        let cancelled = self
            .timer
            .and_then(|timer| self.state.borrow_mut().scheduler.cancel_timer(timer));
        // The waker is dropped when the state is not borrowed.
        drop(cancelled);
    }
}
