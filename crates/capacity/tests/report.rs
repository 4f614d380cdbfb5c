//! A report that measurements are added to one by one, read again from its file.

use capacity::fit::Breaks;
use capacity::report::{Entry, Report, ReportError, Taken, figure};
use capacity::{Role, Row};

fn row(name: &'static str, slope: f64, at: f64, budget: Option<f64>) -> Row {
    let points = [1.0, 4.0, 16.0, 64.0].into_iter().map(|x| (x, slope * x)).collect();
    let (role, how) = (Role::GatewayControl, format!("{name} by hand."));
    Row { name, role, of: "things", cost: "bytes", points, at, budget, how }
}

fn taken(date: u64, look: bool) -> Taken {
    Taken { command: "slopes --only it".into(), date, cores: 3, load: Some(0.5), seed: 1, look }
}

fn names(report: &Report) -> Vec<&str> {
    report.rows.iter().map(|e| e.name.as_str()).collect()
}

#[test]
fn what_breaks_first_as_a_part_of_its_coming_size_stands_first() {
    let mut report = Report::default();
    let rows = [
        row("without_budget", 1.0, 10.0, None),
        row("late", 1.0, 1_000.0, Some(900.0)),
        row("never", 0.0, 1_000.0, Some(1.0)),
        // Breaks at a larger size than `late`, and at a smaller part of what is coming.
        row("soon", 1.0, 100_000.0, Some(1_000.0)),
        row("at_once", 1.0, 10.0, Some(0.5)),
        Row { points: vec![(1.0, 1.0)], ..row("no_slope", 1.0, 10.0, Some(5.0)) },
    ];
    report.add("it", &rows, &taken(5, false));
    assert_eq!(names(&report), ["at_once", "soon", "late", "never", "no_slope", "without_budget"]);
    let breaks: Vec<Option<Breaks>> = report.rows.iter().map(|e| e.fit.and_then(|f| f.breaks)).collect();
    assert_eq!(breaks[0], Some(Breaks::BelowFirst));
    assert_eq!(breaks[3..], [Some(Breaks::Never), None, None]);
    assert!((report.rows[1].part().expect("it breaks") - 0.01).abs() < 1e-9);
    let no_fit = report.rows[4].no_fit.as_deref().expect("why there is none");
    assert!(no_fit.contains("no_slope") && no_fit.contains("4 sizes"), "{no_fit}");
    // The table has the same order, all names and how each was taken.
    let table = report.markdown();
    let at: Vec<usize> = names(&report)
        .iter()
        .map(|n| table.find(&format!("| {n} |")).expect("a line of the table"))
        .collect();
    assert!(at.is_sorted(), "{at:?}");
    assert!(names(&report).iter().all(|n| table.contains(&format!("{n} by hand."))), "{table}");
}

#[test]
fn a_measurement_taken_again_replaces_its_rows_alone_and_the_file_says_the_same() {
    let folder = tempfile::tempdir().expect("a folder");
    let dir = folder.path().join("new/one");
    let mut report = Report::load(&dir).expect("none there is an empty one");
    assert_eq!(report, Report::default());
    report.add("one", &[row("a", 1.0, 10.0, Some(5.0)), row("b", 1.0, 10.0, None)], &taken(5, false));
    report.save(&dir).expect("written");
    let mut report = Report::load(&dir).expect("read");
    report.add("two", &[row("c", 2.0, 10.0, Some(3.0))], &taken(6, false));
    // A row that a measurement gives no more goes.
    report.add("one", &[row("a", 3.0, 10.0, Some(5.0))], &taken(7, false));
    report.save(&dir).expect("written");
    let read = Report::load(&dir).expect("read");
    assert_eq!(names(&read), ["c", "a"]);
    for (read, kept) in read.rows.iter().zip(&report.rows) {
        // The last digit of a number may be another after it was read.
        let (fit, wanted) = (read.fit.expect("a fit"), kept.fit.expect("a fit"));
        assert!((fit.value_at / wanted.value_at - 1.0).abs() < 1e-12, "{fit:?} for {wanted:?}");
        assert_eq!(Entry { fit: None, ..read.clone() }, Entry { fit: None, ..kept.clone() });
    }
    assert_eq!(read.rows.iter().map(|e| e.taken.date).collect::<Vec<_>>(), [6, 7]);
    assert_eq!(read.rows[1].points[0], (1.0, 3.0));
    let svg = std::fs::read_to_string(dir.join("slopes.svg")).expect("the chart");
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    assert_eq!(std::fs::read_to_string(dir.join("slopes.md")).expect("the table"), read.markdown());
    let left: Vec<_> = std::fs::read_dir(&dir).expect("the folder").collect();
    assert_eq!(left.len(), 3, "{left:?}");
}

