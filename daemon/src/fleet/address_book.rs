//! Which member has which address.

use ottersail_membership::{Address, MemberId, MemberView, State};
use std::collections::BTreeMap;

/// The member at each address, if there is exactly one: a message sealed for one member is useless to another.
#[derive(Debug, Default)]
pub(super) struct AddressBook(BTreeMap<Address, Option<MemberId>>);

impl AddressBook {
    /// Replaces the addresses by those of the roster's members that are alive or suspect.
    pub fn read<'a>(&mut self, roster: impl Iterator<Item = (&'a MemberId, &'a MemberView)>) {
        self.0.clear();
        for (id, known) in roster.filter(|(_, known)| matches!(known.state, State::Alive | State::Suspect)) {
            let entry = self.0.entry(known.address);
            entry.and_modify(|member| *member = None).or_insert(Some(*id));
        }
    }

    /// The only member at that address, if there is exactly one.
    pub fn id(&self, address: Address) -> Option<MemberId> {
        self.0.get(&address).copied().flatten()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail::time::Ms;
    use ottersail_membership::{Incarnation, InstanceId, Reachability};

    fn known(port: u16, state: State) -> MemberView {
        MemberView {
            name: String::new(),
            state,
            address: Address::new([127, 0, 0, 1].into(), port),
            site: String::new(),
            incarnation: Incarnation(0),
            instance: InstanceId(1),
            reachability: Reachability::Mutual,
            piggybacks: BTreeMap::new(),
            since: Ms(0.0),
        }
    }

    #[test]
    fn shared_addresses_and_those_of_dead_members_yield_no_member() {
        let roster = [
            (MemberId(1), known(1, State::Alive)),
            (MemberId(2), known(2, State::Suspect)),
            (MemberId(3), known(3, State::Dead)),
            (MemberId(4), known(1, State::Alive)),
            (MemberId(5), known(2, State::Left)),
        ];
        let mut book = AddressBook::default();
        book.read(roster.iter().map(|(id, known)| (id, known)));
        let member_at = |port| book.id(Address::new([127, 0, 0, 1].into(), port));
        assert_eq!(
            [member_at(1), member_at(2), member_at(3), member_at(9)],
            [None, Some(MemberId(2)), None, None]
        );
    }
}
