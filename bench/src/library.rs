//! The front on a fake clock: the cost of a decision, and what is left in memory.

use crate::errors::BenchError;
use ottersail_daemon::run::front_settings;
use ottersail_daemon::settings::manager::{parse_manager, ManagerSettings};
use ottersail_front::config::PlacementConfig;
use ottersail_front::decisions::Decisions;
use ottersail_front::ids::{Rung, ServerId, ViewingId};
use ottersail_front::{
    Effects, Front, Ms, Placement, PlacementActions, Reply, RequestId, SetUp, SetUpEnd, TitleRequest,
};
use ottersail_signed_urls::Keys;
use ottersail_wire::catalogue::{CatalogueServer, Standing, Title};
use ottersail_wire::notes::Note;
use ottersail_wire::report::Report;
use std::path::Path;
use std::time::Instant;

pub const TITLES: usize = 1000;
pub const PLAYLIST: &str =
    "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:2\n#EXT-X-MAP:URI=\"init.mp4\"\n\
    #EXTINF:2,\ns0.m4s\n#EXTINF:2,\ns1.m4s\n#EXTINF:2,\ns2.m4s\n#EXTINF:2,\ns3.m4s\n#EXTINF:2,\ns4.m4s\n\
    #EXTINF:2,\ns5.m4s\n#EXTINF:2,\ns6.m4s\n#EXTINF:2,\ns7.m4s\n#EXT-X-ENDLIST\n";

/// Settings of a manager before so many servers, links sized for a held viewing in a thousand.
pub fn manager(
    servers: usize,
    listen: &str,
    list: &str,
    link_kb: f64,
) -> Result<ManagerSettings, BenchError> {
    let text = format!(
        "[manager]\nnumber = 0\nmanagers = 1\nzone = a\nlisten = {listen}\nkeys = keys\n\
         most-waiting = 100000\nmost-watches = 1000000\nconnections = 50000\n[list]\naddress = {list}\n\
         service = streaming\nwait-ms = 60000\n[servers]\n[ladder]\nrates-kb = 100, 200, 400, 800\nlink-unit-kb = {link_kb}\n\
         cells = {servers}\nracks = 28\nplaces = k:100000\nseen-after-ms = 800\nreports-every-ms = 3000\n\
         change-cost-ms = 600\n[rules]\ndrain-grace-ms = 1000\ncold-ms = 0\nstart-capacity = 1\n\
         fall-multiple = 3\nfall-ms = 1000\nmax-tune-ins = 3\nmax-stay-away-ms = 1000\n\
         [package clips]\nvalue = 1\njoin-target-ms = 800\nrepeat = safe\n"
    );
    parse_manager(Path::new("bench"), &text).map_err(|it| BenchError::Settings(it.join("; ")))
}

pub fn keys() -> Result<Keys, BenchError> {
    Keys::read("a AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA").map_err(|it| BenchError::Key(it.to_string()))
}

pub fn listed(ix: usize, address: String) -> CatalogueServer {
    CatalogueServer {
        id: format!("box-{ix}"),
        address,
        standing: Standing::Up,
        zone: "a".into(),
        kind: "k".into(),
        cell: ix as u64,
        weight: 1.0,
        started_ms: None,
    }
}

pub fn titles(servers: usize) -> Vec<Title> {
    let title =
        |it: usize| Title { name: format!("t-{it}"), base: (it * 7 % servers.max(1)) as u64, copies: 5 };
    (0..TITLES).map(title).collect()
}

/// Set-ups that are out, and the viewings let go.
#[derive(Default)]
struct Out {
    set_ups: Vec<(ViewingId, usize)>,
    let_go: Vec<ViewingId>,
    steps: Vec<(ViewingId, Rung)>,
    played: usize,
    refused: usize,
}

impl Effects for Out {
    fn set_up(&mut self, it: &SetUp) {
        self.set_ups.push((it.viewing.clone(), it.tune_in));
    }
    fn cancel_set_up(&mut self, _: &ViewingId, _: usize, _: &ServerId, _: &str) {}
    fn change_rung(&mut self, vw: &ViewingId, _: &ServerId, _: &str, rung: Rung) {
        self.steps.push((vw.clone(), rung));
    }
    fn end_viewing(&mut self, vw: &ViewingId, _: &ServerId, _: &str) {
        self.let_go.push(vw.clone());
    }
    fn reply(&mut self, _: RequestId, reply: Reply) {
        match reply {
            Reply::Playlist(_) => self.played += 1,
            _ => self.refused += 1,
        }
    }
    fn open_notes(&mut self, _: &ServerId, _: &str) {}
    fn probe(&mut self, _: &ServerId, _: &str) {}
    fn close_notes(&mut self, _: &ServerId) {}
}

/// A front on a fake clock.
pub struct Bed {
    front: Front,
    out: Out,
    now: f64,
    asks: u64,
}

impl Bed {
    pub fn new(servers: usize, link_kb: f64) -> Result<Bed, BenchError> {
        Bed::with(servers, link_kb, |terms, out| Box::new(Placement::new(Ms(1e6), 1, terms, out)))
    }

