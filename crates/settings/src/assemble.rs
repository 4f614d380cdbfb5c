//! What a checked file means to each part of the program.

mod control;
mod fleet;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use decisions::{DedupScope, Micros, RetryBudget, Settings, ShardId};
use emulator::{ModelOptions, NodeOptions};
use gateway::{GatewayOptions, NodeConnectionOptions, NodeLine, NodeLineState};
use load::ClientOptions;
use nvme::{Digests, Namespace, TargetOptions};
use records::Op;
use storage_core::{Catalogue, CatalogueError, ClassRule, Opcode};

use crate::schema::*;

pub(crate) fn micros(ms: u32) -> Micros {
    Micros::from(ms) * 1000
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}

fn digests(on: bool) -> Digests {
    Digests { header: on, data: on }
}

impl Site {
    /// The module's settings for the gateway with this index.
    pub fn module(&self, index: usize) -> Settings {
        let (g, r) = (&self.site, &self.rules);
        let class = |c: &Class| decisions::Class {
            latency_target: micros(c.aim_ms),
            latency_target_stretch: 0.0,
            worth: c.worth,
            late_worth: c.late_worth,
            idempotency: match c.repeats {
                Repeats::Safe => decisions::Idempotency::Safe,
                Repeats::Unsafe => decisions::Idempotency::Unsafe,
                Repeats::Keyed => decisions::Idempotency::Keyed {
                    scope: DedupScope::Shard,
                    window: micros(c.window_ms.unwrap_or(0)),
                },
            },
            in_order: c.in_order,
            stream: false,
        };
        let plan = |p: &Plan| decisions::Plan {
            rate: p.rate,
            reserve: p.reserve,
            limit: p.limit,
            limit_burst: p.limit_burst,
            limit_slack: p.limit_slack,
            weight: p.weight,
            price: p.price,
        };
        Settings {
            classes: self.class.iter().map(class).collect(),
            plans: self.plan.iter().map(plan).collect(),
            hosts: self.gateway.len() as u32,
            index: index as u32,
            needs_subscription: false,
            max_attempts: r.most_attempts,
            hedging: false,
            cancellation: false,
            probing: false,
            retry_advice: true,
            max_retry_after: micros(r.most_advice_ms),
            cold_units: r.cold_units,
            cold_window: micros(r.cold_window_ms),
            cold_start_fraction: r.cold_from,
            warm_after: micros(r.warm_after_ms),
            drain_grace: micros(r.drain_grace_ms),
            key_pause: micros(r.order_rest_ms),
            retry_budget: r.budget_window_ms.map(|ms| RetryBudget {
                window: micros(ms),
                base: r.budget_free,
                per_request: r.budget_share,
            }),
            max_request_units: g.most_units,
            mean_request_units: g.mean_units,
            share_worth: g.share_worth,
            spare_worth: g.spare_worth,
            waste_cost: g.waste_price,
        }
    }

    /// The catalogue of the gateway with this index.
    ///
    /// # Errors
    /// What does not fit together; a checked file has nothing of the kind.
    pub fn catalogue(&self, index: usize) -> Result<Catalogue, CatalogueError> {
        let rule = |c: &Class| ClassRule {
            name: c.name.clone(),
            opcode: match c.op {
                Op::Read => Opcode::Read,
                Op::Write => Opcode::Write,
                Op::Flush => Opcode::Flush,
            },
            max_bytes: c.most_kib.map(|kib| u64::from(kib) * 1024),
            timeout: micros(c.patience_ms),
        };
        let volume = |v: &Volume| storage_core::Volume {
            name: v.name.clone(),
            nsid: v.nsid,
            blocks: v.blocks,
            block_size: v.block_size,
            plan: self.plan_index(v),
            hosts: v.gateways.as_ref().map_or(self.gateway.len(), Vec::len) as u32,
            extent_blocks: v.extent_blocks,
            shards: v.shards.iter().map(|&s| ShardId(s)).collect(),
        };
        let rules = self.class.iter().map(rule).collect();
        let unit_bytes = u64::from(self.site.unit_kib) * 1024;
        Catalogue::new(self.module(index), rules, unit_bytes, self.volume.iter().map(volume).collect())
    }

