//! The running instances, and the events delivered to them.

use super::errors::ErrorKind;
use super::reply::Reply;
use super::values::{bytes, duration_hint, ms, outcome, unexpected, ParseResult, Values};
use ottersail::actions::PlacementActions;
use ottersail::ids::{Rung, TimerTag, TuneInIndex};
use ottersail::placement::Placement;
use ottersail::state::{ListMode, ServerEntry, Topic, ViewingRequest};
use ottersail::time::Ms;
use ottersail_platform::errors::excerpt;
use ottersail_platform::load_report::parse_load_report;
use ottersail_platform::terms::read_terms;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

/// Names of the events, each followed by the name of an instance.
const EVENTS: [&str; 12] = [
    "BORN",
    "CRASH_NOW",
    "MEMBERS",
    "INCOMING",
    "PREEXISTING",
    "CHANGE",
    "BELL",
    "FIRST",
    "ANSWER",
    "DROPPED",
    "ECHO",
    "DATAGRAM",
];

/// The running instances by name.
#[derive(Default)]
pub struct Host {
    placements: BTreeMap<String, Placement>,
    /// Names of all instances that have been started, including those that crashed.
    ever_started: BTreeSet<String>,
    /// Registered server lists by number.
    pub sheets: BTreeMap<u64, Rc<[ServerEntry]>>,
}

