//! The machine's summary line for the log, and the size of its tables. They have no effect on decisions.

use super::Machine;

impl Machine {
    /// Returns the number of entries in all tables except the log lines not taken yet. Tests use it to find
    /// leaks.
    pub fn table_entries(&self) -> usize {
        let nodes = self.dispatcher.node_views().len() + self.nodes.len();
        let requests = self.dispatcher.open_requests()
            + self.dispatcher.attempts_in_flight().count()
            + self.open_request_ids.len();
        self.clients.len()
            + self.client_timers.len()
            + self.input_budget.entries()
            + self.awaiting_turn.len()
            + nodes
            + requests
            + self.connections.table_entries()
            + self.discovery.open_watches()
    }

    /// Returns a log line with the sizes of the tables and the counters.
    pub fn summary(&self) -> String {
        let c = self.dispatcher.counts();
        format!(
            "clients={} links={} nodes={} open={} taken={} served={} refused={} failed={} withdrawn={} sent={} \
             further={} late={} rejected={} unserved={} malformed={}",
            self.clients.len(),
            self.connections.len(),
            self.nodes.len(),
            self.dispatcher.open_requests(),
            c.accepted,
            c.served,
            c.refused,
            c.failed,
            c.withdrawn,
            c.sent,
            c.retries,
            c.late,
            self.rejected,
            self.unserved_counts(),
            self.discovery.malformed()
        )
    }

    /// Formats the requests that ended unserved as `class:cause=count`.
    fn unserved_counts(&self) -> String {
        let classes = &self.gateway_settings.classes;
        let counts = self.dispatcher.unserved_by_cause().iter();
        let words: Vec<String> = counts
            .map(|((class, cause), count)| {
                let name = classes.get(*class).map_or("?", |c| c.name.as_str());
                format!("{name}:{cause:?}={count}")
            })
            .collect();
        if words.is_empty() { "none".into() } else { words.join(",") }
    }
}
