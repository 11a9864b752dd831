//! Tests key lookups while keys are added, withdrawn and removed.

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

fn expected_status(model: &BTreeMap<KeyDigest, KeyGrant>, digest: &KeyDigest) -> KeyStatus {
    match model.get(digest) {
        None => KeyStatus::Unknown,
        Some(grant) if grant.state == KeyState::Withdrawn => KeyStatus::Withdrawn,
        Some(grant) => KeyStatus::Granted(grant.customer.clone()),
    }
}

/// Guards against connections that stay open although their key was revoked: a key that is withdrawn,
/// removed or moved to another customer must be returned, for a delta and for a replacement of the
/// table, since its connections are found by that.
#[test]
fn revoked_keys_are_refused_and_reported() {
    let histories = vec((vec(change(), 1..4), any::<bool>()), 1..16);
    let mut runner = seeded_runner(62);
    let result = runner.run(&histories, |history| {
        let mut config = FleetConfig::default();
        let mut model = BTreeMap::new();
        for (changes, is_replaced) in history {
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
            let revoked = if is_replaced {
                old.revoked_by_replacement(&config.keys)
            } else {
                old.revoked_by_delta(&delta)
            };
            for digest in (0..6).map(|id| RawKey::new([id]).digest()) {
                let (old, new) = (
                    expected_status(&before, &digest),
                    expected_status(&model, &digest),
                );
                prop_assert_eq!(&config.keys.lookup(&digest), &new);
                let is_revoked = matches!(old, KeyStatus::Granted(_)) && old != new;
                prop_assert!(!is_revoked || revoked.contains(&digest));
            }
            prop_assert_eq!(config.keys.len(), model.len());
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against a key that belongs to two customers, of which one would be selected by accident.
#[test]
fn a_list_with_a_duplicate_key_is_rejected() {
    let twice = [
        grant(1, 0, KeyState::Granted),
        grant(1, 1, KeyState::Granted),
    ];
    let text = serde_json::to_string(&twice).unwrap();
    assert!(serde_json::from_str::<KeyTable>(&text).is_err());
}
