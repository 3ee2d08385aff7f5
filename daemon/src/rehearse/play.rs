//! A day, played: the stand-ins in here, the managers beside, and what the players had of them.

use super::beliefs::{ask, follow};
use super::costs::{rest, spent};
use super::error::{at, RehearseError};
use super::gossip::Gossip;
use super::options::{RehearsalOptions, ENDS, PLAY_OUT, START};
use super::stage::{gather, own_address, wait_end, wait_ready, Manager, Stage};
use super::steps::trouble;
use crate::judge::judge_traffic;
use crate::settings::day::DayPlan;
use crate::settings::members::Members;
use crate::settings::write::{write_manager, LocalSettings};
use ottersail::ids::ManagerIndex;
use ottersail::time::Ms;
use ottersail_fake_servers::{run_fleet, run_players, Crowd, FaultKind, Recorder};
use ottersail_fault_injection::resource_usage;
use ottersail_invariants::{Event, Verdict};
use ottersail_net::Clock;
use ottersail_signed_urls::Keys;
use rustix::process::Signal;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The first managers are the seeds of all.
const SEEDS: usize = 3;
const MEMBERS_PERIOD: Ms = Ms(1_000.0);

pub(super) fn play(
    plan: &DayPlan,
    options: &RehearsalOptions,
    folder: &Path,
    interrupted: &AtomicBool,
) -> Result<Verdict, RehearseError> {
    let clock = Clock::start();
    let traffic = options.traffic.clone().unwrap_or_else(|| folder.join("traffic.jsonl"));
    let recorder = Recorder::begin(&traffic, clock, plan.judge_terms());
    let recorder = recorder.map_err(|it| unwritten(&traffic, it.to_string()))?;
    let secret = |_| format!("{:032x}", fastrand::u128(..));
    let keys_text = format!("b {}{}\na {}{}\n", secret(0), "AA", secret(1), "AA");
    let file = folder.join("keys");
    fs::write(&file, &keys_text).map_err(at(&file))?;
    let keys = Keys::read(&keys_text).map_err(|it| RehearseError::Keys { file, cause: it.to_string() })?;
    let (go, going) = async_channel::bounded(1);
    let fleet = run_fleet(&plan.day, &recorder, &keys, going)
        .map_err(|it| RehearseError::StartServers { day: options.day.clone(), cause: it.to_string() })?;

    let stall = plan.day.faults.iter().find(|it| it.kind == FaultKind::CoreStall);
    let stage = Stage {
        folder: folder.to_path_buf(),
        program: std::env::current_exe().map_err(at("/proc/self/exe"))?,
        recording: options.record.is_some(),
        log: options.log.clone(),
        seed: plan.day.seed,
        beside: options.beside.clone(),
        pick: plan.pick,
        one_seed: plan.one_seed,
        stall: stall.map(|it| (options.cores - 1, (it.size * 1e3) as u64)),
    };
    let zones: Vec<String> =
        (0..plan.day.managers).map(|it| plan.day.zones[it % plan.day.zones.len()].clone()).collect();
    let addresses = (0..zones.len()).map(own_address).collect::<Result<Vec<_>, _>>()?;
    let gossip = plan.members.then(|| Gossip::start(plan, addresses.clone(), &recorder)).transpose()?;
    let mut managers = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let address = addresses[number];
        let members = gossip.as_ref().and_then(|it| member(it, number, address));
        let mut terms = plan.terms.clone();
        terms.manager = ManagerIndex(number as u64);
        terms.zone = zone.as_str().into();
        if plan.day.probes(number) {
            (terms.reports_on_probe, terms.report_interval) = (true, Ms(0.0));
        }
        let local = LocalSettings {
            listen: &address.to_string(),
            list: &fleet.lists[number].to_string(),
            keys: "keys",
            grace: plan.drain_grace,
            list_wait: Ms(2_000.0),
            silence: Ms(3_000.0),
            cores: options.cores,
            members: members.as_ref(),
            council: None,
            releases: None,
        };
        let file = folder.join(format!("manager-{number}.ini"));
        fs::write(&file, write_manager(&terms, &local)).map_err(at(file))?;
        let child = stage.start(number, 0)?;
        managers.push(Manager { number, address, child, lives: 1, unclean: None });
    }
    let played = managers.iter().try_for_each(|it| wait_ready(it.address, START, interrupted)).map(|()| {
        managers.iter().for_each(|it| recorder.note(Event::ManagerReady { manager: it.number }));
        rest(plan, &managers, &recorder, interrupted);
        let costs = managers.iter().map(|it| resource_usage(it.child.id())).collect::<Vec<_>>();
        let began = clock.now() + 200.0;
        _ = go.send_blocking(began);
        let over = Arc::new(AtomicBool::new(false));
        if let Some(gossip) = &gossip {
            gossip.begin(clock.instant(began));
            follow(plan, addresses.clone(), clock.instant(began), &recorder, over.clone());
        }
        let crowd = Crowd {
            day: plan.day.clone(),
            recorder: recorder.clone(),
            managers: managers.iter().map(|it| it.address).collect(),
            zones,
            sockets: [vec![fleet.list], fleet.servers.clone()].concat(),
            behind: fleet.behind.clone(),
            began,
        };
        let players = std::thread::spawn({
            let over = over.clone();
            move || {
                run_players(crowd, PLAY_OUT);
                over.store(true, Ordering::Release);
            }
        });
        trouble(plan, &stage, &recorder, clock.instant(began), &mut managers, (&over, interrupted));
        if !interrupted.load(Ordering::Acquire) {
            _ = players.join();
            spent(&managers, &costs, &recorder);
            if plan.members {
                ask(&addresses, true, &recorder);
            }
        }
    });
    if interrupted.load(Ordering::Acquire) {
        // Those that are dropped are killed.
        drop(managers);
        return Err(RehearseError::Interrupted);
    }
    for it in &mut managers {
        it.child.signal(Signal::CONT);
        it.child.signal(Signal::TERM);
    }
    let unclean =
        managers.iter_mut().filter_map(|it| wait_end(it, ENDS).or(it.unclean.take())).collect::<Vec<_>>();
    fleet.stop();
    recorder.close().map_err(|it| unwritten(&traffic, it.to_string()))?;
    played?;
    if !unclean.is_empty() {
        return Err(RehearseError::UncleanExits { exits: unclean });
    }
    if let Some(record) = &options.record {
        gather(&stage, &managers, record)?;
        let file = format!("{}.keys", record.display());
        fs::write(&file, &keys_text).map_err(at(file))?;
    }
    Ok(judge_traffic(&traffic, options.report.as_deref())?)
}

/// A manager takes datagrams at its own address, as it does connections.
fn member(gossip: &Gossip, number: usize, address: SocketAddr) -> Option<Members> {
    let SocketAddr::V4(listen) = address else {
        return None;
    };
    Some(Members {
        name: format!("manager-{number}"),
        cluster: "rehearsal".into(),
        listen,
        advertise: *gossip.there.get(number)?,
        seeds: gossip.there.iter().take(SEEDS).copied().collect(),
        keys: "keys".into(),
        period: MEMBERS_PERIOD,
    })
}

fn unwritten(file: &Path, cause: String) -> RehearseError {
    RehearseError::WriteTraffic { file: file.to_path_buf(), cause }
}
