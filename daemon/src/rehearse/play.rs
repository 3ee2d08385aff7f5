//! Plays a day: starts the servers, the managers and the players, runs the faults, and judges the traffic.

use super::error::{file_error, RehearseError};
use super::manager_faults::{run_manager_faults, StopFlags};
use super::manager_process::{
    free_address, merge_records, wait_for_exit, wait_ready, Manager, ManagerLauncher,
};
use super::member_network::MemberNetwork;
use super::membership_views::{record_views, record_views_after_faults};
use super::options::{RehearsalOptions, EXIT_TIMEOUT, PLAY_OUT, START_TIMEOUT};
use super::resource_usage::{measure_rest, record_cpu_time};
use crate::judge::judge_traffic;
use crate::run::Stall;
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

/// Number of managers, from the first on, that all managers contact at their start.
const SEED_COUNT: usize = 3;
/// Interval between probes of other members.
const MEMBER_PERIOD: Ms = Ms(1_000.0);

/// How long managers' requests for the list may be held.
const LIST_WAIT: Ms = Ms(2_000.0);
/// A server that sends nothing for this long is lost.
const SERVER_SILENCE: Ms = Ms(3_000.0);
/// The day starts this long after the managers are ready and their rest is measured, in milliseconds.
const START_DELAY_MS: f64 = 200.0;

/// Plays a day and judges it. `folder` gets the managers' files and logs.
pub(super) fn play(
    plan: &DayPlan,
    options: &RehearsalOptions,
    folder: &Path,
    interrupted: &AtomicBool,
) -> Result<Verdict, RehearseError> {
    let clock = Clock::start();
    let traffic = options.traffic.clone().unwrap_or_else(|| folder.join("traffic.jsonl"));
    let recorder = Recorder::begin(&traffic, clock, plan.judge_terms());
    let recorder = recorder.map_err(|error| traffic_error(&traffic, error.to_string()))?;
    let secret = |_| format!("{:032x}", fastrand::u128(..));
    let keys_text = format!("b {}{}\na {}{}\n", secret(0), "AA", secret(1), "AA");
    let file = folder.join("keys");
    fs::write(&file, &keys_text).map_err(file_error(&file))?;
    let keys =
        Keys::read(&keys_text).map_err(|error| RehearseError::Keys { file, cause: error.to_string() })?;
    let (start_sender, start_receiver) = async_channel::bounded(1);
    let fleet = run_fleet(&plan.day, &recorder, &keys, start_receiver).map_err(|error| {
        RehearseError::StartServers { day: options.day.clone(), cause: error.to_string() }
    })?;

    let stall = plan.day.faults.iter().find(|fault| fault.kind == FaultKind::CoreStall);
    let launcher = ManagerLauncher {
        folder: folder.to_path_buf(),
        program: std::env::current_exe().map_err(file_error("/proc/self/exe"))?,
        recording: options.record.is_some(),
        log: options.log.clone(),
        seed: plan.day.seed,
        other_program: options.other_program.clone(),
        pick: plan.pick,
        one_seed: plan.one_seed,
        stall: stall.map(|fault| Stall { core: options.cores - 1, ms: (fault.size * 1e3) as u64 }),
    };
    let zones: Vec<String> =
        (0..plan.day.managers).map(|number| plan.day.zones[number % plan.day.zones.len()].clone()).collect();
    let addresses = (0..zones.len()).map(free_address).collect::<Result<Vec<_>, _>>()?;
    let network =
        plan.members.then(|| MemberNetwork::start(plan, addresses.clone(), &recorder)).transpose()?;
    let mut managers = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let address = addresses[number];
        let members = network.as_ref().and_then(|network| member_settings(network, number, address));
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
            list_wait: LIST_WAIT,
            silence: SERVER_SILENCE,
            cores: options.cores,
            members: members.as_ref(),
            council: None,
            releases: None,
        };
        let file = folder.join(format!("manager-{number}.ini"));
        fs::write(&file, write_manager(&terms, &local)).map_err(file_error(file))?;
        let process = launcher.start(number, 0)?;
        managers.push(Manager { number, address, process, starts: 1, unclean: None });
    }
    let all_ready =
        managers.iter().try_for_each(|manager| wait_ready(manager.address, START_TIMEOUT, interrupted));
    let played = all_ready.map(|()| {
        managers.iter().for_each(|manager| recorder.note(Event::ManagerReady { manager: manager.number }));
        measure_rest(plan, &managers, &recorder, interrupted);
        let costs = managers.iter().map(|manager| resource_usage(manager.process.id())).collect::<Vec<_>>();
        let began = clock.now() + START_DELAY_MS;
        _ = start_sender.send_blocking(began);
        let day_over = Arc::new(AtomicBool::new(false));
        if let Some(network) = &network {
            network.begin(clock.instant(began));
            let (managers, began) = (addresses.clone(), clock.instant(began));
            record_views_after_faults(plan, managers, began, &recorder, day_over.clone());
        }
        let crowd = Crowd {
            day: plan.day.clone(),
            recorder: recorder.clone(),
            managers: managers.iter().map(|manager| manager.address).collect(),
            zones,
            sockets: [vec![fleet.list], fleet.servers.clone()].concat(),
            behind: fleet.behind.clone(),
            began,
        };
        let players = std::thread::spawn({
            let day_over = day_over.clone();
            move || {
                run_players(crowd, PLAY_OUT);
                day_over.store(true, Ordering::Release);
            }
        });
        let stop = StopFlags { day_over: &day_over, interrupted };
        run_manager_faults(plan, &launcher, &recorder, clock.instant(began), &mut managers, &stop);
        if !interrupted.load(Ordering::Acquire) {
            _ = players.join();
            record_cpu_time(&managers, &costs, &recorder);
            if plan.members {
                record_views(&addresses, true, &recorder);
            }
        }
    });
    if interrupted.load(Ordering::Acquire) {
        // Dropping a manager kills its process.
        drop(managers);
        return Err(RehearseError::Interrupted);
    }
    for manager in &mut managers {
        manager.process.signal(Signal::CONT);
        manager.process.signal(Signal::TERM);
    }
    let unclean = managers
        .iter_mut()
        .filter_map(|manager| wait_for_exit(manager, EXIT_TIMEOUT).or(manager.unclean.take()))
        .collect::<Vec<_>>();
    fleet.stop();
    recorder.close().map_err(|error| traffic_error(&traffic, error.to_string()))?;
    played?;
    if !unclean.is_empty() {
        return Err(RehearseError::UncleanExits { exits: unclean });
    }
    if let Some(record) = &options.record {
        merge_records(&launcher, &managers, record)?;
        let file = format!("{}.keys", record.display());
        fs::write(&file, &keys_text).map_err(file_error(file))?;
    }
    Ok(judge_traffic(&traffic, options.report.as_deref())?)
}

/// A manager's settings as a member. It receives datagrams on the same address as connections.
fn member_settings(network: &MemberNetwork, number: usize, address: SocketAddr) -> Option<Members> {
    let SocketAddr::V4(listen) = address else {
        return None;
    };
    Some(Members {
        name: format!("manager-{number}"),
        cluster: "rehearsal".into(),
        listen,
        advertise: *network.addresses.get(number)?,
        seeds: network.addresses.iter().take(SEED_COUNT).copied().collect(),
        keys: "keys".into(),
        period: MEMBER_PERIOD,
    })
}

fn traffic_error(file: &Path, cause: String) -> RehearseError {
    RehearseError::WriteTraffic { file: file.to_path_buf(), cause }
}
