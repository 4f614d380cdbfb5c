//! The soak: a long day under rising load, with overlapping troubles from a seeded schedule.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use settings::{LoadError, Phase, Site, Trouble, TroubleKind};

use crate::LabError;
use crate::random::{Draw, draw_day};

/// A soak.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Soak {
    /// How long, in minutes.
    pub minutes: f64,
    /// One seed, one schedule for a given length.
    pub seed: u64,
}

/// Steps of the load; its factors go from the first to the second and back.
const STEPS: u32 = 10;
const FACTORS: (f64, f64) = (0.5, 2.0);
/// Troubles a second, in the mean.
const TROUBLES: f64 = 0.9;
/// A gateway is down this long in the rolling restart, and the next follows after this much more, in seconds.
const RESTART: (f64, f64) = (1.0, 1.5);

/// The day of a soak: load that rises to twice what the nodes can do and falls again; troubles of all kinds; every gateway
/// restarted in turn; clients that break their connections in the middle of writes.
///
/// Danger: stand-ins of one shard share no memory of tokens, so two of them listed at once run a keyed repeat twice (nine
/// postings in a soak of ten minutes that had two). Each shard has one node here until they share it.
///
/// # Errors
/// The built-in site does not fit: a fault of this program.
pub fn soak_site(soak: Soak) -> Result<Site, LabError> {
    let built_in = |problems| LoadError::Problems("the built-in soak".into(), problems);
    let mut site = Site::parse(include_str!("soak.toml")).map_err(built_in)?;
    let seconds = (soak.minutes * 60.0).clamp(10.0, 86_400.0);
    if let Some(day) = &mut site.day {
        day.seconds = seconds;
    }
    let troubles = (seconds * TROUBLES).round() as usize;
    draw_day(&mut site, Draw { seed: soak.seed, troubles });
    let phases: Vec<Phase> = (0..STEPS).map(|n| phase(n, seconds)).collect();
    site.client.iter_mut().for_each(|c| c.phases = phases.clone());
    let mut rng = StdRng::seed_from_u64(soak.seed ^ 0x50a4);
    let tenths = |x: f64| (x * 10.0).round() / 10.0;
    let mut add = |what, at_s: f64, for_s: f64, of: &str| {
        let of = vec![of.to_owned()];
        let trouble = Trouble::new(what, tenths(at_s), tenths(for_s), of);
        site.trouble.push(Trouble { factor: 1.0, ..trouble });
    };
    let begin = rng.random_range(0.3..0.6) * seconds;
    for (n, gateway) in ["gw1", "gw2", "gw3"].into_iter().enumerate() {
        let at = begin + n as f64 * (RESTART.0 + RESTART.1);
        if at + RESTART.0 < seconds {
            add(TroubleKind::StopGateway, at, RESTART.0, gateway);
        }
    }
    site.trouble.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    Ok(site)
}

fn phase(n: u32, seconds: f64) -> Phase {
    let part = f64::from(n) / f64::from(STEPS - 1);
    let up = 1.0 - (2.0 * part - 1.0).abs();
    let factor = FACTORS.0 + (FACTORS.1 - FACTORS.0) * up * f64::from(STEPS - 1) / f64::from(STEPS - 2);
    let from_s = (seconds * f64::from(n) / f64::from(STEPS) * 10.0).round() / 10.0;
    Phase { from_s, factor: (factor.min(FACTORS.1) * 100.0).round() / 100.0 }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_soak_is_a_well_formed_day_that_rises_to_twice_the_capacity() {
        for (minutes, seed) in [(1.0, 1), (10.0, 2), (0.2, 3)] {
            let site = soak_site(Soak { minutes, seed }).unwrap();
            assert_eq!(site, soak_site(Soak { minutes, seed }).unwrap(), "one seed, one schedule");
            let text = toml::to_string(&site).unwrap();
            Site::parse(&text).unwrap_or_else(|e| panic!("{minutes} {seed}: {e:?}"));
            let factors: Vec<f64> = site.client[0].phases.iter().map(|p| p.factor).collect();
            assert_eq!((factors[0], factors.iter().copied().fold(0.0, f64::max)), (0.5, 2.0), "{factors:?}");
            assert!(site.trouble.len() as f64 > minutes * 50.0);
        }
    }
}
