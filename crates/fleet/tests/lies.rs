//! Members that say what cannot be are turned away and named once, and nothing of it is taken over.

mod net;

use fleet::{Fleet, FleetOptions, Input, Life, Micros, Output, PeerName, Standing};
use net::{Net, PERIOD, SITE, life, members, name};
use peer::{Incarnation, Nonce};

const COUNT: usize = 4;

/// What a gateway with these options would say to `to` in some periods, after it heard what `teach` tells it.
fn words(options: FleetOptions, own: Life, to: usize, teach: &[(PeerName, Life)]) -> Vec<Vec<u8>> {
    let mut fleet = Fleet::new(options.clone(), own, 0, 9);
    let mut out = Vec::new();
    for (name, life) in teach {
        let said = Fleet::new(FleetOptions { name: name.clone(), ..options.clone() }, *life, 0, 5);
        let body = first_words(said, &options.name);
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

fn first_words(mut fleet: Fleet, to: &PeerName) -> Vec<u8> {
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

/// A settled fleet whose third member is put in place of by a liar.
fn victim() -> Net {
    let mut net = Net::started(COUNT, 1);
    let (all, bound) = (net.all(), net.bound());
    net.settle(&all, bound).expect("it settles");
    net
}

/// Plays notes of member 3 to member 0; the causes that were named, each for member 3.
fn heard(net: &mut Net, life: Life, bodies: Vec<Vec<u8>>) -> Vec<&'static str> {
    let before = net.view(0).expect("it runs");
    for body in bodies {
        net.input(0, Input::Heard { from: name(3), life, body });
    }
    let after = net.view(0).expect("it runs");
    assert_eq!(before.members[..3], after.members[..3], "a lie was taken over");
    let mut whys: Vec<_> = net.turned.iter().filter(|t| t.0 == 0).map(|t| t.2).collect();
    let named = whys.len();
    whys.sort_unstable();
    whys.dedup();
    assert_eq!(whys.len(), named, "a cause was named twice: {whys:?}");
    whys
}

#[test]
fn a_name_that_the_site_file_lacks_is_turned_away() {
    let mut net = victim();
    let other = members(COUNT + 3);
    let taught = [(name(5), life(1))];
    let whys = heard(&mut net, life(1), words(options(3, SITE, other), life(1), 0, &taught));
    assert!(whys.iter().any(|w| w.contains("names a member")), "{whys:?}");
}

#[test]
fn an_impossible_life_is_turned_away_whoever_tells_it() {
    let ends = Life { incarnation: Incarnation(u64::MAX), nonce: Nonce(1) };
    let far = Life { incarnation: Incarnation(2 + fleet::MOST_JUMP), nonce: Nonce(1) };
    for told in [ends, far] {
        let mut net = victim();
        let mine = options(3, SITE, members(COUNT));
        // The liar heard member 1 claim it, or says so.
        let bodies = if told == far {
            words(mine, life(1), 0, &[(name(1), told)])
        } else {
            words(options(1, SITE, members(COUNT)), told, 0, &[])
        };
        let whys = heard(&mut net, life(1), bodies);
        assert!(whys.iter().any(|w| w.contains("impossible life")), "{told}: {whys:?}");
    }
    let mut net = victim();
    let whys = heard(&mut net, ends, words(options(3, SITE, members(COUNT)), life(1), 0, &[]));
    assert_eq!(whys.len(), 1);
    assert!(whys[0].contains("its own life"), "{whys:?}");
}

#[test]
fn a_later_life_of_this_gateway_is_named_and_not_taken_over() {
    let mut net = victim();
    let taught = [(name(0), life(9))];
    let whys = heard(&mut net, life(1), words(options(3, SITE, members(COUNT)), life(1), 0, &taught));
    assert!(whys.iter().any(|w| w.contains("a later life of this gateway")), "{whys:?}");
    let own = net.view(0).and_then(|v| v.member(&name(0)).cloned()).expect("it knows itself");
    assert_eq!((own.life, own.standing), (Some(life(1)), Standing::Up));
}

#[test]
fn another_site_a_note_too_long_and_a_note_that_is_none_are_turned_away() {
    let mut net = victim();
    let mut bodies = words(options(3, SITE + 1, members(COUNT)), life(1), 0, &[]);
    bodies.push(vec![0; 17 << 10]);
    bodies.push(vec![0xc1; 40]);
    let whys = heard(&mut net, life(1), bodies.clone());
    assert_eq!(whys.len(), 3, "{whys:?}");
    let turned = net.counts(0).turned_away;
    assert_eq!(turned, bodies.len() as u64);
    net.input(0, Input::Heard { from: PeerName::from("stranger"), life: life(1), body: bodies[0].clone() });
    assert_eq!(net.turned.last().map(|t| t.1.clone()), Some(PeerName::from("stranger")));
}

#[test]
fn any_bytes_are_borne() {
    use rand::{Rng, SeedableRng};
    let mut rng = rand::rngs::SmallRng::seed_from_u64(4);
    let mut net = victim();
    let good = words(options(3, SITE, members(COUNT)), life(1), 0, &[]);
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
fn a_clock_that_stands_or_jumps_does_no_harm() {
    let mut fleet = Fleet::new(options(0, SITE, members(COUNT)), life(1), 0, 1);
    let mut out = Vec::new();
    for now in [0, 0, -5, 1 << 40, 7, (1 << 40) + 1] {
        fleet.handle(now, Input::Tick, &mut out);
        let least: Micros = now;
        assert!(fleet.next_due() > least.min(0));
    }
    assert_eq!(fleet.counts().late, 1);
}