#[test]
fn a_look_takes_the_place_of_no_slope() {
    let mut report = Report::default();
    report.add("it", &[row("a", 1.0, 10.0, None)], &taken(5, true));
    assert!(report.rows[0].taken.look && report.markdown().contains("a (a look)"));
    report.add("it", &[row("a", 2.0, 10.0, None)], &taken(6, false));
    report.add("it", &[row("a", 3.0, 10.0, None)], &taken(7, true));
    assert_eq!((report.rows.len(), report.rows[0].taken.date), (1, 6));
}

#[test]
fn a_failure_is_told_until_a_run_succeeds_and_what_was_measured_before_stands() {
    let mut report = Report::default();
    report.add("it", &[row("a", 1.0, 10.0, None)], &taken(5, false));
    report.fail("it", "the node was silent".into(), &taken(6, false));
    report.fail("it", "the node was silent again".into(), &taken(7, false));
    assert_eq!((report.rows.len(), report.failed.len()), (1, 1));
    assert!(report.markdown().contains("the node was silent again"));
    report.add("it", &[row("a", 1.0, 10.0, None)], &taken(8, false));
    assert!(report.failed.is_empty() && !report.markdown().contains("silent"));
    // A cost that is no number is a failure, and what was measured before stands.
    let odd = Row { points: vec![(1.0, f64::NAN)], ..row("a", 1.0, 10.0, None) };
    report.add("it", &[odd], &taken(9, false));
    assert_eq!((report.failed.len(), report.rows[0].taken.date), (1, 8));
}

#[test]
fn the_chart_names_each_row_that_has_a_budget_and_no_other() {
    let mut report = Report::default();
    assert!(report.chart().expect("an empty chart").contains("</svg>"));
    let rows = [row("with_budget", 1.0, 1_000.0, Some(100.0)), row("without", 1.0, 1_000.0, None)];
    report.add("it", &rows, &taken(5, false));
    let svg = report.chart().expect("a chart");
    assert!(svg.contains("with_budget") && !svg.contains("without"), "{svg}");
}

#[test]
fn what_is_no_report_is_left_alone_and_told() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("slopes.json"), "{\"rows\": 3}").expect("written");
    let error = Report::load(folder.path()).expect_err("no report");
    assert!(
        matches!(error, ReportError::Foreign(..)) && error.to_string().contains("slopes.json"),
        "{error}"
    );
}

#[test]
fn figures_have_three_digits() {
    let cases = [
        (0.0, "0"),
        (3.0, "3"),
        (160.0, "160"),
        (0.012345, "0.0123"),
        (1.2345, "1.23"),
        (12.345, "12.3"),
        (123.45, "123"),
        (3600.0, "3,600"),
        (11_523_000.0, "11,500,000"),
        (-1234.0, "-1,230"),
    ];
    for (x, wanted) in cases {
        assert_eq!(figure(x), wanted, "{x}");
    }
}

/// Danger: a report that the tool cannot read any more cannot be added to, and its measurements are taken anew or not at all.
#[test]
fn the_projects_own_report_and_those_without_a_load_are_read_and_added_to() {
    let own = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity");
    let mut report = Report::load(&own).expect("it is read");
    let before = report.rows.len();
    assert!(before > 40 && report.failed.is_empty(), "{before} rows, failed: {:?}", report.failed);
    report.add("by_hand", &[row("by_hand", 1.0, 10.0, None)], &taken(5, false));
    assert_eq!(report.rows.len(), before + 1);

    let folder = tempfile::tempdir().expect("a folder");
    let mut text: serde_json::Value = serde_json::to_value(&report).expect("it is written");
    for row in text["rows"].as_array_mut().expect("rows") {
        row["taken"].as_object_mut().expect("how it was taken").remove("load");
    }
    std::fs::write(folder.path().join("slopes.json"), text.to_string()).expect("a report of before");
    let mut old = Report::load(folder.path()).expect("it is read");
    old.add("by_hand", &[row("by_hand", 2.0, 10.0, None)], &taken(6, false));
    assert_eq!(old.rows.len(), before + 1);
    assert!(old.markdown().contains("load unknown") && old.markdown().contains("load 0.5"));
}
