//! The machine by itself, with messages made by hand.

use ottersail::time::Ms;
use ottersail_members::{
    Address, Body, Change, DialTag, Hearing, Incarnation, Life, Me, MemberId, Members, Message, News, Place,
    Sender, State, Terms, TermsError, Topic, Wishes,
};
use test_case::test_case;

#[derive(Default)]
struct Sink {
    sent: Vec<(Address, Message)>,
    dials: Vec<(Address, DialTag)>,
    changes: Vec<Change>,
}

impl Wishes for Sink {
    fn send(&mut self, to: Address, message: &Message) {
        self.sent.push((to, message.clone()));
    }
    fn dial(&mut self, to: Address, tag: DialTag) {
        self.dials.push((to, tag));
    }
    fn hear(&mut self, _from: MemberId, _topic: Topic, _bytes: &[u8]) {}
    fn changed(&mut self, change: &Change) {
        self.changes.push(change.clone());
    }
}

fn address(at: u8) -> Address {
    Address::new([127, 0, 0, at].into(), 7000)
}

fn me(name: &str, at: u8) -> Me {
    let id = MemberId::of("north", name);
    Me { name: name.into(), id, life: Life(u64::from(at)), address: address(at), site: "hall".into() }
}

fn sender(at: u8) -> Sender {
    let Me { id, life, address, .. } = me(&format!("m{at}"), at);
    Sender { id, life, address }
}

fn news(at: u8, state: State, incarnation: u32) -> News {
    let Me { name, id, life, address, site } = me(&format!("m{at}"), at);
    let place = Some(Place { name, address, site });
    News { about: id, life, incarnation: Incarnation(incarnation), state, by: None, place }
}

fn gossip(news: Vec<News>) -> Message {
    Message { incarnation: Incarnation(0), body: Body::Gossip, news, riders: Vec::new() }
}

fn body(body: Body) -> Message {
    Message { incarnation: Incarnation(0), body, news: Vec::new(), riders: Vec::new() }
}

/// Member 1 that knows 2 and 3, not yet rung.
fn one(terms: impl FnOnce(&mut Terms)) -> (Members, Sink) {
    let mut own = Terms::new(me("m1", 1), vec![address(2)]);
    terms(&mut own);
    let mut members = Members::born(Ms(0.0), 1, own);
    let mut sink = Sink::default();
    let all = vec![news(2, State::Alive, 0), news(3, State::Alive, 0)];
    members.message(Ms(0.0), sender(2), gossip(all), &mut sink);
    (members, sink)
}

fn state(members: &Members, at: u8) -> Option<State> {
    let id = sender(at).id;
    members.roster().find(|(it, _)| **it == id).map(|(_, known)| known.state)
}

/// Rings until it probes that member, and gives the probe's number.
fn probe_of(members: &mut Members, sink: &mut Sink, now: &mut f64, at: u8) -> u32 {
    for _ in 0..100 {
        *now = members.bell_at().0;
        sink.sent.clear();
        members.bell(Ms(*now), sink);
        for (to, message) in &sink.sent {
            if let Body::Probe { number, .. } = message.body {
                if *to == address(at) {
                    return number;
                }
            }
        }
    }
    panic!("no probe of {at}");
}

#[test_case(true, State::Suspect; "answered just now")]
#[test_case(false, State::Dead; "not answered")]
fn told_of_a_death_one_that_hears_it_looks_first(answered: bool, held: State) {
    let (mut members, mut sink) = one(|_| {});
    let mut now = 0.0;
    let number = probe_of(&mut members, &mut sink, &mut now, 3);
    if answered {
        members.message(Ms(now), sender(3), body(Body::Ack { number }), &mut sink);
    }
    sink.sent.clear();
    members.message(Ms(now), sender(2), gossip(vec![news(3, State::Dead, 0)]), &mut sink);
    assert_eq!(state(&members, 3), Some(held));
    let probes =
        sink.sent.iter().filter(|(to, it)| *to == address(3) && matches!(it.body, Body::Probe { .. }));
    assert_eq!(probes.count(), usize::from(answered));
}

