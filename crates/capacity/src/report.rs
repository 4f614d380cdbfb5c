//! Rows with their fits, in one file that measurements are added to one by one.

mod chart;
mod table;

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::fit::{Breaks, Fit};
use crate::{Role, Row};

pub use table::figure;

/// How a measurement was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    /// The command that takes it again.
    pub command: String,
    /// When, in seconds since 1970.
    pub date: u64,
    /// Cores that the machine granted.
    pub cores: usize,
    /// Tasks that ran or wanted to as it began, in the mean of a minute: times taken beside many others are too long. None where
    /// it was not written down, as in reports of before.
    #[serde(default)]
    pub load: Option<f64>,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// It took the smaller sizes only: no slope.
    pub look: bool,
}

/// A row as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The measurement that gave it.
    pub measure: String,
    /// See [`Row::name`].
    pub name: String,
    /// See [`Row::role`].
    pub role: Role,
    /// See [`Row::of`].
    pub of: String,
    /// See [`Row::cost`].
    pub cost: String,
    /// See [`Row::points`].
    pub points: Vec<(f64, f64)>,
    /// See [`Row::at`].
    pub at: f64,
    /// See [`Row::budget`].
    pub budget: Option<f64>,
    /// See [`Row::how`].
    pub how: String,
    /// Its fit, if its points make a slope.
    pub fit: Option<Fit>,
    /// Why there is no fit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub no_fit: Option<String>,
    /// How it was taken.
    pub taken: Taken,
}

impl Entry {
    /// The size at which the budget breaks, as a part of the size that is coming: 0 if it is beyond it at the smallest one, infinite if
    /// it never is. None without a budget or a fit.
    pub fn part(&self) -> Option<f64> {
        match self.fit?.breaks? {
            Breaks::BelowFirst => Some(0.0),
            Breaks::At(size) => Some(size / self.at),
            Breaks::Never => Some(f64::INFINITY),
        }
    }
}

/// A measurement that came to nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Failed {
    /// Its name.
    pub measure: String,
    /// Why.
    pub why: String,
    /// How it was taken.
    pub taken: Taken,
}

/// All rows, and what failed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The rows; what breaks first stands first.
    pub rows: Vec<Entry>,
    /// Measurements whose last run came to nothing; their rows of before stand.
    pub failed: Vec<Failed>,
}

/// A report that could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file that cannot be read or written.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// What is there is no report.
    #[error("{0} is no report of slopes ({1}): name another folder or take the file away")]
    Foreign(PathBuf, serde_json::Error),
    /// The chart could not be drawn.
    #[error("the chart of slopes cannot be drawn: {0}")]
    Chart(String),
}

const JSON: &str = "slopes.json";

impl Report {
    /// The report in a folder; an empty one if there is none.
    ///
    /// # Errors
    /// A file that cannot be read or is no report.
    pub fn load(folder: &Path) -> Result<Report, ReportError> {
        let path = folder.join(JSON);
        match std::fs::read(&path) {
            Ok(text) => serde_json::from_slice(&text).map_err(|e| ReportError::Foreign(path, e)),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Report::default()),
            Err(e) => Err(ReportError::Io(path, e)),
        }
    }

    /// Takes the rows of a measurement in place of those that it gave before.
    ///
    /// Danger: a look, which has the smaller sizes only, takes the place of a slope that took an hour. It does so only where there was
    /// none. Danger: numbers that are none cannot be written and read again. A measurement that gives one has failed.
    pub fn add(&mut self, measure: &str, rows: &[Row], taken: &Taken) {
        let of = |e: &Entry| e.measure == measure || rows.iter().any(|r| r.name == e.name);
        if taken.look && self.rows.iter().any(|e| of(e) && !e.taken.look) {
            return;
        }
        let numbers = |r: &Row| {
            let points = r.points.iter().flat_map(|p| [p.0, p.1]);
            points.chain([r.at]).chain(r.budget).all(f64::is_finite)
        };
        if let Some(row) = rows.iter().find(|r| !numbers(r)) {
            return self.fail(measure, format!("{}: a size, cost or budget is no number", row.name), taken);
        }
        self.failed.retain(|f| f.measure != measure);
        self.rows.retain(|e| !of(e));
        self.rows.extend(rows.iter().map(|row| entry(measure, row, taken)));
        self.sort();
    }

    /// Notes that a measurement came to nothing. Its rows of before stand, and are told to be of before.
    pub fn fail(&mut self, measure: &str, why: String, taken: &Taken) {
        self.failed.retain(|f| f.measure != measure);
        self.failed.push(Failed { measure: measure.into(), why, taken: taken.clone() });
    }

    /// What breaks first stands first: by the part of the coming size at which the budget breaks; then what has a budget and no fit,
    /// then what has no budget.
    fn sort(&mut self) {
        let rank = |e: &Entry| match (e.part(), e.budget) {
            (Some(part), _) => (0, part),
            (None, Some(_)) => (1, 0.0),
            (None, None) => (2, 0.0),
        };
        self.rows.sort_by(|a, b| {
            let ((sort_a, part_a), (sort_b, part_b)) = (rank(a), rank(b));
            sort_a.cmp(&sort_b).then(part_a.total_cmp(&part_b)).then_with(|| a.name.cmp(&b.name))
        });
    }

    /// The table, how each row was taken, and what failed, as Markdown.
    pub fn markdown(&self) -> String {
        table::markdown(self)
    }

    /// The chart of the rows that have a budget, as SVG: sizes as parts of those that are coming, costs as parts of their budgets.
    ///
    /// # Errors
    /// It cannot be drawn.
    pub fn chart(&self) -> Result<String, ReportError> {
        chart::chart(self).map_err(ReportError::Chart)
    }

    /// Writes `slopes.json`, `slopes.md` and `slopes.svg` into a folder, each as a whole.
    ///
    /// # Errors
    /// A file that cannot be written, or a chart that cannot be drawn.
    pub fn save(&self, folder: &Path) -> Result<(), ReportError> {
        std::fs::create_dir_all(folder).map_err(io(folder))?;
        let json =
            serde_json::to_string_pretty(self).map_err(|e| ReportError::Io(folder.join(JSON), e.into()))?;
        for (name, text) in
            [(JSON, json + "\n"), ("slopes.md", self.markdown()), ("slopes.svg", self.chart()?)]
        {
            let (path, part) = (folder.join(name), folder.join(format!("{name}.part")));
            std::fs::write(&part, text).map_err(io(&part))?;
            std::fs::rename(&part, &path).map_err(io(&path))?;
        }
        Ok(())
    }
}

fn entry(measure: &str, row: &Row, taken: &Taken) -> Entry {
    let (fit, no_fit) = match Fit::of(row) {
        Ok(fit) => (Some(fit), None),
        Err(why) => (None, Some(why.to_string())),
    };
    Entry {
        measure: measure.into(),
        name: row.name.into(),
        role: row.role,
        of: row.of.into(),
        cost: row.cost.into(),
        points: row.points.clone(),
        at: row.at,
        budget: row.budget,
        how: row.how.clone(),
        fit,
        no_fit,
        taken: taken.clone(),
    }
}

fn io(path: &Path) -> impl FnOnce(std::io::Error) -> ReportError + use<> {
    let path = path.to_owned();
    move |e| ReportError::Io(path, e)
}
