//! What the machine tells the log of itself. Nothing follows from it.

use super::Machine;

impl Machine {
    /// A line on what it holds and counted, for the log.
    pub fn summary(&self) -> String {
        let c = self.dispatcher.counts();
        format!(
            "clients={} links={} nodes={} open={} taken={} served={} refused={} failed={} withdrawn={} sent={} \
             further={} late={} rejected={} unserved={} malformed={}",
            self.clients.len(),
            self.links.len(),
            self.nodes.len(),
            self.dispatcher.open_requests(),
            c.taken,
            c.served,
            c.refused,
            c.failed,
            c.withdrawn,
            c.sent,
            c.further,
            c.late,
            self.rejected,
            self.unserved(),
            self.discovery.malformed()
        )
    }

    /// Requests that ended unserved, as class:cause=count.
    fn unserved(&self) -> String {
        let classes = &self.service.classes;
        let counts = self.dispatcher.unserved().iter();
        let words: Vec<String> = counts
            .map(|((class, cause), count)| {
                let name = classes.get(*class).map_or("?", |c| c.name.as_str());
                format!("{name}:{cause:?}={count}")
            })
            .collect();
        if words.is_empty() { "none".into() } else { words.join(",") }
    }
}
