//! Players: each viewer asks, plays, reloads, leaves; some come again, some are slow, some lie.

mod ask;
mod check;
mod draw;
mod mischief;
mod watch;
mod world;

pub use world::Crowd;

use crate::day::FaultKind;
use ask::{ask, Asked};
use mischief::mischief;
use ottersail_net::{block_on, executor, Client, Executor, Timer};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use watch::watch;
use world::{pause, World};

/// Plays a day's viewers; comes back when viewers have stopped coming and the last has left, or after
/// `play_out`.
pub fn run_players(crowd: Crowd, play_out: Duration) {
    let exec = executor();
    let (seed, seconds) = (crowd.day.seed, crowd.day.seconds);
    let began = crowd.recorder.clock().instant(crowd.began);
    let world = Rc::new(World {
        asking: Client::new(exec, Duration::from_millis(500), 0, Duration::ZERO),
        client: Client::new(exec, Duration::from_millis(500), 64, Duration::from_secs(5)),
        rng: RefCell::new(fastrand::Rng::with_seed(seed ^ 0x5eed)),
        asks: Cell::new(0),
        watching: Cell::new(0),
        foreign: RefCell::default(),
        down: RefCell::default(),
        crowd: Arc::new(crowd),
    });
    let end = began + Duration::from_secs_f64(seconds);
    block_on(exec.run(async {
        mischief(exec, &world, began);
        Timer::at(began).await;
        arrivals(exec, &world, began, end).await;
        while world.watching.get() > 0 && Instant::now() < end + play_out {
            Timer::after(Duration::from_millis(50)).await;
        }
    }));
}

async fn arrivals(exec: Executor, world: &Rc<World>, began: Instant, end: Instant) {
    let mut at = began;
    loop {
        let second = (at - began).as_secs_f64();
        let day = &world.crowd.day;
        let burst = day.faults_of(FaultKind::Burst, second).map(|it| it.size).fold(1.0, f64::max);
        let gap = -(1.0 - world.part()).ln() / (day.per_second * burst);
        at += Duration::from_secs_f64(gap.clamp(0.0, 10.0));
        if at >= end {
            return;
        }
        Timer::at(at).await;
        let world = world.clone();
        world.watching.set(world.watching.get() + 1);
        exec.spawn(async move {
            viewer(&world, (Instant::now() - began).as_secs_f64()).await;
            world.watching.set(world.watching.get() - 1);
        })
        .detach();
    }
}

async fn viewer(world: &Rc<World>, second: f64) {
    let viewer = world.draw(second);
    for _ in 0..3 {
        match ask(world, &viewer).await {
            Asked::Plays(url, ask) => {
                if !watch(world, &viewer, &url, ask).await {
                    return;
                }
            }
            Asked::Blocked(stay_away) => pause(stay_away.max(500.0)).await,
            Asked::Aborted => {
                if !world.crowd.day.packages[viewer.package].may_repeat {
                    return;
                }
                pause(800.0).await;
            }
            Asked::Gone => pause(600.0).await,
        }
        if world.part() > world.crowd.day.come_again {
            return;
        }
        pause(200.0 + 800.0 * world.part()).await;
    }
}
