//! Members: a task on the owner's executor with one socket for datagrams, the machine of `ottersail-membership`
//! and its gate. It carries bytes, time and wishes between them; nothing is decided here.

mod book;
mod council;
mod door;
mod figures;
mod hands;
mod lines;
mod second;

use crate::error::RunError;
use crate::owner::PlacementOwner;
use crate::run::load_member_keys;
use crate::settings::manager::ManagerSettings;
use async_channel::{Receiver, Sender};
use book::Book;
use council::{Council, Counsel};
pub use door::MEMBER_HEADER;
use door::{Door, Doors, Knocks};
use hands::Hands;
use ottersail_membership::auth::{DatagramAuth, Opened};
use ottersail_membership::{
    Address, InstanceId, LocalMember, MemberId, Members, MembershipConfig, Message, Sender as From,
};
use ottersail_net::{Datagrams, Executor, Timer};
use ottersail_signed_urls::Keys;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tracing::info;

/// Datagrams taken in a row, and the rest after it. Guards viewers, whose requests wait on the same thread:
/// a flood takes a few hundredths of it, and the system drops what comes past that.
const AT_ONCE: usize = 32;
const REST: Duration = Duration::from_millis(1);
/// One byte more than a datagram may have, so that a longer one is seen as such.
const ROOM: usize = ottersail_membership::auth::MAX_DATAGRAM_BYTES + 1;

pub struct Fleet {
    me: Weak<Fleet>,
    exec: Executor,
    began: Instant,
    name: String,
    socket: Datagrams,
    members: RefCell<Members>,
    gate: RefCell<DatagramAuth>,
    book: RefCell<Book>,
    /// Its own HTTP address and those that others have told.
    door: Option<Door>,
    doors: RefCell<Doors>,
    knocks: Knocks,
    period: Duration,
    armed: Cell<f64>,
    rearm: (Sender<()>, Receiver<()>),
    tally: figures::Tally,
    counsel: Counsel,
}

/// Chance of the system's, that nobody can guess from outside.
fn unguessed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// The machine's terms from the settings; `None` if they have no `[members]`.
///
/// # Errors
/// What the machine would not take.
pub fn member_terms(
    manager: &ManagerSettings,
    life: InstanceId,
) -> Result<Option<MembershipConfig>, RunError> {
    let Some(told) = &manager.members else {
        return Ok(None);
    };
    let (name, site) = (told.name.clone(), manager.terms.zone.to_string());
    let id = MemberId::of(&told.cluster, &name);
    let mut terms = MembershipConfig::new(
        LocalMember { name, id, instance: life, address: told.advertise, site },
        told.seeds.clone(),
    );
    terms.probe_period = told.period;
    terms.check()?;
    Ok(Some(terms))
}

impl Fleet {
    /// Starts the tasks; `None` without `[members]`: then nothing is opened at all.
    ///
    /// # Errors
    /// If the address can't be had, or the keys.
    pub fn start(
        exec: Executor,
        seed: u64,
        manager: &ManagerSettings,
        owner: &Rc<PlacementOwner>,
    ) -> Result<Option<Rc<Fleet>>, RunError> {
        let life = InstanceId(unguessed());
        let (Some(told), Some(terms)) = (&manager.members, member_terms(manager, life)?) else {
            return Ok(None);
        };
        let address = SocketAddr::V4(told.listen);
        let socket = Datagrams::bind(address).map_err(|cause| RunError::Datagrams { address, cause })?;
        let gate =
            DatagramAuth::new(terms.local.id, life, &told.cluster, load_member_keys(told)?, unguessed());
        let (id, name) = (terms.local.id, told.name.clone());
        let mut members = Members::new(ottersail::time::Ms(0.0), seed, terms);
        let door = Door::of(&manager.listen, told.advertise);
        if let Some(door) = door {
            members.set_piggyback(door::TOPIC, &door.bytes());
        }
        let council = Council::born(ottersail::time::Ms(0.0), seed, life, manager);
        let fleet = Rc::new_cyclic(|me| Fleet {
            me: me.clone(),
            exec,
            began: Instant::now(),
            name: name.clone(),
            socket,
            members: RefCell::new(members),
            gate: RefCell::new(gate),
            book: RefCell::default(),
            door,
            doors: RefCell::default(),
            knocks: Knocks::default(),
            period: Duration::from_secs_f64(told.period.0 / 1e3),
            armed: Cell::new(f64::INFINITY),
            rearm: async_channel::bounded(1),
            tally: figures::Tally::default(),
            counsel: Counsel::new(council, owner),
        });
        info!(target: "members", name, %id, %life, listen = %told.listen, cluster = told.cluster, "member");
        exec.spawn(fleet.clone().listen()).detach();
        exec.spawn(fleet.clone().ring()).detach();
        fleet.counsel();
        Ok(Some(fleet))
    }

