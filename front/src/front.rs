use crate::decisions::{Decisions, Ended};
use crate::orders::{AskId, Asked, Orders, Reply, SetUp, SetUpEnd, WatchId};
use crate::presence;
use crate::roster::Roster;
use crate::timers::Timers;
use crate::watch::{Play, Stage, Watch};
use ottersail::answers::Answers;
use ottersail::brain::Brain;
use ottersail::ids::{BellTag, Cell, Rung, ServerId, TuneInNo, ViewingId};
use ottersail::state::{Availability, Entry, ListMode, Load, Outcome, Topic, Wish};
use ottersail::terms::Terms;
use ottersail::time::Ms;
use ottersail_hls::{multivariant, read_source, Source};
use ottersail_tickets::{Claim, Keys};
use ottersail_wire::catalogue::{Listed, Standing, Title};
use ottersail_wire::notes::Note;
use ottersail_wire::report::Report;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use tracing::{debug, info, warn};

/// Requests that may wait for the answer to one viewing: a player that reloads while it waits.
const MOST_PENDING: usize = 4;
/// Patience may be told from here to there, in milliseconds.
/// A probe without an answer is given up after this time.
pub const PROBE_PATIENCE: Ms = Ms(250.0);
const PATIENCE: std::ops::RangeInclusive<f64> = 50.0..=120_000.0;

/// What the front itself reads of the settings.
#[derive(Clone, Debug)]
pub struct House {
    /// How players reach this manager: `http://host:port`.
    pub url: String,
    pub keys: Keys,
    /// How long an address given to a player holds, in seconds.
    pub ticket_s: u64,
    /// Requests that wait for an answer; what comes on top is turned away untaken.
    pub most_waiting: usize,
    /// Viewers that watch.
    pub most_watches: usize,
    /// A set-up is sent within this time of the decision, or not at all. Below the drain grace.
    pub send_within: Ms,
    /// A server has this long to confirm the end of a viewing before it counts as ended.
    pub linger: Ms,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Alarm {
    Bell(u64, Ms),
    TuneIn(ViewingId),
    Silent(WatchId),
    Over(WatchId),
    Linger(ViewingId),
    Probe(ServerId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Waiting,
    Out,
    Playing,
    /// The server was told that it is over and has not confirmed it.
    Ending(Outcome),
}

/// A viewing as the front holds it: from being taken until the module was told its end.
#[derive(Debug)]
struct Seat {
    watch: WatchId,
    place: Place,
    tune_ins: usize,
    server: ServerId,
    address: String,
    rung: Rung,
    /// A change of rung that is out at the server, and the one wanted after it.
    changing: Option<Rung>,
    then: Option<Rung>,
    /// A tune-in got no answer.
    late: bool,
}

/// What has happened so far, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asked: u64,
    pub again: u64,
    pub played: u64,
    pub blocked: u64,
    pub aborted: u64,
    pub left: u64,
    pub turned_away_untaken: u64,
    pub tune_ins: u64,
    pub steps_up: u64,
    pub steps_down: u64,
    pub broken_off: u64,
    pub ended: u64,
    pub probes: u64,
}

pub struct Front {
    brain: Box<dyn Decisions>,
    desk: Desk,
}

/// All but the decisions.
struct Desk {
    now: Ms,
    house: House,
    prefix: String,
    floors: Vec<Rung>,
    scales: Vec<f64>,
    ladder_kb: Vec<f64>,
    stay_away: Option<Ms>,
    timers: Timers<Alarm>,
    /// None until they were told for the first time: then nothing is taken, since nothing is known to be unknown.
    /// Found by rehearsals in which a manager that had just started answered 404.
    titles: Option<BTreeMap<String, Title>>,
    roster: Roster,
    addresses: BTreeMap<ServerId, String>,
    watches: BTreeMap<WatchId, Watch>,
    seats: BTreeMap<ViewingId, Seat>,
    /// Requests that wait, and for which watch.
    asks: BTreeMap<AskId, WatchId>,
    /// Viewings that play or end at a server; its notes are listened to while there are any.
    there: BTreeMap<ServerId, BTreeSet<ViewingId>>,
    /// By title and rung: the text, and what was read from it while anybody plays it.
    sources: BTreeMap<(String, usize), (Vec<u8>, Weak<Source>)>,
    sweep_sources_at: usize,
    draining: bool,
    /// Probes that are out, one for a server at most.
    probes: BTreeSet<ServerId>,
    counts: Counts,
}

/// Through this the module speaks, while it is being told something.
struct Hand<'a> {
    desk: &'a mut Desk,
    out: &'a mut dyn Orders,
}

