//! What a councillor has promised and accepted. A reply is sent only once the records behind it are on disk;
//! otherwise a value reported as chosen could be gone after a power cut.

use std::collections::BTreeMap;

use ottersail::time::Ms;
use ottersail_membership::MemberId;

use crate::effects::{Effects, Guard, Token};
#[cfg(any(test, feature = "sabotage"))]
use crate::guards::Guards;
use crate::message::{GenerationView, Message};
use crate::types::{Ballot, Key, Record, Register, StoreGeneration, StoredState, Value};

/// Maximum number of replies that wait for the disk. Beyond it messages are dropped, as on an overloaded network.
const MAX_WAITING_REPLIES: usize = 256;
/// Maximum size in bytes of the registers in one page of a recovery.
const MAX_PAGE_BYTES: usize = 560;

/// The acceptor role of a councillor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    own_id: MemberId,
    /// The state once all requested writes are on disk.
    stored: StoredState,
    /// The number of the last token.
    tokens: u64,
    /// Replies that wait for their records to be persisted.
    waiting: BTreeMap<Token, Vec<(MemberId, Message)>>,
    #[cfg(any(test, feature = "sabotage"))]
    pub(crate) guards: Guards,
}

impl Acceptor {
    /// An acceptor with the state that its store holds.
    pub fn new(own_id: MemberId, stored: StoredState) -> Acceptor {
        Acceptor {
            own_id,
            stored,
            tokens: 0,
            waiting: BTreeMap::new(),
            #[cfg(any(test, feature = "sabotage"))]
            guards: Guards::ALL,
        }
    }

    /// The state once all requested writes are on disk.
    pub fn stored(&self) -> &StoredState {
        &self.stored
    }

    /// Whether it participates: its store has been present since the founding or has been recovered since.
    pub fn participates(&self) -> bool {
        #[cfg(any(test, feature = "sabotage"))]
        if !self.guards.abstain_until_recovered {
            return true;
        }
        self.stored.participating
    }

    /// Its own store generation and those that it knows of the others.
    pub fn view(&self) -> GenerationView {
        GenerationView { generation: self.stored.generation, known: self.stored.known.clone() }
    }

    /// The records of `token` are on disk: sends the replies that waited for them.
    pub fn on_persisted(&mut self, token: Token, effects: &mut dyn Effects) {
        for (to, message) in self.waiting.remove(&token).unwrap_or_default() {
            effects.send(to, &message);
        }
    }

    /// Handles a message of the acceptor's protocol.
    pub fn on_message(
        &mut self,
        now: Ms,
        from: MemberId,
        message: &Message,
        guard: &dyn Guard,
        effects: &mut dyn Effects,
    ) {
        if !self.participates() || self.waiting.len() >= MAX_WAITING_REPLIES {
            return;
        }
        match message {
            Message::Prepare { key, ballot } => self.prepare(from, *key, *ballot, effects),
            Message::Accept { key, ballot, value } => {
                self.accept(now, from, (*key, *ballot, value), guard, effects);
            }
            Message::Recover { generation, after, .. } => self.recover(from, *generation, *after, effects),
            _ => {}
        }
    }

    fn prepare(&mut self, from: MemberId, key: Key, ballot: Ballot, effects: &mut dyn Effects) {
        let register = self.stored.registers.get(&key).cloned().unwrap_or_default();
        if ballot < register.promised && self.keeps_promises() {
            return effects.send(from, &Message::Refused { key, ballot, promised: register.promised });
        }
        let accepted = register.accepted.clone();
        let register = Register { promised: ballot, ..register };
        let reply = Message::Promise { key, ballot, accepted, view: self.view() };
        self.persist(vec![Record::Register(key, register)], Some((from, reply)), effects);
    }

    fn accept(
        &mut self,
        now: Ms,
        from: MemberId,
        (key, ballot, value): (Key, Ballot, &Value),
        guard: &dyn Guard,
        effects: &mut dyn Effects,
    ) {
        let register = self.stored.registers.get(&key).cloned().unwrap_or_default();
        if ballot < register.promised && self.keeps_promises() {
            return effects.send(from, &Message::Refused { key, ballot, promised: register.promised });
        }
        if !guard.allows(now, key, &self.stored, value) {
            return effects.send(from, &Message::Refused { key, ballot, promised: ballot });
        }
        let register = Register { promised: ballot, accepted: Some((ballot, value.clone())) };
        let reply = Message::Accepted { key, ballot, view: self.view() };
        self.persist(vec![Record::Register(key, register)], Some((from, reply)), effects);
    }

    /// Another councillor has lost its store: what it promised from the lost store no longer counts here.
    fn recover(
        &mut self,
        from: MemberId,
        generation: StoreGeneration,
        after: Option<Key>,
        effects: &mut dyn Effects,
    ) {
        if let Some(&known) = self.stored.known.get(&from).filter(|known| **known > generation) {
            return effects.send(from, &Message::Outdated { known });
        }
        if let Some(founders) =
            self.stored.founders.clone().filter(|founders| founders.get(&from) == Some(&generation))
        {
            return effects.send(from, &Message::Founded { founders });
        }
        let (page, more) = self.page(after);
        let mut view = self.view();
        view.known.insert(from, generation);
        let reply = Message::Recovered { generation, after, page, more, view };
        self.persist(vec![Record::PeerGeneration(from, generation)], Some((from, reply)), effects);
    }

    /// The registers after `after` that fit in one page, and whether more follow.
    fn page(&self, after: Option<Key>) -> (Vec<(Key, Register)>, bool) {
        let mut bytes = 0;
        let mut page = Vec::new();
        for (key, register) in self.stored.registers.iter().filter(|(key, _)| Some(**key) > after) {
            bytes += 80 + register.accepted.as_ref().map_or(0, |(_, value)| value.body.len());
            if !page.is_empty() && bytes > MAX_PAGE_BYTES {
                return (page, true);
            }
            page.push((*key, register.clone()));
        }
        (page, false)
    }

    /// Applies the records and requests that they are persisted. The reply is sent once they are.
    pub fn persist(
        &mut self,
        records: Vec<Record>,
        reply: Option<(MemberId, Message)>,
        effects: &mut dyn Effects,
    ) -> Token {
        for record in &records {
            self.stored.apply(record);
        }
        self.tokens += 1;
        let token = Token(self.tokens);
        #[cfg(any(test, feature = "sabotage"))]
        if !self.guards.persist_before_reply {
            if let Some((to, message)) = &reply {
                effects.send(*to, message);
            }
            effects.persist(token, &records);
            return token;
        }
        self.waiting.insert(token, reply.into_iter().collect());
        effects.persist(token, &records);
        token
    }

    fn keeps_promises(&self) -> bool {
        #[cfg(any(test, feature = "sabotage"))]
        return self.guards.keep_promises;
        #[cfg(not(any(test, feature = "sabotage")))]
        true
    }

    /// Raises the own store generation when others know a later one, from a recovery that was interrupted. The
    /// state here is complete, so it remains valid under a greater generation; replies sent under the lesser one
    /// are merely not counted.
    pub fn raise_generation(&mut self, known: StoreGeneration, effects: &mut dyn Effects) {
        let mine = self.stored.generation;
        if known > mine {
            self.persist(vec![Record::OwnGeneration(mine.above(known))], None, effects);
        }
    }

    /// Whether all requested writes are on disk.
    pub fn all_persisted(&self) -> bool {
        self.waiting.is_empty()
    }

    /// This councillor's member id.
    pub fn own_id(&self) -> MemberId {
        self.own_id
    }
}
