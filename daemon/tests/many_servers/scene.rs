//! One manager, many servers, clients, a command channel; judged from the sockets.

use ottersail_daemon::trial::{ClassSettings, LaunchOptions, ManagerProcess, ManagerSettings};
use ottersail_fake_servers::callers::{CallerOrder, CallerSettings, Callers};
use ottersail_fake_servers::commands::CommandChannel;
use ottersail_fake_servers::media::{MediaFleet, MediaSettings};
use ottersail_invariants::platform::{judge, Broken, Class, ManagerEvent, Terms, Trace};
use rustix::process::Signal;
use std::ops::Range;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// What differs between the cases.
#[derive(Clone)]
pub struct SceneSettings {
    pub servers: usize,
    pub sockets: usize,
    pub per_second: f64,
    pub life: Range<Duration>,
    pub note_every: Duration,
}

pub struct Scene {
    began: Instant,
    pub fleet: MediaFleet,
    _channel: CommandChannel,
    callers: Callers,
    manager: ManagerProcess,
    events: Vec<ManagerEvent>,
    _folder: TempDir,
}

const PATIENCE: Duration = Duration::from_millis(1_400);

fn settings(scene: &SceneSettings) -> ManagerSettings {
    ManagerSettings {
        classes: vec![ClassSettings {
            name: "clips".to_string(),
            class: Class::Idempotent,
            promise: Duration::from_millis(300),
            deadline: PATIENCE,
            lowest_rung: 0,
        }],
        managers: 1,
        sockets: scene.sockets,
        cells: scene.servers as u64,
        connect_timeout: Duration::from_millis(250),
        connection_idle: Duration::from_secs(30),
        attempts_per_connection: 1_000,
        max_attempts: 3,
        drain_grace: Duration::from_secs(1),
        cold: Duration::ZERO,
        probes: true,
    }
}

impl Scene {
    pub fn start(scene: &SceneSettings) -> Scene {
        let fleet = MediaFleet::start(MediaSettings {
            servers: scene.servers,
            seed: 7,
            life: scene.life.clone(),
            note_every: scene.note_every,
        })
        .unwrap();
        let channel = CommandChannel::start(&fleet.list()).unwrap();
        let address = fleet.manager_address();
        let (settings, folder) = (settings(scene), TempDir::new().unwrap());
        let launch = LaunchOptions {
            program: env!("CARGO_BIN_EXE_ottersail").into(),
            folder: folder.path().to_path_buf(),
            sockets: scene.sockets,
            log_filter: "info".to_string(),
        };
        let config = settings.file(0, address, channel.address, &channel.known());
        let manager = ManagerProcess::start(&launch, 0, address, &config);
        let mut manager = manager.unwrap();
        assert!(manager.wait_ready(Duration::from_secs(20)), "{}", manager.log());
        let callers = Callers::start(CallerSettings {
            seed: 3,
            classes: vec!["clips".to_string()],
            patience: PATIENCE / 2..PATIENCE,
            cells: scene.servers as u64,
            copies: 2,
            top_rung: 2,
            give_up_percent: 0,
            pieces_percent: 0,
            connections: scene.sockets / 8,
        });
        callers.tell(CallerOrder::Load { manager: 0, address, per_second: scene.per_second });
        Scene {
            began: Instant::now(),
            fleet,
            _channel: channel,
            callers,
            manager,
            events: Vec::new(),
            _folder: folder,
        }
    }

    pub fn play(&self, span: Duration) {
        std::thread::sleep(span);
    }

    /// The same, while clients go on to use the connections that are open.
    pub fn terminate_and_kill_under_load(&mut self) {
        self.manager.signal(Signal::TERM);
        self.events.push(ManagerEvent::Terminated { at: Instant::now(), manager: 0 });
        self.callers.tell(CallerOrder::OpenConnectionsOnly { manager: 0 });
        std::thread::sleep(PATIENCE + Duration::from_millis(700));
        self.callers.tell(CallerOrder::Stop { manager: 0 });
        self.manager.kill();
        self.events.push(ManagerEvent::Killed { at: Instant::now(), manager: 0 });
    }

    /// SIGTERM, and SIGKILL as early as the platform may send it.
    pub fn terminate_and_kill(&mut self) {
        self.callers.tell(CallerOrder::Stop { manager: 0 });
        self.manager.signal(Signal::TERM);
        self.events.push(ManagerEvent::Terminated { at: Instant::now(), manager: 0 });
        self.manager.wait_exit(PATIENCE + Duration::from_millis(700));
        self.manager.kill();
        self.events.push(ManagerEvent::Killed { at: Instant::now(), manager: 0 });
    }

    /// Judges what was due by now.
    pub fn end_and_judge(self) {
        let ended = Instant::now();
        self.callers.tell(CallerOrder::Stop { manager: 0 });
        let terms = Terms {
            classes: vec![Class::Idempotent],
            drain_grace: Duration::from_secs(1),
            closed_from: Vec::new(),
            cut_off: Vec::new(),
        };
        let (clients, servers) = (self.callers.log().events(), self.fleet.log().events());
        let requests = clients.len();
        let trace =
            Trace { began: self.began, ended, terms, clients, servers, managers: self.events.clone() };
        let broken = judge(&trace);
        let shown: Vec<String> = broken.iter().take(10).map(Broken::to_string).collect();
        let cost = self.manager.cost();
        assert!(requests > 100, "clients did little: {requests} events");
        assert!(
            broken.is_empty(),
            "{} broken, {cost:?}:\n{}\n{}",
            broken.len(),
            shown.join("\n"),
            self.manager.log()
        );
    }
}
