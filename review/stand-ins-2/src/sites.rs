//! Settings like those of the deployments that the cases name.

use crate::settings::{Class, Settings};

/// Settings within the ranges of `pedal-clips.toml`, with the fewest descriptors of the days that count.
pub fn pedal_clips(cells: usize, racks: usize) -> Settings {
    Settings {
        sockets: 256,
        memory_mb: 128,
        managers: 2,
        classes: vec![Class {
            name: "clip-play",
            semantics: "idempotent",
            promise_ms: 800,
            give_up_ms: 4_000,
            lowest_rung: 0,
            seats: 0,
        }],
        cells,
        racks,
        rates_kb: vec![204, 445, 971, 2_119],
        worth: vec![0.17, 0.48, 0.75, 1.0],
        link_unit_kb: 40_000,
        rack_link_kb: 260_000,
        places: 40,
        reports_every_ms: 3_000,
        report_how: "inline",
        report_fields: "\"utilization\",\"x1\"",
        max_attempts: 3,
        retry_after: true,
        conn_idle_ms: 30_000,
        drain_grace_ms: 1_000,
        fall_multiple: 2.5,
        budget: None,
    }
}

/// Settings within the ranges of `quito-lab.toml`.
pub fn quito_lab(cells: usize, racks: usize) -> Settings {
    let class = |name, semantics, promise_ms, give_up_ms, lowest_rung| Class {
        name,
        semantics,
        promise_ms,
        give_up_ms,
        lowest_rung,
        seats: 0,
    };
    Settings {
        sockets: 512,
        memory_mb: 128,
        managers: 2,
        classes: vec![class("review", "at_most_once", 1_500, 4_000, 1), class("replay", "idempotent", 1_000, 5_000, 0)],
        cells,
        racks,
        rates_kb: vec![200, 320, 500, 800, 1_300, 1_900],
        worth: vec![0.2, 0.4, 0.6, 0.75, 0.9, 1.0],
        link_unit_kb: 500_000,
        rack_link_kb: 4_000_000,
        places: 400,
        reports_every_ms: 0,
        report_how: "on_probe",
        report_fields: "\"utilization\",\"x1\"",
        max_attempts: 4,
        retry_after: false,
        conn_idle_ms: 30_000,
        drain_grace_ms: 250,
        fall_multiple: 3.0,
        budget: None,
    }
}
