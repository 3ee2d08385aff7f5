//! Players: each viewer asks, plays, reloads, leaves; some come again, some are slow, some lie.

use crate::day::{Day, FaultKind};
use crate::record::Recorder;
use crate::wires::Behind;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hyper::{Method, Request, StatusCode};
use m3u8_rs::MediaPlaylist;
use ottersail_judge::Event;
use ottersail_net::{block_on, executor, Answer, Body, Client, Exec, Stream, Timer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a crowd needs to know.
#[derive(Clone)]
pub struct Crowd {
    pub day: Day,
    pub recorder: Recorder,
    /// Each manager's address, and the zone of each.
    pub managers: Vec<SocketAddr>,
    pub zones: Vec<String>,
    /// Other sockets that nonsense is talked to.
    pub sockets: Vec<SocketAddr>,
    /// What stands behind the relays, which are the managers' only.
    pub behind: Behind,
    /// The day's beginning, in milliseconds since 1970.
    pub began: f64,
}

struct World {
    crowd: Arc<Crowd>,
    /// For requests whose connection is closed to leave.
    asking: Client,
    /// For all else.
    client: Client,
    rng: RefCell<fastrand::Rng>,
    asks: Cell<u64>,
    watching: Cell<usize>,
    /// A ticket of somebody else's, for those who try it.
    foreign: RefCell<String>,
    /// Managers that could not be reached, and when: passed over for a while, as by the load balancer before them.
    down: RefCell<BTreeMap<usize, f64>>,
}

/// How long a manager that could not be reached is passed over.
const PASSED_OVER: f64 = 1_000.0;

const SEGMENT_PATIENCE: Duration = Duration::from_secs(4);
const MOST: usize = 1 << 20;
/// Viewers who were starved for so long, in milliseconds, leave.
const STARVED: f64 = 5_000.0;

/// Plays a day's viewers; comes back when viewers have stopped coming and the last has left, or after `play_out`.
pub fn run_players(crowd: Crowd, play_out: Duration) {
    let exec = executor();
    let (seed, seconds) = (crowd.day.seed, crowd.day.seconds);
    let began = crowd.recorder.clock().instant(crowd.began);
    let world = Rc::new(World {
        asking: Client::new(exec, Duration::from_millis(500), 0, Duration::ZERO),
        client: Client::new(exec, Duration::from_millis(500), 64, Duration::from_secs(5)),
        rng: RefCell::new(fastrand::Rng::with_seed(seed ^ 0x5eed)),
        asks: Cell::new(0),
        watching: Cell::new(0),
        foreign: RefCell::default(),
        down: RefCell::default(),
        crowd: Arc::new(crowd),
    });
    let end = began + Duration::from_secs_f64(seconds);
    block_on(exec.run(async {
        mischief(exec, &world, began);
        Timer::at(began).await;
        arrivals(exec, &world, began, end).await;
        while world.watching.get() > 0 && Instant::now() < end + play_out {
            Timer::after(Duration::from_millis(50)).await;
        }
    }));
}

async fn arrivals(exec: Exec, world: &Rc<World>, began: Instant, end: Instant) {
    let mut at = began;
    loop {
        let second = (at - began).as_secs_f64();
        let day = &world.crowd.day;
        let burst = day.faults_of(FaultKind::Burst, second).map(|it| it.size).fold(1.0, f64::max);
        let gap = -(1.0 - world.part()).ln() / (day.per_second * burst);
        at += Duration::from_secs_f64(gap.clamp(0.0, 10.0));
        if at >= end {
            return;
        }
        Timer::at(at).await;
        let world = world.clone();
        world.watching.set(world.watching.get() + 1);
        exec.spawn(async move {
            viewer(&world, (Instant::now() - began).as_secs_f64()).await;
            world.watching.set(world.watching.get() - 1);
        })
        .detach();
    }
}

struct Viewer {
    package: usize,
    title: String,
    best: usize,
    zone: String,
    tenant: Option<String>,
    /// Milliseconds after which it leaves, if it leaves early.
    leaves: f64,
}

enum Asked {
    Plays(String, u64),
    Blocked(f64),
    Aborted,
    Gone,
}

impl World {
    fn part(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }

    fn now(&self) -> f64 {
        self.crowd.recorder.clock().now()
    }

    fn note(&self, event: Event) {
        self.crowd.recorder.note(event);
    }

    fn next_ask(&self) -> u64 {
        self.asks.set(self.asks.get() + 1);
        self.asks.get()
    }

    fn draw(&self, second: f64) -> Viewer {
        let day = &self.crowd.day;
        let mut left = self.part() * day.packages.iter().map(|it| it.share).sum::<f64>();
        let package = day.packages.iter().position(|it| {
            left -= it.share;
            left < 0.0
        });
        let package = package.unwrap_or(0);
        let crowded = day.faults_of(FaultKind::Crowd, second).map(|it| it.part).fold(0.0, f64::max);
        let number = if self.part() < crowded {
            0
        } else {
            // A skewed popularity: the part raised to the skew leans to the first titles.
            (self.part().powf(1.0 + day.skew) * day.titles as f64) as usize
        };
        let rungs = day.rates_kb.len();
        let best = if self.part() < 0.25 { rungs.saturating_sub(2) } else { rungs - 1 };
        let zone = day.zones[(self.part() * day.zones.len() as f64) as usize % day.zones.len()].clone();
        let tenants = day.tenants.len();
        let tenant =
            (tenants > 0).then(|| day.tenants[(self.part() * tenants as f64) as usize % tenants].clone());
        let length = day.packages[package].length.1 * 1e3;
        let leaves = if self.part() < day.leave_early { self.part() * length } else { f64::INFINITY };
        let title = format!("{}-{number}", day.packages[package].name);
        Viewer { package, title, best, zone, tenant, leaves }
    }

    /// One of the managers of its zone, or any if the zone has none.
    fn manager(&self, zone: &str) -> usize {
        let crowd = &self.crowd;
        let now = self.now();
        self.down.borrow_mut().retain(|_, it| now - *it < PASSED_OVER);
        let down = self.down.borrow();
        let up: Vec<usize> = (0..crowd.managers.len()).filter(|it| !down.contains_key(it)).collect();
        let all = if up.is_empty() { (0..crowd.managers.len()).collect() } else { up };
        let near: Vec<usize> = all.iter().copied().filter(|it| crowd.zones[*it] == zone).collect();
        let from = if near.is_empty() { &all } else { &near };
        from[(self.part().powf(1.0 + crowd.day.lean) * from.len() as f64) as usize % from.len()]
    }

    fn request(address: &str, path: &str, ask: u64) -> Request<Body> {
        let mut request = Client::request(Method::GET, address, path);
        let trace = format!("00-{ask:032x}-{ask:016x}-01");
        if let Ok(trace) = trace.parse() {
            request.headers_mut().insert("traceparent", trace);
        }
        request
    }
}

async fn within<T>(span: Duration, future: impl std::future::Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        Timer::after(span).await;
        None
    })
    .await
}