impl Host {
    /// Delivers one event to its instance and writes the resulting actions. A panic becomes a PANIC line.
    pub fn event<W: Write>(
        &mut self,
        name: &str,
        mut values: Values,
        now: Ms,
        output: &mut W,
    ) -> ParseResult<()> {
        if !EVENTS.contains(&name) {
            return unexpected(name, "a known event");
        }
        let instance = values.text("manager-id")?;
        let mut reply = Reply { output, instance, error: None };
        let result = catch_unwind(AssertUnwindSafe(|| self.deliver(name, values, now, instance, &mut reply)));
        if let Some(error) = reply.error {
            return Err(ErrorKind::Output(error));
        }
        result.unwrap_or_else(|panic| {
            let message = panic.downcast_ref::<&str>().copied();
            let message =
                message.or(panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown cause");
            reply.line("PANIC", format_args!(" {}", message.replace('\n', " ")));
            Ok(())
        })
    }

    fn deliver(
        &mut self,
        name: &str,
        mut values: Values,
        now: Ms,
        instance: &str,
        actions: &mut dyn PlacementActions,
    ) -> ParseResult<()> {
        if name == "BORN" {
            let seed = values.number("salt")?;
            let settings = values.remainder("conf")?;
            let settings = serde_json::from_str(settings)
                .map_err(|source| ErrorKind::Settings { read: excerpt(settings), source })?;
            self.ever_started.insert(instance.to_string());
            self.placements
                .insert(instance.to_string(), Placement::new(now, seed, read_terms(&settings), actions));
            return Ok(());
        }
        if name == "CRASH_NOW" {
            values.end()?;
            if !self.ever_started.contains(instance) {
                return unexpected(instance, "an instance that was born");
            }
            self.placements.remove(instance);
            return Ok(());
        }
        let Some(placement) = self.placements.get_mut(instance) else {
            return unexpected(instance, "an instance that was born");
        };
        match name {
            "MEMBERS" => {
                let mode = match values.text("mode")? {
                    "INCREMENTAL" => ListMode::Incremental,
                    "FULL" => ListMode::Full,
                    "SAVED" => ListMode::Saved,
                    "FAILED" => ListMode::Failed,
                    other => return unexpected(other, "a list mode"),
                };
                values.optional::<u64>("serial")?;
                let sheet = values.optional::<u64>("sheet")?;
                values.end()?;
                if mode == ListMode::Failed {
                    placement.update_servers(now, mode, &[], actions);
                } else {
                    match sheet.and_then(|sheet| self.sheets.get(&sheet)) {
                        Some(entries) => placement.update_servers(now, mode, entries, actions),
                        None => return unexpected(&format!("{sheet:?}"), "a sheet that was registered"),
                    }
                }
            }
            "INCOMING" => {
                let viewing = values.text("handle")?.into();
                let max_rung = Rung(values.number("best-rung")?);
                let bits = values.optional::<u64>("bits")?;
                let expected_duration = duration_hint(bits, values.optional::<i64>("expected-ns")?);
                let owner = values.text("owner")?;
                let first_cell = values.number("base")?;
                let title = values.text("item")?.into();
                let deadline = values.time("due-ns")?;
                let priority = values.text("priority")?;
                let cell_count = values.number("cells-in-row")?;
                values.text("key")?;
                values.end()?;
                let Some(package) = placement.package_named(priority) else {
                    return unexpected(priority, "a class of the settings");
                };
                let tenant = placement.tenant_named(owner);
                placement.request_viewing(
                    now,
                    ViewingRequest {
                        viewing,
                        package,
                        tenant,
                        title,
                        first_cell,
                        cell_count,
                        max_rung,
                        deadline,
                        expected_duration,
                    },
                    actions,
                );
            }
            "PREEXISTING" => {
                let viewing = values.text("handle")?.into();
                let priority = values.text("priority")?;
                let owner = values.text("owner")?;
                values.text("item")?;
                let title = values.text("title")?.into();
                let deadline = values.optional::<i64>("due-ns")?.map_or(Ms::DISTANT_PAST, ms);
                let expected = values.optional::<i64>("expected-ns")?;
                let first_cell = values.number("base")?;
                let cell_count = values.number("cells-in-row")?;
                let max_rung = Rung(values.number("best-rung")?);
                let expected_duration = duration_hint(values.optional::<u64>("bits")?, expected);
                let server = values.text("server")?.into();
                values.end()?;
                let Some(package) = placement.package_named(priority) else {
                    return unexpected(priority, "a class of the settings");
                };
                let tenant = placement.tenant_named(owner);
                let request = ViewingRequest {
                    viewing,
                    package,
                    tenant,
                    title,
                    first_cell,
                    cell_count,
                    max_rung,
                    deadline,
                    expected_duration,
                };
                placement.adopt_viewing(now, request, server, actions);
            }
            "CHANGE" => {
                let viewing = values.text("handle")?.into();
                values.optional::<u64>("leg")?;
                let value = values.number("value")?;
                let topic = match values.number::<u64>("topic")? {
                    1 => Some(Topic::ShareDelivered),
                    2 => Some(Topic::RungInForce),
                    3 => Some(Topic::LinkAsked),
                    4 => Some(Topic::UplinkAsked),
                    _ => None,
                };
                let server = values.text("server")?.into();
                values.end()?;
                if let Some(topic) = topic {
                    placement.note_received(now, &viewing, topic, value, &server, actions);
                }
            }
            "BELL" => {
                let tag = TimerTag(values.number("tag")?);
                values.end()?;
                placement.timer_fired(now, tag, actions);
            }
            "FIRST" => {
                let viewing = values.text("handle")?.into();
                values.optional::<i64>("elapsed-ns")?;
                values.optional::<u64>("leg")?;
                let server = values.text("server")?.into();
                values.end()?;
                placement.viewing_started(now, &viewing, &server, actions);
            }
            "ANSWER" => {
                let viewing = values.text("handle")?.into();
                let no = TuneInIndex(values.number("leg")?);
                let server = values.text("server")?.into();
                let ending = outcome(values.text("ending")?)?;
                values.optional::<i64>("elapsed-ns")?;
                let last = values.optional::<u8>("last")? == Some(1);
                let load = parse_load_report(values.text("load")?)?;
                values.end()?;
                placement.tune_in_ended(now, &viewing, no, &server, ending, last, load, actions);
            }
            "DROPPED" => {
                let viewing = values.text("handle")?.into();
                values.end()?;
                placement.viewer_left(now, &viewing, actions);
            }
            "ECHO" => {
                let server = values.text("server")?.into();
                let ending = outcome(values.text("ending")?)?;
                values.optional::<i64>("elapsed-ns")?;
                let load = parse_load_report(values.text("load")?)?;
                values.end()?;
                placement.probe_ended(now, &server, ending, load, actions);
            }
            "DATAGRAM" => {
                // Instances exchange no messages; a datagram is only checked for its format.
                values.number::<u64>("author")?;
                bytes(values.text("payload")?)?;
                values.end()?;
            }
            _ => {}
        }
        Ok(())
    }
}
