//! Encodings and single rules.

use super::histories::order;
use super::simulation::{id, name, zone, PERIOD};
use crate::*;
use std::collections::BTreeMap;
use test_case::test_case;

pub fn go() -> Order {
    order(3, 9, 2, "v2", State::Go)
}

pub fn permit(node: usize, asked: u64) -> Permit {
    Permit { member: id(node), life: InstanceId(1), requested_at: MemberTime(asked), version: name("v2") }
}

pub fn table(permits: &[Permit]) -> PermitTable {
    PermitTable { order_revision: 7, serial: Serial(3), permits: permits.to_vec(), ended: false }
}

#[test]
fn orders_and_permit_tables_survive_encoding() {
    let (order, table) = (go(), table(&[permit(1, 5), permit(2, u64::MAX)]));
    assert_eq!(Order::decode(&order.encode()), Some(order.clone()));
    assert_eq!(PermitTable::decode(&table.encode()), Some(table.clone()));
    // Trailing bytes belong to a later version.
    assert_eq!(Order::decode(&[order.encode(), vec![1, 2]].concat()), Some(order.clone()));
    assert_eq!(PermitTable::decode(&[table.encode(), vec![1, 2]].concat()), Some(table.clone()));
    for cut in 0..order.encode().len() {
        assert_eq!(Order::decode(&order.encode()[..cut]), None, "cut at {cut}");
    }
    for cut in 0..table.encode().len() {
        assert_eq!(PermitTable::decode(&table.encode()[..cut]), None, "cut at {cut}");
    }
    let another = |bytes: Vec<u8>| [vec![2], bytes[1..].to_vec()].concat();
    assert_eq!(
        (Order::decode(&another(order.encode())), PermitTable::decode(&another(table.encode()))),
        (None, None)
    );
}

#[test]
fn permit_table_has_one_permit_per_member_and_fits_a_register() {
    let long = Name::new(&"v".repeat(32)).unwrap();
    let full = |count: usize| {
        let permit = |it: usize| Permit {
            member: MemberId(u64::MAX - 99 + it as u64),
            life: InstanceId(u64::MAX),
            requested_at: MemberTime(u64::MAX),
            version: long.clone(),
        };
        PermitTable { permits: (0..count).map(permit).collect(), ..table(&[]) }
    };
    assert_eq!(PermitTable::decode(&table(&[permit(1, 5), permit(1, 6)]).encode()), None);
    assert_eq!(PermitTable::decode(&table(&[permit(2, 5), permit(1, 6)]).encode()), None);
    assert!(PermitTable::decode(&full(MAX_PERMITS).encode()).is_some());
    assert_eq!(PermitTable::decode(&full(MAX_PERMITS + 1).encode()), None);
    // With versions of usual length a full table fits in a register.
    let plain = (0..MAX_PERMITS).map(|it| Permit { version: name("2026.12.02"), ..permit(it, 1 << 40) });
    assert!(table(&plain.collect::<Vec<_>>()).encode().len() <= 600);
}

fn many_zones() -> BTreeMap<Name, (u16, u16)> {
    (0..13).map(|it| (name(&it.to_string()), (1, 1))).collect()
}

#[test_case(|it| it.steps.clear(), "steps = one"; "no steps")]
#[test_case(|it| it.steps = vec![Step::Count(1); 9], "take some out"; "steps")]
#[test_case(|it| it.steps = vec![Step::PerMille(0)], "from 1 to 1000"; "part of a step")]
#[test_case(|it| it.scope = Scope::PerMille(1_001), "from 1 to 1000"; "part of whom")]
#[test_case(|it| it.struck = vec![name("m"); 9], "next serial"; "struck")]
#[test_case(|it| it.bounds.most_out = 0, "state = halt"; "nobody out")]
#[test_case(|it| it.bounds.most_out = 9, "some have to serve"; "all out")]
#[test_case(|it| it.bounds.zones.values_mut().for_each(|it| it.1 = 4), "no more than it has"; "zone")]
#[test_case(|it| it.bounds.fleet = 10, "must be equal"; "sum")]
#[test_case(|it| it.bounds.zones = many_zones(), "need a bound"; "zones")]
#[test_case(|it| it.use_ms = 499, "500 to 60000"; "use")]
#[test_case(|it| it.settle_ms = 99, "100 to 3600000"; "settle")]
#[test_case(|it| it.scope = Scope::Named(vec![Name::new(&"n".repeat(32)).unwrap(); 20]), "shorter names"; "long")]
fn invalid_order_is_refused_with_a_reason(spoil: fn(&mut Order), says: &str) {
    let mut order = go();
    assert_eq!(order.check(), Ok(()));
    spoil(&mut order);
    let fault = order.check().unwrap_err().to_string();
    assert!(fault.contains(says), "{fault}");
    assert_eq!(Order::decode(&order.encode()), None);
}

