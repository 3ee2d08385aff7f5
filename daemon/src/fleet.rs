//! Membership: a task on the owner's executor with one datagram socket, the state machine of `ottersail-membership`
//! and the authentication of its datagrams. It passes bytes, deadlines and effects between them; it makes no
//! decisions itself.

mod address_book;
mod config;
mod council;
mod effects;
mod http_address;
mod http_probe;
mod log;
mod metrics;

use crate::error::RunError;
use crate::owner::PlacementOwner;
use crate::run::load_member_keys;
use crate::settings::manager::ManagerSettings;
use address_book::AddressBook;
use async_channel::{Receiver, Sender};
pub use config::member_terms;
use council::{Council, CouncilTasks};
use effects::MemberEffects;
pub use http_address::MEMBER_HEADER;
use http_address::{HttpAddress, HttpAddresses, ProbeLimit};
use ottersail_membership::auth::{DatagramAuth, Opened};
use ottersail_membership::{Address, InstanceId, MemberId, Members, Message, Sender as From};
use ottersail_net::{Datagrams, Executor, Timer};
use ottersail_signed_urls::Keys;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tracing::info;

/// Datagrams handled in a row before a pause. Viewers' requests wait on the same thread; with the pause a flood of
/// datagrams takes a few hundredths of it, and the operating system drops the excess.
const DATAGRAMS_IN_A_ROW: usize = 32;
/// The pause after [`DATAGRAMS_IN_A_ROW`] datagrams.
const PAUSE: Duration = Duration::from_millis(1);
/// Size of the receive buffer: one byte more than a datagram may have, so that a longer one is noticed.
const BUFFER_BYTES: usize = ottersail_membership::auth::MAX_DATAGRAM_BYTES + 1;

/// This manager's membership and its part in the council.
pub struct Fleet {
    weak_self: Weak<Fleet>,
    exec: Executor,
    began: Instant,
    name: String,
    socket: Datagrams,
    members: RefCell<Members>,
    auth: RefCell<DatagramAuth>,
    addresses: RefCell<AddressBook>,
    /// This member's own HTTP address.
    http_address: Option<HttpAddress>,
    http_addresses: RefCell<HttpAddresses>,
    probe_limit: ProbeLimit,
    period: Duration,
    /// When the membership's timer task wakes next, in milliseconds as [`Fleet::now`] counts them.
    timer_at: Cell<f64>,
    timer_changed: (Sender<()>, Receiver<()>),
    counters: metrics::TrafficCounters,
    council_tasks: CouncilTasks,
}

/// A random number from the operating system that cannot be predicted from outside.
fn unpredictable() -> u64 {
    RandomState::new().build_hasher().finish()
}

impl Fleet {
    /// Starts the tasks; `None` without `[members]`, and then no socket is opened.
    ///
    /// # Errors
    /// If the address cannot be bound or the keys cannot be loaded.
    pub fn start(
        exec: Executor,
        seed: u64,
        manager: &ManagerSettings,
        owner: &Rc<PlacementOwner>,
    ) -> Result<Option<Rc<Fleet>>, RunError> {
        let instance = InstanceId(unpredictable());
        let (Some(settings), Some(config)) = (&manager.members, member_terms(manager, instance)?) else {
            return Ok(None);
        };
        let address = SocketAddr::V4(settings.listen);
        let socket = Datagrams::bind(address).map_err(|cause| RunError::Datagrams { address, cause })?;
        let auth = DatagramAuth::new(
            config.local.id,
            instance,
            &settings.cluster,
            load_member_keys(settings)?,
            unpredictable(),
        );
        let (id, name) = (config.local.id, settings.name.clone());
        let mut members = Members::new(ottersail::time::Ms(0.0), seed, config);
        let http_address = HttpAddress::of(&manager.listen, settings.advertise);
        if let Some(address) = http_address {
            members.set_piggyback(http_address::TOPIC, &address.encode());
        }
        let council = Council::born(ottersail::time::Ms(0.0), seed, instance, manager);
        let fleet = Rc::new_cyclic(|weak_self| Fleet {
            weak_self: weak_self.clone(),
            exec,
            began: Instant::now(),
            name: name.clone(),
            socket,
            members: RefCell::new(members),
            auth: RefCell::new(auth),
            addresses: RefCell::default(),
            http_address,
            http_addresses: RefCell::default(),
            probe_limit: ProbeLimit::default(),
            period: Duration::from_secs_f64(settings.period.0 / 1e3),
            timer_at: Cell::new(f64::INFINITY),
            timer_changed: async_channel::bounded(1),
            counters: metrics::TrafficCounters::default(),
            council_tasks: CouncilTasks::new(council, owner),
        });
        info!(target: "members", name, %id, life = %instance, listen = %settings.listen, cluster = settings.cluster, "member");
        exec.spawn(fleet.clone().listen()).detach();
        exec.spawn(fleet.clone().run_timer()).detach();
        fleet.start_council();
        Ok(Some(fleet))
    }

