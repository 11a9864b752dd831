//! The targets of the services that this node has sent requests to.

use std::sync::{Arc, Mutex};

use damaskloom_lib::config::{Target, TargetState};
use damaskloom_lib::ids::{ServiceId, TargetId};
use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::target_pool::TargetPool;

const SHARDS: usize = 16;

/// The connection pools of all targets, made when a target is first used.
#[derive(Debug, Default)]
pub struct TargetSet {
    shards: [Mutex<IndexMap<TargetId, Arc<TargetPool>>>; SHARDS],
    released: Mutex<IndexMap<ServiceId, Arc<Notify>>>,
}

impl TargetSet {
    /// Returns the pool of a target; a target that moved to another address gets a new one.
    pub fn pool(&self, target: &Target) -> Arc<TargetPool> {
        let mut shard = self
            .shard(&target.id)
            .lock()
            .expect("no holder of a shard panics");
        match shard.get(&target.id) {
            Some(pool) if pool.address() == target.address => Arc::clone(pool),
            _ => {
                let pool = TargetPool::new(target.address, target.slots, target.connections);
                let pool = Arc::new(pool);
                shard.insert(target.id.clone(), Arc::clone(&pool));
                pool
            }
        }
    }

    /// Returns the signal that is given when a slot of the service becomes free.
    pub fn released(&self, service: &ServiceId) -> Arc<Notify> {
        let mut released = self
            .released
            .lock()
            .expect("no holder of the signals panics");
        Arc::clone(released.entry(service.clone()).or_default())
    }

    /// Closes connections that were idle for too long.
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

/// Says whether a target may get new work, as far as its configuration goes.
pub fn takes_work(target: &Target) -> bool {
    target.state == TargetState::Active
}