    pub(crate) fn plan_index(&self, v: &Volume) -> usize {
        self.plan.iter().position(|p| p.name == v.plan).unwrap_or(0)
    }

    fn namespaces(&self, of: impl Fn(&Volume) -> bool) -> Vec<Namespace> {
        let namespace = |v: &Volume| {
            let mut guid = [0; 16];
            guid[..4].copy_from_slice(&v.nsid.to_be_bytes());
            guid[4..12].copy_from_slice(&hash(&format!("{}/{}", self.site.subsystem, v.name)).to_be_bytes());
            guid[15] = 1;
            Namespace { nsid: v.nsid, blocks: v.blocks, block_size: v.block_size, guid }
        };
        let mut all: Vec<Namespace> = self.volume.iter().filter(|v| of(v)).map(namespace).collect();
        all.sort_by_key(|ns| ns.nsid);
        all
    }

    fn target(&self, serial: &str, model: &str, namespaces: Vec<Namespace>) -> TargetOptions {
        let l = &self.limits;
        TargetOptions {
            subsystem: self.site.subsystem.clone(),
            serial: serial.to_owned(),
            model: model.to_owned(),
            namespaces,
            queue_entries: l.queue_entries,
            io_queues: l.io_queues,
            associations: l.associations,
            mdts: (l.transfer_kib / 4).trailing_zeros() as u8,
            in_capsule: l.in_capsule_kib * 1024,
            max_h2c_data: 128 * 1024,
            retry_delays: l.retry_delays_ms.map(|ms| (ms / 100) as u16),
            optional: true,
            discovery: Vec::new(),
        }
    }

    /// Number of a gateway by its name.
    pub fn gateway_index(&self, name: &str) -> Option<usize> {
        self.gateway.iter().position(|g| g.name == name)
    }

    /// Settings of a gateway. `nodes` is the list that it starts with.
    ///
    /// # Errors
    /// What does not fit together; a checked file has nothing of the kind.
    pub fn gateway_options(
        &self,
        index: usize,
        seed: u64,
        nodes: Vec<NodeLine>,
        control: Option<PathBuf>,
    ) -> Result<GatewayOptions, CatalogueError> {
        let (g, l) = (&self.gateway[index], &self.limits);
        let through = |v: &Volume| v.gateways.as_ref().is_none_or(|names| names.contains(&g.name));
        Ok(GatewayOptions {
            name: g.name.clone(),
            listen: g.listen,
            catalogue: self.catalogue(index)?,
            seed,
            target: self.target(&g.name, "crowbay gateway", self.namespaces(through)),
            digests: digests(l.digests),
            node_connection: NodeConnectionOptions {
                subsystem: self.site.subsystem.clone(),
                entries: self.link.queue_entries,
                connect_timeout: millis(self.link.connect_ms),
                reconnect_pause: millis(self.link.reconnect_ms),
                command_timeout: millis(self.link.command_ms),
                keep_alive: millis(self.link.keep_alive_ms),
                digests: digests(self.link.digests),
            },
            client_limits: limits::AdmissionLimits {
                connections: l.connections,
                connections_from_address: l.connections_from_address,
                connecting_from_address: l.rising_from_address,
                connect_timeout: Micros::from(l.way_up_ms) * 1000,
                host_commands: l.host_commands,
                commands: l.commands,
                host_bytes: u64::from(l.host_held_mib) << 20,
                bytes: u64::from(l.held_mib) << 20,
            },
            max_unsent_bytes: l.spill_kib * 1024,
            nodes,
            await_orders: false,
            control_socket: control,
            stop_timeout: millis(l.stop_within_ms),
            peer_network: None,
            control_plane: None,
        })
    }

