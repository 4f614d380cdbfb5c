//! The links between a day's processes: one relay that stands on all of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use records::{Clock, DayLine, Recorder};
use relay::{Link, Listening, Order, Plan, Side, What};
use settings::Site;

use crate::LabError;
use crate::ground::Ground;
use crate::process::Process;
use crate::weather::{Changed, Effect, WayState, Weather};

/// The relay answers once an order is carried out.
const PATIENCE: Duration = Duration::from_secs(10);

/// The links of a day.
pub(crate) struct Net {
    relay: Process<Vec<Listening>>,
    addresses: BTreeMap<(String, String), SocketAddr>,
    weather: Weather,
}

impl Net {
    /// Starts the relay; its links lead nowhere yet.
    pub(crate) fn start(site: &Site, ground: &Ground) -> Result<Net, LabError> {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let links = site.links();
        let link = |(from, to): &(String, String)| Link {
            from: from.clone(),
            to: to.clone(),
            listen,
            target: nowhere,
        };
        let plan = Plan {
            control: Some(ground.relay_control()),
            records: Some(ground.out.join("relay.jsonl")),
            seed: site.day.as_ref().map_or(0, |d| d.seed),
            link: links.iter().map(link).collect(),
            order: Vec::new(),
        };
        let relay = ground.relay(&plan)?;
        let addresses = relay.said.iter().map(|l| ((l.from.clone(), l.to.clone()), l.address)).collect();
        Ok(Net { relay, addresses, weather: Weather::new(links) })
    }

    /// Where one finds another.
    pub(crate) fn address(&self, from: &str, to: &str) -> Option<SocketAddr> {
        self.addresses.get(&(from.to_owned(), to.to_owned())).copied()
    }

    /// All that one finds, by name.
    pub(crate) fn all_from(&self, from: &str) -> impl Iterator<Item = (&String, SocketAddr)> {
        self.addresses.iter().filter(move |(l, _)| l.0 == from).map(|(l, a)| (&l.1, *a))
    }

    /// A process came up: the links to it lead there, each by who is at its other end.
    pub(crate) fn lead(&self, to: &str, address: impl Fn(&str) -> SocketAddr) -> Result<(), LabError> {
        for (from, _) in self.addresses.keys().filter(|l| l.1 == to) {
            self.order(from, to, What::Lead(address(from)))?;
        }
        Ok(())
    }

    /// A trouble of links begins, or has ended. The lines say of each way what holds, a little longer than it does.
    pub(crate) fn switch(
        &mut self,
        number: usize,
        effect: Option<Effect>,
        recorder: &Recorder,
        clock: Clock,
    ) -> Result<(), LabError> {
        for changed in self.weather.switch(number, effect) {
            let Changed { from, to, before, now } = &changed;
            let worse = |w: usize| (now[w].held && !before[w].held) || now[w].late() > before[w].late();
            let tell = |w: usize| {
                let (source, sink) = if w == 0 { (from, to) } else { (to, from) };
                recorder.write(&DayLine::Way {
                    t: clock.now(),
                    from: source.clone(),
                    to: sink.clone(),
                    held: now[w].held,
                    late: now[w].late(),
                });
            };
            let differ = |w: &usize| now[*w] != before[*w];
            [0, 1].into_iter().filter(differ).filter(|w| worse(*w)).for_each(tell);
            if now[0] == now[1] && before[0] == before[1] {
                self.way(from, to, Side::Both, before[0], now[0])?;
            } else {
                self.way(from, to, Side::Forth, before[0], now[0])?;
                self.way(from, to, Side::Back, before[1], now[1])?;
            }
            [0, 1].into_iter().filter(differ).filter(|w| !worse(*w)).for_each(tell);
        }
        Ok(())
    }

    fn way(&self, from: &str, to: &str, side: Side, before: WayState, now: WayState) -> Result<(), LabError> {
        if (now.delay, now.jitter) != (before.delay, before.jitter) {
            self.order(from, to, What::Delay { side, us: now.delay, jitter_us: now.jitter })?;
        }
        match (before.held, now.held) {
            (false, true) => self.order(from, to, What::Hold(side)),
            (true, false) => self.order(from, to, What::Release(side)),
            _ => Ok(()),
        }
    }

    fn order(&self, from: &str, to: &str, what: What) -> Result<(), LabError> {
        let order = Order::new(from, to, what);
        let met: Result<(usize, usize), _> = control::call(&self.relay.control, &order, PATIENCE);
        met.map(drop).map_err(|e| LabError::Relay(e.to_string()))
    }
}
