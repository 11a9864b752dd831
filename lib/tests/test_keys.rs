//! Keys: what a lookup says while keys come and go.

use std::collections::BTreeMap;

use damaskloom_lib::config::{ConfigChange, ConfigDelta, FleetConfig, KeyGrant, KeyState};
use damaskloom_lib::key::{KeyDigest, RawKey};
use damaskloom_lib::key_table::{KeyStatus, KeyTable};
use proptest::collection::vec;
use proptest::prelude::*;

use crate::seeded_run::seeded_runner;

fn grant(id: u8, customer: u8, state: KeyState) -> KeyGrant {
    KeyGrant {
        digest: RawKey::new([id]).digest(),
        customer: format!("c{customer}").parse().unwrap(),
        state,
    }
}

fn change() -> impl Strategy<Value = ConfigChange> {
    (0_u8..6, 0_u8..2, 0_u8..3).prop_map(|(id, customer, kind)| match kind {
        0 => ConfigChange::PutKey(grant(id, customer, KeyState::Granted)),
        1 => ConfigChange::PutKey(grant(id, customer, KeyState::Withdrawn)),
        _ => ConfigChange::RemoveKey(RawKey::new([id]).digest()),
    })
}

fn standing(model: &BTreeMap<KeyDigest, KeyGrant>, digest: &KeyDigest) -> KeyStatus {
    match model.get(digest) {
        None => KeyStatus::Unknown,
        Some(grant) if grant.state == KeyState::Withdrawn => KeyStatus::Withdrawn,
        Some(grant) => KeyStatus::Granted(grant.customer.clone()),
    }
}

/// Every key that stops being its customer's is named, by deltas and by replacement alike, since
/// the connections that used it are found by this.
#[test]
fn keys_that_stop_working_are_refused_and_named() {
    let histories = vec((vec(change(), 1..4), any::<bool>()), 1..16);
    let mut runner = seeded_runner(62);
    let result = runner.run(&histories, |history| {
        let mut config = FleetConfig::default();
        let mut model = BTreeMap::new();
        for (changes, whole) in history {
            let before = model.clone();
            for change in &changes {
                match change {
                    ConfigChange::PutKey(grant) => model.insert(grant.digest, grant.clone()),
                    ConfigChange::RemoveKey(digest) => model.remove(digest),
                    _ => None,
                };
            }
            let revision = config.revision.next();
            let delta = ConfigDelta { revision, changes };
            let old = config.keys.clone();
            config.apply(&delta).expect("the delta follows");
            let stopped = if whole {
                old.revoked_by_replacement(&config.keys)
            } else {
                old.revoked_by_delta(&delta)
            };
            for digest in (0..6).map(|id| RawKey::new([id]).digest()) {
                let (old, new) = (standing(&before, &digest), standing(&model, &digest));
                prop_assert_eq!(&config.keys.lookup(&digest), &new);
                let has_stopped = matches!(old, KeyStatus::Granted(_)) && old != new;
                prop_assert!(!has_stopped || stopped.contains(&digest));
            }
            prop_assert_eq!(config.keys.len(), model.len());
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn a_key_that_stands_twice_is_refused() {
    let twice = [
        grant(1, 0, KeyState::Granted),
        grant(1, 1, KeyState::Granted),
    ];
    let text = serde_json::to_string(&twice).unwrap();
    assert!(serde_json::from_str::<KeyTable>(&text).is_err());
}
