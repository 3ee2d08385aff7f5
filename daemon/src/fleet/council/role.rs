//! This member's role in the council: councillor or follower.

use super::outputs::PendingWork;
use super::store_writer::StoreWriter;
use ottersail::time::Ms;
use ottersail_consensus::{
    Change, CouncilConfig, Councillor, Follower, Guard, Key, MemberId, Message, StoredState, Token,
};
use ottersail_register::Store;
use std::collections::BTreeSet;

/// Runs as a councillor or as a follower, with one interface for both.
pub(super) struct Seat {
    kind: Kind,
    /// The participation that was reported last.
    reported: Option<bool>,
}

enum Kind {
    Councillor(Box<Councillor>),
    Follower(Box<Follower>),
}

impl Seat {
    pub fn born(
        now: Ms,
        config: &CouncilConfig,
        opened: Option<(Store, StoredState)>,
    ) -> (Seat, Option<StoreWriter>) {
        let follower = || Kind::Follower(Box::new(Follower::new(now, config.clone())));
        let (kind, store_writer) = match opened {
            None => (follower(), None),
            Some((store, stored)) => match StoreWriter::start(store) {
                Ok(store_writer) => {
                    let councillor = Councillor::new(now, config.clone(), stored);
                    (Kind::Councillor(Box::new(councillor)), Some(store_writer))
                }
                Err(trouble) => {
                    tracing::error!(target: "council", %trouble, "this councillor abstains, viewings go on");
                    (follower(), None)
                }
            },
        };
        (Seat { kind, reported: None }, store_writer)
    }

    /// Becomes a follower: nothing more is promised, accepted or renewed until the process restarts.
    pub fn abstain(&mut self, now: Ms, config: &CouncilConfig) {
        self.kind = Kind::Follower(Box::new(Follower::new(now, config.clone())));
        self.reported = None;
    }

    pub fn follower(&self) -> &Follower {
        match &self.kind {
            Kind::Councillor(councillor) => councillor.follower(),
            Kind::Follower(follower) => follower,
        }
    }

    /// The councillor, if it participates.
    pub fn participating_councillor(&self) -> Option<&Councillor> {
        match &self.kind {
            Kind::Councillor(councillor) if councillor.participates() => Some(councillor),
            _ => None,
        }
    }

    /// Whether the councillor participates, if that has changed since the last call.
    pub fn participation_change(&mut self) -> Option<bool> {
        let Kind::Councillor(councillor) = &self.kind else { return None };
        let participates = councillor.participates();
        (self.reported.replace(participates) != Some(participates)).then_some(participates)
    }

    pub fn is_councillor(&self) -> bool {
        matches!(self.kind, Kind::Councillor(_))
    }

    pub fn next_timer(&self) -> Ms {
        match &self.kind {
            Kind::Councillor(councillor) => councillor.next_timer(),
            Kind::Follower(follower) => follower.next_timer(),
        }
    }

    pub fn on_timer(&mut self, now: Ms, guard: &dyn Guard, out: &mut PendingWork) {
        match &mut self.kind {
            Kind::Councillor(councillor) => councillor.on_timer(now, guard, out),
            Kind::Follower(follower) => follower.on_timer(now, out),
        }
    }

    pub fn on_message(
        &mut self,
        now: Ms,
        from: MemberId,
        message: &Message,
        guard: &dyn Guard,
        out: &mut PendingWork,
    ) {
        match &mut self.kind {
            Kind::Councillor(seat) => seat.on_message(now, from, message, guard, out),
            Kind::Follower(seat) => seat.on_message(now, from, message, out),
        }
    }

    pub fn on_persisted(&mut self, now: Ms, token: Token, guard: &dyn Guard, out: &mut PendingWork) {
        if let Kind::Councillor(councillor) = &mut self.kind {
            councillor.on_persisted(now, token, guard, out);
        }
    }

    pub fn submit(
        &mut self,
        now: Ms,
        number: u64,
        (key, change): (Key, Change),
        guard: &dyn Guard,
        out: &mut PendingWork,
    ) {
        match &mut self.kind {
            Kind::Councillor(councillor) => councillor.submit(now, number, key, change, guard, out),
            Kind::Follower(follower) => follower.submit(now, number, key, change, out),
        }
    }

    pub fn set_living(&mut self, living: &BTreeSet<MemberId>) {
        match &mut self.kind {
            Kind::Councillor(councillor) => councillor.set_living(living),
            Kind::Follower(follower) => follower.set_living(living),
        }
    }

    pub fn on_digest(&mut self, now: Ms, from: MemberId, digest: &[u8], out: &mut PendingWork) {
        match &mut self.kind {
            Kind::Councillor(councillor) => councillor.on_digest(now, from, digest, out),
            Kind::Follower(follower) => follower.on_digest(now, from, digest, out),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ottersail_consensus::{AllowAll, Ballot, InstanceId, StoreGeneration};

    /// Otherwise a councillor could continue to make promises that are on no disk.
    #[test]
    fn an_abstaining_councillor_makes_no_promises() {
        let folder = tempfile::tempdir().unwrap();
        let (store, stored) = Store::open(&folder.path().join("council"), StoreGeneration(5)).unwrap();
        let [me, other, third] = [1, 2, 3].map(MemberId);
        let config = CouncilConfig::new(me, InstanceId(4), &[me, other, third], 1);
        let opened = Some((store, StoredState { participating: true, ..stored }));
        let (mut seat, store_writer) = Seat::born(Ms(0.0), &config, opened);
        assert!(store_writer.is_some() && seat.is_councillor());
        assert_eq!(
            (seat.participation_change(), seat.participation_change()),
            (Some(true), None),
            "reported once"
        );
        let ballot = Ballot { number: 1, proposer: other, life: InstanceId(9) };
        let prepare = Message::Prepare { key: Key::Founding, ballot };
        let kept = |seat: &mut Seat| {
            let mut work = PendingWork::default();
            seat.on_message(Ms(1.0), other, &prepare, &AllowAll, &mut work);
            (work.writes.len(), work.messages.len())
        };
        assert_eq!(kept(&mut seat), (1, 0), "a promise waits for the disk");
        seat.abstain(Ms(2.0), &config);
        assert_eq!(kept(&mut seat), (0, 0));
        assert!(
            seat.participating_councillor().is_none()
                && !seat.is_councillor()
                && seat.participation_change().is_none()
        );
    }
}
