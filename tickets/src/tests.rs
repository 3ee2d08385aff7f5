use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const OLD: &str = "a AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA";
const NEW: &str = "b BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBE";

fn keys(lines: &[&str]) -> Keys {
    Keys::read(&lines.join("\n")).unwrap()
}

fn ticket(keys: &Keys) -> String {
    let claim = Claim { viewing: "v1", what: "seg-3", rung: 2, expires: 100 };
    keys.ticket(&claim).split_off(2)
}

#[test_case("v1", "seg-3", 2, 99 => Ok(()); "as given")]
#[test_case("v2", "seg-3", 2, 99 => Err(Denial::Forged); "another viewing")]
#[test_case("v1", "seg-4", 2, 99 => Err(Denial::Forged); "another segment")]
#[test_case("v1", "seg-3", 3, 99 => Err(Denial::Forged); "another rung")]
#[test_case("v1seg-", "3", 2, 99 => Err(Denial::Forged); "the same bytes, cut elsewhere")]
#[test_case("v1", "seg-3", 2, 100 => Err(Denial::Expired); "too late")]
fn a_ticket_is_for_one_thing(viewing: &str, what: &str, rung: usize, now_s: u64) -> Result<(), Denial> {
    let keys = keys(&[OLD]);
    keys.check(&ticket(&keys), viewing, what, rung, now_s)
}

#[test]
fn keys_follow_each_other() {
    let (before, both, after) = (keys(&[OLD]), keys(&[NEW, OLD]), keys(&[NEW]));
    let check = |keys: &Keys, ticket: &str| keys.check(ticket, "v1", "seg-3", 2, 1);
    assert_eq!(check(&both, &ticket(&before)), Ok(()));
    assert_eq!(check(&both, &ticket(&both)), Ok(()));
    assert_eq!(check(&after, &ticket(&before)), Err(Denial::UnknownKey));
    assert_eq!(check(&after, &ticket(&both)), Ok(()));
}

#[test_case("", "0 keys"; "none")]
#[test_case("a short", "line 1"; "no base64")]
#[test_case("a AAAA", "3 bytes"; "too short")]
#[test_case("a/b AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", "letters and digits"; "name")]
#[test_case("a AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA\na AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", "twice"; "twice")]
fn bad_keys_are_told(text: &str, expected: &str) {
    let told = Keys::read(text).unwrap_err();
    assert!(told.contains(expected), "{told}");
}

proptest! {
    // The same cases each time; more by PROPTEST_CASES.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn nothing_else_passes(text in "\\PC{0,80}", cut in 0usize..60) {
        let keys = keys(&[OLD]);
        prop_assert!(keys.check(&text, "v1", "seg-3", 2, 1).is_err());
        let whole = ticket(&keys);
        prop_assert!(keys.check(&whole[..cut.min(whole.len() - 1)], "v1", "seg-3", 2, 1).is_err());
    }
}
