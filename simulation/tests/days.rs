//! Days played whole: that they repeat, that the laws hold, and what faults do.

use ottersail_daemon::settings::day::{parse_day, DayPlan};
use ottersail_simulation::figures::Figures;
use ottersail_simulation::model::Model;
use std::path::Path;
use test_case::test_case;

fn day(faults: &str) -> DayPlan {
    let text = include_str!("small.day.ini").to_string() + faults;
    parse_day(Path::new("small.day.ini"), &text).unwrap_or_else(|it| panic!("{}", it.join("\n")))
}

fn play(plan: &DayPlan, seed: u64) -> Figures {
    let (figures, _, drift) = Model::new(plan, seed).unwrap().run();
    assert_eq!(figures.broken_laws(drift), Vec::<String>::new());
    figures
}

fn fault(kind: &str, part: f64, size: f64) -> String {
    format!("\n[fault f]\nkind = {kind}\nstart-s = 10\nend-s = 20\npart = {part}\nsize = {size}\n")
}

#[test]
fn the_same_seed_gives_the_same_day_on_any_number_of_threads() {
    let one = |seed| play(&day(&fault("replace", 0.4, 2.0)), seed);
    let alone = one(5);
    let threads: Vec<_> =
        (0..4).map(|it| std::thread::spawn(move || one(if it == 3 { 6 } else { 5 }))).collect();
    let all: Vec<Figures> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    assert!(all[..3].iter().all(|it| *it == alone));
    assert_ne!(all[3], alone, "another seed is another day");
}

#[test]
fn a_quiet_day_plays_nearly_all() {
    let it = play(&day(""), 1);
    assert!(it.asked > 300 && it.played * 100 > it.asked * 95, "{it}");
    assert_eq!((it.aborted, it.broken, it.fell), (0, 0, 0), "{it}");
    assert!(it.value() > 0.5, "{it}");
}

#[test_case("crash", 0.3, 0.0, |it| it.set_ups > 300; "servers crash")]
#[test_case("vanish", 0.3, 0.0, |it| it.start_ms > 0.0; "servers fall silent")]
#[test_case("drain", 0.5, 0.0, |it| it.aborted == 0; "a drain costs nobody")]
#[test_case(
    "replace", 0.5, 1.0, |it| it.cold_set_ups > 0 && it.fell == 0;
    "cold ones are used and not pushed over"
)]
#[test_case("lose-answers", 0.4, 0.0, |it| it.aborted > 0; "an unsafe one whose answer is lost is aborted")]
#[test_case("manager-kill", 0.5, 0.0, |it| it.broken > 0; "who waits at a killed manager is broken off")]
#[test_case("manager-roll", 0.0, 1.0, |it| it.played > 200; "managers are rolled")]
#[test_case("manager-stall", 0.5, 0.0, |it| it.gave_up > 0; "who waits longer than patience gives up")]
#[test_case("list-silent", 0.0, 0.0, |it| it.aborted == 0; "the last list holds")]
fn faults(kind: &str, part: f64, size: f64, holds: fn(&Figures) -> bool) {
    let it = play(&day(&fault(kind, part, size)), 3);
    assert!(holds(&it), "{it}");
}

#[test_case("slow-links", 0.0, 4.0)]
#[test_case("neighbour", 1.0, 0.8)]
#[test_case("burst", 0.0, 4.0)]
fn what_takes_room_costs_value(kind: &str, part: f64, size: f64) {
    let (quiet, short) = (play(&day(""), 4), play(&day(&fault(kind, part, size)), 4));
    assert!(short.value() < quiet.value() - 0.01 || short.blocked > quiet.blocked + 20, "{quiet}\n\n{short}");
}

#[test]
fn a_fault_of_sockets_is_refused_by_its_name() {
    let told = Model::new(&day(&fault("forgers", 0.1, 0.0)), 1).err().unwrap();
    let told = told.to_string();
    assert!(told.contains("[fault f]") && told.contains("rehearse"), "{told}");
}