#[test_case(|it| it.serial = Serial(4), true; "a greater serial")]
#[test_case(|it| it.state = State::HaltedByEvidence, true; "the same halted by evidence")]
#[test_case(|it| it.state = State::Halt, false; "the same halted by an operator")]
#[test_case(|_| {}, true; "a reading written back")]
#[test_case(|it| it.state = State::Back, false; "the same serial taken back")]
#[test_case(|it| (it.state, it.version) = (State::HaltedByEvidence, name("v9")), false; "a halt that changes more")]
#[test_case(|it| (it.serial, it.state) = (Serial(2), State::HaltedByEvidence), false; "an older halt")]
fn order_replacement_follows_the_serial(change: fn(&mut Order), follows_it: bool) {
    let mut to = go();
    change(&mut to);
    assert_eq!(may_replace(Some(&go()), &to, Guards::all()).is_ok(), follows_it);
    assert!(may_replace(None, &to, Guards::all()).is_ok());
}

#[test]
fn same_file_does_not_undo_a_halt_by_evidence() {
    let halted = Order { state: State::HaltedByEvidence, ..go() };
    assert_eq!(
        may_replace(Some(&halted), &go(), Guards::all()),
        Err(Refusal::StaleSerial { given: 3, current: 3 })
    );
}

/// A councillor that has seen these members of nine ready for 3 s, at 13 s; members 0, 1 and 2 are councillors.
pub fn councillor(whole: &[usize]) -> Coordinator {
    let all = [0, 1, 2].map(id);
    let mut coordinator = Coordinator::new(Ms(0.0), id(0), &all, PERIOD);
    let seen = |it: usize| {
        let (zone, name) = (Some(zone(it)), name(&format!("m{it}")));
        (id(it), RosterEntry { life: InstanceId(1), name, zone, presence: Presence::Alive })
    };
    coordinator.set_roster(Ms(0.0), &whole.iter().map(|it| seen(*it)).collect::<BTreeMap<_, _>>());
    for at in [10, 11, 12, 13] {
        for node in whole {
            coordinator.on_status(
                Ms(f64::from(at) * 1e3),
                id(*node),
                InstanceId(1),
                &status(u64::from(at as u16) * 1_000),
            );
        }
    }
    coordinator.on_order(Ms(9e3), 7, &go());
    coordinator
}

pub fn status(at: u64) -> MemberStatus {
    let (leaving, discarded_until, counts) = (None, MemberTime(0), ViewingCounts::default());
    MemberStatus {
        reported_at: MemberTime(at),
        version: name("v1"),
        ready: true,
        leaving,
        discarded_until,
        order_revision: 7,
        counts,
    }
}

pub const ALL: &[usize] = &[0, 1, 2, 3, 4, 5, 6, 7, 8];

#[test_case(ALL, &[3], true; "one of nine")]
#[test_case(ALL, &[3, 4], true; "two of nine in two zones")]
#[test_case(ALL, &[3, 4, 5], false; "three of nine where two may")]
#[test_case(ALL, &[3, 6], false; "two of one zone where one may")]
#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7], &[3], true; "one beside one that is dead")]
#[test_case(&[0, 1, 2, 3, 4, 5, 6], &[3], false; "one beside two that are dead")]
#[test_case(&[0, 1, 2, 3, 4, 5, 7, 8], &[3], false; "one beside one of its zone")]
#[test_case(ALL, &[0], true; "a councillor")]
#[test_case(ALL, &[0, 1], false; "two councillors")]
#[test_case(&[0, 2, 3, 4, 5, 6, 7, 8], &[0], false; "a councillor beside a dead one")]
#[test_case(&[], &[3], false; "known to nobody")]
fn permits_are_accepted_within_the_bounds(whole: &[usize], out: &[usize], passes: bool) {
    let permits: Vec<Permit> = out.iter().map(|it| permit(*it, 12_000)).collect();
    let allowed = councillor(whole).allows(Ms(13e3), Some((7, &go())), None, &table(&permits));
    assert_eq!(allowed.is_ok(), passes, "{allowed:?}");
}

#[test_case(6, State::Go, "v2"; "under another revision")]
#[test_case(7, State::Halt, "v2"; "under a halt")]
#[test_case(7, State::Back, "v2"; "with a version that is not led to")]
fn permit_that_does_not_match_the_order_is_refused(named: u64, state: State, version: &str) {
    let (order, permit) = (Order { state, ..go() }, Permit { version: name(version), ..permit(3, 12_000) });
    let to = PermitTable { order_revision: named, ..table(&[permit]) };
    assert!(councillor(ALL).allows(Ms(13e3), Some((7, &order)), None, &to).is_err());
}

