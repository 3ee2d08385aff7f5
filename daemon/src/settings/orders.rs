//! The orders' file: `[release NAME]` for managers and `[drain NAME]` for servers, at most one of each. One
//! manager of the fleet reads the file and proposes its orders to the council.

#[cfg(test)]
mod tests;

use super::error::SettingsError;
use super::ini_file::{IniFile, Section};
use super::values::{format_percent, name, names, percent_or, scope, steps, zones, NAME_DESCRIPTION};
use ottersail_rollout::{Bounds, HaltPolicy, Name, Order, OrderError, Scope, Serial, State, Step};
use std::io::Read;
use std::path::Path;

/// The orders of an operator. An order that is `None` leaves the agreed one in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    /// The order to start another version of the managers.
    pub release: Option<Order>,
    /// The order to drain servers.
    pub drain: Option<Order>,
}

/// Longest orders' file in bytes. Orders have at most 600 bytes and need no more. A longer file is another kind
/// of file, given by mistake, and is not read into memory.
const MAX_FILE_BYTES: u64 = 64 << 10;
/// Largest serial number. It has room for a date and time in digits, and leaves later serials free even after a
/// typing mistake.
const MAX_SERIAL: u64 = 1_000_000_000_000_000;
/// The words of `state`.
const STATES: &[(&str, State)] = &[("go", State::Go), ("halt", State::Halt), ("back", State::Back)];
/// The words of `halt-by`: whether evidence may halt the order too, and not only an operator.
const HALT_SOURCES: &[(&str, bool)] = &[("evidence", true), ("order", false)];
/// `headroom` and the scope and steps of an order are counted in thousandths.
const THOUSAND: u16 = 1_000;
/// `alarms` is counted in ten-thousandths.
const TEN_THOUSAND: u16 = 10_000;

/// Reads and parses an orders' file.
///
/// # Errors
/// If the file can't be read or is too long, or with all of its problems.
pub fn load_orders(path: &Path) -> Result<Orders, SettingsError> {
    let unreadable = |cause| SettingsError::Unreadable { file: path.to_path_buf(), cause };
    // Reading a pipe would block the manager until another process writes to it.
    if !std::fs::metadata(path).map_err(unreadable)?.is_file() {
        return Err(unreadable(std::io::Error::other("it is no plain file")));
    }
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(unreadable)?;
    let bytes = file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text).map_err(unreadable)?;
    if bytes as u64 > MAX_FILE_BYTES {
        return Err(SettingsError::TooLong { file: path.to_path_buf(), max_bytes: MAX_FILE_BYTES });
    }
    parse_orders(path, &text)
}

/// Parses the text of an orders' file. `path` is the file's path.
///
/// # Errors
/// All problems of the file.
pub fn parse_orders(path: &Path, text: &str) -> Result<Orders, SettingsError> {
    // Some editors write a byte order mark, which would make the first heading invalid.
    let ini = IniFile::read(&path.display().to_string(), text.trim_start_matches('\u{feff}'));
    let orders = orders(&ini);
    ini.finish()?;
    Ok(orders)
}

/// Whether a text is an orders' file, judged by its first heading.
pub fn is_orders_file(text: &str) -> bool {
    let mut lines = text.trim_start_matches('\u{feff}').lines();
    let first = lines.find(|line| line.starts_with('[')).unwrap_or_default();
    first.starts_with("[release ") || first.starts_with("[drain ")
}

/// Reads all sections of an orders' file.
pub(super) fn orders(ini: &IniFile) -> Orders {
    Orders { release: single(ini, "release"), drain: single(ini, "drain") }
}

/// The only order of a kind; a further one is a problem.
fn single(ini: &IniFile, kind: &str) -> Option<Order> {
    let sections = ini.sections(kind);
    let all: Vec<Order> = sections.iter().map(|(name, section)| order(ini, kind, name, section)).collect();
    for (name, section) in sections.iter().skip(1).filter(|(name, _)| *name != sections[0].0) {
        let first = sections[0].0;
        let message = format!(
            "[{kind} {name}] is a second {kind}, beside [{kind} {first}]; one at a time: take one out"
        );
        ini.add_problem(section.heading_line(), message);
    }
    all.into_iter().next()
}

