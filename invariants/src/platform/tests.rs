use super::*;
use test_case::test_case;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// One session with a patience of 1 s: what happened, at which millisecond.
struct Story {
    trace: Trace,
}

impl Story {
    fn new(class: Class) -> Story {
        let began = Instant::now();
        let terms = Terms {
            classes: vec![class],
            drain_grace: ms(1_000),
            closed_from: Vec::new(),
            cut_off: Vec::new(),
        };
        let (clients, servers, managers) = (Vec::new(), Vec::new(), Vec::new());
        let ended = began + ms(60_000);
        let mut story = Story { trace: Trace { began, ended, terms, clients, servers, managers } };
        let (session, patience) = (Story::id(), ms(1_000));
        let set_up = ClientEvent::SetUp { at: began, manager: 0, session, class: 0, patience };
        story.trace.clients.push(set_up);
        story
    }

    fn id() -> String {
        "a1".to_string()
    }

    fn at(&self, at: u64) -> Instant {
        self.trace.began + ms(at)
    }

    fn answered(mut self, at: u64, status: u16, body: &str) -> Story {
        let answer = ClientEvent::Answer { at: self.at(at), session: Story::id(), status, body: body.into() };
        self.trace.clients.push(answer);
        self
    }

    fn set_up_at(mut self, at: u64, server: usize) -> Story {
        self.trace.servers.push(ServerEvent::SetUp { at: self.at(at), server, session: Story::id() });
        self
    }

    fn stands(self, at: u64, server: usize) -> Story {
        let mut story = self.set_up_at(at, server);
        story.trace.servers.push(ServerEvent::Stands { at: story.at(at), server, session: Story::id() });
        story.answered(at, 200, "for a1")
    }

    fn over(mut self, at: u64, server: usize, end: End, could_tell: bool) -> Story {
        let over = ServerEvent::Over { at: self.at(at), server, session: Story::id(), end, could_tell };
        self.trace.servers.push(over);
        self
    }

    fn released(mut self, at: u64) -> Story {
        self.trace.clients.push(ClientEvent::Released { at: self.at(at), session: Story::id() });
        self
    }

    fn gave_up(mut self, at: u64) -> Story {
        self.trace.clients.push(ClientEvent::GaveUp { at: self.at(at), session: Story::id() });
        self
    }

    fn refused(mut self, at: u64, server: usize) -> Story {
        self.trace.servers.push(ServerEvent::Refused { at: self.at(at), server, session: Story::id() });
        self
    }

    fn killed(mut self, at: u64, announced: bool) -> Story {
        if announced {
            self.trace.managers.push(ManagerEvent::Terminated { at: self.at(0), manager: 0 });
        }
        self.trace.managers.push(ManagerEvent::Killed { at: self.at(at), manager: 0 });
        self
    }

    fn disconnected(mut self, at: u64, reset: bool) -> Story {
        self.trace.clients.push(ClientEvent::Disconnected { at: self.at(at), session: Story::id(), reset });
        self
    }

    fn closed(mut self, at: u64, server: usize) -> Story {
        self.trace.terms.closed_from.push((server, self.at(at)));
        self
    }

    fn cut_off(mut self, from: u64, until: u64, server: usize) -> Story {
        self.trace.terms.cut_off.push((server, self.at(from), self.at(until)));
        self
    }

    fn broken(&self) -> Vec<Rule> {
        judge(&self.trace).iter().map(|broken| broken.rule).collect()
    }
}

fn idempotent() -> Story {
    Story::new(Class::Idempotent)
}

#[test_case(idempotent().answered(1_400, 453, ""), &[]; "half a second late earns nothing")]
#[test_case(idempotent().answered(1_600, 453, ""), &[Rule::Lost]; "later is lost")]
#[test_case(idempotent(), &[Rule::Lost]; "never answered")]
#[test_case(idempotent().gave_up(900), &[]; "given up")]
#[test_case(idempotent().killed(500, false), &[]; "killed without a word")]
#[test_case(idempotent().killed(500, true), &[Rule::Lost]; "killed after SIGTERM")]
#[test_case(idempotent().disconnected(40, true), &[]; "crosses a close, unread")]
#[test_case(idempotent().disconnected(60, true), &[Rule::Lost]; "unread for longer than a close crosses")]
#[test_case(idempotent().disconnected(40, false), &[Rule::Lost]; "read, and its connection closed")]
#[test_case(idempotent().set_up_at(10, 1).refused(20, 1).disconnected(40, true), &[Rule::Lost]; "forwarded, and its connection reset")]
#[test_case(idempotent().answered(10, 453, "").answered(20, 453, ""), &[Rule::Lost]; "answered twice")]
#[test_case(idempotent().answered(10, 200, "for b2"), &[Rule::Lost]; "another one's description")]
fn answers(story: Story, expected: &[Rule]) {
    assert_eq!(story.broken(), expected);
}

#[test_case(idempotent().stands(10, 1).over(3_000, 1, End::Served, true).released(3_900), &[]; "told in time")]
#[test_case(idempotent().stands(10, 1).over(3_000, 1, End::Served, true).released(4_100), &[Rule::Lost]; "told late")]
#[test_case(idempotent().stands(10, 1).over(3_000, 1, End::Served, false).released(10_900), &[]; "found out in time")]
#[test_case(idempotent().stands(10, 1).over(3_000, 1, End::Cut, false).released(11_100), &[Rule::Lost]; "found out late")]
#[test_case(idempotent().stands(10, 1).over(3_000, 1, End::Cut, false), &[Rule::Lost]; "never told")]
#[test_case(idempotent().stands(10, 1).over(3_000, 1, End::Cut, false).gave_up(2_000), &[]; "its client had ended it")]
#[test_case(idempotent().stands(10, 1).released(3_000), &[Rule::LeftStanding]; "released to the client alone")]
#[test_case(idempotent().stands(10, 1).released(3_000).killed(3_100, true).cut_off(2_000, 5_000, 1), &[]; "cut off as its manager ended")]
#[test_case(idempotent().stands(10, 1).released(3_000).cut_off(2_000, 5_000, 1), &[Rule::LeftStanding]; "cut off for a while")]
#[test_case(idempotent().stands(10, 1).released(3_000).killed(3_100, true), &[Rule::LeftStanding]; "its manager ended")]
#[test_case(idempotent().stands(10, 1), &[]; "plays on")]
fn ends(story: Story, expected: &[Rule]) {
    assert_eq!(story.broken(), expected);
}

#[test_case(idempotent().set_up_at(10, 1).refused(20, 1).stands(30, 2), &[]; "refused, then elsewhere")]
#[test_case(idempotent().set_up_at(10, 1).stands(30, 2), &[Rule::Duplicate]; "two at a time")]
#[test_case(Story::new(Class::AtMostOnce).set_up_at(10, 1).over(20, 1, End::Cut, false).stands(30, 2), &[Rule::Duplicate]; "may run once")]
#[test_case(idempotent().closed(5, 1).stands(100, 1), &[Rule::Drain]; "past the grace")]
#[test_case(idempotent().gave_up(10).set_up_at(500, 1).refused(501, 1), &[Rule::Abandoned]; "for a client that has gone")]
fn attempts(story: Story, expected: &[Rule]) {
    assert_eq!(story.broken(), expected);
}
