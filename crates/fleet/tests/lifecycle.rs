//! Member lifecycle: pause, failure, restart, leaving and removal.

mod net;

use fleet::{Input, Plant, Presence, Standing};
use net::{PERIOD, SimulatedNetwork, life, name};

const COUNT: usize = 12;

fn converged(count: usize, seed: u64, injected_fault: Plant) -> SimulatedNetwork {
    let mut net = SimulatedNetwork::new(count, seed);
    net.injected_fault = injected_fault;
    net.start_all();
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("a fleet that starts settles");
    net
}

fn without(net: &SimulatedNetwork, gone: &[usize]) -> Vec<usize> {
    net.all().into_iter().filter(|at| !gone.contains(at)).collect()
}

#[test]
fn fleets_of_any_size_converge_after_simultaneous_start() {
    for count in [1, 2, 3, 12, 40] {
        converged(count, 1, Plant::None);
    }
}

#[test]
fn unseen_members_are_joining_and_never_up() {
    let mut net = SimulatedNetwork::new(5, 2);
    (0..3).for_each(|at| net.start(at));
    let bound = net.convergence_bound();
    net.converge(&[0, 1, 2], bound).expect("those that run settle");
    let view = net.view(0).expect("it runs");
    let absent = view.member(&name(4)).expect("the site file names it");
    assert_eq!((absent.standing, absent.life), (Standing::Joining, None));
    assert_eq!(view.presence(&name(4)), Presence::Perhaps);
    assert_eq!(view.up().count(), 3);
    net.start(3);
    net.start(4);
    let all = net.all();
    net.converge(&all, bound).expect("the late ones join");
}

#[test]
fn paused_member_suspects_nobody_when_it_resumes() {
    for (tenths, seed) in [(2, 3), (9, 4), (30, 5), (120, 6), (300, 7)] {
        let mut net = converged(COUNT, seed, Plant::None);
        let rest = without(&net, &[4]);
        net.protected = rest.iter().copied().collect();
        net.freeze(4, tenths * PERIOD / 10);
        net.run(tenths * PERIOD / 10 + 1);
        let (all, bound) = (net.all(), net.convergence_bound());
        net.converge(&all, bound).expect("it settles when the member goes on");
        net.run(20 * PERIOD);
        assert_eq!(net.expelled, []);
        assert_eq!(net.counts(4).suspicions, 0, "stopped for {tenths} tenths of a period");
        let others: u64 = rest.iter().map(|at| net.counts(*at).refutations).sum();
        assert_eq!(others, 0, "others had to refute");
    }
}

#[test]
fn killed_member_is_unreachable_until_its_next_life() {
    let mut net = converged(COUNT, 8, Plant::None);
    net.kill(3);
    let (rest, bound) = (without(&net, &[3]), net.convergence_bound());
    net.converge(&rest, bound).expect("the rest settles");
    for at in &rest {
        let view = net.view(*at).expect("it runs");
        assert_eq!(view.member(&name(3)).map(|m| m.standing), Some(Standing::Unreachable));
        assert_eq!(view.presence(&name(3)), Presence::Perhaps);
    }
    net.start(3);
    let all = net.all();
    net.converge(&all, bound).expect("the next life is up");
    assert_eq!(net.view(0).and_then(|v| v.member(&name(3))?.life), Some(life(2)));
}

#[test]
fn quick_restart_is_not_detected_as_failure() {
    let mut net = converged(COUNT, 9, Plant::None);
    net.protected = without(&net, &[3]).into_iter().collect();
    net.kill(3);
    net.run(PERIOD / 2);
    net.start(3);
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("the next life is up");
    assert_eq!(net.expelled, []);
}

#[test]
fn rolling_restart_expels_no_running_member() {
    let count = 20;
    let mut net = converged(count, 10, Plant::None);
    for first in (0..count).step_by(2) {
        net.kill(first);
        net.kill(first + 1);
        net.protected = without(&net, &[first, first + 1]).into_iter().collect();
        net.run(3 * PERIOD);
        net.start(first);
        net.start(first + 1);
        net.run(5 * PERIOD);
    }
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("all are back");
    assert_eq!(net.expelled, []);
}

