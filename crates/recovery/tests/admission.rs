//! Admission control while nodes are cold.

use std::collections::BTreeMap;

use recovery::{Admission, AdmissionOptions, Entry, Micros};

fn admission(gateways: u32) -> Admission {
    let options = AdmissionOptions {
        cold_units: 10.0,
        cold_window: 1_000_000,
        cold_from: 0.2,
        warm_after: 10_000_000,
        gateways,
        most_advice: 20_000_000,
    };
    Admission::new(options, 1)
}

/// Offers requests of one unit at `rates` (worth, requests per second); returns the number admitted of each worth.
fn offer(admission: &mut Admission, from: Micros, to: Micros, rates: &[(f64, i64)]) -> BTreeMap<u64, u32> {
    let mut open = BTreeMap::new();
    for now in from..to {
        for &(worth, rate) in rates {
            if now % (1_000_000 / rate) == 0 && admission.entry(now, 0, worth, 1.0) == Entry::Open {
                *open.entry(worth as u64).or_default() += 1;
            }
        }
    }
    open
}

#[test]
fn higher_worth_is_admitted_first_within_the_share_of_the_cold_capacity() {
    let mut admission = admission(4);
    assert!(matches!(admission.entry(0, 0, 1.0, 1.0), Entry::Later { come_back } if come_back >= 10_000_000));
    admission.met(0, 0);
    // Each of four gateways may send 2.5 units per second at first and 12.5 to a warm node; 2 of high worth and 20 of low
    // worth are offered.
    offer(&mut admission, 0, 2_000_000, &[(8.0, 2), (1.0, 20)]);
    let open = offer(&mut admission, 2_000_000, 6_000_000, &[(8.0, 2), (1.0, 20)]);
    // The capacity over these four seconds is 2.5 x (1 + 4 x 0.4) x 4 = 26.
    let sum: u32 = open.values().sum();
    assert!((20..=34).contains(&sum), "{open:?}");
    assert_eq!(open[&8], 8, "all requests of high worth");
    let warm = offer(&mut admission, 10_000_000, 11_000_000, &[(1.0, 20)]);
    assert_eq!(warm[&1], 20);
}

#[test]
fn retry_delay_follows_the_growing_capacity_and_is_spread() {
    let mut admission = admission(1);
    admission.met(0, 0);
    offer(&mut admission, 0, 3_000_000, &[(1.0, 40)]);
    let mut advice = Vec::new();
    for n in 0..400 {
        if let Entry::Later { come_back } = admission.entry(3_000_000 + n * 25_000, 0, 1.0, 1.0) {
            advice.push((n * 25_000, come_back));
        }
    }
    // The capacity is 40 units per second at the age of 7.5 s: no retry comes much sooner, and they are spread.
    assert!(advice.len() > 20, "{}", advice.len());
    for (after, come_back) in &advice {
        let retry_at = 3_000_000 + after + come_back;
        assert!(retry_at >= 7_000_000, "refused at {after} with a retry at {retry_at}");
    }
    let early = advice.iter().filter(|a| a.0 < 100_000).map(|a| a.1).collect::<Vec<_>>();
    let (shortest, longest) = (early.iter().min(), early.iter().max());
    assert!(
        longest.zip(shortest).is_some_and(|(longest, shortest)| longest - shortest > 1_000_000),
        "{early:?}"
    );
}