    /// Settings of a stand-in node.
    pub fn node_options(&self, index: usize, cold: bool) -> NodeOptions {
        let (n, r) = (&self.node[index], &self.rules);
        let mut target = self.target(&n.name, "crowbay stand-in node", self.namespaces(|_| true));
        // Every gateway, and clients that measure the straight way, with queues as long as theirs.
        // Gateways make reads and writes of what clients ask beyond these.
        target.optional = false;
        target.queue_entries = target.queue_entries.max(self.link.queue_entries);
        let keyed = self.class.iter().filter_map(|c| c.window_ms).max().unwrap_or(0);
        NodeOptions {
            name: n.name.clone(),
            shard: n.shard,
            listen: n.address,
            model: ModelOptions {
                cores: n.cores,
                queue: n.queue,
                base: n.base_us.into(),
                per_kib: n.us_per_kib,
                write_factor: n.write_factor,
                put_off: n.put_off,
                put_off_every: micros(n.put_off_every_ms),
                pause_every: micros(n.pause_every_ms),
                pause_for: micros(n.pause_for_ms),
                cold_from: r.cold_from,
                warm_after: micros(r.warm_after_ms),
                fall_multiple: r.fall_multiple,
                fall_window: micros(r.cold_window_ms),
                cold_units: r.cold_units,
                script: Vec::new(),
            },
            target,
            cold,
            // Longer than gateways count on: their clocks start at the send, the node's at the run.
            memory: micros(keyed) * 2,
            unit_bytes: u64::from(self.site.unit_kib) * 1024,
            most_units: self.site.most_units,
            disk: None,
        }
    }

    /// The line of a node that listens at an address.
    pub fn node_line(&self, index: usize, address: SocketAddr, started: Micros) -> NodeLine {
        let n = &self.node[index];
        let state = NodeLineState::On;
        NodeLine { name: n.name.clone(), address, zone: n.zone, shard: n.shard, state, started }
    }

    /// The lines of all nodes whose address the file states.
    pub fn node_lines(&self) -> Vec<NodeLine> {
        let stated = self.node.iter().enumerate().filter(|(_, n)| n.address.port() != 0);
        stated.map(|(index, n)| self.node_line(index, n.address, 0)).collect()
    }

    /// Settings of a client. `number` is its number among all, from 1.
    pub fn client_options(&self, index: usize, gateways: &[(String, SocketAddr)]) -> ClientOptions {
        let c = &self.client[index];
        let volumes: Vec<&Volume> = self.volume.iter().filter(|v| c.volumes.contains(&v.name)).collect();
        let through: Vec<&str> = self.gateways_of(c).collect();
        let day = self.day.as_ref();
        let block = volumes.first().map_or(4096, |v| v.block_size);
        let longest = self.class.iter().map(|c| c.patience_ms).max().unwrap_or(1000);
        ClientOptions {
            name: c.name.clone(),
            number: index as u16 + 1,
            gateways: gateways.iter().filter(|(name, _)| through.contains(&name.as_str())).cloned().collect(),
            absent: self.joins().into_iter().map(str::to_owned).collect(),
            subsystem: self.site.subsystem.clone(),
            volumes: volumes
                .iter()
                .map(|v| (v.nsid, if c.blocks > 0 { c.blocks.min(v.blocks) } else { v.blocks }, v.block_size))
                .collect(),
            mix: c
                .mix
                .iter()
                .map(|m| load::Mix { op: m.op, blocks: m.kib * 1024 / block, share: m.share })
                .collect(),
            rate: c.rate,
            phases: c
                .phases
                .iter()
                .map(|p| load::Phase { from: Duration::from_secs_f64(p.from_s), factor: p.factor })
                .collect(),
            duration: Duration::from_secs_f64(day.map_or(10.0, |d| d.seconds)),
            depth: c.depth,
            queues: c.queues,
            repeats: c.repeats,
            aborts: c.aborts,
            leaves: Duration::from_secs_f64(c.leaves_s),
            digests: digests(self.limits.digests),
            seed: day.map_or(1, |d| d.seed).wrapping_mul(1009).wrapping_add(index as u64),
            patience: millis(longest + 1000),
        }
    }
}

/// FNV-1a, so that a volume's identifier is the same at every gateway and start.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}
