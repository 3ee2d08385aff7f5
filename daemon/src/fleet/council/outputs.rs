//! Collects the outputs of the state machines while one of them runs.

use super::messages::CouncilMessage;
use super::releases::{ORDER, PERMITS};
use super::store_writer::WriteRequest;
use ottersail_consensus::{Key, Message, Outcome, Record, Token, Value};
use ottersail_leases::{BucketId, LeaseEvent, Release, Renew, SlotShare};
use ottersail_membership::MemberId;
use ottersail_rollout::{Event, MemberStatus, Order, PermitTable};

/// An input for one of the state machines.
#[derive(Clone, Debug)]
pub(super) enum Input {
    Timer,
    Received(MemberId, CouncilMessage),
    /// Records are on disk.
    Persisted(Token),
    Chosen(Key, Value),
    Answered(u64, Outcome),
    Read(BucketId),
    Propose(BucketId, u64, Vec<u8>),
    /// Proposes a value for a register of releases.
    ProposeRelease(Key, u64, Vec<u8>),
}

/// Outputs that are still to be processed.
#[derive(Debug, Default)]
pub(super) struct PendingWork {
    pub messages: Vec<(MemberId, CouncilMessage)>,
    pub writes: Vec<WriteRequest>,
    pub inputs: Vec<Input>,
    pub lease_events: Vec<LeaseEvent>,
    /// Statuses of this member, to be sent to every councillor.
    pub statuses: Vec<MemberStatus>,
    pub release_events: Vec<Event>,
    pub shrunk: bool,
}

impl PendingWork {
    pub fn of(input: Input) -> PendingWork {
        PendingWork { inputs: vec![input], ..PendingWork::default() }
    }
}

impl ottersail_consensus::Effects for PendingWork {
    fn send(&mut self, to: MemberId, message: &Message) {
        self.messages.push((to, CouncilMessage::Council(message.clone())));
    }

    fn persist(&mut self, token: Token, records: &[Record]) {
        self.writes.push(WriteRequest::new(token, records));
    }

    fn chosen(&mut self, key: Key, value: &Value) {
        self.inputs.push(Input::Chosen(key, value.clone()));
    }

    fn answered(&mut self, number: u64, outcome: &Outcome) {
        self.inputs.push(Input::Answered(number, outcome.clone()));
    }
}

impl ottersail_leases::Effects for PendingWork {
    fn renew(&mut self, to: MemberId, message: &Renew) {
        self.messages.push((to, CouncilMessage::Renew(message.clone())));
    }

    fn release(&mut self, to: MemberId, message: &Release) {
        self.messages.push((to, CouncilMessage::Release(message.clone())));
    }

    fn read(&mut self, bucket: BucketId) {
        self.inputs.push(Input::Read(bucket));
    }

    fn propose(&mut self, bucket: BucketId, if_revision: u64, body: Vec<u8>) {
        self.inputs.push(Input::Propose(bucket, if_revision, body));
    }

    /// The part itself is read from the holder when it is passed on.
    fn shrink(&mut self, _: Option<SlotShare>) {
        self.shrunk = true;
    }

    fn note(&mut self, event: LeaseEvent) {
        self.lease_events.push(event);
    }
}

impl ottersail_rollout::Effects for PendingWork {
    fn propose(&mut self, if_revision: u64, permits: &PermitTable) {
        self.inputs.push(Input::ProposeRelease(PERMITS, if_revision, permits.encode()));
    }

    fn halt(&mut self, if_revision: u64, order: &Order) {
        self.inputs.push(Input::ProposeRelease(ORDER, if_revision, order.encode()));
    }

    fn send_status(&mut self, status: &MemberStatus) {
        self.statuses.push(status.clone());
    }

    fn report(&mut self, event: Event) {
        self.release_events.push(event);
    }
}
