//! Trying a member on the second way.

use super::door::{knock, Door};
use super::Fleet;
use ottersail_membership::{Address, DialId};

impl Fleet {
    /// The second way: the member's own HTTP address. No answer within a period is none.
    pub(super) fn dial(&self, to: Address, tag: DialId) {
        // An address of two is of nobody: whoever answers there vouches for neither.
        let id = self.book.borrow().id(to);
        let (Some(id), Some(held)) = (id, self.knocks.one_more()) else {
            return self.dialled(tag, false);
        };
        let told = self.doors.borrow().of(id, self.members.borrow().others());
        // One that has not told it yet may have both at one address.
        let door = told.unwrap_or(Door::at(to));
        let Some(fleet) = self.me.upgrade() else {
            return;
        };
        let period = self.period;
        let task = async move {
            let up = knock(door, id, period).await;
            drop(held);
            fleet.dialled(tag, up);
        };
        self.exec.spawn(task).detach();
    }

    fn dialled(&self, tag: DialId, up: bool) {
        let now = self.now();
        self.told(None, |it, out| it.handle_dial_result(now, tag, up, out));
    }
}
