//! Lists that come indented, late or never: the platform gateway as a process against an agent that falls silent.

mod stage;

use std::sync::Arc;
use std::time::{Duration, Instant};

use stage::discovery::Discovery;
use stage::*;

/// Two nodes of one shard, a gateway that remembers the first, and its agent.
struct Site {
    a: Arc<Node>,
    b: Arc<Node>,
    at: [std::net::SocketAddr; 2],
    agent: Arc<Discovery>,
    process: Process,
}

impl Site {
    /// `before`: what the agent has when the gateway starts.
    fn new(before: impl FnOnce(&Discovery, [std::net::SocketAddr; 2])) -> Site {
        let (a, b, agent) =
            (Arc::new(Node::default()), Arc::new(Node::default()), Arc::new(Discovery::default()));
        let at = [a.start(), b.start()];
        agent.set("a", at[0], "in_service");
        before(&agent, at);
        let process = Process::start(&config(agent.start(), 256, &list(1, &[("a", at[0])])));
        Site { a, b, at, agent, process }
    }

    fn swap(&self) {
        self.agent.set("a", self.at[0], "terminating");
        self.agent.set("b", self.at[1], "in_service");
    }

    /// Asks until a request has reached the other node; how long that took.
    fn until_moved(&self) -> Duration {
        let begun = Instant::now();
        let mut client = Client::new(self.process.address).expect("a connection");
        let mut n = 0;
        until("requests go to the other node", || {
            n += 1;
            match client.ask(&look(&format!("m{n}"), 0)) {
                Ok(Some(_)) => {}
                // Closed while it stood idle: asked once more, as clients do.
                Ok(None) | Err(_) => client = Client::new(self.process.address).expect("a connection"),
            }
            self.b.seen() > 0
        });
        begun.elapsed()
    }

    fn until_watched(&self) {
        until("it watches", || self.agent.calls() > 0);
    }
}

#[test]
fn an_indented_list_is_followed_at_the_start_and_later() {
    let site = Site::new(|agent, at| {
        agent.indent();
        agent.set("a", at[0], "terminating");
        agent.set("b", at[1], "in_service");
    });
    site.until_moved();
    let site = Site::new(|agent, _| agent.indent());
    site.until_watched();
    site.swap();
    site.until_moved();
    let (at_a, at_b) = (site.a.seen(), site.b.seen());
    let mut client = Client::new(site.process.address).expect("a connection");
    for n in 0..50 {
        assert_eq!(
            client.ask(&look(&format!("l{n}"), 0)).expect("an answer").expect("an answer").status,
            200
        );
    }
    assert_eq!((site.a.seen(), site.b.seen()), (at_a, at_b + 50), "nothing goes to the node that drains");
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts_as_told() {
    let site = Site::new(|_, _| {});
    site.until_watched();
    site.agent.silence(true);
    site.agent.silence(false);
    site.swap();
    let took = site.until_moved();
    assert!(took < Duration::from_secs(6), "{took:?}");
    assert!(site.agent.calls() <= 4, "{} calls", site.agent.calls());
}

#[test]
fn after_an_outage_the_list_is_asked_for_at_once_and_calls_were_bounded_meanwhile() {
    let site = Site::new(|_, _| {});
    site.until_watched();
    site.agent.silence(true);
    let (begun, before) = (Instant::now(), site.agent.calls());
    // The first comes when silence shows; then they come at their pace.
    until("it tries again and again", || site.agent.calls() >= before + 5);
    let lasted = begun.elapsed();
    assert!(lasted > Duration::from_millis(2500 + 4 * 500), "five calls after {lasted:?}");
    site.swap();
    site.agent.silence(false);
    let took = site.until_moved();
    // Three quarters of the grace for drains; the rest is this machine's.
    assert!(took < Duration::from_millis(2000), "{took:?}");
}
