//! The reader of the list of known failures, `.ci/known-red`: an entry that CI cannot act on fails, and names its line.

use std::path::Path;
use std::process::{Command, Output};

const LISTING: &str =
    "one_is_late: test\nstage::two_meet: test\ntwice: test\ntwice: test\nbench_of_it: benchmark\n";

/// Runs the reader on a list.
fn read(verb: &str, list: &str) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, listing) = (folder.path().join("KNOWN-RED.txt"), folder.path().join("listing"));
    std::fs::write(&file, list).expect("a file");
    std::fs::write(&listing, LISTING).expect("a file");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let mut command = Command::new("bash");
    command.arg(script).arg(verb).arg(&file);
    if verb == "check" {
        command.arg(&listing);
    }
    command.output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn entries_of_tests_and_commands_are_printed_and_only_the_tests_are_named() {
    let list = "# A comment.\n\n\
                one_is_late | cargo test -p x, seed 3 | 1 of 20 runs | 7\n\
                stage::two_meet|cargo test -p y|never met|8\n\
                command | crowbay soak --seed 7 | nine twice | 12\n";
    let done = read("check", list);
    assert!(done.status.success(), "{}", text(&done.stderr));
    let printed = text(&done.stdout);
    assert_eq!(printed.lines().count(), 3, "{printed}");
    assert!(printed.contains("one_is_late: 1 of 20 runs (cargo test -p x, seed 3; issue 7)"), "{printed}");
    assert_eq!(text(&read("tests", list).stdout), "one_is_late\nstage::two_meet\n");
}

#[test]
fn an_empty_list_passes_over_nothing() {
    let done = read("check", "# Nothing.\n");
    assert!(done.status.success() && done.stdout.is_empty());
    assert!(read("tests", "# Nothing.\n").stdout.is_empty());
}

#[test]
fn an_entry_that_cannot_be_acted_on_fails_with_its_line() {
    for (entry, why) in [
        ("one_is_late | 1 of 20 runs | 7", "has 3 fields"),
        ("one_is_late | a | b | 7 | c", "has 5 fields"),
        ("one_is_late", "has 1 fields"),
        ("one_is_late | | b | 7", "a field is empty"),
        (" | a | b | 7", "a field is empty"),
        ("one_is_late | a | b |", "'' is no issue's number"),
        ("one_is_late | a | b | soon", "'soon' is no issue's number"),
        ("one_is_late | a | b | 0", "'0' is no issue's number"),
        ("one_is | a | b | 7", "0 tests of the workspace are called 'one_is'"),
        ("two_meet | a | b | 7", "0 tests of the workspace are called 'two_meet'"),
        ("bench_of_it | a | b | 7", "0 tests of the workspace are called 'bench_of_it'"),
        ("twice | a | b | 7", "2 tests of the workspace are called 'twice'"),
    ] {
        let done = read("check", &format!("# A list.\n{entry}\none_is_late | a | b | 7\n"));
        let told = text(&done.stderr);
        assert_eq!(done.status.code(), Some(1), "{entry}: {told}");
        assert!(told.contains("KNOWN-RED.txt:2: ") && told.contains(why), "{entry}: {told}");
        assert_eq!(text(&done.stdout).lines().count(), 1, "the entries behind it are read: {entry}");
    }
}

#[test]
fn a_list_that_is_not_there_is_told() {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let done =
        Command::new("bash").arg(script).args(["tests", "no-such-list.txt"]).output().expect("it runs");
    assert!(!done.status.success() && text(&done.stderr).contains("no-such-list.txt: cannot be read"));
}
