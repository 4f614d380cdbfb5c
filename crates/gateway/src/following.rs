//! The control plane as a gateway follows it, and what of it reaches the engine.
//!
//! It runs on a thread of its own. Nothing of it is on the path of a request; a machine's silence changes nothing.

use std::cell::RefCell;
use std::collections::BTreeSet;

use planelink::{FollowOptions, Followed, Follower, RunError};

use crate::drains::Drains;
use crate::message::{Inbox, Message};
use crate::status::ControlStatus;

pub(crate) struct Following(Follower);

impl Following {
    /// Starts with what its disk holds; which nodes that drains is in the inbox when this returns.
    pub(crate) fn start(options: FollowOptions, inbox: Inbox) -> Result<Following, RunError> {
        let drains = RefCell::new(Drains::default());
        let follower = Follower::start(options, move |followed| {
            if let Followed::TurnedAway { from, why } = &followed {
                let from = from.as_ref().map_or("", |machine| machine.0.as_str());
                tracing::warn!(from, why, "the control plane said what cannot be");
            }
            let mut drains = drains.borrow_mut();
            if drains.take(&followed) {
                inbox.send(Message::Drains(drains.nodes()));
            }
        })?;
        Ok(Following(follower))
    }

    /// What operators see of it, with the nodes that the engine has drained for it.
    pub(crate) fn status(&self, drains: &BTreeSet<String>) -> ControlStatus {
        ControlStatus::of(self.0.look(), drains)
    }
}
