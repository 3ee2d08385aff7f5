//! The list, a server's fall and a cold server's room, as four cores place viewings at the same moment.

use crate::peer::{settings, well, Manager, Peer};
use crate::told::{is_final, played, server, Askers, Heard, Told, ASK};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The list tells one core only; the grace of a second is counted from then, for all.
#[test]
fn a_drain_binds_all_cores_from_the_first_that_heard() {
    let heard = Heard::default();
    let (one, two) = (server("one", &heard), server("two", &heard));
    let rows = |state| vec![("one", one.address, state, 0.0), ("two", two.address, "up", 0.0)];
    let told = Told::new(rows("up"));
    let manager = Manager::start("drain", told.peer.address, "cores = 4", None).ready();
    let askers = Askers::start(8, manager.address, ASK);
    std::thread::sleep(Duration::from_millis(600));
    let drained = told.change(rows("draining"));
    let from = told.first_told(drained) + Duration::from_millis(1000);
    std::thread::sleep(Duration::from_millis(2200));
    let answers = askers.end();
    let heard = heard.lock().unwrap();
    let count =
        |id: &str, after: bool| heard.iter().filter(|it| it.1 == id && (it.0 > from) == after).count();
    let counts = ["one", "two"].map(|id| (count(id, false), count(id, true)));
    assert!(counts[0].0 > 5 && counts[1].1 > 5, "{counts:?}");
    assert_eq!(count("one", true), 0, "set up after the grace");
    assert_eq!(played(&answers), answers.values().sum::<usize>(), "{answers:?}");
}

/// While four cores place viewings the list changes again and again between two that have nothing in common:
/// a title's only holder is then told or not, and what is set up goes to one that the newest list, or one
/// within the grace, named.
#[test]
fn no_core_acts_on_half_a_list() {
    let heard = Heard::default();
    let (one, two) = (server("one", &heard), server("two", &heard));
    let only = |id, at| vec![(id, at, "up", 0.0)];
    let told = Told::new(only("one", one.address));
    let manager = Manager::start("lists", told.peer.address, "cores = 4", None).ready();
    let askers = Askers::start(8, manager.address, ASK);
    let mut told_at = vec![("one", told.first_told(1))];
    for round in 0..12 {
        let (id, at) = if round % 2 == 0 { ("two", two.address) } else { ("one", one.address) };
        let index = told.change(only(id, at));
        told_at.push((id, told.first_told(index)));
        std::thread::sleep(Duration::from_millis(if round % 4 == 3 { 1_300 } else { 120 }));
    }
    let answers = askers.end();
    let grace = Duration::from_millis(1000);
    let heard = heard.lock().unwrap();
    for (at, id, line) in heard.iter() {
        // The last time before that the other list came, if it was still in force a grace later.
        let newest = told_at.iter().rev().find(|it| it.1 <= *at).unwrap();
        assert!(newest.0 == *id || *at <= newest.1 + grace, "{line} at {id}, {:?} late", *at - newest.1);
    }
    assert!(["one", "two"].iter().all(|id| heard.iter().filter(|it| it.1 == *id).count() > 5));
    // Each has its one answer; none is lost between two lists.
    assert!(answers.keys().all(is_final), "{answers:?}");
    let all: usize = answers.values().sum();
    assert!(played(&answers) * 10 > all * 9, "{answers:?}");
}

/// From a moment on a server takes set-ups and closes without a word.
#[test]
fn a_server_that_falls_as_cores_place_there() {
    let heard = Heard::default();
    let falls = Arc::new(AtomicBool::new(false));
    let (seen, has_fallen) = (heard.clone(), falls.clone());
    let one = Peer::new(move |line: &str, me| {
        if line.starts_with("PUT") && !line.contains("/rung/") {
            seen.lock().unwrap().push((Instant::now(), "one", line.trim().to_string()));
        }
        if has_fallen.load(Ordering::Relaxed) {
            return (Duration::ZERO, Vec::new());
        }
        well(line, me)
    });
    let two = server("two", &heard);
    let told = Told::new(vec![("one", one.address, "up", 0.0), ("two", two.address, "up", 0.0)]);
    let list = told.peer.address;
    let races = "[package races]\nvalue = 1\njoin-target-ms = 2000\nrepeat = unsafe\n";
    let text = |address| settings(address, list, "cores = 4") + races;
    let manager = Manager::start_as("falls", text, None, &[]).ready();
    let safe = Askers::start(4, manager.address, ASK);
    let unsafe_ones = Askers::start(4, manager.address, "/watch/t?package=races&best=1&patience-ms=4000");
    std::thread::sleep(Duration::from_millis(500));
    falls.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(1500));
    let (safe, unsafe_ones) = (safe.end(), unsafe_ones.end());
    assert!(safe.keys().chain(unsafe_ones.keys()).all(is_final), "{safe:?} {unsafe_ones:?}");
    let mut tune_ins = BTreeMap::<String, usize>::new();
    for (_, _, line) in heard.lock().unwrap().iter().filter(|it| it.2.contains("package=races")) {
        // A set-up on a kept connection that was already closed is sent again under its own number.
        let viewing = line.split('/').nth(2).unwrap().to_string();
        *tune_ins.entry(viewing).or_default() += 1;
    }
    assert!(tune_ins.len() > 50 && tune_ins.values().all(|it| *it == 1), "an unsafe one was sent again");
    // One that may have run is aborted, not blocked: as many as the server took and did not answer.
    let lost = heard.lock().unwrap().iter().filter(|it| it.1 == "one" && it.2.contains("races")).count();
    let given_up = |it: &(&String, &usize)| !it.0.ends_with("200") && !it.0.ends_with("503");
    let aborted: usize = unsafe_ones.iter().filter(given_up).map(|it| it.1).sum();
    assert!(aborted <= lost, "{aborted} aborted, {lost} taken by the one that fell");
}

/// Just started, with room for one new viewing a second: twelve ask on four cores in the same moment, again
/// and again.
#[test]
fn a_cold_server_with_room_for_one() {
    let heard = Heard::default();
    let one = server("one", &heard);
    let began = Instant::now();
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let told = Told::new(vec![("one", one.address, "up", wall.as_secs_f64() * 1e3)]);
    let list = told.peer.address;
    let text = |address| {
        settings(address, list, "cores = 4")
            .replace("places = k:1000", "places = k:10")
            .replace("cold-ms = 0", "cold-ms = 60000")
            .replace("start-capacity = 1", "start-capacity = 0.5")
    };
    let manager = Manager::start_as("cold", text, None, &[]).ready();
    let askers = Askers::start(12, manager.address, "/watch/t?package=clips&best=1&patience-ms=600");
    std::thread::sleep(Duration::from_secs(5));
    let answers = askers.end();
    let heard = heard.lock().unwrap();
    for (ix, first) in heard.iter().enumerate() {
        // Three times its places over its warm-up, as far as it is warm, a second; and one by chance.
        let warmth = 0.5 + 0.5 * (first.0 - began).as_secs_f64() / 60.0;
        let most = 3.0 * 10.0 / 60.0 * warmth + 1.0;
        let within = heard[ix..].iter().filter(|it| it.0 - first.0 < Duration::from_millis(900)).count();
        assert!(within as f64 <= most, "{within} at once");
    }
    assert!(
        (1..8).contains(&heard.len()),
        "{} set up, {} asked",
        heard.len(),
        answers.values().sum::<usize>()
    );
    assert!(answers.values().sum::<usize>() > 40 && answers.keys().all(is_final), "{answers:?}");
}