    /// Milliseconds of this process's own monotonic clock.
    fn now(&self) -> ottersail::time::Ms {
        ottersail::time::Ms(self.began.elapsed().as_secs_f64() * 1e3)
    }

    /// One input of the machine, and what it wishes.
    fn told(&self, partner: Option<(Address, MemberId)>, input: impl FnOnce(&mut Members, &mut Hands)) {
        let (dials, met, heard) = (Vec::new(), Vec::new(), Vec::new());
        let mut hands = Hands { fleet: self, partner, dials, met, heard, changed: false };
        let mut members = self.members.borrow_mut();
        input(&mut members, &mut hands);
        if hands.changed {
            self.book.borrow_mut().read(members.others());
            self.doors.borrow_mut().keep(members.others());
        }
        // Riders come with probes, one a period: by then a new member might be heard by nobody.
        for id in std::mem::take(&mut hands.met) {
            let now = self.now();
            self.door.map(|it| members.send_message(now, id, door::TOPIC, &it.bytes(), &mut hands));
        }
        let Hands { dials, heard, .. } = hands;
        let due = members.next_deadline().0;
        drop(members);
        dials.into_iter().for_each(|(to, tag)| self.dial(to, tag));
        if due < self.armed.get() {
            _ = self.rearm.0.try_send(());
        }
        self.above(heard);
    }

    async fn listen(self: Rc<Fleet>) {
        let mut bytes = [0; ROOM];
        let mut in_a_row = 0;
        loop {
            let heard = self.socket.receive(&mut bytes).await;
            match heard {
                Ok((count, SocketAddr::V4(from))) => self.heard(from, &bytes[..count]),
                // What the system tells of earlier sends, such as a port that nobody holds.
                Ok(_) | Err(_) => self.tally.odd.set(self.tally.odd.get() + 1),
            }
            in_a_row += 1;
            if in_a_row >= AT_ONCE {
                in_a_row = 0;
                Timer::after(REST).await;
            }
        }
    }

    fn heard(&self, from: Address, bytes: &[u8]) {
        self.tally.taken(bytes.len());
        let now = self.now();
        let opened = self.gate.borrow_mut().open::<Message>(now, bytes);
        match opened {
            Opened::Message { from: id, instance, message } => {
                let sender = From { id, instance, address: from };
                self.told(Some((from, id)), |it, out| it.handle_message(now, sender, message, out));
            }
            Opened::Challenge(reply) | Opened::Resend(reply) => self.send(&reply, from),
            Opened::Dropped(_) => {}
        }
    }

    fn send(&self, bytes: &[u8], to: Address) {
        self.tally.sent(bytes.len());
        self.socket.send(bytes, to.into());
    }

    /// Rings when the machine wants to be rung.
    async fn ring(self: Rc<Fleet>) {
        loop {
            let due = self.members.borrow().next_deadline();
            self.armed.set(due.0);
            let at = self.began + Duration::from_secs_f64(due.0.clamp(0.0, 1e12) / 1e3);
            futures_lite::future::or(Timer::at(at), async {
                _ = self.rearm.1.recv().await;
            })
            .await;
            let now = self.now();
            if self.members.borrow().next_deadline() <= now {
                self.told(None, |it, out| it.handle_deadline(now, out));
            }
            // Other tasks have their turn between two rings, however many are due.
            futures_lite::future::yield_now().await;
        }
    }

    /// Other keys from now on; whoever is believed stays so.
    pub fn rekey(&self, keys: &Keys) {
        self.gate.borrow_mut().set_keys(keys);
    }

    /// Gives back what was leased, for so long at most, and tells the others that this one goes.
    pub async fn leave(&self, at_most: Duration) {
        self.give_back(at_most).await;
        let now = self.now();
        self.told(None, |it, out| it.leave(now, out));
        info!(target: "members", name = self.name, "left");
    }
}
