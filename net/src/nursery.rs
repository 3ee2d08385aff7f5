use crate::exec::Executor;
use async_executor::Task;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Tasks that belong together, as those of one process do: they can be ended all at once, which closes their
/// sockets, or held still.
#[derive(Clone)]
pub struct TaskGroup(Rc<Inner>);

struct Inner {
    exec: Executor,
    still: Cell<bool>,
    asleep: RefCell<Vec<Waker>>,
    tasks: RefCell<Vec<Task<()>>>,
    /// Finished tasks are swept out when there are so many in all.
    sweep_at: Cell<usize>,
}

impl TaskGroup {
    pub fn new(exec: Executor) -> TaskGroup {
        TaskGroup(Rc::new(Inner {
            exec,
            still: Cell::new(false),
            asleep: RefCell::default(),
            tasks: RefCell::default(),
            sweep_at: Cell::new(64),
        }))
    }

    pub fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        let gated = Gated { inner: Box::pin(future), of: Rc::downgrade(&self.0) };
        let task = self.0.exec.spawn(gated);
        let mut tasks = self.0.tasks.borrow_mut();
        if tasks.len() >= self.0.sweep_at.get() {
            tasks.retain(|it| !it.is_finished());
            self.0.sweep_at.set((tasks.len() * 2).max(64));
        }
        tasks.push(task);
    }

    /// Ends all tasks. It may be called by one of them, which then runs to its next wait.
    pub fn cancel_all(&self) {
        let tasks = std::mem::take(&mut *self.0.tasks.borrow_mut());
        drop(tasks);
    }

    /// No task goes on until [`TaskGroup::resume`]; what comes in waits.
    pub fn pause(&self) {
        self.0.still.set(true);
    }

    pub fn resume(&self) {
        self.0.still.set(false);
        self.0.asleep.borrow_mut().drain(..).for_each(Waker::wake);
    }
}

struct Gated<F> {
    inner: Pin<Box<F>>,
    of: std::rc::Weak<Inner>,
}

impl<F: Future<Output = ()>> Future for Gated<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        if let Some(nursery) = self.of.upgrade().filter(|it| it.still.get()) {
            nursery.asleep.borrow_mut().push(cx.waker().clone());
            return Poll::Pending;
        }
        self.inner.as_mut().poll(cx)
    }
}
