//! Requests to the command channel that were not answered in time. A channel that is slow may answer them still,
//! while it is asked again: one that was dropped would never be heard where each answer takes too long.

use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Maximum number of late requests; each holds a descriptor.
const MAX_LATE_REQUESTS: usize = 2;
/// Time after which a request is dropped.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(5_000);

/// A request to the channel with its result.
pub(super) type PendingRequest<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

struct LateRequest<'a, T> {
    began: Instant,
    answer: PendingRequest<'a, T>,
}

/// The late requests, the oldest first.
pub(super) struct LateRequests<'a, T>(VecDeque<LateRequest<'a, T>>);

impl<'a, T> LateRequests<'a, T> {
    pub fn new() -> LateRequests<'a, T> {
        LateRequests(VecDeque::new())
    }

    /// Adds a request that was not answered in time; the oldest makes room.
    pub fn push(&mut self, began: Instant, answer: PendingRequest<'a, T>) {
        if self.0.len() >= MAX_LATE_REQUESTS {
            self.0.pop_front();
        }
        self.0.push_back(LateRequest { began, answer });
    }

    /// Drops all: a later request has been answered.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Completes with the answer to one of the requests; never without requests.
    pub async fn next_answer(&mut self) -> T {
        poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(&mut self, context: &mut Context) -> Poll<T> {
        self.0.retain(|request| request.began.elapsed() < MAX_REQUEST_TIME);
        for position in 0..self.0.len() {
            if let Poll::Ready(answer) = self.0[position].answer.as_mut().poll(context) {
                self.0.remove(position);
                return Poll::Ready(answer);
            }
        }
        Poll::Pending
    }
}
