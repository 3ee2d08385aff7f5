//! One trial: its parts, its faults, and its judge.

use crate::later::Later;
use crate::settings::settings;
use fastrand::Rng;
use ottersail_daemon::trial::{LaunchOptions, ManagerProcess, ManagerSettings};
use ottersail_fake_servers::callers::{CallerOrder, CallerSettings, Callers};
use ottersail_fake_servers::commands::CommandChannel;
use ottersail_fake_servers::media::{MediaFleet, MediaSettings};
use ottersail_invariants::platform::{judge, Broken, ManagerEvent, Terms, Trace};
use std::time::{Duration, Instant};
use tempfile::TempDir;

pub const SERVERS: usize = 24;
pub const MANAGERS: usize = 3;
const LASTS: Duration = Duration::from_secs(16);
/// What is due after the last fault is waited for.
const SETTLES: Duration = Duration::from_secs(10);
pub const GRACE: Duration = Duration::from_secs(1);

pub struct Trial {
    pub seed: u64,
    pub random: Rng,
    pub began: Instant,
    pub settings: ManagerSettings,
    /// Each manager reaches the servers and the command channel at addresses of its own.
    pub fleets: Vec<MediaFleet>,
    pub channels: Vec<CommandChannel>,
    pub callers: Callers,
    pub managers: Vec<ManagerProcess>,
    pub rates: Vec<f64>,
    pub busy: Vec<bool>,
    pub hit: Vec<bool>,
    pub troubled_until: Instant,
    pub later: Vec<(Instant, Later)>,
    pub closed_from: Vec<(usize, Instant)>,
    pub cut_off: Vec<(usize, Instant, Option<Instant>)>,
    pub events: Vec<ManagerEvent>,
    pub story: Vec<String>,
    pub latest: Duration,
    pub _folder: TempDir,
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

impl Trial {
    pub fn play(seed: u64) {
        let mut trial = Trial::start(seed);
        let mut next_fault = trial.began + ms(1_500);
        while trial.began.elapsed() < LASTS + SETTLES {
            let look = Instant::now();
            std::thread::sleep(ms(5));
            trial.latest = trial.latest.max(look.elapsed());
            trial.do_due();
            if Instant::now() >= next_fault && trial.began.elapsed() < LASTS {
                trial.fault();
                next_fault = Instant::now() + ms(trial.random.u64(300..1_800));
            }
        }
        trial.end_and_judge();
    }

    fn start(seed: u64) -> Trial {
        let mut random = Rng::with_seed(seed);
        let (life, note_every) = (ms(500)..ms(random.u64(3_000..20_000)), ms(random.u64(300..2_500)));
        let fleets: Vec<MediaFleet> = (0..MANAGERS)
            .map(|_| MediaSettings { servers: SERVERS, seed, life: life.clone(), note_every })
            .map(|settings| MediaFleet::start(settings).unwrap())
            .collect();
        let channels: Vec<CommandChannel> =
            fleets.iter().map(|fleet| CommandChannel::start(&fleet.list()).unwrap()).collect();
        let settings = settings(&mut random);
        let folder = TempDir::new().unwrap();
        let launch = LaunchOptions {
            program: env!("CARGO_BIN_EXE_ottersail").into(),
            folder: folder.path().to_path_buf(),
            sockets: settings.sockets,
            log_filter: std::env::var("OTTERSAIL_SOAK_LOG").unwrap_or_else(|_| "info".to_string()),
        };
        let mut managers = Vec::new();
        for (number, channel) in channels.iter().enumerate() {
            let address = fleets[number].manager_address();
            let config = settings.file(number, address, channel.address, &channel.known());
            managers.push(ManagerProcess::start(&launch, number, address, &config).unwrap());
        }
        assert!(managers.iter_mut().all(|manager| manager.wait_ready(Duration::from_secs(10))));
        let callers = Callers::start(CallerSettings {
            seed,
            classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
            patience: ms(200)..settings.longest_deadline(),
            cells: settings.cells,
            copies: 2,
            top_rung: 2,
            give_up_percent: random.u32(0..30),
            pieces_percent: random.u32(0..30),
            connections: settings.sockets / 10,
        });
        let rates: Vec<f64> = (0..MANAGERS).map(|_| 5.0 + 45.0 * random.f64()).collect();
        for (manager, per_second) in rates.iter().enumerate() {
            let address = managers[manager].address;
            callers.tell(CallerOrder::Load { manager, address, per_second: *per_second });
        }
        let began = Instant::now();
        Trial {
            seed,
            random,
            began,
            settings,
            fleets,
            channels,
            callers,
            managers,
            rates,
            busy: vec![false; MANAGERS],
            hit: vec![false; SERVERS],
            troubled_until: began,
            later: Vec::new(),
            closed_from: Vec::new(),
            cut_off: Vec::new(),
            events: Vec::new(),
            story: Vec::new(),
            latest: Duration::ZERO,
            _folder: folder,
        }
    }

    pub fn say(&mut self, what: String) {
        self.story.push(format!("{:.3} {what}", self.began.elapsed().as_secs_f64()));
    }

    pub fn after(&mut self, span: Duration, what: Later) {
        self.later.push((Instant::now() + span, what));
    }

    fn do_due(&mut self) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.later).into_iter().partition(|it| it.0 <= now);
        self.later = later;
        for (_, what) in due {
            self.carry_out(what);
        }
    }

    fn end_and_judge(self) {
        let ended = Instant::now();
        (0..MANAGERS).for_each(|manager| self.callers.tell(CallerOrder::Stop { manager }));
        let terms = Terms {
            classes: self.settings.classes.iter().map(|class| class.class).collect(),
            drain_grace: GRACE,
            closed_from: self.closed_from.clone(),
            cut_off: self.cut_off.iter().map(|cut| (cut.0, cut.1, cut.2.unwrap_or(ended))).collect(),
        };
        let (clients, servers) = (
            self.callers.log().events(),
            self.fleets.iter().flat_map(|fleet| fleet.log().events()).collect(),
        );
        let events = clients.len();
        let trace =
            Trace { began: self.began, ended, terms, clients, servers, managers: self.events.clone() };
        let broken = judge(&trace);
        let shown: Vec<String> = broken.iter().take(8).map(Broken::to_string).collect();
        println!(
            "seed {}: {events} client events, {} faults, {} broken, latest {:?}",
            self.seed,
            self.story.len(),
            broken.len(),
            self.latest
        );
        if !broken.is_empty() {
            println!("{}\n{}\n{:?}", shown.join("\n"), self.story.join("\n"), self.settings);
            self.managers.iter().for_each(|manager| println!("{}", manager.log()));
        }
        assert!(broken.is_empty(), "seed {}: {} broken", self.seed, broken.len());
        assert!(events > 200, "seed {}: clients did little", self.seed);
    }
}