impl Answers for Hand<'_> {
    fn relay(&mut self, vw: &ViewingId, server: &ServerId, time_out: Ms) {
        self.desk.relay(vw, server, time_out, self.out);
    }

    fn step_to(&mut self, vw: &ViewingId, rung: Rung) {
        self.desk.step_to(vw, rung, self.out);
    }

    fn shed(&mut self, vw: &ViewingId, stay_away: Option<Ms>) {
        self.desk.counts.blocked += 1;
        info!(viewing = %vw, cause = "no room or no server that may take it", "blocked");
        self.desk.finish(vw, Reply::Blocked { stay_away: stay_away.map(|it| it.0) }, self.out);
    }

    fn abort(&mut self, vw: &ViewingId) {
        let late = self.desk.seats.get(vw).is_some_and(|it| it.late);
        self.desk.counts.aborted += 1;
        info!(viewing = %vw, cause = if late { "no answer in time" } else { "set-ups failed" }, "aborted");
        self.desk.finish(vw, Reply::Aborted { late }, self.out);
    }

    fn schedule(&mut self, tag: BellTag, at: Ms) {
        self.desk.timers.set(Alarm::Bell(tag.0, at), at);
    }

    /// The list is always asked for.
    fn subscribe(&mut self) {}

    /// Its end is told in any case, and never from in here: without an address at the next moment.
    fn inspect(&mut self, server: &ServerId) {
        if !self.desk.probes.insert(server.clone()) {
            return;
        }
        self.desk.counts.probes += 1;
        let address = self.desk.addresses.get(server);
        let until = self.desk.now + address.map_or(Ms(0.0), |_| PROBE_PATIENCE);
        if let Some(address) = address {
            self.out.probe(server, address);
        }
        self.desk.timers.set(Alarm::Probe(server.clone()), until);
    }
}

impl Front {
    /// A front whose decisions are those of this project.
    pub fn new(now: Ms, seed: u64, terms: Terms, house: House, out: &mut dyn Orders) -> Front {
        Front::with(now, terms, house, out, |terms, out| Box::new(Brain::born(now, seed, terms, out)))
    }

    /// A front with other decisions, for comparison.
    pub fn with(
        now: Ms,
        terms: Terms,
        house: House,
        out: &mut dyn Orders,
        decisions: impl FnOnce(Terms, &mut dyn Answers) -> Box<dyn Decisions>,
    ) -> Front {
        let mut desk = Desk {
            now,
            prefix: format!("{}-{:.0}", terms.me.0, now.0),
            floors: terms.packages.iter().map(|it| it.floor).collect(),
            scales: terms.packages.iter().map(|it| it.scale).collect(),
            ladder_kb: terms.ladder_kb.clone(),
            stay_away: terms.max_stay_away,
            house,
            timers: Timers::new(),
            titles: None,
            roster: Roster::default(),
            addresses: BTreeMap::new(),
            watches: BTreeMap::new(),
            seats: BTreeMap::new(),
            asks: BTreeMap::new(),
            there: BTreeMap::new(),
            sources: BTreeMap::new(),
            sweep_sources_at: 64,
            draining: false,
            probes: BTreeSet::new(),
            counts: Counts::default(),
        };
        let brain = decisions(terms, &mut Hand { desk: &mut desk, out });
        Front { brain, desk }
    }

    // What happens.

    /// A player asks for a title. It is taken, or answered at once.
    pub fn asked(&mut self, now: Ms, ask: AskId, asked: Asked, out: &mut dyn Orders) {
        let desk = self.at(now);
        if desk.full() {
            desk.counts.turned_away_untaken += 1;
            let stay_away = desk.stay_away.map(|it| it.0);
            info!(ask = ask.0, cause = desk.why_full(), "turned away untaken");
            return out.reply(ask, Reply::Blocked { stay_away });
        }
        if desk.title(&asked.title).is_none() {
            return out.reply(ask, Reply::Unknown(format!("no title {:?}", asked.title)));
        }
        let Some(package) = self.brain.package_named(&asked.package) else {
            return out.reply(ask, Reply::Unfit(format!("no package {:?}", asked.package)));
        };
        let tenant = asked.tenant.as_deref().and_then(|it| self.brain.tenant_named(it));
        if asked.tenant.is_some() && tenant.is_none() {
            return out.reply(ask, Reply::Unfit("no such tenant".into()));
        }
        if !PATIENCE.contains(&asked.patience) {
            let text = format!("patience-ms must be from {} to {}", PATIENCE.start(), PATIENCE.end());
            return out.reply(ask, Reply::Unfit(text));
        }
        let desk = &mut self.desk;
        desk.counts.asked += 1;
        let id = WatchId(format!("{}-{}", desk.prefix, desk.counts.asked));
        desk.watches.insert(
            id.clone(),
            Watch {
                asked,
                package,
                tenant,
                viewings: 0,
                stage: Stage::Broken,
                edition: Default::default(),
                began: now,
                next: 0,
                seam: false,
                reloaded: false,
            },
        );
        self.take(id, ask, out);
    }