    /// With other decisions.
    pub fn with(
        servers: usize,
        link_kb: f64,
        decisions: impl FnOnce(PlacementConfig, &mut dyn PlacementActions) -> Box<dyn Decisions>,
    ) -> Result<Bed, BenchError> {
        let manager = manager(servers, "127.0.0.1:1", "127.0.0.1:1", link_kb)?;
        let mut out = Out::default();
        let house = front_settings(&manager, keys()?);
        let mut front = Front::with_decisions(Ms(1e6), manager.terms, house, &mut out, decisions);
        let list: Vec<CatalogueServer> =
            (0..servers).map(|it| listed(it, format!("127.0.0.1:{}", 1000 + it))).collect();
        front.titles_listed(Ms(1e6), &titles(servers));
        front.servers_listed(Ms(1e6), 1, &list, &mut out);
        Ok(Bed { front, out, now: 1e6, asks: 0 })
    }

    pub fn set_up(&mut self) {
        for (vw, no) in self.ask() {
            self.ended(&vw, no);
        }
    }

    /// A viewing is asked for; the set-ups that go out.
    pub fn ask(&mut self) -> Vec<(String, usize)> {
        self.asks += 1;
        let title = format!("t-{}", self.asks as usize * 31 % TITLES);
        let asked =
            TitleRequest { title, package: "clips".into(), tenant: None, max_rung: 3, patience_ms: 4000.0 };
        self.front.request_title(Ms(self.now), RequestId(self.asks), asked, &mut self.out);
        self.out.set_ups.drain(..).map(|(vw, no)| (vw.to_string(), no)).collect()
    }

    /// A set-up ends well.
    pub fn ended(&mut self, vw: &str, no: usize) {
        let end = SetUpEnd::Playing { playlist: PLAYLIST.into() };
        let report = Report { link: Some(0.3), ..Report::default() };
        self.front.set_up_ended(Ms(self.now), &vw.into(), no, end, report, &mut self.out);
        while let Some((vw, rung)) = self.out.steps.pop() {
            self.front.rung_changed(Ms(self.now), &vw, rung.0, Some(PLAYLIST), &mut self.out);
        }
        while let Some(vw) = self.out.let_go.pop() {
            self.front.end_confirmed(Ms(self.now), &vw, &mut self.out);
        }
    }
}

/// Mean microseconds of a set-up and of a note, with so many viewings held at 280 servers.
pub fn decision(held: &[usize]) -> Result<(), BenchError> {
    const SERVERS: usize = 280;
    const TRIES: usize = 400;
    println!(
        "held viewings   set-up us   note us   (280 servers, one manager, {TRIES} each, on a fake clock)"
    );
    for held in held {
        // Links wide enough for all at the middle rate.
        let mut bed = Bed::new(SERVERS, 500.0 * (*held as f64 / SERVERS as f64).max(4.0))?;
        for _ in 0..*held {
            bed.now += 0.01;
            bed.set_up();
        }
        let began = Instant::now();
        for _ in 0..TRIES {
            bed.now += 0.01;
            bed.set_up();
        }
        let set_up = began.elapsed().as_secs_f64() * 1e6 / TRIES as f64;
        let began = Instant::now();
        for it in 0..TRIES {
            bed.now += 0.01;
            let note = Note::Load(Report { link: Some(0.5), ..Report::default() });
            let server = ServerId::from(format!("box-{}", it % SERVERS).as_str());
            bed.front.note_received(Ms(bed.now), &server, &note, &mut bed.out);
        }
        let note = began.elapsed().as_secs_f64() * 1e6 / TRIES as f64;
        println!(
            "{:>13}   {set_up:>9.0}   {note:>7.0}   played {} refused {}",
            bed.front.viewing_count(),
            bed.out.played,
            bed.out.refused
        );
    }
    Ok(())
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with("VmRSS:"));
    line.and_then(|it| it.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Resident memory after so many viewings in all have been set up, have played for a while and have ended.
pub fn memory(viewings: &[usize]) -> Result<(), BenchError> {
    let mut bed = Bed::new(280, 100_000.0)?;
    println!("viewings ended   resident kB   still held   (280 servers, some 200 at once, on a fake clock)");
    println!("{:>14}   {:>11}   {:>10}", 0, resident_kb(), 0);
    for count in viewings {
        while bed.asks < *count as u64 {
            bed.now += 60.0;
            while bed.front.next_timer().is_some_and(|it| it.0 <= bed.now) {
                bed.front.run_due_timers(Ms(bed.now), &mut bed.out);
            }
            bed.set_up();
        }
        for _ in 0..100 {
            bed.now += 1000.0;
            bed.front.run_due_timers(Ms(bed.now), &mut bed.out);
            while let Some(vw) = bed.out.let_go.pop() {
                bed.front.end_confirmed(Ms(bed.now), &vw, &mut bed.out);
            }
        }
        println!("{:>14}   {:>11}   {:>10}", bed.asks, resident_kb(), bed.front.viewing_count());
    }
    Ok(())
}
