//! The blocks of a node, and the tokens of writes that it remembers.

use std::collections::{HashMap, VecDeque};

use bytes::{Bytes, BytesMut};

use crate::Micros;

/// Blocks in memory; a block never written reads as zeroes. It outlives the node's restarts, as a disk does.
#[derive(Debug, Default)]
pub struct Store {
    blocks: HashMap<(u32, u64), Bytes>,
    tokens: HashMap<(u64, u32, u64), Micros>,
    order: VecDeque<(Micros, (u64, u32, u64))>,
}

impl Store {
    /// Writes whole blocks.
    pub fn write(&mut self, nsid: u32, slba: u64, block_size: u32, data: &Bytes) {
        let size = block_size as usize;
        for (n, at) in (0..data.len()).step_by(size).enumerate() {
            let end = (at + size).min(data.len());
            self.blocks.insert((nsid, slba + n as u64), Bytes::copy_from_slice(&data[at..end]));
        }
    }

    /// Reads whole blocks.
    pub fn read(&self, nsid: u32, slba: u64, blocks: u32, block_size: u32) -> Bytes {
        let mut data = BytesMut::zeroed(blocks as usize * block_size as usize);
        for (n, to) in data.chunks_mut(block_size as usize).enumerate() {
            if let Some(block) = self.blocks.get(&(nsid, slba + n as u64)) {
                to[..block.len()].copy_from_slice(block);
            }
        }
        data.freeze()
    }

    /// Whether a keyed write is the first with its token within the window; it is remembered from then on.
    pub fn first(&mut self, now: Micros, window: Micros, token: u64, nsid: u32, slba: u64) -> bool {
        while let Some(&(at, key)) = self.order.front().filter(|o| o.0 < now - window) {
            self.order.pop_front();
            if self.tokens.get(&key) == Some(&at) {
                self.tokens.remove(&key);
            }
        }
        let key = (token, nsid, slba);
        if self.tokens.contains_key(&key) {
            return false;
        }
        self.tokens.insert(key, now);
        self.order.push_back((now, key));
        true
    }

    /// Remembers a token as seen now.
    pub(crate) fn remember(&mut self, now: Micros, token: u64, nsid: u32, slba: u64) {
        let key = (token, nsid, slba);
        if self.tokens.insert(key, now).is_none() {
            self.order.push_back((now, key));
        }
    }

    /// All blocks.
    pub(crate) fn blocks(&self) -> impl Iterator<Item = ((u32, u64), &Bytes)> {
        self.blocks.iter().map(|(at, data)| (*at, data))
    }

    /// All tokens that are remembered, with volume and first block.
    pub(crate) fn tokens(&self) -> impl Iterator<Item = (u64, u32, u64)> {
        self.tokens.keys().copied()
    }

    /// Blocks that were ever written.
    pub fn written(&self) -> usize {
        self.blocks.len()
    }
}
