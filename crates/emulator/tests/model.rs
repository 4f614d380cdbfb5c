//! The node's model by itself, in virtual time.

use emulator::{Arrival, Job, JobId, Micros, Model, ModelOptions};

fn options() -> ModelOptions {
    ModelOptions {
        cores: 2,
        queue: 3,
        base: 1000,
        per_kib: 0.0,
        write_factor: 2.0,
        put_off: 0.0,
        put_off_every: 0,
        pause_every: 0,
        pause_for: 0,
        cold_from: 0.25,
        warm_after: 10_000_000,
        fall_multiple: 2.0,
        fall_window: 1_000_000,
        cold_units: 10.0,
        script: Vec::new(),
    }
}

fn job(id: u64) -> Job {
    Job { id: JobId(id), write: false, bytes: 4096, units: 1.0 }
}

fn ends(model: &mut Model, until: Micros) -> Vec<(u64, Micros)> {
    let mut ends = Vec::new();
    while let Some(at) = model.next_due().filter(|&at| at <= until) {
        let mut done = Vec::new();
        model.advance(at, &mut done);
        ends.extend(done.iter().map(|j| (j.id.0, at)));
    }
    ends
}

#[test]
fn two_cores_serve_in_turn_of_arrival_and_a_full_queue_turns_away() {
    let mut model = Model::new(options(), 0, false);
    let taken: Vec<Arrival> = (0..7).map(|n| model.arrive(0, job(n))).collect();
    assert_eq!(taken[..5], [Arrival::Taken; 5]);
    assert_eq!(taken[5..], [Arrival::Full; 2]);
    assert_eq!(ends(&mut model, 10_000), [(0, 1000), (1, 1000), (2, 2000), (3, 2000), (4, 3000)]);
}

#[test]
fn a_cold_node_is_slow_and_warms_up() {
    let mut model = Model::new(options(), 0, true);
    model.arrive(0, job(1));
    assert_eq!(ends(&mut model, 100_000), [(1, 4000)]);
    model.arrive(10_000_000, job(2));
    assert_eq!(ends(&mut model, 11_000_000), [(2, 10_001_000)]);
}

#[test]
fn a_cold_node_falls_over_when_pushed_and_bears_its_units_in_any_case() {
    let heavy = ModelOptions { base: 200_000, ..options() };
    let mut model = Model::new(heavy, 0, true);
    // 2 cores at a quarter, twice that over 1 s: a million microseconds of work; 5 jobs of 200 ms each.
    let mut taken = Vec::new();
    for n in 0..12 {
        let mut done = Vec::new();
        let now = n * 80_000;
        model.advance(now, &mut done);
        taken.push(model.arrive(now, job(n as u64)));
    }
    assert!(!taken[..10].contains(&Arrival::Fallen), "{taken:?}");
    assert_eq!(taken[11], Arrival::Fallen);
    assert!(model.has_fallen());
}

#[test]
fn a_stall_delays_what_runs_by_its_length() {
    let mut model = Model::new(options(), 0, false);
    model.arrive(0, job(1));
    model.set_stalled(500, true);
    assert_eq!(model.next_due(), None);
    model.set_stalled(50_500, false);
    assert_eq!(ends(&mut model, 100_000), [(1, 51_000)]);
}

#[test]
fn put_off_work_of_writes_is_done_in_one_go() {
    let o = ModelOptions { cores: 1, put_off: 0.5, put_off_every: 10_000, ..options() };
    let mut model = Model::new(o, 0, false);
    let write = |id| Job { write: true, ..job(id) };
    model.arrive(0, write(1));
    assert_eq!(ends(&mut model, 5000), [(1, 1000)], "half of 2,000");
    model.arrive(20_000, job(2));
    assert_eq!(ends(&mut model, 30_000), [(2, 22_000)], "behind the put-off half");
}
