//! Every error says what is wrong, in which file, and what an operator can do.

use std::io;
use std::path::PathBuf;

use test_case::test_case;

use crate::RegisterError;

fn path() -> PathBuf {
    PathBuf::from("/var/lib/x/council")
}

#[test_case(RegisterError::Io { path: path(), source: io::Error::other("full") }, "full", "check the disk")]
#[test_case(RegisterError::Locked { path: path() }, "another process", "end the other daemon")]
#[test_case(RegisterError::NotCouncilFile { path: path() }, "no council file", "check the path in the settings")]
#[test_case(RegisterError::NewerVersion { path: path(), found: 9, known: 2 }, "version 9", "start the newer program")]
#[test_case(RegisterError::Damaged { path: path(), what: "torn".into() }, "torn", "move it away")]
#[test_case(RegisterError::NoGeneration { path: path() }, "no generation number", "move it away")]
fn error_says_what_is_wrong_where_and_what_to_do(error: RegisterError, what: &str, tried: &str) {
    let text = error.to_string();
    for part in [what, tried, "/var/lib/x/council"] {
        assert!(text.contains(part), "{part:?} is not in {text:?}");
    }
    // A new variant has to be added to the table above.
    match error {
        RegisterError::Io { .. }
        | RegisterError::Locked { .. }
        | RegisterError::NotCouncilFile { .. }
        | RegisterError::NewerVersion { .. }
        | RegisterError::Damaged { .. }
        | RegisterError::NoGeneration { .. } => {}
    }
}
