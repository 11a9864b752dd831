//! Tests the encoding and authentication of datagrams between nodes.

use damaskloom_entry::peer_wire::{CustomerCount, PeerEnvelope, PeerMessage, decode, encode};
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::target_balancer::TargetCode;

fn envelope() -> PeerEnvelope {
    PeerEnvelope {
        from: "vm-1".parse().expect("a valid name"),
        started_at_ms: 5,
        sequence: 7,
        message: PeerMessage::Counts {
            running: vec![(TargetCode(7_001), 2)],
            successes: vec![TargetCode(7_002)],
            customers: vec![CustomerCount {
                customer: "hauliers".parse().expect("a valid name"),
                admitted: 9,
                demand_milli: 1_500,
            }],
        },
    }
}

#[test]
fn a_datagram_decodes_to_what_was_encoded() {
    let secret = SharedSecret::new(*b"a secret of the fleet");
    let datagram = encode(&secret, &envelope()).expect("it can be encoded");
    assert_eq!(
        decode(&secret, &datagram).expect("it is authentic"),
        envelope()
    );
}

#[test]
fn changed_and_foreign_datagrams_are_rejected() {
    let secret = SharedSecret::new(*b"a secret of the fleet");
    let datagram = encode(&secret, &envelope()).expect("it can be encoded");
    for index in 0..datagram.len() {
        let mut changed = datagram.clone();
        changed[index] ^= 1;
        assert!(decode(&secret, &changed).is_err(), "byte {index}");
    }
    for length in 0..datagram.len() {
        assert!(decode(&secret, &datagram[..length]).is_err());
    }
    let other = SharedSecret::new(*b"a secret of another fleet");
    assert!(decode(&other, &datagram).is_err());
}