    /// A player reloads the playlist of its watch; `unread` is the number in the media sequence it wants next.
    pub fn reloaded(&mut self, now: Ms, ask: AskId, id: &WatchId, unread: Option<u64>, out: &mut dyn Orders) {
        let desk = self.at(now);
        let full = desk.full();
        let Some(watch) = desk.watches.get_mut(id) else {
            return out.reply(ask, Reply::Unknown(format!("no watch {id}")));
        };
        watch.reloaded = true;
        match &mut watch.stage {
            Stage::Playing(_) => {
                let text = desk.publish(id);
                out.reply(ask, Reply::Playlist(text));
            }
            Stage::Waiting { asks, .. } if asks.len() < MOST_PENDING => {
                asks.push(ask);
                desk.asks.insert(ask, id.clone());
            }
            Stage::Waiting { .. } => out.reply(ask, Reply::Unfit("too many requests for one watch".into())),
            Stage::Broken if full => {
                desk.counts.turned_away_untaken += 1;
                let stay_away = desk.stay_away.map(|it| it.0);
                out.reply(ask, Reply::Blocked { stay_away });
            }
            Stage::Broken => {
                watch.resume(unread);
                desk.counts.again += 1;
                self.take(id.clone(), ask, out);
            }
        }
    }

    /// A player closed its connection before the answer.
    pub fn left(&mut self, now: Ms, ask: AskId, out: &mut dyn Orders) {
        let desk = self.at(now);
        let Some(id) = desk.asks.remove(&ask) else {
            return;
        };
        let Some(watch) = desk.watches.get_mut(&id) else {
            return;
        };
        let Stage::Waiting { vw, asks } = &mut watch.stage else {
            return;
        };
        asks.retain(|it| *it != ask);
        if !asks.is_empty() {
            return;
        }
        let vw = vw.clone();
        desk.counts.left += 1;
        info!(viewing = %vw, cause = "viewer left before the answer", "ended");
        watch.stage = Stage::Broken;
        if watch.viewings == 1 {
            desk.forget(&id);
        } else {
            let until = presence::silent_until(now, watch.target(), false);
            desk.timers.set(Alarm::Silent(id), until);
        }
        self.viewer_gone(&vw, out);
    }

    /// A set-up that was sent came to its end.
    pub fn set_up_ended(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        no: usize,
        end: SetUpEnd,
        report: Report,
        out: &mut dyn Orders,
    ) {
        let desk = self.at(now);
        let Some(seat) = desk.seats.get_mut(vw) else {
            return;
        };
        if seat.place != Place::Out || seat.tune_ins != no + 1 {
            return;
        }
        let (server, rung) = (seat.server.clone(), seat.rung);
        let outcome = match end {
            SetUpEnd::Playing { playlist } => {
                let key = (
                    desk.watches.get(&seat.watch).map_or(String::new(), |it| it.asked.title.clone()),
                    rung.0,
                );
                match desk.source(key, playlist.as_bytes()) {
                    Ok(source) => return self.plays(vw, &server, source, report, out),
                    Err(trouble) => {
                        warn!(viewing = %vw, server = %server, cause = %trouble, "unfit playlist");
                        let address = desk.seats[vw].address.clone();
                        out.call_off(vw, no, &server, &address);
                        Outcome::ServerError
                    }
                }
            }
            SetUpEnd::TurnedAway => Outcome::TurnedAway,
            SetUpEnd::ServerError => Outcome::ServerError,
            SetUpEnd::NoConnection => Outcome::NoConnection,
            SetUpEnd::ConnectionLost => Outcome::ConnectionLost,
            SetUpEnd::NotSent => Outcome::NotSent,
        };
        self.tune_in_failed(vw, outcome, load(report), out);
    }

