use super::*;
use test_case::test_case;

const BORN: &str = "BORN manager-1 7 {\"tick-ns\":10000000,\"peers-total\":1,\"me\":0,\"az\":\"z\",\
    \"skus\":[\"k\"],\
    \"classes\":[{\"name\":\"c\",\"promise-ns\":800000000,\"semantics\":\"idempotent\"}],\"new-key\":{},\
    \"extra\":{\"rates-kb\":[100.0],\"places\":2,\"link-unit-kb\":1000.0,\"lowest-rung\":[0],\
    \"top-by-class\":[0],\
    \"places-by-kind\":[9]},\"allowed\":{\"max-attempts\":2},\"safety\":{}}\n\
    REGISTER 0 1\nM k 0 U 10.0.0.1:80 - 1 z\nMEMBERS manager-1 SAVED 1 0\n";
const REQUEST: &str = "INCOMING manager-1 v1 0 0 - 0 0 title 4000000001 c 1 -\n";

fn reply_to(input: &str) -> Result<String, WireError> {
    let mut output = Vec::new();
    serve(input.as_bytes(), &mut output)?;
    Ok(String::from_utf8(output).unwrap())
}

#[test]
fn an_empty_batch_is_answered() {
    assert_eq!(reply_to("MARK 5\nFLUSH\n").unwrap(), "FINISHED\n");
}

#[test]
fn a_request_leads_to_a_tune_in_and_plays() {
    let play = "FIRST manager-1 v1 5 0 10.0.0.1:80\nCHANGE manager-1 v1 0 0.5 3 10.0.0.1:80\n\
        ANSWER manager-1 v1 0 10.0.0.1:80 served 9 1 utilization:0.62,x1:1.25,odd:1\n\
        DROPPED manager-1 v1\nBELL manager-1 99\n";
    let reply = reply_to(&format!("MARK 0\n{BORN}{REQUEST}FLUSH\nMARK 10000000\n{play}FLUSH\n")).unwrap();
    let relays: Vec<&str> = reply.lines().filter(|line| line.starts_with("RELAY")).collect();
    assert_eq!(relays, ["RELAY manager-1 v1 4000000001 10.0.0.1:80"]);
    assert!(reply.contains("SCHEDULE manager-1 1 4000000001\n"));
}

#[test]
fn a_crashed_instance_can_be_started_again_in_the_same_batch() {
    let again = format!("MARK 1\nCRASH_NOW manager-1\n{BORN}{REQUEST}FLUSH\n");
    let reply = reply_to(&format!("MARK 0\n{BORN}{REQUEST}FLUSH\n{again}")).unwrap();
    assert_eq!(reply.matches("RELAY manager-1 v1").count(), 2);
}

#[test]
fn a_sheet_can_be_replaced_within_a_batch() {
    let newer = "REGISTER 0 1\nM k 0 D 10.0.0.1:80 - 1 z\nMEMBERS manager-1 INCREMENTAL 2 0\n";
    let reply = reply_to(&format!("MARK 0\n{BORN}{newer}{REQUEST}FLUSH\n")).unwrap();
    assert!(reply.contains("SHED manager-1 v1 -\n"));
}

#[test_case("FLUSH\n", "line 1: read 'FLUSH', expected MARK"; "missing MARK")]
#[test_case("MARK x\nFLUSH\n", "line 1: read 'x', expected a clock time"; "malformed number")]
#[test_case("MARK 1\n", "line 2: read 'the end of input', expected FLUSH"; "truncated batch")]
#[test_case(
    "MARK 1\nSING manager-1\nFLUSH\n", "line 2: read 'SING', expected a known event";
    "unknown event first"
)]
#[test_case(
    "MARK 1\nBELL manager-1\nFLUSH\n",
    "line 2: read 'manager-1', expected an instance that was born";
    "timer of an instance that was not started"
)]
#[test_case(
    "MARK 1\nBORN manager-1 7 {\nFLUSH\n", "line 2: read '{', expected a settings object";
    "malformed settings"
)]
#[test_case(
    "MARK 1\nREGISTER 0 2\nM k 0 U a:1 - 1 z\n",
    "line 4: read 'the end of input', expected a list entry";
    "short list"
)]
#[test_case(
    "MARK 1\nREGISTER 0 1\nM k 0 Q a:1 - 1 z\nFLUSH\n", "line 3: read 'Q', expected U, L or D";
    "availability"
)]
fn invalid_input_is_reported_in_one_line(input: &str, expected: &str) {
    let message = reply_to(input).unwrap_err().to_string();
    assert!(message.starts_with(expected), "{message}");
    assert_eq!(message.lines().count(), 1);
}

#[test_case("MEMBERS manager-1 FULL 1 5", "expected a sheet that was registered"; "undefined sheet")]
#[test_case("BELL manager-1", "expected tag"; "too few values")]
#[test_case("BELL manager-1 1 2", "expected the end of the line"; "too many values")]
#[test_case("SING manager-1", "read 'SING', expected a known event"; "unknown event")]
#[test_case("ANSWER manager-1 v 0 s lost 1 1 -", "read 'lost', expected an outcome"; "outcome")]
fn an_invalid_event_is_reported_with_its_line_number(line: &str, expected: &str) {
    let message = reply_to(&format!("MARK 0\n{BORN}{line}\nFLUSH\n")).unwrap_err().to_string();
    assert!(message.contains(expected) && message.starts_with("line 6: "), "{message}");
}
