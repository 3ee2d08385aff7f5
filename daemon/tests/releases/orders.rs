//! Orders that go through, are halted, and are taken back.

use crate::cluster::Node;
use crate::field::Field;
use crate::peer::get;
use std::collections::BTreeSet;
use std::time::Duration;

const ASK: &str = "/watch/t?package=clips&best=1&patience-ms=4000";

#[test]
fn a_release_goes_through_all_in_steps_with_few_out_and_councillors_last() {
    let mut field = Field::of(7, 2);
    field.order("two", "one", "go", "");
    assert!(field.until(|it| it.have("two") == 7), "{}", field.told());
    let went = field.went.clone();
    let each: BTreeSet<usize> = went.iter().copied().collect();
    assert_eq!((went.len(), each.len()), (7, 7), "each once: {went:?}");
    assert!(went[..4].iter().all(|it| *it >= 3), "councillors go last: {went:?}");
    let ended =
        |it: &mut Field| it.all.nodes[..3].iter().all(|it| it.figure("ottersail_release_ended") == 1.0);
    assert!(field.until(ended), "{}", field.told());
    let through = |it: &Node| it.figure("ottersail_release_through");
    assert!(field.all.nodes[..3].iter().all(|it| through(it) == 7.0), "{}", field.told());
    // Through is through: nobody goes again, and viewings are taken by all.
    field.watch(Duration::from_secs(3));
    assert_eq!(field.went.len(), 7);
    for node in &field.all.nodes {
        let answer = get(node.http, ASK);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}{}", node.log());
    }
}

#[test]
fn halted_nobody_further_goes_and_back_takes_back_only_those_changed() {
    let mut field = Field::of(7, 1);
    field.order("two", "one", "go", "");
    assert!(field.until(|it| it.have("two") >= 2), "{}", field.told());
    field.order("two", "one", "halt", "");
    assert!(field.until(|it| it.says("state=Halt")), "{}", field.told());
    // What was given before the halt may be used for use-ms more.
    field.watch(Duration::from_secs(6));
    let (went, changed) = (field.went.len(), field.have("two"));
    field.watch(Duration::from_secs(5));
    assert_eq!(field.went.len(), went, "nobody further goes out: {}", field.told());
    assert!((2..7).contains(&changed), "{changed}{}", field.told());
    field.order("two", "one", "back", "");
    assert!(field.until(|it| it.have("one") == 7), "{}", field.told());
    assert_eq!(field.went.len(), went + changed, "only those changed: {}", field.told());
}

/// The file of an earlier day, and one changed without another serial, change nothing and are told.
#[test]
fn an_older_file_and_one_with_the_same_serial_are_told_and_let_be() {
    let mut field = Field::of(5, 1);
    field.order("two", "one", "halt", "");
    assert!(field.until(|it| it.says("the order of the file stands")), "{}", field.told());
    let file = field.all.nodes[0].path("orders");
    let text = std::fs::read_to_string(&file).unwrap();
    for (becomes, told) in
        [("state = go", "is agreed with other values of state"), ("state = sideways", "were not taken over")]
    {
        std::fs::write(&file, text.replace("state = halt", becomes)).unwrap();
        field.all.nodes[0].child.as_mut().unwrap().signal(rustix::process::Signal::HUP);
        assert!(field.until(|it| it.says(told)), "{told}{}", field.told());
    }
    field.watch(Duration::from_secs(2));
    assert_eq!(field.went, []);
}
