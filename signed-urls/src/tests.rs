use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const OLD_KEY: &str = "a AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA";
const NEW_KEY: &str = "b BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBE";

fn keys(lines: &[&str]) -> Keys {
    Keys::read(&lines.join("\n")).unwrap()
}

fn ticket(keys: &Keys) -> String {
    let claim = Claim { viewing: "v1", what: "seg-3", rung: 2, expires: 100 };
    keys.ticket(&claim).split_off(2)
}

#[test_case("v1", "seg-3", 2, 99 => Ok(()); "as signed")]
#[test_case("v2", "seg-3", 2, 99 => Err(Denial::Forged); "another viewing")]
#[test_case("v1", "seg-4", 2, 99 => Err(Denial::Forged); "another segment")]
#[test_case("v1", "seg-3", 3, 99 => Err(Denial::Forged); "another rung")]
#[test_case("v1seg-", "3", 2, 99 => Err(Denial::Forged); "the same bytes, divided differently")]
#[test_case("v1", "seg-3", 2, 100 => Err(Denial::Expired); "expired")]
fn a_ticket_is_valid_only_for_its_claim_and_until_it_expires(
    viewing: &str,
    what: &str,
    rung: usize,
    now_s: u64,
) -> Result<(), Denial> {
    let keys = keys(&[OLD_KEY]);
    keys.check(&ticket(&keys), viewing, what, rung, now_s)
}

#[test]
fn tickets_stay_valid_while_their_key_is_listed() {
    let (before, both, after) = (keys(&[OLD_KEY]), keys(&[NEW_KEY, OLD_KEY]), keys(&[NEW_KEY]));
    let check = |keys: &Keys, ticket: &str| keys.check(ticket, "v1", "seg-3", 2, 1);
    assert_eq!(check(&both, &ticket(&before)), Ok(()));
    assert_eq!(check(&both, &ticket(&both)), Ok(()));
    assert_eq!(check(&after, &ticket(&before)), Err(Denial::UnknownKey));
    assert_eq!(check(&after, &ticket(&both)), Ok(()));
}

proptest! {
    // The fixed seed gives the same cases in each run; PROPTEST_CASES sets their number.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_and_truncated_tickets_are_rejected(text in "\\PC{0,80}", length in 0usize..60) {
        let keys = keys(&[OLD_KEY]);
        prop_assert!(keys.check(&text, "v1", "seg-3", 2, 1).is_err());
        let whole = ticket(&keys);
        prop_assert!(keys.check(&whole[..length.min(whole.len() - 1)], "v1", "seg-3", 2, 1).is_err());
    }
}

#[test_case("k", KeysError::InvalidLine { line: 1 }, "line 1", "write `name secret`"; "no secret")]
#[test_case("# keys\nk! AAAA", KeysError::InvalidName { line: 2, name: "k!".into() }, "line 2",
    "letters and digits"; "a name")]
#[test_case("k ***", KeysError::InvalidSecret { line: 1, key: "k".into() }, "secret of k",
    "openssl rand"; "no base64url")]
#[test_case("k AAAA", KeysError::SecretTooShort { line: 1, key: "k".into(), bytes: 3 }, "secret of k",
    "use 16 or more"; "short")]
#[test_case(&format!("k {0}\n\nk {0}", "A".repeat(32)), KeysError::DuplicateName { line: 3, key: "k".into() },
    "line 3", "another name"; "twice")]
#[test_case("# none", KeysError::InvalidCount { found: 0 }, "the keys' file", "one or two lines"; "none")]
fn key_errors_name_the_place_and_a_remedy(text: &str, expected: KeysError, place: &str, remedy: &str) {
    let error = Keys::read(text).err();
    assert_eq!(error.as_ref(), Some(&expected));
    let message = error.map_or(String::new(), |error| error.to_string());
    assert!(
        message.contains(place)
            && message.split_once("; ").is_some_and(|(_, advice)| advice.contains(remedy)),
        "{message}"
    );
}

#[test_case(Denial::Malformed, "the ticket ", "as the playlist has it"; "malformed")]
#[test_case(Denial::UnknownKey, "the ticket's key", "the same keys"; "unknown key")]
#[test_case(Denial::Forged, "the ticket ", "as the playlist has it"; "forged")]
#[test_case(Denial::Expired, "the ticket ", "reload"; "expired")]
fn denials_name_the_place_and_a_remedy(denial: Denial, place: &str, remedy: &str) {
    let message = denial.to_string();
    assert!(
        message.contains(place)
            && message.split_once("; ").is_some_and(|(_, advice)| advice.contains(remedy)),
        "{message}"
    );
}

#[test]
fn derived_keys_differ_by_secret_and_purpose_and_keep_their_order() {
    let two = Keys::read("new MDEyMzQ1Njc4OWFiY2RlZg\nold ZmVkY2JhOTg3NjU0MzIxMA").unwrap();
    let one = Keys::read("old ZmVkY2JhOTg3NjU0MzIxMA").unwrap();
    let (datagrams, other) = (two.derived("datagrams"), two.derived("other"));
    assert_eq!(datagrams.len(), 2);
    assert_eq!(datagrams[1], one.derived("datagrams")[0]);
    assert_ne!(datagrams[0], datagrams[1]);
    assert_ne!(datagrams[0], other[0]);
}