    /// A change of rung was answered, by that rung's playlist, or failed.
    pub fn rung_changed(
        &mut self,
        now: Ms,
        vw: &ViewingId,
        rung: usize,
        playlist: Option<&str>,
        out: &mut dyn Orders,
    ) {
        let desk = self.at(now);
        let Some(seat) = desk.seats.get_mut(vw).filter(|it| it.changing == Some(Rung(rung))) else {
            return;
        };
        seat.changing = None;
        let (then, server, address) = (seat.then.take(), seat.server.clone(), seat.address.clone());
        if seat.place != Place::Playing {
            return;
        }
        let id = seat.watch.clone();
        let title = desk.watches.get(&id).map_or(String::new(), |it| it.asked.title.clone());
        let source = playlist.map(|it| desk.source((title, rung), it.as_bytes()));
        let in_force = match source {
            Some(Ok(source)) => {
                let seat = desk.seats.get_mut(vw);
                let before = seat.map_or(Rung(rung), |it| std::mem::replace(&mut it.rung, Rung(rung)));
                if before < Rung(rung) {
                    desk.counts.steps_up += 1;
                } else {
                    desk.counts.steps_down += 1;
                }
                if let Some(watch) = desk.watches.get_mut(&id) {
                    watch.step(Rung(rung), source);
                }
                Rung(rung)
            }
            _ => {
                warn!(viewing = %vw, server = %server, rung, "the change of rung failed");
                desk.seats[vw].rung
            }
        };
        match then.filter(|it| *it != in_force) {
            Some(rung) => {
                if let Some(seat) = desk.seats.get_mut(vw) {
                    seat.changing = Some(rung);
                }
                out.change_rung(vw, &server, &address, rung);
            }
            None => {
                let Front { brain, desk } = self;
                let value = in_force.0 as f64;
                brain.change(now, vw, Topic::RungInForce, value, &server, &mut Hand { desk, out });
            }
        }
    }

    /// A server confirmed the end of a viewing, or can't be reached any more.
    pub fn let_go(&mut self, now: Ms, vw: &ViewingId, out: &mut dyn Orders) {
        self.at(now);
        if let Some(Place::Ending(outcome)) = self.desk.seats.get(vw).map(|it| it.place) {
            self.viewing_ended(vw, outcome, out);
        }
    }

    /// A server tells of itself.
    pub fn noted(&mut self, now: Ms, server: &ServerId, note: &Note, out: &mut dyn Orders) {
        self.at(now);
        match note {
            Note::Alive => {}
            Note::Load(report) => {
                let topics = [
                    (Topic::ShareDelivered, report.delivered),
                    (Topic::LinkAsked, report.link),
                    (Topic::UplinkAsked, report.uplink),
                ];
                for (topic, value) in topics {
                    self.tell_load(server, topic, value, out);
                }
            }
            Note::Ended { viewing, .. } => {
                let vw = ViewingId::from(viewing.as_str());
                let Some(seat) = self.desk.seats.get(&vw).filter(|it| it.server == *server) else {
                    return;
                };
                let id = seat.watch.clone();
                match seat.place {
                    Place::Ending(outcome) => self.viewing_ended(&vw, outcome, out),
                    Place::Playing => {
                        info!(viewing = %vw, server = %server, cause = "ended by its server", "ended");
                        self.break_watch(&id);
                        self.viewing_ended(&vw, Outcome::CalledOff, out);
                    }
                    Place::Waiting | Place::Out => {}
                }
            }
        }
    }

    /// A probe was answered, or failed. What comes after it was given up is not told.
    pub fn probed(&mut self, now: Ms, server: &ServerId, report: Option<Report>, out: &mut dyn Orders) {
        self.at(now);
        if !self.desk.probes.remove(server) {
            return;
        }
        self.desk.timers.cancel(&Alarm::Probe(server.clone()));
        let outcome = if report.is_some() { Outcome::Served } else { Outcome::NoAnswer };
        let Front { brain, desk } = self;
        let load = report.map(load).unwrap_or_default();
        brain.echo(now, server, outcome, load, &mut Hand { desk, out });
    }

    /// The stream of notes from a server broke or fell silent: what plays there is lost.
    pub fn server_lost(&mut self, now: Ms, server: &ServerId, out: &mut dyn Orders) {
        let desk = self.at(now);
        let there: Vec<ViewingId> = desk.there.get(server).into_iter().flatten().cloned().collect();
        for vw in there {
            let Some(seat) = self.desk.seats.get(&vw) else {
                continue;
            };
            let (id, place, address) = (seat.watch.clone(), seat.place, seat.address.clone());
            let outcome = match place {
                Place::Ending(outcome) => outcome,
                _ => {
                    self.desk.counts.broken_off += 1;
                    info!(viewing = %vw, server = %server, cause = "server lost", "broken off");
                    self.break_watch(&id);
                    // It may only be out of reach: it is told, should it hear.
                    out.let_go(&vw, server, &address);
                    Outcome::ConnectionLost
                }
            };
            self.viewing_ended(&vw, outcome, out);
        }
    }

