//! Starts a manager: the placement owner, its cores, and the task that accepts connections.

use crate::error::RunError;
use crate::messages::{CoreState, OWNER_QUEUE_CAPACITY};
use crate::metrics::Latencies;
use crate::owner::{EventRecorder, PlacementOwner};
use crate::service::Service;
use crate::settings::manager::ManagerSettings;
use crate::stalled_cores;
use crate::worker::{Catalogue, Shared, Worker};
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

/// Accepted connections that may wait for one core. A connection beyond that is answered with 503.
const MAX_WAITING_CONNECTIONS: usize = 1_024;
/// How long a client may take to send the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// A running manager: the placement owner, which belongs to the calling thread, and the state that all cores
/// share.
pub struct RunningManager {
    pub owner: Rc<PlacementOwner>,
    pub shared: Arc<Shared>,
    pub server: Arc<ConnectionCounts>,
}

/// Starts all tasks of a manager. Those of the owner and of the first core run on the given executor, those
/// of the other cores on threads of their own.
///
/// # Errors
/// If the manager's address is invalid or in use, or a thread can't be started.
pub fn start(
    exec: Executor,
    clock: Clock,
    manager: &ManagerSettings,
    keys: Keys,
    front: Front,
    recorder: Option<EventRecorder>,
) -> Result<RunningManager, RunError> {
    let address: SocketAddr = manager
        .listen
        .parse()
        .map_err(|cause| RunError::Address { address: manager.listen.clone(), cause })?;
    let listener = listen(address).map_err(|cause| RunError::Listen { address, cause })?;
    let limits = Limits { connections: manager.connections, head_timeout: REQUEST_HEAD_TIMEOUT };
    let (owner_queue, owner_messages) = async_channel::bounded(OWNER_QUEUE_CAPACITY);
    let cores: Vec<Arc<CoreState>> = (0..manager.cores).map(|_| Arc::default()).collect();
    cores.iter().for_each(|core| core.record_heartbeat(clock.now()));
    let latencies = Latencies::default();
    let shared = Arc::new(Shared {
        clock,
        settings: manager.into(),
        keys: ArcSwap::from_pointee(keys),
        has_servers: AtomicBool::new(false),
        has_titles: AtomicBool::new(false),
        latencies: latencies.clone(),
        cores: cores.clone(),
        owner_queue,
    });
    let server = ConnectionCounts::new();
    let owner = PlacementOwner::new(clock, front, recorder, cores, latencies, server.clone());
    exec.spawn(owner.clone().process_messages(owner_messages)).detach();
    exec.spawn(owner.clone().run_timers()).detach();
    let mut core_inboxes = Vec::new();
    for index in 0..manager.cores {
        let (inbox, incoming) = async_channel::bounded::<Accepted>(MAX_WAITING_CONNECTIONS);
        core_inboxes.push(inbox);
        let shared = shared.clone();
        if index == 0 {
            let worker = start_core(exec, index, shared, incoming, limits);
            exec.spawn(worker.clone().poll(Catalogue::Servers)).detach();
            exec.spawn(worker.poll(Catalogue::Titles)).detach();
        } else {
            let name = format!("core-{index}");
            let thread = std::thread::Builder::new().name(name).spawn(move || {
                let exec = executor();
                _ = start_core(exec, index, shared, incoming, limits);
                block_on(exec.run(std::future::pending::<()>()));
            });
            thread.map_err(|cause| RunError::Thread { name: format!("core-{index}"), cause })?;
        }
    }
    let (balancer, dispatch_shared) = (ConnectionBalancer::new(manager.cores), shared.clone());
    let dispatch = move |accepted: Accepted| {
        let cores = &dispatch_shared.cores;
        let open: Vec<usize> =
            cores.iter().map(|core| core.open_connections.load(Ordering::Relaxed)).collect();
        let now = dispatch_shared.clock.now();
        let stalled: Vec<bool> = cores.iter().map(|core| core.is_stalled(now)).collect();
        let index = balancer.next(&open, &stalled);
        cores[index].open_connections.fetch_add(1, Ordering::Relaxed);
        core_inboxes[index].try_send(accepted).map_err(|error| {
            cores[index].open_connections.fetch_sub(1, Ordering::Relaxed);
            error.into_inner()
        })
    };
    let accept_server = server.clone();
    if manager.cores == 1 {
        let listener = Listener::new(listener).map_err(|cause| RunError::WatchListener { address, cause })?;
        exec.spawn(accept(TaskGroup::new(exec), listener, limits, accept_server, dispatch)).detach();
    } else {
        // Connections are accepted on a thread of their own, so that no stalled core delays new ones.
        let accept_connections = move || {
            let exec = executor();
            let Ok(listener) = Listener::new(listener) else {
                error!("cannot accept connections: the listener cannot be registered for events");
                return;
            };
            block_on(exec.run(accept(TaskGroup::new(exec), listener, limits, accept_server, dispatch)));
        };
        let thread = std::thread::Builder::new().name("accept".into()).spawn(accept_connections);
        thread.map_err(|cause| RunError::Thread { name: "accept".into(), cause })?;
    }
    Ok(RunningManager { owner, shared, server })
}

/// Starts the tasks of one core.
fn start_core(
    exec: Executor,
    index: usize,
    shared: Arc<Shared>,
    incoming: Receiver<Accepted>,
    limits: Limits,
) -> Rc<Worker> {
    let worker = Worker::new(exec, index, shared.clone());
    exec.spawn(worker.clone().run_commands()).detach();
    // A single core has no other core to watch, so it is not woken for that while it is idle.
    if shared.cores.len() > 1 {
        exec.spawn(worker.clone().send_heartbeats()).detach();
        exec.spawn(stalled_cores::watch(shared.clone(), index)).detach();
    }
    let service = Rc::new(Service { worker: worker.clone() });
    let tasks = TaskGroup::new(exec);
    exec.spawn(async move {
        while let Ok(accepted) = incoming.recv().await {
            let service = service.clone();
            let core = shared.cores[index].clone();
            let handler = move |request, connection| service.clone().answer(request, connection);
            serve_connection(&tasks, accepted, limits, handler, move || {
                core.open_connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    })
    .detach();
    worker
}
