//! Groups of tasks that are cancelled or paused together.

use crate::executor::Executor;
use async_executor::Task;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};

/// Tasks that belong together like those of one process. They can be cancelled all at once, which closes
/// their sockets, or paused.
#[derive(Clone)]
pub struct TaskGroup(Rc<Inner>);

struct Inner {
    executor: Executor,
    paused: Cell<bool>,
    /// Tasks that were woken while the group was paused.
    waiting: RefCell<Vec<Waker>>,
    tasks: RefCell<Vec<Task<()>>>,
    /// Finished tasks are removed once there are this many tasks.
    clean_up_at: Cell<usize>,
}

/// The least number of tasks at which finished ones are removed.
const MIN_CLEAN_UP: usize = 64;

impl TaskGroup {
    /// An empty group whose tasks run on this executor.
    pub fn new(executor: Executor) -> TaskGroup {
        TaskGroup(Rc::new(Inner {
            executor,
            paused: Cell::new(false),
            waiting: RefCell::default(),
            tasks: RefCell::default(),
            clean_up_at: Cell::new(MIN_CLEAN_UP),
        }))
    }

    /// Starts a task in the group.
    pub fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        let pausable = Pausable { future: Box::pin(future), group: Rc::downgrade(&self.0) };
        let task = self.0.executor.spawn(pausable);
        let mut tasks = self.0.tasks.borrow_mut();
        if tasks.len() >= self.0.clean_up_at.get() {
            tasks.retain(|task| !task.is_finished());
            self.0.clean_up_at.set((tasks.len() * 2).max(MIN_CLEAN_UP));
        }
        tasks.push(task);
    }

    /// Cancels all tasks. One of them may call it, and then runs up to its next await.
    pub fn cancel_all(&self) {
        let tasks = std::mem::take(&mut *self.0.tasks.borrow_mut());
        drop(tasks);
    }

    /// Keeps all tasks from running until [`TaskGroup::resume`].
    pub fn pause(&self) {
        self.0.paused.set(true);
    }

    /// Ends a pause and wakes the tasks that became ready in it.
    pub fn resume(&self) {
        self.0.paused.set(false);
        self.0.waiting.borrow_mut().drain(..).for_each(Waker::wake);
    }
}

struct Pausable<F> {
    future: Pin<Box<F>>,
    group: Weak<Inner>,
}

impl<F: Future<Output = ()>> Future for Pausable<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        if let Some(group) = self.group.upgrade().filter(|group| group.paused.get()) {
            group.waiting.borrow_mut().push(cx.waker().clone());
            return Poll::Pending;
        }
        self.future.as_mut().poll(cx)
    }
}