async fn pause(ms: f64) {
    Timer::after(Duration::from_secs_f64(ms.clamp(0.0, 60_000.0) / 1e3)).await;
}

async fn viewer(world: &Rc<World>, second: f64) {
    let viewer = world.draw(second);
    for _ in 0..3 {
        match ask(world, &viewer).await {
            Asked::Plays(url, ask) => {
                if !watch(world, &viewer, &url, ask).await {
                    return;
                }
            }
            Asked::Blocked(stay_away) => pause(stay_away.max(500.0)).await,
            Asked::Aborted => {
                if !world.crowd.day.packages[viewer.package].may_repeat {
                    return;
                }
                pause(800.0).await;
            }
            Asked::Gone => pause(600.0).await,
        }
        if world.part() > world.crowd.day.come_again {
            return;
        }
        pause(200.0 + 800.0 * world.part()).await;
    }
}

/// Sends a request that a viewing may be taken for, and writes down how it is answered.
async fn owed(
    world: &Rc<World>,
    client: &Client,
    (address, path): (&str, &str),
    ask: u64,
    (patience, leave_after): (f64, f64),
) -> Option<Answer> {
    let sent = client.exchange(address, World::request(address, path, ask), MOST, || true);
    let span = Duration::from_secs_f64(patience.min(leave_after) / 1e3);
    match within(span, sent).await {
        Some(Ok(answer)) => {
            world.note(Event::Answered { ask, status: answer.status.as_u16() });
            Some(answer)
        }
        Some(Err(_)) => {
            // Also where nothing was taken: that is excused only if the manager was dead.
            world.note(Event::Broke { ask });
            None
        }
        None if leave_after < patience => {
            world.note(Event::Left { ask });
            None
        }
        None => {
            world.note(Event::GaveUp { ask });
            None
        }
    }
}

fn stay_away(answer: &Answer) -> f64 {
    let header = answer.headers.get("retry-after").and_then(|it| it.to_str().ok());
    header.and_then(|it| it.parse::<f64>().ok()).unwrap_or(1.0) * 1e3
}

