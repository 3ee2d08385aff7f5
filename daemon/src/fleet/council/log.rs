//! Log messages under the targets `council`, `parts` and `releases`.

use super::requests::FoundingConfig;
use super::role::Seat;
use ottersail_consensus::{Key, Value};
use ottersail_leases::LeaseError;
use ottersail_rollout::{Event, Order, OrderNotPut, Refusal, State};
use tracing::{error, info, warn};

pub(super) fn key(key: Key) -> String {
    match key {
        Key::Founding => "head".into(),
        Key::Slots(no) => format!("slots-{no}"),
        Key::Order(no) => format!("order-{no}"),
    }
}

pub(super) fn begins(councillors: &[String], seat: &Seat) {
    let kind = if seat.is_councillor() { "councillor" } else { "follower" };
    info!(target: "council", kind, councillors = councillors.join(", "), "council");
}

pub(super) fn participation(participates: bool) {
    if participates {
        info!(target: "council", "this councillor takes part");
    } else {
        warn!(
            target: "council",
            "this councillor abstains until it is founded with all, or has what most of the others know"
        );
    }
}

pub(super) fn chosen(register: Key, value: &Value) {
    info!(target: "council", key = key(register), revision = value.revision, bytes = value.body.len(), "chosen");
}

pub(super) fn unknown_head(bytes: usize) {
    error!(
        target: "council", bytes,
        "the founding register has an unknown version: no slots are used; update this program to the version of the others"
    );
}

pub(super) fn founded(head: FoundingConfig, own: FoundingConfig) {
    let FoundingConfig { slots, lease_ms, drift_ppm } = head;
    info!(target: "council", slots, lease_ms, drift_ppm, "founded");
    if head != own {
        warn!(
            target: "council", slots, own_slots = own.slots, lease_ms, own_lease_ms = own.lease_ms, drift_ppm,
            own_drift_ppm = own.drift_ppm,
            "these settings differ from the founding's, which are followed; write those into [council]"
        );
    }
}

pub(super) fn trouble(trouble: &LeaseError) {
    error!(target: "parts", %trouble, "a register cannot be decoded");
}

pub(super) fn unread(register: Key) {
    error!(
        target: "releases", key = key(register),
        "the register has an unknown version; update this program to the version of the others"
    );
}

/// The order's state as the log writes it.
fn state_name(state: State) -> &'static str {
    match state {
        State::Go => "Go",
        State::Halt => "Halt",
        State::Back => "Back",
        State::HaltedByEvidence => "Stopped",
    }
}

pub(super) fn ordered(revision: u64, order: &Order) {
    let Order { serial, name, version, state, .. } = order;
    let state = state_name(*state);
    info!(target: "releases", revision, serial = serial.0, %name, %version, %state, "ordered");
}

pub(super) fn file_stands(file: &Order) {
    info!(target: "releases", serial = file.serial.0, "the order of the file stands");
}

pub(super) fn file_same(file: &Order, stopped: bool) {
    let serial = file.serial.0;
    if stopped {
        warn!(
            target: "releases", serial,
            "the order of the file stands, halted by evidence; check the evidence, then order go or back under a \
             greater serial"
        );
    } else {
        info!(target: "releases", serial, "the order of the file stands already");
    }
}

pub(super) fn file_lifts(file: &Order) {
    warn!(target: "releases", serial = file.serial.0, "the order of the file lifts a halt by evidence");
}

pub(super) fn file_held(why: &OrderNotPut) {
    warn!(target: "releases", %why, "the order of the file");
}

pub(super) fn kept_out(register: Key, refusal: &Refusal) {
    info!(target: "releases", key = key(register), %refusal, "value refused for the register");
}

pub(super) fn note(event: &Event) {
    match event {
        Event::PermitOverdue { .. } | Event::OtherVersion { .. } | Event::HaltedByEvidence { .. } => {
            warn!(target: "releases", "{event}");
        }
        _ => info!(target: "releases", "{event}"),
    }
}
