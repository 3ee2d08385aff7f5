//! Starts a manager: the owner of placement, its cores, and who hands them the connections.

use crate::error::RunError;
use crate::metrics::Times;
use crate::owner::{PlacementOwner, Tape};
use crate::post::{Core, MOST_NEWS};
use crate::rescue;
use crate::service::Service;
use crate::settings::manager::ManagerSettings;
use crate::worker::{Shared, Worker};
use arc_swap::ArcSwap;
use async_channel::Receiver;
use ottersail_cores::ConnectionBalancer;
use ottersail_front::Front;
use ottersail_net::{
    accept, block_on, executor, listen, serve_connection, Accepted, Clock, ConnectionCounts, Executor,
    Limits, Listener, TaskGroup,
};
use ottersail_signed_urls::Keys;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tracing::error;

/// Connections that were accepted and wait for a core; one more is answered 503.
const MOST_ARRIVING: usize = 1_024;
const HEAD: Duration = Duration::from_secs(15);

/// A manager that runs: the owner of placement on the calling thread, and what all cores share.
pub struct Running {
    pub owner: Rc<PlacementOwner>,
    pub shared: Arc<Shared>,
    pub server: Arc<ConnectionCounts>,
}

/// Starts all tasks of a manager: those of the owner and of the first core on the given executor, the other
/// cores on threads of their own.
///
/// # Errors
/// If its address can't be had.
pub fn start(
    exec: Executor,
    clock: Clock,
    manager: &ManagerSettings,
    keys: Keys,
    front: Front,
    tape: Option<Tape>,
) -> Result<Running, RunError> {
    let address: SocketAddr = manager
        .listen
        .parse()
        .map_err(|cause| RunError::Address { address: manager.listen.clone(), cause })?;
    let listener = listen(address).map_err(|cause| RunError::Listen { address, cause })?;
    let limits = Limits { connections: manager.connections, head_timeout: HEAD };
    let (news, to_owner) = async_channel::bounded(MOST_NEWS);
    let cores: Vec<Arc<Core>> = (0..manager.cores).map(|_| Arc::default()).collect();
    cores.iter().for_each(|it| it.moves(clock.now()));
    let times = Times::default();
    let shared = Arc::new(Shared {
        clock,
        reach: manager.into(),
        keys: ArcSwap::from_pointee(keys),
        listed: AtomicBool::new(false),
        titled: AtomicBool::new(false),
        times: times.clone(),
        cores: cores.clone(),
        news,
    });
    let server = ConnectionCounts::new();
    let owner = PlacementOwner::new(clock, front, tape, cores, times, server.clone());
    exec.spawn(owner.clone().listen(to_owner)).detach();
    exec.spawn(owner.clone().ring()).detach();
    let mut posts = Vec::new();
    for index in 0..manager.cores {
        let (post, incoming) = async_channel::bounded::<Accepted>(MOST_ARRIVING);
        posts.push(post);
        let shared = shared.clone();
        if index == 0 {
            let worker = work(exec, index, shared, incoming, limits);
            exec.spawn(worker.clone().follow(true)).detach();
            exec.spawn(worker.follow(false)).detach();
        } else {
            let name = format!("core-{index}");
            let thread = std::thread::Builder::new().name(name).spawn(move || {
                let exec = executor();
                _ = work(exec, index, shared, incoming, limits);
                block_on(exec.run(std::future::pending::<()>()));
            });
            thread.map_err(|cause| RunError::Thread { name: format!("core-{index}"), cause })?;
        }
    }
    let (spread, seen) = (ConnectionBalancer::new(manager.cores), shared.clone());
    let hand_on = move |accepted: Accepted| {
        let open: Vec<usize> = seen.cores.iter().map(|it| it.open.load(Ordering::Relaxed)).collect();
        let now = seen.clock.now();
        let still: Vec<bool> = seen.cores.iter().map(|it| it.is_still(now)).collect();
        let core = spread.next(&open, &still);
        seen.cores[core].open.fetch_add(1, Ordering::Relaxed);
        posts[core].try_send(accepted).map_err(|it| {
            seen.cores[core].open.fetch_sub(1, Ordering::Relaxed);
            it.into_inner()
        })
    };
    let served = server.clone();
    if manager.cores == 1 {
        let listener = Listener::new(listener).map_err(|cause| RunError::WatchListener { address, cause })?;
        exec.spawn(accept(TaskGroup::new(exec), listener, limits, served, hand_on)).detach();
    } else {
        // No core's standstill holds up who comes new.
        let accepting = move || {
            let exec = executor();
            let Ok(listener) = Listener::new(listener) else {
                error!("connections can't be accepted: the listener can't be watched");
                return;
            };
            block_on(exec.run(accept(TaskGroup::new(exec), listener, limits, served, hand_on)));
        };
        let thread = std::thread::Builder::new().name("accept".into()).spawn(accepting);
        thread.map_err(|cause| RunError::Thread { name: "accept".into(), cause })?;
    }
    Ok(Running { owner, shared, server })
}

/// The tasks of one core.
fn work(
    exec: Executor,
    index: usize,
    shared: Arc<Shared>,
    incoming: Receiver<Accepted>,
    limits: Limits,
) -> Rc<Worker> {
    let worker = Worker::new(exec, index, shared.clone());
    exec.spawn(worker.clone().run_errands()).detach();
    // Alone, a core has nobody to watch or to be watched by: at rest it is not woken for that.
    if shared.cores.len() > 1 {
        exec.spawn(worker.clone().pulse()).detach();
        exec.spawn(rescue::watch(shared.clone(), index)).detach();
    }
    let service = Rc::new(Service { worker: worker.clone() });
    let nursery = TaskGroup::new(exec);
    exec.spawn(async move {
        while let Ok(accepted) = incoming.recv().await {
            let service = service.clone();
            let core = shared.cores[index].clone();
            let handler = move |request, line| service.clone().answer(request, line);
            serve_connection(&nursery, accepted, limits, handler, move || {
                core.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    })
    .detach();
    worker
}
