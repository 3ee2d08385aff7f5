//! Messages that clients write and read.

/// A message that came whole.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: String,
}

impl Message {
    /// Takes a whole message from the front of what came; `None` while it is not whole.
    pub fn take(input: &mut Vec<u8>) -> Option<Message> {
        let end = input.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&input[..end]).into_owned();
        let mut message = Message { head, body: String::new() };
        let length: usize = message.field("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
        if input.len() < end + length {
            return None;
        }
        message.body = String::from_utf8_lossy(&input[end..end + length]).into_owned();
        input.drain(..end + length);
        Some(message)
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.find(|field| field.0 == name).map(|field| field.1)
    }

    pub fn session(&self) -> &str {
        self.field("Session").unwrap_or("")
    }

    /// The number of a final answer to a set-up.
    pub fn final_status(&self) -> Option<u16> {
        let status: u16 = self.head.strip_prefix("RTSP/1.0 ")?.get(..3)?.parse().ok()?;
        (status >= 200 && self.field("CSeq") == Some("1")).then_some(status)
    }

    /// The release of a session that stood.
    pub fn is_release(&self) -> bool {
        self.head.starts_with("TEARDOWN ")
    }
}

/// What a set-up says.
pub struct SetUp<'a> {
    pub session: &'a str,
    pub class: &'a str,
    pub patience_ms: u128,
    pub home: u64,
    pub copies: u64,
    pub top_rung: usize,
}

impl SetUp<'_> {
    pub fn text(&self) -> String {
        let SetUp { session, class, patience_ms, home, copies, top_rung } = self;
        format!(
            "SETUP rtsp://media/t{home:08x} RTSP/1.0\r\nCSeq: 1\r\nSession: {session}\r\nSubject: {class}\r\n\
             X-Patience: {patience_ms}\r\nX-Facts: home:{home};copies:{copies};top:{top_rung};\
             viewer:{session}\r\nContent-Length: 3\r\n\r\nx\r\n"
        )
    }
}

pub fn tear_down(session: &str) -> String {
    format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n")
}
