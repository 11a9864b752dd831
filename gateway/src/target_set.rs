//! The connection pools of the targets to which this node has sent requests.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use damaskloom_lib::config::Target;
use damaskloom_lib::ids::TargetId;
use indexmap::IndexMap;

use crate::target_pool::TargetPool;

const SHARDS: usize = 16;

/// The connection pools of all targets; each is made at the first use of its target.
#[derive(Debug, Default)]
pub struct TargetSet {
    shards: [Mutex<IndexMap<TargetId, Arc<TargetPool>>>; SHARDS],
    node_count: AtomicUsize,
}

impl TargetSet {
    /// Returns the pool of a target; a target whose address changed gets a new one.
    pub fn pool(&self, target: &Target) -> Arc<TargetPool> {
        let mut shard = self
            .shard(&target.id)
            .lock()
            .expect("no holder of a shard panics");
        match shard.get(&target.id) {
            Some(pool) if pool.address() == target.address => Arc::clone(pool),
            _ => {
                let pool =
                    TargetPool::new(target.address, self.connection_share(target.connections));
                let pool = Arc::new(pool);
                shard.insert(target.id.clone(), Arc::clone(&pool));
                pool
            }
        }
    }

    /// Divides the connections of each target evenly between `nodes` nodes.
    ///
    /// A share is rounded down, so that all nodes together never open more connections than a
    /// target accepts.
    pub fn set_node_count(&self, nodes: usize, connections_of: impl Fn(&TargetId) -> Option<u32>) {
        self.node_count.store(nodes.max(1), Ordering::Relaxed);
        for shard in &self.shards {
            let shard = shard.lock().expect("no holder of a shard panics");
            for (id, pool) in shard.iter() {
                let connections = connections_of(id).unwrap_or(0);
                pool.set_connection_limit(self.connection_share(connections));
            }
        }
    }

    fn connection_share(&self, connections: u32) -> u32 {
        let node_count = self.node_count.load(Ordering::Relaxed).max(1);
        connections / u32::try_from(node_count).unwrap_or(u32::MAX)
    }

    /// Closes idle connections that have reached the idle timeout.
    pub fn close_idle(&self) {
        for shard in &self.shards {
            let pools: Vec<Arc<TargetPool>> = {
                let shard = shard.lock().expect("no holder of a shard panics");
                shard.values().cloned().collect()
            };
            pools.iter().for_each(|pool| pool.close_idle());
        }
    }

    fn shard(&self, id: &TargetId) -> &Mutex<IndexMap<TargetId, Arc<TargetPool>>> {
        let hash = id.as_bytes().iter().fold(0_usize, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(usize::from(*byte))
        });
        &self.shards[hash % SHARDS]
    }
}
