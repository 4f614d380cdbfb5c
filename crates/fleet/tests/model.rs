//! Explores all orders in a fleet of three members that starts partitioned; every sent record may be delivered late,
//! repeatedly or never.

use std::collections::BTreeSet;

use fleet::{Holding, OfSelf, Plant, Record, merge, of_self};
use stateright::{Checker, Model, Property};

const MEMBERS: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Each member's record of each member, itself included.
    views: [[Option<Record>; MEMBERS]; MEMBERS],
    lives: [u64; MEMBERS],
    left: [bool; MEMBERS],
    /// Sent records with the sending side. Any may still be delivered, any number of times.
    sent: BTreeSet<(bool, usize, Record)>,
    partitioned: bool,
    suspicions: u8,
    restarts: u8,
    sends: u8,
    /// A view fell back behind a former state.
    regressed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Suspect { by: usize, of: usize },
    Send { by: usize, of: usize },
    Deliver { to: usize, side: bool, of: usize, record: Record },
    Restart(usize),
    Leave(usize),
    Heal,
}

#[derive(Clone)]
struct Fleet {
    plant: Plant,
    suspicions: u8,
    restarts: u8,
    sends: u8,
}

fn name(at: usize) -> fleet::PeerName {
    fleet::PeerName(format!("m{at}"))
}

fn life(number: u64) -> fleet::Life {
    fleet::Life { incarnation: peer::Incarnation(number), nonce: peer::Nonce(number) }
}

/// The partition: the first member is on one side, the rest on the other.
fn side(at: usize) -> bool {
    at == 0
}

/// Compares two records without their witnesses.
fn is_older(next: &Record, before: &Record) -> bool {
    let key = |r: &Record| (r.life().incarnation, r.has_left(), r.counter());
    key(next) < key(before)
}

impl Fleet {
    fn receive(&self, state: &mut State, to: usize, of: usize, record: &Record) {
        let mine = state.views[to][of].clone();
        let next = match (&mine, of == to) {
            (Some(mine), true) => match of_self(mine, record, self.plant) {
                OfSelf::Refuted(next) | OfSelf::Left(next) => next,
                OfSelf::Known | OfSelf::NotMine | OfSelf::Impossible => mine.clone(),
            },
            (Some(mine), false) => merge(mine, record, self.plant),
            (None, _) => record.clone(),
        };
        if mine.is_some_and(|mine| is_older(&next, &mine)) {
            state.regressed = true;
        }
        state.views[to][of] = Some(next);
    }

    /// Whether all views converge, with no running member suspected, if from here on all records reach all members.
    fn converges(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..4 {
            for by in 0..MEMBERS {
                for to in (0..MEMBERS).filter(|to| *to != by) {
                    for of in 0..MEMBERS {
                        if let Some(record) = state.views[by][of].clone() {
                            self.receive(&mut state, to, of, &record);
                        }
                    }
                }
            }
        }
        let views = &state.views;
        (0..MEMBERS).all(|of| {
            let is_correct = |r: &Record| {
                r.has_left() == state.left[of]
                    && r.life() == life(state.lives[of])
                    && (r.has_left() || r.witnesses().is_empty())
            };
            (0..MEMBERS).all(|at| views[at][of] == views[of][of])
                && views[of][of].as_ref().is_some_and(is_correct)
        })
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let views = std::array::from_fn(|_| std::array::from_fn(|_| Some(Record::new(life(1)))));
        vec![State {
            views,
            lives: [1; MEMBERS],
            left: [false; MEMBERS],
            sent: BTreeSet::new(),
            partitioned: true,
            suspicions: 0,
            restarts: 0,
            sends: 0,
            regressed: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.partitioned {
            actions.push(Action::Heal);
        }
        for by in 0..MEMBERS {
            for of in 0..MEMBERS {
                if by != of && state.suspicions < self.suspicions {
                    actions.push(Action::Suspect { by, of });
                }
                if state.sends < self.sends {
                    actions.push(Action::Send { by, of });
                }
            }
        }
        if state.restarts < self.restarts {
            actions.extend([Action::Restart(0), Action::Leave(1)]);
        }
        for (side_of, of, record) in &state.sent {
            for to in (0..MEMBERS).filter(|to| !state.partitioned || side(*to) == *side_of) {
                actions.push(Action::Deliver { to, side: *side_of, of: *of, record: record.clone() });
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Suspect { by, of } => {
                let record = state.views[by][of].as_ref()?.doubted_by(&name(by));
                state.suspicions += 1;
                state.views[by][of] = Some(record);
            }
            Action::Send { by, of } => {
                let record = state.views[by][of].clone()?;
                state.sends += 1;
                state.sent.insert((side(by), of, record));
            }
            Action::Deliver { to, of, record, .. } => self.receive(&mut state, to, of, &record),
            Action::Restart(at) => {
                state.restarts += 1;
                state.lives[at] += 1;
                state.left[at] = false;
                // A restarted member knows only its own life.
                state.views[at] = std::array::from_fn(|of| {
                    (of == at).then(|| Record::new(life(state.lives[at])).said(Holding::default(), false))
                });
            }
            Action::Leave(at) => {
                state.restarts += 1;
                state.left[at] = true;
                state.views[at][at] = Some(Record::left(life(state.lives[at])));
            }
            Action::Heal => state.partitioned = false,
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no view regresses", |_, state: &State| !state.regressed),
            Property::always("nobody invents a member's update", |_, state: &State| {
                (0..MEMBERS).all(|of| {
                    let own = state.views[of][of].as_ref();
                    (0..MEMBERS).filter_map(|at| state.views[at][of].as_ref()).all(|held| {
                        own.is_some_and(|own| {
                            held.life() != own.life() || own.has_left() || held.counter() <= own.counter()
                        })
                    })
                })
            }),
            Property::always("all views converge from here", |model: &Fleet, state: &State| {
                state.partitioned || model.converges(state)
            }),
            Property::sometimes("a suspicion was refuted", |_, state: &State| {
                state.suspicions > 0
                    && (0..MEMBERS).any(|at| {
                        let own = state.views[at][at].as_ref();
                        own.is_some_and(|r| r.counter() > 0 && state.lives[at] == 1)
                    })
            }),
        ]
    }
}

fn check(plant: Plant, depth: usize) -> Vec<&'static str> {
    let model = Fleet { plant, suspicions: 2, restarts: 1, sends: 3 };
    let checker = model.checker().target_max_depth(depth).spawn_bfs().join();
    println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
    let found = checker.discoveries();
    assert_eq!(found.contains_key("a suspicion was refuted"), plant != Plant::RefutationForgotten);
    found.into_keys().filter(|name| *name != "a suspicion was refuted").collect()
}

#[test]
fn views_grow_and_converge_in_all_bounded_orders() {
    assert_eq!(check(Plant::None, 7), [""; 0]);
}

/// Explores the complete state space: `cargo test --release -p fleet --test model -- --ignored --nocapture`.
#[test]
#[ignore = "long in a debug build"]
fn views_grow_and_converge_in_all_orders() {
    assert_eq!(check(Plant::None, 60), [""; 0]);
}

#[test]
fn forgotten_refutation_fails_the_model() {
    assert!(check(Plant::RefutationForgotten, 7).contains(&"all views converge from here"));
}

#[test]
fn merge_by_arrival_fails_the_model() {
    assert!(check(Plant::MergeByArrival, 7).contains(&"no view regresses"));
}

#[test]
fn revived_old_life_fails_the_model() {
    assert!(check(Plant::OldLifeRevives, 7).contains(&"no view regresses"));
}