async fn ask(world: &Rc<World>, viewer: &Viewer) -> Asked {
    let day = &world.crowd.day;
    let manager = world.manager(&viewer.zone);
    let (address, number) = (world.crowd.managers[manager].to_string(), world.next_ask());
    let package = &day.packages[viewer.package];
    let tenant = viewer.tenant.as_ref().map_or(String::new(), |it| format!("&tenant={it}"));
    let path = format!(
        "/watch/{}?package={}&best={}&patience-ms={}{tenant}",
        viewer.title, package.name, viewer.best, package.patience
    );
    let (patience, first) = (package.patience, true);
    let leave_after = if world.part() < day.impatient { world.part() * 60.0 } else { f64::INFINITY };
    let (name, title) = (package.name.clone(), viewer.title.clone());
    world.note(Event::Asked { ask: number, manager, package: name, title, patience, first });
    let answer = owed(world, &world.asking, (&address, &path), number, (patience, leave_after)).await;
    let Some(answer) = answer else {
        if leave_after < patience {
            return Asked::Aborted;
        }
        world.down.borrow_mut().insert(manager, world.now());
        return Asked::Gone;
    };
    match answer.status {
        StatusCode::OK => {
            let text = &answer.body;
            let uri = m3u8_rs::parse_master_playlist_res(text)
                .ok()
                .and_then(|it| it.variants.first().map(|it| it.uri.clone()));
            match uri {
                Some(uri) => Asked::Plays(uri, number),
                None => {
                    world.note(Event::Flaw { ask: number, what: "no variant in the first playlist".into() });
                    Asked::Aborted
                }
            }
        }
        StatusCode::SERVICE_UNAVAILABLE => Asked::Blocked(stay_away(&answer)),
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Asked::Aborted,
        other => {
            world.note(Event::Flaw { ask: number, what: format!("answered {other}") });
            Asked::Aborted
        }
    }
}

/// `http://host:port/path` in its two parts.
fn split(url: &str) -> Option<(&str, &str)> {
    let rest = url.strip_prefix("http://")?;
    let at = rest.find('/')?;
    Some((&rest[..at], &rest[at..]))
}

/// What a player remembers of its playlist.
#[derive(Default)]
struct Reading {
    next: u64,
    first: u64,
    map: Option<String>,
    rung: Option<usize>,
    seen: std::collections::BTreeMap<u64, String>,
}

