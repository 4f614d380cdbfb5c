//! A day that failed, cut down to the smallest that still fails.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use settings::{Site, Trouble};

use crate::LabError;
use crate::shrink::Shrink;

/// The smallest day that was seen to fail.
#[derive(Clone, Debug, PartialEq)]
pub struct CutDown {
    /// Its file, kept.
    pub file: PathBuf,
    /// Its troubles.
    pub troubles: Vec<Trouble>,
    /// Days that were played to find it.
    pub plays: usize,
}

/// Plays parts of a day that failed, at most so many, and keeps the smallest that still breaks one of the same rules as
/// `smallest.toml` in a folder. `play` plays a file and says which rules were broken.
///
/// # Errors
/// A file that cannot be written, or what `play` met.
pub fn cut_down(
    site: &Site,
    broken: &BTreeSet<String>,
    out: &Path,
    plays: usize,
    mut play: impl FnMut(&Path, &Site) -> Result<BTreeSet<String>, LabError>,
) -> Result<CutDown, LabError> {
    let mut shrink = Shrink::new(site.trouble.clone(), plays);
    let (trial_file, file) = (out.join("trial.toml"), out.join("smallest.toml"));
    keep(site, &file)?;
    let mut made = 0;
    while let Some(trouble) = shrink.next() {
        let trial = Site { trouble, ..site.clone() };
        keep(&trial, &trial_file)?;
        made += 1;
        let fails = !play(&trial_file, &trial)?.is_disjoint(broken);
        shrink.told(fails);
        if fails {
            keep(&trial, &file)?;
        }
    }
    if made > 0 {
        std::fs::remove_file(&trial_file).map_err(|e| LabError::Io(trial_file, e))?;
    }
    Ok(CutDown { file, troubles: shrink.least().to_vec(), plays: made })
}

fn keep(site: &Site, file: &Path) -> Result<(), LabError> {
    let failed = |e| LabError::Io(file.to_owned(), e);
    let text = toml::to_string(site).map_err(|e| failed(std::io::Error::other(e)))?;
    std::fs::write(file, text).map_err(failed)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::random::{Draw, draw_day};

    fn names(rules: &[&str]) -> BTreeSet<String> {
        rules.iter().map(|r| (*r).to_owned()).collect()
    }

    #[test]
    fn a_drawn_day_is_cut_down_to_what_breaks_the_same_rule_and_kept_as_a_file() {
        let mut site = crate::demo_site().unwrap();
        draw_day(&mut site, Draw { seed: 3, troubles: 30 });
        let planted = [site.trouble[4].clone(), site.trouble[21].clone()];
        let folder = tempfile::tempdir().unwrap();
        let play = |file: &Path, trial: &Site| {
            let read = Site::load(file).expect("a trial is a well-formed file");
            assert_eq!(read.trouble, trial.trouble);
            // A day that is too short breaks another rule, which is not what was looked for.
            let fails = planted.iter().all(|p| trial.trouble.contains(p));
            Ok(names(if fails { &["5 order", "data"] } else { &["7 limits"] }))
        };
        let done = cut_down(&site, &names(&["5 order"]), folder.path(), 100, play).unwrap();
        assert_eq!(done.troubles, planted);
        assert_eq!(Site::load(&done.file).unwrap().trouble, planted);
        assert!(!folder.path().join("trial.toml").exists() && done.plays <= 100);
    }

    #[test]
    fn without_any_play_the_whole_day_is_kept() {
        let mut site = crate::demo_site().unwrap();
        draw_day(&mut site, Draw { seed: 4, troubles: 10 });
        let folder = tempfile::tempdir().unwrap();
        let done = cut_down(&site, &names(&["data"]), folder.path(), 0, |_, _| panic!("no play")).unwrap();
        assert_eq!((done.troubles.len(), done.plays), (10, 0));
        assert_eq!(Site::load(&done.file).unwrap(), site);
    }
}
