//! Settings and files that are not as they should be.

use crate::peer::{get, within};
use crate::table::{Page, Table, LONG};

/// The figures of the founding hold, whatever one member's settings say.
#[test]
fn a_member_with_other_settings_follows_the_founding_and_says_so() {
    let mut all = Table::full();
    let node = &mut all.0.nodes[4];
    let file = node.path("m.ini");
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("slots = 32", "slots = 64")).unwrap();
    node.stop();
    node.start();
    all.fills(5);
    let node = &all.0.nodes[4];
    assert!(node.log().contains("these settings differ from the founding's"), "{}", node.log());
    assert_eq!(Page::of(node).figure("ottersail_part_of"), 32.0);
}

/// Viewings and the other councillors go on; the file is left as it is.
#[test]
fn a_councillor_whose_store_is_no_store_abstains_and_serves() {
    let mut all = Table::full();
    let node = &mut all.0.nodes[2];
    let file = node.path("council");
    node.kill();
    std::fs::write(&file, "something else").unwrap();
    node.start();
    let serves = || get(all.0.nodes[2].http, "/ready").starts_with("HTTP/1.1 200");
    assert!(within(LONG, serves), "{}", all.0.nodes[2].log());
    let log = all.0.nodes[2].log();
    assert!(
        log.contains("no store: this councillor abstains") && log.contains("is no council file"),
        "{log}"
    );
    all.fills(5);
    let page = Page::of(&all.0.nodes[2]);
    let seat = ["ottersail_council_seat", "ottersail_council_sound"].map(|it| page.figure(it));
    assert_eq!(seat, [0.0, 0.0], "it holds slots as a member, and promises nothing");
    assert_eq!(std::fs::read(&file).unwrap(), b"something else");
}
