//! The node list on its way to a gateway: in order, each change written down when the gateway has it.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{self, Sender};
use std::time::Duration;

use gateway::{ControlAnswer, ControlRequest, NodeLine, NodeLineState};
use records::{DayLine, Recorder};

/// A gateway that stands still gets its changes when it goes on.
const PATIENCE: Duration = Duration::from_secs(60);

/// A feed to one life of a gateway.
pub(crate) struct Feed {
    sender: Sender<(bool, Vec<NodeLine>)>,
}

impl Feed {
    pub(crate) fn new(gateway: String, control: PathBuf, recorder: Arc<Recorder>) -> Self {
        let (sender, changes) = mpsc::channel::<(bool, Vec<NodeLine>)>();
        std::thread::spawn(move || {
            for (whole, lines) in changes {
                let request = ControlRequest::Nodes { replace_all: whole, lines: lines.clone() };
                // A gateway that was killed meanwhile has not been told.
                let Ok(ControlAnswer::Done(t)) = control::call(&control, &request, PATIENCE) else {
                    continue;
                };
                for line in lines {
                    recorder.write(&listed(t, &gateway, &line));
                }
            }
        });
        Feed { sender }
    }

    pub(crate) fn send(&self, whole: bool, lines: Vec<NodeLine>) {
        let _ = self.sender.send((whole, lines)); // Its gateway's life may be over.
    }
}

pub(crate) fn listed(t: i64, gateway: &str, line: &NodeLine) -> DayLine {
    DayLine::Listed {
        t,
        gateway: gateway.to_owned(),
        node: line.name.clone(),
        on: line.state == NodeLineState::On,
        started: line.started,
    }
}
