//! Ends of sessions that cross the end of a connection to their server. The server writes each end on the
//! connection of the session's set-up while it takes that for open, and repeats it on the next connection that
//! it accepts.

use crate::harness::{identifier, within, Client, Node, Reaction, ScriptedChannel, ScriptedServer, Settings};
use serde_json::json;
use std::time::Duration;

/// After 0.8 of this the node closes connections that carry nothing.
const IDLE_MS: u64 = 1_000;
/// Clients hear of an end within 8 s of it where no release could be sent; times on sockets are 50 ms longer.
const RELEASED_WITHIN: Duration = Duration::from_millis(8_050);
const CAUSE_ENDED: i64 = 16;

/// A server with two sessions, each set up on a connection of its own.
struct TwoSessions {
    server: ScriptedServer,
    node: Node,
    client: Client,
    /// Set up on connection 0.
    first: String,
    /// Set up on connection 1.
    second: String,
    _channel: ScriptedChannel,
}

impl TwoSessions {
    fn start() -> TwoSessions {
        let server = ScriptedServer::start(Reaction::Hold);
        let channel = ScriptedChannel::start(&[server.listed("s-a", "ready")]);
        let settings = Settings { promise_ms: 3_000, deadline_ms: 4_000, ..Settings::new(&channel) };
        let node = Node::start_changed(settings, |file| {
            file["settings"]["allowed"]["conn-idle-ns"] = json!(IDLE_MS * 1_000_000);
        });
        let (mut client, first, second) = (Client::connect(node.address), identifier(1), identifier(2));
        for (id, connection) in [(&first, 0), (&second, 1)] {
            client.set_up(id);
            server.wait_for("START", id);
            assert_eq!(server.connection_of(id), connection);
        }
        for id in [&first, &second] {
            server.answer(id);
            assert_eq!(client.answer_status(id), 200);
        }
        TwoSessions { server, node, client, first, second, _channel: channel }
    }

    /// The session that was set up on this connection is the first from now on.
    fn with_first_on(mut self, connection: usize) -> TwoSessions {
        if connection == 1 {
            std::mem::swap(&mut self.first, &mut self.second);
        }
        self
    }

    /// Something about the second session on the newest connection, so that the server is not silent.
    fn notice(&self) {
        let line = json!({ "verb": "NOTICE", "tag": self.second, "opts": { "note": "local", "value": 0.5 } });
        if let Some(newest) = self.server.connections().last() {
            self.server.say(*newest, &format!("{line}\n"));
        }
    }

    /// The first session has come to its end, and that was written on its connection. The server repeats it on
    /// the next connection that it accepts, and says something every 100 ms.
    #[track_caller]
    fn end_is_heard(mut self, accepted: usize) {
        let (mut repeated, id) = (false, self.first.clone());
        let heard = within(RELEASED_WITHIN, || {
            if !repeated && self.server.accepted() > accepted {
                repeated = true;
                let finish = json!({ "verb": "FINISH", "tag": id, "opts": {}, "rc": CAUSE_ENDED });
                self.server.say(accepted, &format!("{finish}\n"));
            }
            self.notice();
            self.client.reads_within(Duration::from_millis(100), |client| client.releases(&id) > 0)
        });
        assert!(heard, "never released, repeated: {repeated}\n{}", self.node.log());
        assert_eq!(self.client.releases(&id), 1);
    }
}

/// Guards against: a server that is silent while the node closes an idle connection writes an end on it when it
/// goes on, and the client never hears of it, since the node dropped the connection after a second.
#[test]
fn an_end_written_after_a_silence_on_a_connection_closed_as_idle_is_heard() {
    let all = TwoSessions::start();
    all.server.stop_reading();
    all.node.wait_log("closes its own side of a connection");
    std::thread::sleep(Duration::from_millis(1_300));
    let accepted = all.server.accepted();
    all.server.finish(&all.first, CAUSE_ENDED);
    all.server.read_again();
    all.end_is_heard(accepted);
}

/// Guards against: an end is lost with a connection that the node has half closed and the network resets.
#[test]
fn an_end_lost_by_a_reset_of_a_connection_closed_as_idle_is_heard() {
    let all = TwoSessions::start();
    all.server.stop_reading();
    all.node.wait_log("closes its own side of a connection");
    let accepted = all.server.accepted();
    all.server.reset(0);
    all.server.read_again();
    all.end_is_heard(accepted);
}

/// Guards against: an end is lost with a connection on which an answer stopped short, since the node takes the
/// server's close of it for a sign that all was read.
#[test]
fn an_end_lost_on_a_connection_whose_answer_stopped_short_is_heard() {
    let mut all = TwoSessions::start();
    let third = identifier(3);
    all.server.plan([Reaction::FirstHalf]);
    all.client.set_up(&third);
    all.server.wait_for("START", &third);
    let useless = all.server.connection_of(&third);
    all.client.answer(&third);
    let closed = within(Duration::from_secs(3), || {
        all.notice();
        !all.server.connections().contains(&useless)
    });
    assert!(closed, "{}", all.node.log());
    let accepted = all.server.accepted();
    all.with_first_on(useless).end_is_heard(accepted);
}

/// Guards against: an end that a server writes on a connection closed for an unreadable answer, after it has
/// accepted the next connection and before it knows of the close, is lost.
#[test]
fn an_end_written_before_the_server_knows_of_a_close_for_an_unreadable_answer_is_heard() {
    let mut all = TwoSessions::start();
    let third = identifier(3);
    all.server.plan([Reaction::Hold]);
    all.client.set_up(&third);
    all.server.wait_for("START", &third);
    let spoilt = all.server.connection_of(&third);
    all.server.stop_reading();
    let before = all.server.accepted();
    all.server.say(spoilt, "noise\n");
    assert!(within(Duration::from_secs(1), || all.server.accepted() > before));
    let accepted = all.server.accepted();
    let all = all.with_first_on(spoilt);
    all.server.finish(&all.first, CAUSE_ENDED);
    all.server.read_again();
    all.end_is_heard(accepted);
}

/// Guards against: a release towards the server is lost with its connection, and the session plays on there though
/// its client ended it.
#[test]
fn a_release_that_its_server_did_not_read_before_a_reset_is_sent_again() {
    let mut all = TwoSessions::start();
    all.server.stop_reading();
    all.client.tear_down(&all.first);
    assert!(all.client.passes_test(), "the node has read the end");
    all.server.connections().into_iter().for_each(|connection| all.server.reset(connection));
    all.server.read_again();
    let released = within(Duration::from_millis(1_050), || all.server.count("FINISH", &all.first) > 0);
    assert!(released, "{}", all.node.log());
}