    /// A whole list of servers came.
    pub fn listed(&mut self, now: Ms, index: u64, list: &[Listed], out: &mut dyn Orders) {
        let desk = self.at(now);
        for it in list {
            desk.addresses.insert(it.id.as_str().into(), it.address.clone());
        }
        let entries = list.iter().map(|it| Entry {
            kind: it.kind.as_str().into(),
            cell: Cell(it.cell),
            availability: match it.standing {
                Standing::Up => Availability::Up,
                Standing::Draining => Availability::Leaving,
            },
            server: it.id.as_str().into(),
            started: it.started_ms.map(Ms),
            weight: it.weight,
            zone: it.zone.as_str().into(),
        });
        let changed = desk.roster.take(now, index, entries.collect());
        #[cfg(feature = "sabotage")]
        let changed: Vec<Entry> =
            changed.into_iter().filter(|it| it.availability == Availability::Up).collect();
        for it in &changed {
            info!(server = %it.server, availability = ?it.availability, index, "list");
            if it.availability == Availability::Gone && !desk.there.contains_key(&it.server) {
                desk.addresses.remove(&it.server);
            }
        }
        if !changed.is_empty() {
            let Front { brain, desk } = self;
            brain.members(now, ListMode::Incremental, &changed, &mut Hand { desk, out });
        }
    }

    /// The list could not be had; the last one holds.
    pub fn list_failed(&mut self, now: Ms, out: &mut dyn Orders) {
        self.at(now);
        let Front { brain, desk } = self;
        brain.members(now, ListMode::Failed, &[], &mut Hand { desk, out });
    }

    /// The titles that can be asked for, all of them.
    pub fn titled(&mut self, now: Ms, titles: &[Title]) {
        let desk = self.at(now);
        desk.titles = Some(titles.iter().map(|it| (it.name.clone(), it.clone())).collect());
    }

    /// Carries out all that is due; see [`Front::next_due`].
    pub fn time_has_come(&mut self, now: Ms, out: &mut dyn Orders) {
        self.at(now);
        while let Some(alarm) = self.desk.timers.due(now) {
            match alarm {
                Alarm::Bell(tag, _) => {
                    let Front { brain, desk } = self;
                    brain.bell(now, BellTag(tag), &mut Hand { desk, out });
                }
                Alarm::TuneIn(vw) => {
                    let Some(seat) = self.desk.seats.get_mut(&vw).filter(|it| it.place == Place::Out) else {
                        continue;
                    };
                    seat.late = true;
                    let (no, server, address) =
                        (seat.tune_ins - 1, seat.server.clone(), seat.address.clone());
                    info!(viewing = %vw, server = %server, no, cause = "no answer in time", "tune-in called off");
                    out.call_off(&vw, no, &server, &address);
                    self.tune_in_failed(&vw, Outcome::NoAnswer, Load::default(), out);
                }
                Alarm::Silent(id) => self.over(&id, "no reload", Outcome::CalledOff, out),
                Alarm::Over(id) => self.over(&id, "played to its end", Outcome::Served, out),
                Alarm::Linger(vw) => self.let_go(now, &vw, out),
                Alarm::Probe(server) => self.probed(now, &server, None, out),
            }
        }
    }

    /// From now on nothing new is taken.
    pub fn drain(&mut self, now: Ms) {
        self.at(now).draining = true;
        info!(waiting = self.desk.asks.len(), watches = self.desk.watches.len(), "draining");
    }

    /// What of the settings may change while it runs.
    pub fn refit(&mut self, house: House) {
        self.desk.house = house;
    }

    // What can be seen.

    /// When [`Front::time_has_come`] is to be called next.
    pub fn next_due(&self) -> Option<Ms> {
        self.desk.timers.next()
    }

    /// Requests that wait for their answer.
    pub fn waiting(&self) -> usize {
        self.desk.asks.len()
    }

    pub fn watches(&self) -> usize {
        self.desk.watches.len()
    }

    pub fn viewings(&self) -> usize {
        self.desk.seats.len()
    }

    /// True while anything is owed or held for a viewing.
    pub fn holds(&self, vw: &ViewingId) -> bool {
        self.desk.seats.contains_key(vw)
    }

    pub fn servers(&self) -> usize {
        self.desk.roster.len()
    }

    pub fn counts(&self) -> Counts {
        self.desk.counts
    }

    // Between the two.

    fn at(&mut self, now: Ms) -> &mut Desk {
        self.desk.now = now;
        &mut self.desk
    }