/// Plays to the end; true if the viewer should come again.
async fn watch(world: &Rc<World>, viewer: &Viewer, url: &str, ask: u64) -> bool {
    let day = &world.crowd.day;
    let Some((address, path)) = split(url) else {
        world.note(Event::Flaw { ask, what: format!("the playlist's address {url:?}") });
        return false;
    };
    let manager = world.crowd.managers.iter().position(|it| it.to_string() == address).unwrap_or(0);
    let package = &day.packages[viewer.package];
    let segment_ms = day.segment;
    let began = world.now();
    let mut reading = Reading::default();
    let (mut offered, mut earned, mut stalled) = (0.0, 0.0, 0.0);
    let mut plays_until: Option<f64> = None;
    let mut failures = 0;
    let again = loop {
        if world.now() - began > viewer.leaves || stalled > STARVED {
            break false;
        }
        let number = world.next_ask();
        let separator = if path.contains('?') { '&' } else { '?' };
        let reload = format!("{path}{separator}_HLS_msn={}", reading.next);
        let (name, title, patience) = (package.name.clone(), viewer.title.clone(), package.patience);
        world.note(Event::Asked { ask: number, manager, package: name, title, patience, first: false });
        let answer = owed(world, &world.client, (address, &reload), number, (patience, f64::INFINITY)).await;
        let Some(answer) = answer else {
            break true;
        };
        match answer.status {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE if failures < 3 => {
                failures += 1;
                pause(stay_away(&answer).min(1500.0)).await;
                continue;
            }
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT if failures < 3 => {
                failures += 1;
                pause(300.0).await;
                continue;
            }
            // The watch is over, or no room: its viewer may ask anew.
            _ => break true,
        }
        let Ok(list) = m3u8_rs::parse_media_playlist_res(&answer.body) else {
            world.note(Event::Flaw { ask: number, what: "not a media playlist".into() });
            break false;
        };
        check(world, number, &mut reading, &list, day.segment);
        let mut fetched = false;
        let mut broke = false;
        for (ix, segment) in list.segments.iter().enumerate() {
            let at = list.media_sequence + ix as u64;
            if at < reading.next {
                continue;
            }
            // Three segments are buffered, no more.
            if let Some(until) = plays_until {
                pause(until - 3.0 * segment_ms - world.now()).await;
            }
            if world.now() - began > viewer.leaves {
                break;
            }
            let Some((server, path)) = split(&segment.uri) else {
                world.note(Event::Flaw { ask: number, what: "a segment's address".into() });
                continue;
            };
            if ix % 16 == 0 {
                *world.foreign.borrow_mut() = path.to_string();
            }
            let server = world.crowd.behind.real(server);
            let sent =
                world.client.exchange(&server, Client::request(Method::GET, &server, path), MOST, || true);
            let got = within(SEGMENT_PATIENCE, sent).await;
            match got {
                Some(Ok(answer)) if answer.status == StatusCode::OK => {}
                Some(Ok(answer)) if answer.status == StatusCode::FORBIDDEN => {
                    world.note(Event::Flaw { ask: number, what: "a good ticket was turned away".into() });
                    broke = true;
                    break;
                }
                _ => {
                    broke = true;
                    break;
                }
            }
            fetched = true;
            failures = 0;
            let now = world.now();
            let until = plays_until.unwrap_or(now);
            if now > until {
                stalled += now - until;
            }
            let seconds = f64::from(segment.duration);
            plays_until = Some(until.max(now) + seconds * 1e3);
            let rung = path.split('/').nth(3).and_then(|it| it.parse::<usize>().ok()).unwrap_or(0);
            let worth = |rung: usize| day.worth.get(rung).copied().unwrap_or(1.0);
            offered += worth(viewer.best) * seconds;
            earned += worth(rung) * seconds;
            reading.next = at + 1;
        }
        if !broke && list.end_list && reading.next >= list.media_sequence + list.segments.len() as u64 {
            if let Some(until) = plays_until {
                pause(until - world.now()).await;
            }
            break false;
        }
        if broke {
            failures += 1;
            if failures > 8 {
                break true;
            }
            pause(250.0).await;
        } else if !fetched {
            pause(segment_ms / 2.0).await;
        } else {
            let left = plays_until.map_or(0.0, |it| it - world.now() - 2.0 * segment_ms);
            pause(left.clamp(50.0, segment_ms)).await;
        }
    };
    let lost = stalled / 1e3 * day.worth.get(viewer.best).copied().unwrap_or(1.0);
    world.note(Event::Watched { ask, offered, earned: (earned - lost).max(0.0), stalled });
    again
}

/// What RFC 8216 wants of a playlist that is reloaded.
fn check(world: &World, ask: u64, reading: &mut Reading, list: &MediaPlaylist, segment: f64) {
    let flaw = |what: String| world.note(Event::Flaw { ask, what });
    if list.media_sequence < reading.first {
        flaw(format!("the media sequence went back from {} to {}", reading.first, list.media_sequence));
    }
    if !list.segments.is_empty() && list.media_sequence + (list.segments.len() as u64) < reading.next {
        flaw("segments that were listed are missing at the end".into());
    }
    reading.first = list.media_sequence;
    let mut map: Option<String> = None;
    let mut rung_before: Option<usize> = None;
    for (ix, it) in list.segments.iter().enumerate() {
        let at = list.media_sequence + ix as u64;
        if f64::from(it.duration).round() > list.target_duration as f64
            || f64::from(it.duration) * 1e3 > segment + 1.0
        {
            flaw(format!("segment {at} is longer than the target"));
        }
        let place = it.uri.split('?').next().unwrap_or("").to_string();
        if let Some(before) = reading.seen.get(&at).filter(|before| **before != place) {
            flaw(format!("segment {at} was {before} and is now {place}"));
        }
        reading.seen.insert(at, place.clone());
        if let Some(told) = &it.map {
            map = Some(told.uri.clone());
        }
        let Some(map) = &map else {
            flaw(format!("segment {at} has no map"));
            continue;
        };
        let rung = place.split('/').nth(5).and_then(|it| it.parse::<usize>().ok());
        let of_map = map.split('/').nth(5).and_then(|it| it.parse::<usize>().ok());
        if rung != of_map {
            flaw(format!("segment {at} of rung {rung:?} has the map of {of_map:?}"));
        }
        if rung_before.is_some() && rung != rung_before && !it.discontinuity {
            flaw(format!("rung {rung_before:?} is followed by {rung:?} without a discontinuity"));
        }
        rung_before = rung;
    }
    (reading.map, reading.rung) = (map, rung_before);
    while reading.seen.len() > 64 {
        reading.seen.pop_first();
    }
}

