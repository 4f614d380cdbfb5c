//! Records as files.

use std::path::Path;

use crate::record::{S, good};
use planecheck::{NOTES, Note, ReadError, check_folder};

/// Each line of the good record into the file that its process would have written.
fn write(folder: &Path) {
    let mut files: [(&str, String); 3] = [
        ("written-c1.log", String::new()),
        ("inforce-h1.log", String::new()),
        ("held-c1.log", String::new()),
    ];
    for line in good().lines {
        let place = match line.split(' ').collect::<Vec<_>>().as_slice() {
            ["W" | "O", ..] => 0,
            [_, _, "c1", ..] => 2,
            _ => 1,
        };
        files[place].1 += &(line + "\n");
    }
    files.iter().for_each(|(name, text)| std::fs::write(folder.join(name), text).expect("a file"));
}

fn append(path: &Path, text: &str) {
    let whole = std::fs::read_to_string(path).expect("a file") + text;
    std::fs::write(path, whole).expect("a file");
}

#[test]
fn a_folder_is_checked_as_the_lines_are() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path());
    let verdict = check_folder(folder.path()).expect("records");
    assert!(verdict.is_good(), "{:?}", verdict.breaks);
    assert_eq!((verdict.written, verdict.holders, verdict.in_force, verdict.compared), (4, 3, 8, 3));
    assert_eq!(verdict.latencies["all"].all.count, 4);
}

#[test]
fn notes_are_read_as_they_are_written() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path());
    let notes = [
        Note::Phase { from: 5 * S, to: 6 * S, name: "late".into() },
        Note::Apart { from: 1, to: 2, holder: None },
        Note::Apart { from: 5 * S, to: 6 * S, holder: Some("g1".into()) },
        Note::SetBack { t: 9 * S, holder: "g1".into() },
        Note::WriterSetBack { t: 9 * S, region: 1 },
    ];
    for note in &notes {
        assert_eq!(Note::parse(&note.to_string()).as_ref(), Some(note));
    }
    let text: String = notes.iter().map(|note| format!("{note}\n")).collect();
    std::fs::write(folder.path().join(NOTES), text).expect("a file");
    let late = check_folder(folder.path()).expect("records").latencies["late"];
    assert_eq!((late.steady.count, late.apart.count), (1, 1));
}

#[test]
fn writers_lines_of_two_machines_go_by_time() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path());
    // By the order of names it would be read first.
    std::fs::write(folder.path().join("written-a.log"), "O 7000000 1 2 5\n").expect("a file");
    let verdict = check_folder(folder.path()).expect("records");
    assert!(verdict.is_good(), "{:?}", verdict.breaks);
}

#[test]
fn a_line_that_a_kill_cut_off_is_passed_over_and_a_wrong_one_is_named() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path());
    let path = folder.path().join("inforce-h1.log");
    append(&path, "E 9000000 g1 1 1 9 1/no");
    assert!(check_folder(folder.path()).expect("records").is_good());
    append(&path, "\nC 9000000 g1 1 1 1 4\n");
    let error = check_folder(folder.path()).expect_err("a wrong line");
    assert!(
        matches!(&error, ReadError::Line(p, 16, text) if *p == path && text.starts_with("E 9000000")),
        "{error}"
    );
}

#[test]
fn a_folder_without_records_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(matches!(check_folder(folder.path()), Err(ReadError::Empty(_))));
    write(folder.path());
    std::fs::remove_file(folder.path().join("written-c1.log")).expect("it is there");
    assert!(matches!(check_folder(folder.path()), Err(ReadError::Empty(_))));
    assert!(matches!(check_folder(&folder.path().join("nowhere")), Err(ReadError::Io(..))));
}
