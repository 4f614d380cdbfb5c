//! Invalid messages are rejected and reported once for each reason, and nothing of them is adopted.

mod net;

use fleet::{Fleet, FleetOptions, Input, Life, Micros, Output, PeerName, Standing};
use net::{PERIOD, SITE, SimulatedNetwork, life, members, name};
use peer::{Incarnation, Nonce};

const COUNT: usize = 4;

/// Messages that a gateway with these options sends to `to` in some periods, after it received `learned`.
fn messages_from(options: FleetOptions, own: Life, to: usize, learned: &[(PeerName, Life)]) -> Vec<Vec<u8>> {
    let mut fleet = Fleet::new(options.clone(), own, 0, 9);
    let mut out = Vec::new();
    for (name, life) in learned {
        let said = Fleet::new(FleetOptions { name: name.clone(), ..options.clone() }, *life, 0, 5);
        let body = first_message_to(said, &options.name);
        fleet.handle(0, Input::Heard { from: name.clone(), life: *life, body }, &mut out);
    }
    for at in 0..60 {
        fleet.handle(at * PERIOD / 2, Input::Tick, &mut out);
    }
    let sent = out.into_iter().filter_map(|o| match o {
        Output::Send { to: target, body } if target == name(to) => Some(body),
        _ => None,
    });
    sent.collect()
}

fn first_message_to(mut fleet: Fleet, to: &PeerName) -> Vec<u8> {
    let mut out = Vec::new();
    for at in 0..200 {
        fleet.handle(at * PERIOD / 2, Input::Tick, &mut out);
        let body = out.drain(..).find_map(|o| match o {
            Output::Send { to: target, body } if target == *to => Some(body),
            _ => None,
        });
        if let Some(body) = body {
            return body;
        }
    }
    panic!("it says nothing to {to}")
}

fn options(at: usize, site: u64, all: Vec<(PeerName, u32)>) -> FleetOptions {
    let mut options = FleetOptions::new(name(at), 0, site, all);
    options.period = PERIOD;
    options
}

/// A converged fleet; the tests impersonate its member 3.
fn converged_fleet() -> SimulatedNetwork {
    let mut net = SimulatedNetwork::started(COUNT, 1);
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("it settles");
    net
}

/// Delivers messages of member 3 to member 0; returns the reported reasons for rejection.
fn rejections_of(net: &mut SimulatedNetwork, life: Life, bodies: Vec<Vec<u8>>) -> Vec<&'static str> {
    let before = net.view(0).expect("it runs");
    for body in bodies {
        net.input(0, Input::Heard { from: name(3), life, body });
    }
    let after = net.view(0).expect("it runs");
    assert_eq!(before.members[..3], after.members[..3], "a lie was taken over");
    let mut reasons: Vec<_> = net.rejections.iter().filter(|t| t.0 == 0).map(|t| t.2).collect();
    let named = reasons.len();
    reasons.sort_unstable();
    reasons.dedup();
    assert_eq!(reasons.len(), named, "a cause was named twice: {reasons:?}");
    reasons
}

#[test]
fn unknown_member_name_is_rejected() {
    let mut net = converged_fleet();
    let other = members(COUNT + 3);
    let learned = [(name(5), life(1))];
    let reasons =
        rejections_of(&mut net, life(1), messages_from(options(3, SITE, other), life(1), 0, &learned));
    assert!(reasons.iter().any(|w| w.contains("names a member")), "{reasons:?}");
}

#[test]
fn impossible_life_is_rejected_from_any_sender() {
    let ends = Life { incarnation: Incarnation(u64::MAX), nonce: Nonce(1) };
    let far = Life { incarnation: Incarnation(2 + fleet::MOST_JUMP), nonce: Nonce(1) };
    for told in [ends, far] {
        let mut net = converged_fleet();
        let mine = options(3, SITE, members(COUNT));
        // Member 3 either received the claim from member 1 or makes it itself.
        let bodies = if told == far {
            messages_from(mine, life(1), 0, &[(name(1), told)])
        } else {
            messages_from(options(1, SITE, members(COUNT)), told, 0, &[])
        };
        let reasons = rejections_of(&mut net, life(1), bodies);
        assert!(reasons.iter().any(|w| w.contains("impossible life")), "{told}: {reasons:?}");
    }
    let mut net = converged_fleet();
    let reasons =
        rejections_of(&mut net, ends, messages_from(options(3, SITE, members(COUNT)), life(1), 0, &[]));
    assert_eq!(reasons.len(), 1);
    assert!(reasons[0].contains("its own life"), "{reasons:?}");
}

#[test]
fn later_life_of_this_gateway_is_reported_and_not_adopted() {
    let mut net = converged_fleet();
    let learned = [(name(0), life(9))];
    let reasons = rejections_of(
        &mut net,
        life(1),
        messages_from(options(3, SITE, members(COUNT)), life(1), 0, &learned),
    );
    assert!(reasons.iter().any(|w| w.contains("a later life of this gateway")), "{reasons:?}");
    let own = net.view(0).and_then(|v| v.member(&name(0)).cloned()).expect("it knows itself");
    assert_eq!((own.life, own.standing), (Some(life(1)), Standing::Up));
}

#[test]
fn wrong_site_oversized_and_undecodable_messages_are_rejected() {
    let mut net = converged_fleet();
    let mut bodies = messages_from(options(3, SITE + 1, members(COUNT)), life(1), 0, &[]);
    bodies.push(vec![0; 17 << 10]);
    bodies.push(vec![0xc1; 40]);
    let reasons = rejections_of(&mut net, life(1), bodies.clone());
    assert_eq!(reasons.len(), 3, "{reasons:?}");
    let rejections = net.counts(0).turned_away;
    assert_eq!(rejections, bodies.len() as u64);
    net.input(0, Input::Heard { from: PeerName::from("stranger"), life: life(1), body: bodies[0].clone() });
    assert_eq!(net.rejections.last().map(|t| t.1.clone()), Some(PeerName::from("stranger")));
}

#[test]
fn corrupted_messages_do_no_harm() {
    use rand::{Rng, SeedableRng};
    let mut rng = rand::rngs::SmallRng::seed_from_u64(4);
    let mut net = converged_fleet();
    let good = messages_from(options(3, SITE, members(COUNT)), life(1), 0, &[]);
    for _ in 0..2000 {
        let mut body = good[rng.random_range(0..good.len())].clone();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..body.len());
            body[at] = rng.random();
        }
        net.input(0, Input::Heard { from: name(3), life: life(1), body });
    }
    let own = net.view(0).and_then(|v| v.member(&name(0)).cloned()).expect("it knows itself");
    assert_eq!((own.life, own.standing), (Some(life(1)), Standing::Up));
}

#[test]
fn stopped_or_jumping_clock_does_no_harm() {
    let mut fleet = Fleet::new(options(0, SITE, members(COUNT)), life(1), 0, 1);
    let mut out = Vec::new();
    for now in [0, 0, -5, 1 << 40, 7, (1 << 40) + 1] {
        fleet.handle(now, Input::Tick, &mut out);
        let least: Micros = now;
        assert!(fleet.next_due() > least.min(0));
    }
    assert_eq!(fleet.counts().late, 1);
}