/// Those who mean no viewing: slow readers, talkers of nonsense, forgers.
fn mischief(exec: Exec, world: &Rc<World>, began: Instant) {
    for fault in world.crowd.day.faults.clone() {
        let start = began + Duration::from_secs_f64(fault.start);
        let end = began + Duration::from_secs_f64(fault.end);
        let world = world.clone();
        match fault.kind {
            FaultKind::SlowReaders => {
                for _ in 0..fault.size as usize {
                    let world = world.clone();
                    exec.spawn(async move {
                        Timer::at(start).await;
                        _ = slow_reader(&world, end).await;
                    })
                    .detach();
                }
            }
            FaultKind::Nonsense => exec
                .spawn(async move {
                    Timer::at(start).await;
                    while Instant::now() < end {
                        _ = within(Duration::from_secs(2), nonsense(&world)).await;
                        pause(1e3 / fault.size.max(0.1)).await;
                    }
                })
                .detach(),
            FaultKind::Forgers => exec
                .spawn(async move {
                    Timer::at(start).await;
                    while Instant::now() < end {
                        forge(&world).await;
                        pause(200.0).await;
                    }
                })
                .detach(),
            _ => {}
        }
    }
}

/// Asks over and over on one connection and reads one byte a second.
async fn slow_reader(world: &Rc<World>, end: Instant) -> std::io::Result<()> {
    let manager = world.manager("");
    let mut stream = Stream::connect(world.crowd.managers[manager]).await?;
    let request = "GET /metrics HTTP/1.1\r\nhost: slow\r\n\r\n".repeat(200);
    _ = within(Duration::from_secs(1), stream.write_all(request.as_bytes())).await;
    let mut byte = [0];
    while Instant::now() < end {
        stream.read_exact(&mut byte).await?;
        pause(1000.0).await;
    }
    Ok(())
}

/// Something that is no request, is cut off, too long, or never ends.
async fn nonsense(world: &Rc<World>) -> std::io::Result<()> {
    let crowd = &world.crowd;
    let all: Vec<SocketAddr> = crowd.managers.iter().chain(&crowd.sockets).copied().collect();
    let to = all[(world.part() * all.len() as f64) as usize % all.len()];
    let mut stream = Stream::connect(to).await?;
    let kind = (world.part() * 6.0) as usize;
    let text: Vec<u8> = match kind {
        0 => b"\x16\x03\x01\x02\x00\x01\x00".to_vec(),
        1 => b"GET /watch/x HTTP/1.1\r\nhost: x\r\nx-long: ".iter().copied().chain([b'a'; 100_000]).collect(),
        2 => b"GET /watch/%00%ff?package=..&best=99999999999999999999&patience-ms=NaN HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
        3 => b"POST /watch/clips-0?package=clips HTTP/1.1\r\nhost: x\r\ncontent-length: 999999999\r\n\r\nxx".to_vec(),
        4 => b"GET /viewing/nobody.m3u8?t=1.a.b&_HLS_msn=-5 HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
        _ => b"GET /watch/clips-0?pack".to_vec(),
    };
    stream.write_all(&text).await?;
    let mut answer = [0; 512];
    _ = stream.read(&mut answer).await?;
    Ok(())
}

/// Another viewing's ticket on one's own address, a changed one, and an expired one.
async fn forge(world: &Rc<World>) {
    let path = world.foreign.borrow().clone();
    if path.is_empty() {
        return;
    }
    let manager = world.crowd.managers[world.manager("")].to_string();
    let forged = path.replacen("/viewings/", "/viewings/0", 1);
    for (address, path) in
        [(manager.clone(), format!("/viewing/0-0-1.m3u8?{}", query_of(&path))), (manager, forged)]
    {
        let sent =
            world.client.exchange(&address, Client::request(Method::GET, &address, &path), MOST, || true);
        if let Some(Ok(answer)) = within(SEGMENT_PATIENCE, sent).await {
            if answer.status.is_success() {
                world
                    .note(Event::Flaw { ask: 0, what: format!("a forged ticket was believed at {address}") });
            }
        }
    }
    for server in &world.crowd.sockets {
        let address = server.to_string();
        let tampered = path.replace("/s", "/s1");
        let sent =
            world.client.exchange(&address, Client::request(Method::GET, &address, &tampered), MOST, || true);
        if let Some(Ok(answer)) = within(SEGMENT_PATIENCE, sent).await {
            if answer.status.is_success() {
                world.note(Event::Flaw { ask: 0, what: "a forged ticket was believed by a server".into() });
            }
        }
    }
}

fn query_of(path: &str) -> &str {
    path.split_once('?').map_or("", |it| it.1)
}
