//! Membership messages that can be decoded and whose contents are odd.

mod net;
#[path = "../../peer/tests/odd/mod.rs"]
mod odd;

use fleet::{Fleet, FleetOptions, Input, Output, Standing};
use net::{PERIOD, SITE, SimulatedNetwork, life, members, name};
use rand::SeedableRng;
use rand::rngs::StdRng;

const COUNT: usize = 4;
const MESSAGES: usize = 20_000;

/// Messages that member 3 sends to member 0, with members and nodes in them.
fn sound_messages() -> Vec<Vec<u8>> {
    let mut options = FleetOptions::new(name(3), 0, SITE, members(COUNT));
    options.period = PERIOD;
    let mut fleet = Fleet::new(options, life(1), 0, 9);
    let (mut out, mut bodies) = (Vec::new(), Vec::new());
    for at in 0..120 {
        fleet.handle(at * PERIOD / 2, Input::Tick, &mut out);
        for output in out.drain(..) {
            match output {
                Output::Send { to, body } if to == name(0) => bodies.push(body),
                _ => {}
            }
        }
    }
    bodies
}

/// Guards against a number of a member that is added to, or subtracted from, unchecked.
#[test]
fn odd_messages_of_a_member_do_no_harm() {
    let mut net = SimulatedNetwork::started(COUNT, 1);
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("it settles");
    let (mut rng, sound) = (StdRng::seed_from_u64(68), sound_messages());
    assert!(sound.len() > 10, "{}", sound.len());
    for n in 0..MESSAGES {
        let body = odd::altered(&mut rng, &sound[n % sound.len()]);
        net.input(0, Input::Heard { from: name(3), life: life(1), body });
        if n % 100 == 0 {
            net.input(0, Input::Tick);
        }
    }
    let own = net.view(0).and_then(|v| v.member(&name(0)).cloned()).expect("it knows itself");
    assert_eq!((own.life, own.standing), (Some(life(1)), Standing::Up));
}