    /// A viewing begins: it is owed one answer, before patience ends.
    fn take(&mut self, id: WatchId, ask: AskId, out: &mut dyn Orders) {
        let Front { brain, desk } = self;
        let now = desk.now;
        let Some(watch) = desk.watches.get_mut(&id) else {
            return;
        };
        watch.viewings += 1;
        let vw = ViewingId::from(format!("{id}.{}", watch.viewings).as_str());
        watch.stage = Stage::Waiting { vw: vw.clone(), asks: vec![ask] };
        let Some(title) = desk.titles.as_ref().and_then(|it| it.get(&watch.asked.title)) else {
            // The title was taken from the list since.
            desk.forget(&id);
            return out.reply(ask, Reply::Unknown("the title is gone".into()));
        };
        let wish = Wish {
            vw: vw.clone(),
            package: watch.package,
            tenant: watch.tenant,
            title: title.name.as_str().into(),
            base: title.base,
            copies: title.copies,
            best: Rung(watch.asked.best.min(desk.ladder_kb.len().saturating_sub(1))),
            due: presence::due(now, Ms(watch.asked.patience)),
            lasts: None,
        };
        debug!(viewing = %vw, title = %title.name, package = %watch.asked.package, "taken");
        desk.timers.cancel(&Alarm::Silent(id.clone()));
        desk.timers.cancel(&Alarm::Over(id.clone()));
        desk.asks.insert(ask, id.clone());
        let rung = desk.floors[watch.package.0];
        desk.seats.insert(
            vw,
            Seat {
                watch: id,
                place: Place::Waiting,
                tune_ins: 0,
                server: "".into(),
                address: String::new(),
                rung,
                changing: None,
                then: None,
                late: false,
            },
        );
        brain.incoming(now, wish, &mut Hand { desk, out });
    }

    fn plays(
        &mut self,
        vw: &ViewingId,
        server: &ServerId,
        source: Rc<Source>,
        report: Report,
        out: &mut dyn Orders,
    ) {
        let Front { brain, desk } = self;
        let now = desk.now;
        desk.timers.cancel(&Alarm::TuneIn(vw.clone()));
        let Some(seat) = desk.seats.get_mut(vw) else {
            return;
        };
        seat.place = Place::Playing;
        let (id, address, rung) = (seat.watch.clone(), seat.address.clone(), seat.rung);
        info!(viewing = %vw, server = %server, rung = rung.0, tune_ins = seat.tune_ins, "plays");
        desk.counts.played += 1;
        let there = desk.there.entry(server.clone()).or_default();
        if there.is_empty() {
            out.listen(server, &address);
        }
        there.insert(vw.clone());
        desk.play(&id, Play { vw: vw.clone(), address, rung, source }, out);
        brain.first(now, vw, server, &mut Hand { desk, out });
        for (topic, value) in [(Topic::LinkAsked, report.link), (Topic::UplinkAsked, report.uplink)] {
            if let Some(value) = value {
                self.brain.change(now, vw, topic, value, server, &mut Hand { desk: &mut self.desk, out });
            }
        }
    }

    /// A note is told on one viewing that plays there, as a rule the oldest.
    fn tell_load(&mut self, server: &ServerId, topic: Topic, value: Option<f64>, out: &mut dyn Orders) {
        let Front { brain, desk } = self;
        let playing = |it: &&ViewingId| desk.seats.get(*it).is_some_and(|it| it.place == Place::Playing);
        let vw = desk.there.get(server).and_then(|it| it.iter().find(playing)).cloned();
        if let (Some(vw), Some(value)) = (vw, value) {
            brain.change(desk.now, &vw, topic, value, server, &mut Hand { desk, out });
        }
    }

    fn tune_in_failed(&mut self, vw: &ViewingId, outcome: Outcome, load: Load, out: &mut dyn Orders) {
        let Front { brain, desk } = self;
        let now = desk.now;
        desk.timers.cancel(&Alarm::TuneIn(vw.clone()));
        let Some(seat) = desk.seats.get_mut(vw) else {
            return;
        };
        seat.place = Place::Waiting;
        let (no, server) = (seat.tune_ins - 1, seat.server.clone());
        debug!(viewing = %vw, server = %server, no, ?outcome, "tune-in failed");
        let ended = Ended { no: TuneInNo(no), server, outcome, last: false };
        brain.answer(now, vw, ended, load, &mut Hand { desk, out });
    }