#[test]
fn fleet_converges_after_restart_of_all_members() {
    let mut net = converged(COUNT, 11, Plant::None);
    (0..COUNT).for_each(|at| net.kill(at));
    net.run(30 * PERIOD);
    net.start_all();
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("all are back");
}

#[test]
fn survivors_detect_failure_of_most_members() {
    let mut net = converged(COUNT, 12, Plant::None);
    (3..COUNT).for_each(|at| net.kill(at));
    let bound = net.convergence_bound();
    net.converge(&[0, 1, 2], bound).expect("the rest settles");
}

/// A member leaves while another is partitioned; that one reconnects much later with a stale record.
fn leave_during_partition(injected_fault: Plant) -> Result<(), String> {
    let mut net = converged(6, 13, injected_fault);
    net.partition(&[5], &[0, 1, 2, 3, 4]);
    net.run(3 * PERIOD);
    net.input(2, Input::Leave);
    net.run(PERIOD);
    let leaving = net.view(0).and_then(|v| v.member(&name(2)).map(|m| m.standing));
    if !matches!(leaving, Some(Standing::Leaving | Standing::Up)) {
        return Err(format!("a member that is leaving is {leaving:?}"));
    }
    net.run(9 * PERIOD);
    net.kill(2);
    net.run(100 * PERIOD);
    if net.view(0).is_some_and(|v| v.member(&name(2)).is_some_and(|m| m.standing != Standing::Left)) {
        return Err("a member that left is back before anybody spoke of it".to_owned());
    }
    net.heal();
    let bound = net.convergence_bound();
    net.converge(&[0, 1, 3, 4, 5], bound)?;
    for at in [0, 1, 3, 4, 5] {
        let view = net.view(at).ok_or("it runs")?;
        if view.presence(&name(2)) != Presence::Not {
            return Err(format!("{at} has revived a member that left"));
        }
    }
    net.start(2);
    let all = net.all();
    net.converge(&all, bound).map(|_| ())
}

#[test]
fn member_that_left_returns_only_in_a_later_life() {
    assert_eq!(leave_during_partition(Plant::None), Ok(()));
}

#[test]
fn forgotten_left_record_is_detected() {
    let why = leave_during_partition(Plant::LeftForgotten).expect_err("the old copy revives it");
    assert!(why.contains("revived") || why.contains("is back") || why.contains("holds 2 for"), "{why}");
}

#[test]
fn operator_removes_a_member_and_its_later_life_rejoins() {
    let mut net = converged(COUNT, 14, Plant::None);
    net.kill(6);
    let (rest, bound) = (without(&net, &[6]), net.convergence_bound());
    net.converge(&rest, bound).expect("the rest settles");
    net.input(0, Input::Left(name(6), life(1)));
    net.run(20 * PERIOD);
    for at in &rest {
        assert_eq!(net.view(*at).map(|v| v.presence(&name(6))), Some(Presence::Not), "at {at}");
    }
    net.run(100 * PERIOD);
    assert!(net.view(0).is_some_and(|v| v.member(&name(6)).is_none()), "it is shown for ever");
    net.start(6);
    let all = net.all();
    net.converge(&all, bound).expect("its later life is up");
}

#[test]
fn member_keeps_its_holding_in_a_new_life() {
    let mut net = converged(COUNT, 15, Plant::None);
    let holding = fleet::Holding { volumes: vec![9, 3, 3], cap: 4, candidate: 5 };
    net.input(1, Input::Hold(holding));
    net.run(15 * PERIOD);
    net.hosts[1].life = 7;
    net.input(1, Input::Renewed(life(7)));
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("the life is known");
    let view = net.view(8).expect("it runs");
    assert_eq!(view.sharing_volume(9).map(|m| &m.name).collect::<Vec<_>>(), [&name(1)]);
    assert_eq!(view.member(&name(1)).map(|m| m.holding.volumes.clone()), Some(vec![3, 9]));
    assert_eq!(net.view(1).map(|v| v.sharing_volume(9).count()), Some(0), "it shares none with itself");
}