#[test]
fn an_ack_of_another_life_is_no_ack() {
    let (mut members, mut sink) = one(|_| {});
    let mut now = 0.0;
    let number = probe_of(&mut members, &mut sink, &mut now, 3);
    let former = Sender { life: Life(99), ..sender(3) };
    members.message(Ms(now), former, body(Body::Ack { number }), &mut sink);
    assert_eq!(members.figures().acks, 0);
    let hearing = members.roster().find(|(id, _)| **id == sender(3).id).map(|(_, known)| known.hearing);
    assert_ne!(hearing, Some(Hearing::Both));
}

#[test]
fn what_is_said_of_it_is_contradicted_once() {
    let (mut members, mut sink) = one(|_| {});
    for _ in 0..3 {
        members.message(Ms(1.0), sender(2), gossip(vec![news(1, State::Suspect, 4)]), &mut sink);
    }
    assert_eq!(members.figures().refutations, 1);
    members.bell(Ms(200.0), &mut sink);
    let told = sink.sent.iter().flat_map(|(_, message)| &message.news);
    let mine: Vec<&News> = told.filter(|news| news.about == sender(1).id).collect();
    assert!(mine.iter().any(|news| news.incarnation == Incarnation(5) && news.state == State::Alive));
}

#[test]
fn older_news_never_replace_newer() {
    let (mut members, mut sink) = one(|_| {});
    let mut tell = |members: &mut Members, state, incarnation| {
        members.message(Ms(1.0), sender(2), gossip(vec![news(3, state, incarnation)]), &mut sink);
    };
    tell(&mut members, State::Left, 5);
    for (late, incarnation) in [(State::Alive, 5), (State::Dead, 5), (State::Alive, 0)] {
        tell(&mut members, late, incarnation);
        assert_eq!(state(&members, 3), Some(State::Left));
    }
    tell(&mut members, State::Alive, 6);
    assert_eq!(state(&members, 3), Some(State::Alive));
}

#[test]
fn requests_for_help_are_bounded() {
    let (mut members, mut sink) = one(|_| {});
    sink.sent.clear();
    let Sender { id: target, life, address: at } = sender(3);
    for number in 0..1000 {
        members.message(Ms(1.0), sender(2), body(Body::ProbeFor { number, target, life, at }), &mut sink);
    }
    assert_eq!(sink.sent.len(), 64);
}

#[test]
fn the_list_of_members_is_bounded() {
    let (mut members, mut sink) = one(|terms| terms.most_members = 20);
    for at in 4..200 {
        members.message(Ms(1.0), sender(2), gossip(vec![news(at, State::Alive, 0)]), &mut sink);
    }
    assert_eq!(members.roster().count(), 20);
}

#[test]
fn strangers_cannot_have_members_probed() {
    let (mut members, mut sink) = one(|_| {});
    sink.sent.clear();
    let Sender { id: target, life, address: at } = sender(3);
    members.message(Ms(1.0), sender(50), body(Body::ProbeFor { number: 1, target, life, at }), &mut sink);
    assert_eq!(sink.sent, []);
}

#[test_case(|terms| terms.me.name = "Über".into(), "members.name"; "name")]
#[test_case(|terms| terms.me.name.clear(), "members.name"; "no name")]
#[test_case(|terms| terms.me.site = "a b".into(), "members.site"; "site")]
#[test_case(|terms| terms.period = Ms(1.0), "members.period"; "period")]
fn what_is_wrong_with_settings_is_told(spoil: fn(&mut Terms), key: &str) {
    let mut terms = Terms::new(me("m1", 1), Vec::new());
    assert_eq!(terms.check(), Ok(()));
    spoil(&mut terms);
    let trouble: TermsError = terms.check().unwrap_err();
    let text = trouble.to_string();
    assert!(text.starts_with(key) && text.contains("is not") && text.contains("; "), "{text}");
}