    /// The viewer of a viewing that does not play yet is gone.
    fn viewer_gone(&mut self, vw: &ViewingId, out: &mut dyn Orders) {
        let Front { brain, desk } = self;
        let now = desk.now;
        let Some(seat) = desk.seats.remove(vw) else {
            return;
        };
        desk.timers.cancel(&Alarm::TuneIn(vw.clone()));
        brain.dropped(now, vw, &mut Hand { desk, out });
        if seat.place == Place::Out {
            let no = seat.tune_ins - 1;
            out.call_off(vw, no, &seat.server, &seat.address);
            let ended =
                Ended { no: TuneInNo(no), server: seat.server, outcome: Outcome::CalledOff, last: true };
            brain.answer(now, vw, ended, Load::default(), &mut Hand { desk, out });
        }
    }

    /// A watch comes to its end.
    fn over(&mut self, id: &WatchId, cause: &str, outcome: Outcome, out: &mut dyn Orders) {
        let Some(watch) = self.desk.watches.get(id) else {
            return;
        };
        let vw = match &watch.stage {
            Stage::Playing(play) => Some(play.vw.clone()),
            _ => None,
        };
        self.desk.forget(id);
        let Some(vw) = vw else {
            return;
        };
        let now = self.desk.now;
        if let Some(seat) = self.desk.seats.get_mut(&vw) {
            info!(viewing = %vw, server = %seat.server, cause, "ended");
            seat.place = Place::Ending(outcome);
            out.let_go(&vw, &seat.server, &seat.address);
            self.desk.timers.set(Alarm::Linger(vw), now + self.desk.house.linger);
        }
    }

    /// The module is told the end of a viewing that played; its place is free.
    fn viewing_ended(&mut self, vw: &ViewingId, outcome: Outcome, out: &mut dyn Orders) {
        let Front { brain, desk } = self;
        let now = desk.now;
        let Some(seat) = desk.seats.remove(vw) else {
            return;
        };
        desk.counts.ended += 1;
        desk.timers.cancel(&Alarm::Linger(vw.clone()));
        if let Some(there) = desk.there.get_mut(&seat.server) {
            there.remove(vw);
            if there.is_empty() {
                desk.there.remove(&seat.server);
                out.hang_up(&seat.server);
                if desk.roster.entry(&seat.server).is_none() {
                    desk.addresses.remove(&seat.server);
                }
            }
        }
        let no = TuneInNo(seat.tune_ins.saturating_sub(1));
        let ended = Ended { no, server: seat.server, outcome, last: true };
        brain.answer(now, vw, ended, Load::default(), &mut Hand { desk, out });
    }

    fn break_watch(&mut self, id: &WatchId) {
        let now = self.desk.now;
        if let Some(watch) = self.desk.watches.get_mut(id) {
            watch.break_off(now);
            self.desk.timers.cancel(&Alarm::Over(id.clone()));
            let until = presence::silent_until(now, watch.target(), false);
            self.desk.timers.set(Alarm::Silent(id.clone()), until);
        }
    }
}

impl Desk {
    fn full(&self) -> bool {
        self.draining
            || self.titles.is_none()
            || self.asks.len() >= self.house.most_waiting
            || self.watches.len() >= self.house.most_watches
    }