    /// Milliseconds since the fleet started, by the process's monotonic clock.
    fn now(&self) -> ottersail::time::Ms {
        ottersail::time::Ms(self.began.elapsed().as_secs_f64() * 1e3)
    }

    /// Passes one input to the membership and carries out its effects. `partner` is the sender that is being answered.
    fn with_members(
        &self,
        partner: Option<(Address, MemberId)>,
        input: impl FnOnce(&mut Members, &mut MemberEffects),
    ) {
        let (dials, newly_alive, messages) = (Vec::new(), Vec::new(), Vec::new());
        let mut effects =
            MemberEffects { fleet: self, partner, dials, newly_alive, messages, changed: false };
        let mut members = self.members.borrow_mut();
        input(&mut members, &mut effects);
        if effects.changed {
            self.addresses.borrow_mut().read(members.others());
            self.http_addresses.borrow_mut().prune(members.others());
        }
        // Piggybacked data comes with probes, one a period; until then a new member might be unreachable for all.
        for id in std::mem::take(&mut effects.newly_alive) {
            let now = self.now();
            self.http_address.map(|address| {
                members.send_message(now, id, http_address::TOPIC, &address.encode(), &mut effects)
            });
        }
        let MemberEffects { dials, messages, .. } = effects;
        let due = members.next_deadline().0;
        drop(members);
        dials.into_iter().for_each(|(to, tag)| self.dial(to, tag));
        if due < self.timer_at.get() {
            _ = self.timer_changed.0.try_send(());
        }
        self.on_upper_layer(messages);
    }

    /// Receives datagrams for as long as the process runs.
    async fn listen(self: Rc<Fleet>) {
        let mut bytes = [0; BUFFER_BYTES];
        let mut in_a_row = 0;
        loop {
            let received = self.socket.receive(&mut bytes).await;
            match received {
                Ok((count, SocketAddr::V4(from))) => self.on_datagram(from, &bytes[..count]),
                // An error that the system reports for an earlier send, such as an unused port.
                Ok(_) | Err(_) => self.counters.receive_errors.set(self.counters.receive_errors.get() + 1),
            }
            in_a_row += 1;
            if in_a_row >= DATAGRAMS_IN_A_ROW {
                in_a_row = 0;
                Timer::after(PAUSE).await;
            }
        }
    }

    /// Authenticates a received datagram and passes its message to the membership, or sends the reply it needs.
    fn on_datagram(&self, from: Address, bytes: &[u8]) {
        self.counters.received(bytes.len());
        let now = self.now();
        let opened = self.auth.borrow_mut().open::<Message>(now, bytes);
        match opened {
            Opened::Message { from: id, instance, message } => {
                let sender = From { id, instance, address: from };
                self.with_members(Some((from, id)), |members, out| {
                    members.handle_message(now, sender, message, out)
                });
            }
            Opened::Challenge(reply) | Opened::Resend(reply) => self.send(&reply, from),
            Opened::Dropped(_) => {}
        }
    }

    fn send(&self, bytes: &[u8], to: Address) {
        self.counters.sent(bytes.len());
        self.socket.send(bytes, to.into());
    }

    /// Calls the membership whenever its timer expires.
    async fn run_timer(self: Rc<Fleet>) {
        loop {
            let due = self.members.borrow().next_deadline();
            self.timer_at.set(due.0);
            let wake_at = self.began + Duration::from_secs_f64(due.0.clamp(0.0, 1e12) / 1e3);
            futures_lite::future::or(Timer::at(wake_at), async {
                _ = self.timer_changed.1.recv().await;
            })
            .await;
            let now = self.now();
            if self.members.borrow().next_deadline() <= now {
                self.with_members(None, |members, out| members.handle_deadline(now, out));
            }
            // Other tasks run between two timers, however many are due.
            futures_lite::future::yield_now().await;
        }
    }

    /// Uses other keys from now on; the states of known members stay.
    pub fn rekey(&self, keys: &Keys) {
        self.auth.borrow_mut().set_keys(keys);
    }

    /// Returns the leased slots, waiting no longer than `at_most`, and announces that this member leaves.
    pub async fn leave(&self, at_most: Duration) {
        self.give_back(at_most).await;
        let now = self.now();
        self.with_members(None, |members, out| members.leave(now, out));
        info!(target: "members", name = self.name, "left");
    }
}
