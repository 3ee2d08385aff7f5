//! `ottersail node` among more servers than it may hold connections to, over loopback.

mod scene;

use ottersail_fake_servers::media::MediaOrder;
use scene::{Scene, SceneSettings};
use std::time::Duration;

/// A trial in which the ends of hundreds of sessions at hundreds of servers come while each connection that the
/// node may hold is in use.
fn many() -> SceneSettings {
    SceneSettings {
        servers: 400,
        sockets: 128,
        per_second: 30.0,
        life: Duration::from_secs(8)..Duration::from_secs(14),
        note_every: Duration::from_secs(2),
    }
}

/// Guards against: an end at a server to which no connection was kept is never heard.
#[test]
fn ends_at_more_servers_than_connections_are_told_in_time() {
    let scene = Scene::start(&many());
    scene.play(Duration::from_secs(26));
    scene.end_and_judge();
}

/// Guards against: servers that die while all connections are in use are never found out.
#[test]
fn deaths_among_more_servers_than_connections_are_told_in_time() {
    let scene = Scene::start(&SceneSettings { ..many() });
    scene.play(Duration::from_secs(10));
    scene.fleet.tell(MediaOrder::Die((0..130).collect()));
    scene.play(Duration::from_secs(10));
    scene.end_and_judge();
}

/// Guards against: a server that died and came back before it was given up is taken for the one from before.
#[test]
fn servers_that_return_restarted_are_not_taken_for_those_from_before() {
    let scene = Scene::start(&SceneSettings { sockets: 512, per_second: 15.0, ..many() });
    scene.play(Duration::from_secs(6));
    let died: Vec<usize> = (0..130).collect();
    scene.fleet.tell(MediaOrder::Die(died.clone()));
    scene.play(Duration::from_millis(3_500));
    scene.fleet.tell(MediaOrder::ReturnRestarted(died));
    scene.play(Duration::from_secs(7));
    scene.end_and_judge();
}

/// Guards against: a manager that ends releases only those sessions to whose servers a connection is open.
#[test]
fn sessions_at_more_servers_than_connections_are_released_at_shutdown() {
    let life = Duration::from_secs(60)..Duration::from_secs(70);
    let mut scene = Scene::start(&SceneSettings { life, ..many() });
    scene.play(Duration::from_secs(7));
    scene.terminate_and_kill();
    scene.play(Duration::from_millis(8_500));
    scene.end_and_judge();
}

/// Guards against: as all of the above, with sixteen times the usual number of servers.
#[test]
fn among_thousands_of_servers_ends_deaths_returns_and_a_shutdown_are_told_in_time() {
    let life = Duration::from_secs(4)..Duration::from_secs(30);
    let mut scene =
        Scene::start(&SceneSettings { servers: 3_200, sockets: 608, per_second: 40.0, life, ..many() });
    scene.play(Duration::from_secs(14));
    let died: Vec<usize> = (0..3_200).filter(|it| it % 3 == 0).collect();
    scene.fleet.tell(MediaOrder::Die(died.clone()));
    scene.play(Duration::from_millis(4_900));
    scene.fleet.tell(MediaOrder::ReturnRestarted(died));
    scene.play(Duration::from_secs(14));
    scene.terminate_and_kill();
    scene.play(Duration::from_millis(8_500));
    scene.end_and_judge();
}

/// Guards against: sessions that were given up at servers that could not be reached play on there after that.
#[test]
fn sessions_given_up_at_servers_that_were_cut_off_do_not_play_on_there() {
    let life = Duration::from_secs(60)..Duration::from_secs(70);
    let cut_off: Vec<usize> = (0..130).collect();
    let scene = Scene::start(&SceneSettings { sockets: 512, per_second: 15.0, life, ..many() });
    scene.play(Duration::from_secs(5));
    scene.fleet.tell(MediaOrder::Vanish(cut_off.clone()));
    scene.play(Duration::from_millis(6_500));
    scene.fleet.tell(MediaOrder::Reappear(cut_off));
    scene.play(Duration::from_secs(9));
    scene.end_and_judge();
}

/// Guards against: requests on open connections are lost between the manager's own end and SIGKILL.
#[test]
fn requests_on_open_connections_are_answered_until_sigkill() {
    let mut scene = Scene::start(&SceneSettings { sockets: 512, per_second: 60.0, ..many() });
    scene.play(Duration::from_secs(3));
    scene.terminate_and_kill_under_load();
    scene.play(Duration::from_millis(2_500));
    scene.end_and_judge();
}
