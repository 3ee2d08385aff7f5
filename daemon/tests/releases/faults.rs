//! Releases while members die and the council is lost.

use crate::field::Field;
use crate::peer::{get, send};
use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const ASK: &str = "/watch/t?package=clips&best=1&patience-ms=4000";

/// Whoever is dead by accident counts as out: with as many dead as may be out nobody goes, and once they are back
/// it goes on.
#[test]
fn what_is_dead_by_accident_counts_as_out() {
    let mut field = Field::of(8, 2);
    field.kill(6);
    field.kill(7);
    let dead = |it: &mut Field| it.all.all_believe("m-6", "dead") && it.all.all_believe("m-7", "dead");
    assert!(field.until(dead), "{}", field.told());
    field.order("two", "one", "go", "");
    assert!(field.until(|it| it.says("wait for those not seen ready")), "{}", field.told());
    field.watch(Duration::from_secs(6));
    assert_eq!(field.went, [], "{}", field.told());
    field.start(6, "one");
    field.start(7, "one");
    assert!(field.until(|it| it.have("two") == 8), "{}", field.told());
}

/// Without a majority nobody gets a permit, viewings go on, and with it back the release does.
#[test]
fn without_the_councils_majority_nobody_further_goes_and_viewings_go_on() {
    let mut field = Field::of(7, 1);
    field.order("two", "one", "go", "");
    assert!(field.until(|it| !it.went.is_empty()), "{}", field.told());
    field.kill(0);
    field.kill(1);
    // A permit given before may be used for use-ms more.
    field.watch(Duration::from_secs(6));
    let went = field.went.len();
    field.watch(Duration::from_secs(4));
    assert_eq!(field.went.len(), went, "{}", field.told());
    for node in field.all.up() {
        assert!(get(node.http, "/ready").starts_with("HTTP/1.1 200"), "{}", node.log());
    }
    field.start(0, "one");
    field.start(1, "one");
    assert!(field.until(|it| it.have("two") == 7), "{}", field.told());
}

/// The holder of a permit never comes back: it keeps the permit, the release waits and names it, and struck it is
/// waited for no more.
#[test]
fn one_that_never_comes_back_is_named_and_struck() {
    let mut field = Field::of(7, 1);
    field.order("two", "one", "go", "");
    assert!(field.until(|it| !it.went.is_empty()), "{}", field.told());
    let lost = field.went[0];
    field.kill(lost);
    assert!(field.until(|it| it.says("the release waits for it")), "{}", field.told());
    field.watch(Duration::from_secs(3));
    assert_eq!(field.went, [lost], "{}", field.told());
    let strike = format!("strike = m-{lost}\n");
    field.order("two", "one", "go", &strike);
    assert!(field.until(|it| it.have("two") == 6), "{}", field.told());
}

/// A version that takes forty viewings and blocks all others: those released are seen to block more than the others
/// in the same seconds, before half of them are.
#[test]
fn a_version_that_works_for_a_while_and_then_blocks_is_halted_and_taken_back() {
    let mut field = Field::of(8, 1);
    field.settle_ms = 5_000;
    let doors: Vec<_> = field.all.nodes.iter().map(|it| it.http).collect();
    let over = Arc::new(AtomicBool::new(false));
    let ends = over.clone();
    let viewers = std::thread::spawn(move || {
        while !ends.load(Ordering::Relaxed) {
            // Whoever is out answers nobody.
            doors.iter().for_each(|it| drop(send(*it, ASK).and_then(|mut it| it.read(&mut [0; 64]))));
            std::thread::sleep(Duration::from_millis(60));
        }
    });
    field.order_by("evidence", "bad", "one", "go", "");
    assert!(field.until(|it| it.says("halted by evidence")), "{}", field.told());
    assert!(field.until(|it| it.says("state=Stopped")), "{}", field.told());
    let went = field.went.len();
    println!("halted once {went} of 8 had gone");
    assert!((1..=4).contains(&went), "{went}{}", field.told());
    field.order("bad", "one", "back", "");
    assert!(field.until(|it| it.have("one") == 8), "{}", field.told());
    over.store(true, Ordering::Relaxed);
    viewers.join().unwrap();
}
