//! Lines of the log, targets `council` and `parts`.

use super::keys::Head;
use super::seat::Seat;
use ottersail_council::{Key, Value};
use ottersail_parts::PartsError;
use tracing::{error, info, warn};

pub(super) fn key(it: Key) -> String {
    match it {
        Key::Head => "head".into(),
        Key::Slots(no) => format!("slots-{no}"),
        Key::Order(no) => format!("order-{no}"),
    }
}

pub(super) fn begins(councillors: &[String], seat: &Seat) {
    let kind = if seat.is_councillor() { "councillor" } else { "follower" };
    info!(target: "council", kind, councillors = councillors.join(", "), "council");
}

pub(super) fn sound(it: bool) {
    if it {
        info!(target: "council", "this councillor takes part");
    } else {
        warn!(
            target: "council",
            "this councillor abstains until it is founded with all, or has what most of the others know"
        );
    }
}

pub(super) fn chosen(it: Key, value: &Value) {
    info!(target: "council", key = key(it), revision = value.revision, bytes = value.body.len(), "chosen");
}

pub(super) fn unknown_head(bytes: usize) {
    error!(
        target: "council", bytes,
        "the register head is of a version that is not known here: no slots; bring this program to theirs"
    );
}

pub(super) fn founded(head: Head, own: Head) {
    let Head { slots, lease_ms, drift_ppm } = head;
    info!(target: "council", slots, lease_ms, drift_ppm, "founded");
    if head != own {
        warn!(
            target: "council", slots, own_slots = own.slots, lease_ms, own_lease_ms = own.lease_ms, drift_ppm,
            own_drift_ppm = own.drift_ppm,
            "these settings differ from the founding's, which are followed; write those into [council]"
        );
    }
}

pub(super) fn trouble(trouble: &PartsError) {
    error!(target: "parts", %trouble, "a register can't be read");
}