#[test]
fn status_counts_for_seven_periods_from_when_it_was_sent() {
    let allowed = |coordinator: &Coordinator, at: f64| {
        coordinator.allows(Ms(at), Some((7, &go())), None, &table(&[permit(3, 12_000)])).is_ok()
    };
    let mut coordinator = councillor(ALL);
    assert!(allowed(&coordinator, 20e3) && !allowed(&coordinator, 20_001.0));
    // Sent at 14 s and seven seconds in transit: it counts until 21 s.
    ALL.iter().for_each(|it| coordinator.on_status(Ms(21e3), id(*it), InstanceId(1), &status(14_000)));
    assert!(!allowed(&coordinator, 21.5e3));
    ALL.iter().for_each(|it| coordinator.on_status(Ms(21.6e3), id(*it), InstanceId(1), &status(21_600)));
    assert!(!allowed(&coordinator, 21.7e3), "a gap: it settles anew");
}

#[test]
fn permit_returns_when_it_is_discarded_but_not_by_silence() {
    let (from, order) = (table(&[permit(3, 12_000)]), go());
    let gives = |coordinator: &Coordinator| {
        coordinator.allows(Ms(13e3), Some((7, &order)), Some(&from), &table(&[])).is_ok()
    };
    let mut coordinator = councillor(ALL);
    assert!(!gives(&coordinator));
    coordinator.on_status(
        Ms(13e3),
        id(3),
        InstanceId(1),
        &MemberStatus { discarded_until: MemberTime(11_999), ..status(13_000) },
    );
    assert!(!gives(&coordinator));
    coordinator.on_status(
        Ms(13e3),
        id(3),
        InstanceId(1),
        &MemberStatus { discarded_until: MemberTime(12_000), ..status(13_000) },
    );
    assert!(gives(&coordinator));
}

#[test_case(&["m3"], 4_081.0, true; "by name, once it can't be used any more")]
#[test_case(&["0000000000000004"], 4_081.0, true; "by id")]
#[test_case(&["m3"], 4_079.0, false; "while it may still be used")]
#[test_case(&["m4"], 4_081.0, false; "another")]
fn permit_of_a_struck_member_returns(struck: &[&str], after: f64, gives: bool) {
    let order = Order { struck: struck.iter().map(|it| name(it)).collect(), ..go() };
    let (mut coordinator, from) = (councillor(ALL), table(&[permit(3, 12_000)]));
    coordinator.on_permits(Ms(13e3), 4, &from);
    let now = Ms(13e3 + after);
    assert_eq!(coordinator.allows(now, Some((7, &order)), Some(&from), &table(&[])).is_ok(), gives);
}

/// A holder with a permit requested at 1,000 ms, usable until 5,000 ms.
#[test_case(4_998.0, State::Go, 1, true; "in time")]
#[test_case(5_001.0, State::Go, 1, false; "too late")]
#[test_case(2_000.0, State::Halt, 1, false; "halted")]
#[test_case(2_000.0, State::Go, 2, false; "of another life")]
fn holder_leaves_only_on_a_valid_permit(at: f64, state: State, life: u64, goes: bool) {
    let mut holder = PermitHolder::new(Ms(0.0), (id(3), InstanceId(life)), name("v1"), PERIOD);
    holder.set_ready(Ms(0.0), true);
    holder.on_order(Ms(0.0), 7, &go());
    holder.on_permits(Ms(1.1e3), 1, &table(&[permit(3, 1_000)]));
    let permit_in_use = UsablePermit { requested_at: MemberTime(1_000), version: name("v2") };
    assert_eq!(holder.usable_permit(Ms(1.2e3)).is_some(), life == 1);
    holder.on_order(Ms(1.3e3), 8, &Order { state, serial: Serial(4), ..go() });
    // A permit requested under another order is never used.
    assert_eq!(holder.usable_permit(Ms(1.4e3)), None);
    let mut holder = PermitHolder::new(Ms(0.0), (id(3), InstanceId(life)), name("v1"), PERIOD);
    holder.on_order(Ms(0.0), 7, &Order { state, ..go() });
    holder.on_permits(Ms(1.1e3), 1, &table(&[permit(3, 1_000)]));
    assert_eq!(holder.confirm_leaving(Ms(at), &permit_in_use), goes);
    // A permit that was not confirmed is never used.
    assert!(goes || holder.usable_permit(Ms(1.2e3)).is_none());
}