fn order(ini: &IniFile, kind: &str, title: &str, section: &Section) -> Order {
    let problems_before = ini.problem_count();
    let is_release = kind == "release";
    let order_name = Name::new(title);
    if order_name.is_none() {
        let message = format!("[{kind} {title}]: expected a name of {NAME_DESCRIPTION}");
        ini.add_problem(section.heading_line(), message);
    }
    let version_of = |key| if is_release { name(section, key) } else { Name::default() };
    let (version, previous_version) = (version_of("version"), version_of("before"));
    if is_release && version == previous_version && version != Name::default() {
        section.add_problem(
            "before",
            format!("must be another than version, {version}; a way back leads to it"),
        );
    }
    let (least_holders, headroom) = match is_release {
        true => (0, 0),
        false => (
            section.whole_or("least-holders", 0..=1_000, 1) as u16,
            percent_or(section, "headroom", THOUSAND, 200),
        ),
    };
    let alarms = percent_or(section, "alarms", TEN_THOUSAND, 100);
    if !(1..=TEN_THOUSAND / 2).contains(&alarms) {
        let (least, most) = (format_percent(1, TEN_THOUSAND), format_percent(TEN_THOUSAND / 2, TEN_THOUSAND));
        let actual = format_percent(alarms, TEN_THOUSAND);
        section.add_problem("alarms", format!("expected a part from {least} to {most}, read {actual}"));
    }
    let order = Order {
        serial: Serial(section.whole("serial", 1..=MAX_SERIAL)),
        name: order_name.unwrap_or_default(),
        scope: scope(section),
        version,
        previous_version,
        steps: steps(section),
        settle_ms: section.whole("settle-ms", 0..=u32::MAX.into()) as u32,
        use_ms: section.whole_or("use-ms", 0..=u32::MAX.into(), 10_000) as u32,
        bounds: Bounds {
            fleet: section.whole("fleet", 1..=u16::MAX.into()) as u16,
            most_out: section.whole("most-out", 0..=u16::MAX.into()) as u16,
            zones: zones(section),
            least_holders,
            headroom,
        },
        halt_policy: HaltPolicy {
            // Evidence is counted by manager and says nothing about a drained server, so drains do not halt by it
            // unless the file says so.
            by_evidence: section.word_or("halt-by", HALT_SOURCES, is_release),
            alarms,
            points: section.whole_or("points", 1..=100, 5) as u16,
        },
        state: section.word("state", STATES),
        struck: names(section, "strike", section.get("strike").unwrap_or("")),
    };
    // If a key is invalid, its default is in the order, and checking that would report the key a second time.
    if let (true, Err(error)) = (ini.problem_count() == problems_before, order.check()) {
        match key_of_error(&error, &order) {
            Some(key) => section.add_problem(key, error),
            None => ini.add_problem(section.heading_line(), format!("[{kind} {title}]: {error}")),
        }
    }
    order
}

/// The key that an error is about; `None` if it is about the order as a whole.
fn key_of_error(error: &OrderError, order: &Order) -> Option<&'static str> {
    Some(match error {
        OrderError::NoSteps | OrderError::TooManySteps(_) => "steps",
        OrderError::TooManyZones(_) | OrderError::ZoneBound { .. } | OrderError::ZoneSum { .. } => "zones",
        OrderError::TooManyStruck(_) => "strike",
        OrderError::MostOutZero | OrderError::MostOutNotBelowFleet { .. } => "most-out",
        OrderError::UseTime(_) => "use-ms",
        OrderError::SettleTime(_) => "settle-ms",
        OrderError::PerMille(part) if order.scope == Scope::PerMille(*part) => "who",
        OrderError::PerMille(_) => "steps",
        OrderError::TooLong(_) => return None,
    })
}

/// Writes an orders' file, from which [`parse_orders`] reads the same orders. An order that evidence has halted
/// is written with the state that the operator gave it.
pub fn write_orders(orders: &Orders) -> String {
    let section = |kind: &str, order: &Option<Order>| {
        order.as_ref().map_or(String::new(), |order| format_order(kind, order))
    };
    section("release", &orders.release) + &section("drain", &orders.drain)
}

fn format_order(kind: &str, order: &Order) -> String {
    let join = |all: &[Name]| all.iter().map(Name::to_string).collect::<Vec<_>>().join(", ");
    let who = match &order.scope {
        Scope::All => "all".to_string(),
        Scope::Zone(zone) => format!("zone {zone}"),
        Scope::Named(names) => format!("name {}", join(names)),
        Scope::PerMille(part) => format!("part {}", format_percent(*part, THOUSAND)),
    };
    let step = |step: &Step| match step {
        Step::Count(count) => count.to_string(),
        Step::PerMille(part) => format_percent(*part, THOUSAND),
    };
    let steps = order.steps.iter().map(step).collect::<Vec<_>>().join(", ");
    let Bounds { fleet, most_out, zones, least_holders, headroom } = &order.bounds;
    let zone = |(name, (members, max_out)): (&Name, &(u16, u16))| format!("{name} {members} {max_out}");
    let zones = zones.iter().map(zone).collect::<Vec<_>>().join(", ");
    let state = if order.state == State::HaltedByEvidence { State::Go } else { order.state };
    let state = STATES.iter().find(|word| word.1 == state).map_or("halt", |word| word.0);
    let halt_by = if order.halt_policy.by_evidence { "evidence" } else { "order" };
    let own_keys = match kind {
        "release" => format!("version = {}\nbefore = {}\n", order.version, order.previous_version),
        _ => format!("least-holders = {least_holders}\nheadroom = {}\n", format_percent(*headroom, THOUSAND)),
    };
    format!(
        "[{kind} {}]\nserial = {}\nwho = {who}\n{own_keys}steps = {steps}\nsettle-ms = {}\nuse-ms = {}\n\
         fleet = {fleet}\nmost-out = {most_out}\nzones = {zones}\nhalt-by = {halt_by}\nalarms = {}\n\
         points = {}\nstate = {state}\nstrike = {}\n\n",
        order.name,
        order.serial.0,
        order.settle_ms,
        order.use_ms,
        format_percent(order.halt_policy.alarms, TEN_THOUSAND),
        order.halt_policy.points,
        join(&order.struck)
    )
}