    fn why_full(&self) -> &'static str {
        match () {
            () if self.draining => "draining",
            () if self.titles.is_none() => "no titles yet",
            () => "queue full",
        }
    }

    fn title(&self, name: &str) -> Option<&Title> {
        self.titles.as_ref()?.get(name)
    }

    /// The same playlist is read and kept once, however many viewings play it.
    fn source(&mut self, key: (String, usize), text: &[u8]) -> Result<Rc<Source>, ottersail_hls::Trouble> {
        if let Some((known, source)) = self.sources.get(&key) {
            if let Some(source) = source.upgrade().filter(|_| known == text) {
                return Ok(source);
            }
        }
        let source = Rc::new(read_source(text)?);
        if self.sources.len() >= self.sweep_sources_at {
            self.sources.retain(|_, it| it.1.strong_count() > 0);
            self.sweep_sources_at = (self.sources.len() * 2).max(64);
        }
        self.sources.insert(key, (text.to_vec(), Rc::downgrade(&source)));
        Ok(source)
    }

    fn relay(&mut self, vw: &ViewingId, server: &ServerId, time_out: Ms, out: &mut dyn Orders) {
        let Some(seat) = self.seats.get_mut(vw) else {
            return;
        };
        let Some(watch) = self.watches.get(&seat.watch) else {
            return;
        };
        let (address, no) = (self.addresses.get(server).cloned().unwrap_or_default(), seat.tune_ins);
        (seat.place, seat.tune_ins, seat.server) = (Place::Out, no + 1, server.clone());
        seat.address = address.clone();
        self.counts.tune_ins += 1;
        self.timers.set(Alarm::TuneIn(vw.clone()), self.now + time_out);
        info!(viewing = %vw, server = %server, rung = seat.rung.0, no, time_out = time_out.0, "tune-in");
        out.set_up(&SetUp {
            vw: vw.clone(),
            no,
            server: server.clone(),
            address,
            title: watch.asked.title.as_str().into(),
            package: watch.asked.package.clone(),
            rung: seat.rung,
            ask: match &watch.stage {
                Stage::Waiting { asks, .. } => asks.first().copied(),
                _ => None,
            },
            send_by: self.now + time_out.min(self.house.send_within),
        });
    }

    fn step_to(&mut self, vw: &ViewingId, rung: Rung, out: &mut dyn Orders) {
        let Some(seat) = self.seats.get_mut(vw) else {
            return;
        };
        match seat.place {
            Place::Waiting => seat.rung = rung,
            Place::Playing => {
                info!(viewing = %vw, server = %seat.server, from = seat.rung.0, rung = rung.0, "step");
                if seat.changing.is_some() {
                    seat.then = Some(rung);
                } else {
                    seat.changing = Some(rung);
                    out.change_rung(vw, &seat.server, &seat.address, rung);
                }
            }
            Place::Out | Place::Ending(_) => {}
        }
    }

    /// The final answer to a viewing that does not play.
    fn finish(&mut self, vw: &ViewingId, reply: Reply, out: &mut dyn Orders) {
        let Some(seat) = self.seats.remove(vw) else {
            return;
        };
        self.timers.cancel(&Alarm::TuneIn(vw.clone()));
        let Some(watch) = self.watches.get_mut(&seat.watch) else {
            return;
        };
        if let Stage::Waiting { asks, .. } = std::mem::replace(&mut watch.stage, Stage::Broken) {
            for ask in asks {
                self.asks.remove(&ask);
                out.reply(ask, reply.clone());
            }
        }
        if watch.viewings == 1 {
            self.forget(&seat.watch);
        } else {
            let until = presence::silent_until(self.now, watch.target(), false);
            self.timers.set(Alarm::Silent(seat.watch), until);
        }
    }

    /// It plays: those who wait are answered, by the way to the playlist or by the playlist itself.
    fn play(&mut self, id: &WatchId, play: Play, out: &mut dyn Orders) {
        let now = self.now;
        let Some(watch) = self.watches.get_mut(id) else {
            return;
        };
        let rate = self.ladder_kb.get(play.rung.0).copied().unwrap_or(1.0) * self.scales[watch.package.0];
        let first = watch.viewings == 1;
        let asks = match &mut watch.stage {
            Stage::Waiting { asks, .. } => std::mem::take(asks),
            _ => Vec::new(),
        };
        watch.play(now, play);
        let target = watch.target();
        let text = if first {
            let path = Watch::path(id);
            let claim = Claim { viewing: &id.0, what: &path, rung: 0, expires: self.expires() };
            let uri = format!("{}{path}?{}", self.house.url, self.house.keys.ticket(&claim));
            self.timers.set(Alarm::Silent(id.clone()), presence::silent_until(now, target, true));
            String::from_utf8_lossy(&multivariant(&uri, (rate * 8e3) as u64)).into_owned()
        } else {
            self.publish(id)
        };
        for ask in asks {
            self.asks.remove(&ask);
            out.reply(ask, Reply::Playlist(text.clone()));
        }
    }

    fn expires(&self) -> u64 {
        (self.now.0 / 1e3) as u64 + self.house.ticket_s
    }

    fn publish(&mut self, id: &WatchId) -> String {
        let (now, expires) = (self.now, self.expires());
        let Some(watch) = self.watches.get_mut(id) else {
            return String::new();
        };
        let target = watch.target();
        match watch.publish(now, &self.house.keys, expires) {
            Some(left) => {
                self.timers.cancel(&Alarm::Silent(id.clone()));
                self.timers.set(Alarm::Over(id.clone()), presence::over_at(now, left, target));
            }
            None => self.timers.set(Alarm::Silent(id.clone()), presence::silent_until(now, target, false)),
        }
        String::from_utf8_lossy(&watch.edition.write()).into_owned()
    }

    fn forget(&mut self, id: &WatchId) {
        self.watches.remove(id);
        self.timers.cancel(&Alarm::Silent(id.clone()));
        self.timers.cancel(&Alarm::Over(id.clone()));
    }
}

fn load(report: Report) -> Load {
    Load { streams: None, link: None, link_uncapped: report.link, uplink: report.uplink }
}
