//! Probes a member over HTTP, independently of datagrams.

use super::http_address::{probe, HttpAddress};
use super::Fleet;
use ottersail_membership::{Address, DialId};

impl Fleet {
    /// Probes the member's own HTTP address. No answer within a period counts as a failure.
    pub(super) fn dial(&self, to: Address, tag: DialId) {
        // If two members share an address, an answer there confirms neither of them.
        let id = self.addresses.borrow().id(to);
        let (Some(id), Some(probe_slot)) = (id, self.probe_limit.acquire()) else {
            return self.report_probe(tag, false);
        };
        let announced = self.http_addresses.borrow().of(id, self.members.borrow().others());
        // A member that has not announced its HTTP address may have it at the same address.
        let address = announced.unwrap_or(HttpAddress::at(to));
        let Some(fleet) = self.weak_self.upgrade() else {
            return;
        };
        let period = self.period;
        let task = async move {
            let up = probe(address, id, period).await;
            drop(probe_slot);
            fleet.report_probe(tag, up);
        };
        self.exec.spawn(task).detach();
    }

    /// Passes a probe's result to the membership.
    fn report_probe(&self, tag: DialId, up: bool) {
        let now = self.now();
        self.with_members(None, |members, out| members.handle_dial_result(now, tag, up, out));
    }
}
