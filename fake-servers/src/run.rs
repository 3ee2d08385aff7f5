//! The thread on which all servers and their list run.

use crate::day::Day;
use crate::error::FleetError;
use crate::http::{listen_at, ANY};
use crate::list;
use crate::lives::add;
use crate::record::Recorder;
use crate::script::script;
use crate::wires::{Behind, Far};
use crate::world::{Shared, World};
use ottersail_net::{block_on, executor, TaskGroup};
use ottersail_signed_urls::Keys;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;

/// A running fleet.
pub struct FleetRun {
    /// Where the list answers, where each manager finds it, and the servers of the beginning.
    pub list: SocketAddr,
    pub lists: Vec<SocketAddr>,
    pub servers: Vec<SocketAddr>,
    pub behind: Behind,
    stop: async_channel::Sender<()>,
    thread: JoinHandle<()>,
}

impl FleetRun {
    /// Ends all servers and the list.
    pub fn stop(self) {
        drop(self.stop);
        _ = self.thread.join();
    }
}

/// Starts the servers and the list on a thread of their own. `go` gives the day's beginning, in milliseconds
/// since 1970, once it is known: faults are counted from there.
///
/// # Errors
/// If no socket can be had on loopback, or no thread.
pub fn run_fleet(
    day: &Day,
    recorder: &Recorder,
    keys: &Keys,
    go: async_channel::Receiver<f64>,
) -> Result<FleetRun, FleetError> {
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let (ready, is_ready) = mpsc::channel();
    let (day, recorder, keys) = (day.clone(), recorder.clone(), keys.clone());
    let name = "fleet";
    let thread = std::thread::Builder::new().name(name.into()).spawn(move || {
        let exec = executor();
        let world = World::new(exec, day, recorder, keys);
        let nursery = TaskGroup::new(exec);
        let served = begin(&world, &nursery);
        let failed = served.is_err();
        _ = ready.send(served);
        if failed {
            return;
        }
        block_on(exec.run(async {
            if let Ok(began) = go.recv().await {
                world.borrow_mut().began = began;
                script(&world, &nursery);
            }
            _ = stopped.recv().await;
            let nurseries: Vec<TaskGroup> =
                world.borrow().procs.values().map(|it| it.nursery.clone()).collect();
            nurseries.iter().for_each(TaskGroup::cancel_all);
            nursery.cancel_all();
        }));
    });
    let thread = thread.map_err(|source| FleetError::Thread { name, source })?;
    let Begun { list, lists, servers, behind } =
        is_ready.recv().map_err(|_| FleetError::Ended { name })??;
    Ok(FleetRun { list, lists, servers, behind, stop, thread })
}

/// Where all are, once they run.
struct Begun {
    list: SocketAddr,
    lists: Vec<SocketAddr>,
    servers: Vec<SocketAddr>,
    behind: Behind,
}

/// The servers of the beginning, a cell each, and their list.
fn begin(world: &Shared, nursery: &TaskGroup) -> Result<Begun, FleetError> {
    let servers = world.borrow().day.servers;
    for cell in 0..servers {
        add(world, cell as u64, false)?;
    }
    let (listener, list) = listen_at(ANY)?;
    list::serve(nursery, listener, world);
    let mut it = world.borrow_mut();
    let servers = it.procs.values().map(|it| it.address).collect();
    let managers = it.day.managers;
    let lists = (0..managers).map(|manager| it.wires.address(manager, Far::List, list)).collect();
    Ok(Begun { list, lists, servers, behind: it.wires.behind() })
}
