//! Which member has which address.

use ottersail_membership::{Address, MemberId, MemberView, State};
use std::collections::BTreeMap;

/// The member at each address, if there is exactly one: a message sealed for one member is useless to another.
#[derive(Debug, Default)]
pub(super) struct AddressBook(BTreeMap<Address, Option<MemberId>>);

impl AddressBook {
    pub fn read<'a>(&mut self, roster: impl Iterator<Item = (&'a MemberId, &'a MemberView)>) {
        self.0.clear();
        for (id, known) in roster.filter(|it| matches!(it.1.state, State::Alive | State::Suspect)) {
            let entry = self.0.entry(known.address);
            entry.and_modify(|it| *it = None).or_insert(Some(*id));
        }
    }

    pub fn id(&self, at: Address) -> Option<MemberId> {
        self.0.get(&at).copied().flatten()
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
    fn an_address_of_two_is_of_nobody_and_the_dead_have_none() {
        let roster = [
            (MemberId(1), known(1, State::Alive)),
            (MemberId(2), known(2, State::Suspect)),
            (MemberId(3), known(3, State::Dead)),
            (MemberId(4), known(1, State::Alive)),
            (MemberId(5), known(2, State::Left)),
        ];
        let mut book = AddressBook::default();
        book.read(roster.iter().map(|it| (&it.0, &it.1)));
        let at = |port| book.id(Address::new([127, 0, 0, 1].into(), port));
        assert_eq!([at(1), at(2), at(3), at(9)], [None, Some(MemberId(2)), None, None]);
    }
}
