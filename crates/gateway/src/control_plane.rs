//! The gateway's follower of the control plane, and the part of its state that reaches the engine.
//!
//! The follower runs on a thread of its own. It is never on the path of a request, and a silent machine
//! changes nothing.

use std::cell::RefCell;
use std::collections::BTreeSet;

use planelink::{FollowOptions, Followed, Follower, RunError};

use crate::drains::DrainedNodes;
use crate::message::{Inbox, Message};
use crate::status::ControlPlaneStatus;

/// The running follower.
pub(crate) struct ControlPlane(Follower);

impl ControlPlane {
    /// Starts from the state on disk. The nodes that it drains are in the inbox when this returns.
    pub(crate) fn start(options: FollowOptions, inbox: Inbox) -> Result<ControlPlane, RunError> {
        let drains = RefCell::new(DrainedNodes::default());
        let follower = Follower::start(options, move |followed| {
            if let Followed::TurnedAway { from, why } = &followed {
                let from = from.as_ref().map_or("", |machine| machine.0.as_str());
                tracing::warn!(from, why, "the control plane said what cannot be");
            }
            let mut drains = drains.borrow_mut();
            if drains.apply(&followed) {
                inbox.send(Message::DrainedNodes(drains.nodes()));
            }
        })?;
        Ok(ControlPlane(follower))
    }

    /// The follower's state for operators, with the nodes that the engine drains because of it.
    pub(crate) fn status(&self, drains: &BTreeSet<String>) -> ControlPlaneStatus {
        ControlPlaneStatus::of(self.0.look(), drains)
    }
}
