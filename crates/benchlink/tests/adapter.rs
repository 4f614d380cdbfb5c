//! Runs the adapter's binary on hand-written batches.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const PROFILE: &str = r#"{"classes":[{"deadlineUs":750000,"group":"all","idempotency":"read_like",
"keyTtlUs":5000000,"lateValue":0.15,"name":"r","stream":false,"targetUs":150000,"worth":2.0}],
"discovery":"push","familyInfo":{"coldBears":15.0,"fairWorth":0.35,"idleWorth":0.08,"largest":8,
"meanUnits":2.0,"usePeriodUs":0,"writes":[false]},"newKey":{"x":1},"fees":{"waste":0.03},"peersTotal":3,
"policies":[{"capSlack":0.0,"ceilingRate":0.0,"floorRate":8.4,"limitBurst":0.0,"name":"p","price":1.2,
"shares":3.0,"usualRate":7.0}],"policyLimits":{"cancel":true,"maxRetryAfterUs":1000000,"mayDuplicate":false,
"retryAfter":true,"sendCap":4},"rules":{"coldFrom":0.16,"drainGraceUs":1000000,"fallUs":2000000,
"warmUpUs":18000000}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_crowbay-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("the adapter reads its input");
    child.wait_with_output().expect("the adapter ends")
}

fn launch(i: u32) -> String {
    let profile = PROFILE.replace('\n', "");
    format!(
        "{{\"Launch\":{{\"i\":{i},\"prng\":7,\"profileData\":{profile}}}}}\n{{\"PeersKnown\":{{\"i\":{i},\"how\":\"disk\",\"version\":1,\"bank\":0}}}}\n"
    )
}

const LEDGER: &str = r#"{"Ledger":{"bank":0,"hosts":[{"node":"node.a","site":0,"type":0,"bay":0,"stageState":"on","units":1,"cameUpUs":null}]}}
"#;

fn ask(i: u32, rid: &str) -> String {
    format!(
        "{{\"Ask\":{{\"i\":{i},\"rid\":\"{rid}\",\"lane\":0,\"qosClass\":0,\"item\":\"91f03b7c55d20a64\",\"ttlUs\":240000,\"storeUser\":\"2b8e6401d9f37c10\",\"units\":2,\"slotNo\":0,\"hosts\":3,\"isRetry\":false,\"mutates\":false}}}}\n"
    )
}

fn batch(t: u64, seq: u64, body: &str) -> String {
    format!("{{\"Sync\":{{\"tUs\":{t},\"seq\":{seq}}}}}\n{body}{{\"Flush\":{{}}}}\n")
}

fn lines(output: &Output) -> Vec<String> {
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().filter(|l| !l.contains("WakeAt")).map(str::to_owned).collect()
}

#[test]
fn events_after_the_end_of_a_request_are_ignored() {
    let answer = r#"{"Answer":{"i":1,"rid":"RID","n":0,"outcome":"delivered","settled":true,"node":"node.a","spentUs":900,"pressure":[7]}}
"#
    .replace("RID", "r-1");
    let left = "{\"Left\":{\"i\":1,\"rid\":\"r-1\"}}\n{\"Novelty\":{\"i\":1}}\n";
    let input = batch(1, 1, "")
        + &batch(2000, 2, &(LEDGER.to_owned() + &launch(1)))
        + &batch(4000, 3, &ask(1, "r-1"))
        + &batch(6000, 4, &(answer + left));
    let output = run(&input);
    assert!(output.status.success());
    let send = r#"{"SubmitTo":{"i":1,"rid":"r-1","node":"node.a","patienceUs":0}}"#;
    let ack = |n| format!("{{\"Ack\":{{\"seq\":{n}}}}}");
    assert_eq!(lines(&output), [ack(1), ack(2), send.to_owned(), ack(3), ack(4)]);
}

#[test]
fn an_instance_launched_again_in_one_batch_starts_empty() {
    let relaunch = "{\"Destroy\":{\"i\":1}}\n".to_owned() + &launch(1);
    let stale = "{\"Answer\":{\"i\":1,\"rid\":\"r-1\",\"n\":0,\"outcome\":\"dropped\",\"settled\":false,\"node\":\"node.a\",\"spentUs\":9}}\n";
    let input = batch(2000, 1, &(LEDGER.to_owned() + &launch(1)))
        + &batch(4000, 2, &ask(1, "r-1"))
        + &batch(6000, 3, &(relaunch + stale + &ask(1, "r-2")));
    let output = run(&input);
    assert!(output.status.success());
    assert_eq!(lines(&output).iter().filter(|l| l.contains("r-1")).count(), 1);
    assert_eq!(lines(&output).iter().filter(|l| l.contains("r-2")).count(), 1);
}

#[test]
fn instances_do_not_affect_each_other() {
    let run_instances = |instances: &[u32]| {
        let mut launches = LEDGER.to_owned();
        let mut requests = String::new();
        for &i in instances {
            launches += &launch(i);
            for n in 0..8 {
                requests += &ask(i, &format!("r-{i}-{n}"));
            }
        }
        run(&(batch(2000, 1, &launches) + &batch(4000, 2, &requests) + &batch(200_000, 3, "")))
    };
    let together = lines(&run_instances(&[1, 2]));
    for i in [1, 2] {
        let lines_of_instance = |all: &[String]| -> Vec<String> {
            all.iter().filter(|l| l.contains(&format!("\"i\":{i},"))).cloned().collect()
        };
        assert_eq!(lines_of_instance(&together), lines_of_instance(&lines(&run_instances(&[i]))));
        assert!(!lines_of_instance(&together).is_empty());
    }
}

#[test]
fn invalid_input_is_reported_and_fails() {
    let bad = [
        ("not json\n", "not a message"),
        ("{\"Sync\":{\"tUs\":1}}\n", "seq"),
        ("{\"Flush\":{}}\n", "outside a batch"),
        ("{\"Sync\":{\"tUs\":1,\"seq\":5}}\n", "batch 5 has no Flush"),
        ("{\"Sync\":{\"tUs\":1,\"seq\":5}}\n{\"Ask\":{\"i\":1}}\n", "missing field"),
        (
            "{\"Sync\":{\"tUs\":1,\"seq\":5}}\n{\"PeersKnown\":{\"i\":1,\"how\":\"disk\",\"bank\":3}}\n",
            "Ledger",
        ),
    ];
    for (input, message) in bad {
        let output = run(input);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{input}");
        assert!(error.contains(message), "{input}: {error}");
    }
}
