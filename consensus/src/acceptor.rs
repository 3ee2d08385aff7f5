//! What a councillor has promised and accepted. Nothing is said that is not on disk first: symptom without that,
//! a value told as chosen and gone after a power cut.

use std::collections::BTreeMap;

use ottersail::time::Ms;
use ottersail_membership::MemberId;

#[cfg(any(test, feature = "sabotage"))]
use crate::effects::Guards;
use crate::effects::{Effects, Guard, Token};
use crate::message::{GenerationView, Message};
use crate::types::{Ballot, Key, Record, Register, StoreGeneration, StoredState, Value};

/// Replies that wait for the disk at most; past that a message counts as lost, as on a full network.
const WAIT_MOST: usize = 256;
/// Bytes of registers in one page of a recovery at most.
const PAGE_MOST: usize = 560;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    me: MemberId,
    /// As it is once all wishes are kept.
    stored: StoredState,
    tokens: u64,
    waiting: BTreeMap<Token, Vec<(MemberId, Message)>>,
    #[cfg(any(test, feature = "sabotage"))]
    pub(crate) guards: Guards,
}

impl Acceptor {
    pub fn new(me: MemberId, stored: StoredState) -> Acceptor {
        Acceptor {
            me,
            stored,
            tokens: 0,
            waiting: BTreeMap::new(),
            #[cfg(any(test, feature = "sabotage"))]
            guards: Guards::ALL,
        }
    }

    pub fn stored(&self) -> &StoredState {
        &self.stored
    }

    /// Whether it takes part: its memory reaches back to the founding or has been recovered since.
    pub fn participates(&self) -> bool {
        #[cfg(any(test, feature = "sabotage"))]
        if !self.guards.abstain_until_recovered {
            return true;
        }
        self.stored.participating
    }

    pub fn view(&self) -> GenerationView {
        GenerationView { generation: self.stored.generation, known: self.stored.known.clone() }
    }

    /// The disk has that; the replies that waited for it go out.
    pub fn on_persisted(&mut self, token: Token, out: &mut dyn Effects) {
        for (to, message) in self.waiting.remove(&token).unwrap_or_default() {
            out.send(to, &message);
        }
    }

    pub fn on_message(
        &mut self,
        now: Ms,
        from: MemberId,
        message: &Message,
        guard: &dyn Guard,
        out: &mut dyn Effects,
    ) {
        if !self.participates() || self.waiting.len() >= WAIT_MOST {
            return;
        }
        match message {
            Message::Prepare { key, ballot } => self.prepare(from, *key, *ballot, out),
            Message::Accept { key, ballot, value } => {
                self.accept(now, from, (*key, *ballot, value), guard, out);
            }
            Message::Recover { generation, after, .. } => self.recover(from, *generation, *after, out),
            _ => {}
        }
    }

    fn prepare(&mut self, from: MemberId, key: Key, ballot: Ballot, out: &mut dyn Effects) {
        let register = self.stored.registers.get(&key).cloned().unwrap_or_default();
        if ballot < register.promised && self.holds_to_promises() {
            return out.send(from, &Message::Refused { key, ballot, promised: register.promised });
        }
        let accepted = register.accepted.clone();
        let register = Register { promised: ballot, ..register };
        let reply = Message::Promise { key, ballot, accepted, view: self.view() };
        self.persist(vec![Record::Register(key, register)], Some((from, reply)), out);
    }

    fn accept(
        &mut self,
        now: Ms,
        from: MemberId,
        (key, ballot, value): (Key, Ballot, &Value),
        guard: &dyn Guard,
        out: &mut dyn Effects,
    ) {
        let register = self.stored.registers.get(&key).cloned().unwrap_or_default();
        if ballot < register.promised && self.holds_to_promises() {
            return out.send(from, &Message::Refused { key, ballot, promised: register.promised });
        }
        if !guard.allows(now, key, &self.stored, value) {
            return out.send(from, &Message::Refused { key, ballot, promised: ballot });
        }
        let register = Register { promised: ballot, accepted: Some((ballot, value.clone())) };
        let reply = Message::Accepted { key, ballot, view: self.view() };
        self.persist(vec![Record::Register(key, register)], Some((from, reply)), out);
    }

    /// Another has lost its memory: what it promised from the lost one counts no more, here from now on.
    fn recover(
        &mut self,
        from: MemberId,
        generation: StoreGeneration,
        after: Option<Key>,
        out: &mut dyn Effects,
    ) {
        if let Some(&known) = self.stored.known.get(&from).filter(|known| **known > generation) {
            return out.send(from, &Message::Outdated { known });
        }
        if let Some(founders) =
            self.stored.founders.clone().filter(|founders| founders.get(&from) == Some(&generation))
        {
            return out.send(from, &Message::Founded { founders });
        }
        let (page, more) = self.page(after);
        let mut view = self.view();
        view.known.insert(from, generation);
        let reply = Message::Recovered { generation, after, page, more, view };
        self.persist(vec![Record::PeerGeneration(from, generation)], Some((from, reply)), out);
    }

    fn page(&self, after: Option<Key>) -> (Vec<(Key, Register)>, bool) {
        let mut bytes = 0;
        let mut page = Vec::new();
        for (key, register) in self.stored.registers.iter().filter(|(key, _)| Some(**key) > after) {
            bytes += 80 + register.accepted.as_ref().map_or(0, |(_, value)| value.body.len());
            if !page.is_empty() && bytes > PAGE_MOST {
                return (page, true);
            }
            page.push((*key, register.clone()));
        }
        (page, false)
    }

    /// Takes these in and wishes them kept; the reply goes out once they are.
    pub fn persist(
        &mut self,
        records: Vec<Record>,
        reply: Option<(MemberId, Message)>,
        out: &mut dyn Effects,
    ) -> Token {
        for record in &records {
            self.stored.apply(record);
        }
        self.tokens += 1;
        let token = Token(self.tokens);
        #[cfg(any(test, feature = "sabotage"))]
        if !self.guards.persist_before_reply {
            if let Some((to, message)) = &reply {
                out.send(*to, message);
            }
            out.persist(token, &records);
            return token;
        }
        self.waiting.insert(token, reply.into_iter().collect());
        out.persist(token, &records);
        token
    }

    fn holds_to_promises(&self) -> bool {
        #[cfg(any(test, feature = "sabotage"))]
        return self.guards.keep_promises;
        #[cfg(not(any(test, feature = "sabotage")))]
        true
    }

    /// Others know a later number, of a recovery that was cut off. What is held here is whole, so it may stand
    /// under a greater one; what was said under the lesser is merely not counted.
    pub fn outdated(&mut self, known: StoreGeneration, out: &mut dyn Effects) {
        let mine = self.stored.generation;
        if known > mine {
            self.persist(vec![Record::OwnGeneration(mine.above(known))], None, out);
        }
    }

    /// Whether all that was wished kept is kept.
    pub fn idle(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn me(&self) -> MemberId {
        self.me
    }
}
