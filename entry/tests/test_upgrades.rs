//! Tests that nodes of the last landing and of this build read each other's messages and rows.
//!
//! The bytes are those that the last landing writes. A message that is new since then is one that its
//! nodes drop whole, so it must never carry what they need.

use std::fmt::Write;

use bytes::Bytes;
use damaskloom_entry::peer_rows::RowsAnswer;
use damaskloom_entry::peer_wire::{
    CustomerCount, PeerEnvelope, PeerMessage, TableReadings, WireSignal,
};
use damaskloom_lib::copy_age::TableReading;
use damaskloom_lib::crash_guard::{CrashMessage, RequestDigest, RequestFingerprint};
use damaskloom_lib::entry_members::{EntryPhase, NodeHeartbeat, NodeRegistration};
use damaskloom_lib::loss_meter::{ServiceCode, ServiceLoss};
use damaskloom_lib::message_relay::RelayScope;
use damaskloom_lib::store_health::StoreReading;
use damaskloom_lib::store_version::StoreVersion;
use damaskloom_lib::table_mirror::MirrorRow;
use damaskloom_lib::target_balancer::TargetCode;
use damaskloom_lib::target_catalog::OutdatedAddress;
use damaskloom_lib::target_limits::LimitStatement;
use damaskloom_lib::target_notices::TargetStart;

fn parsed<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a valid value")
}

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint {
        customer: parsed("hauliers"),
        route: parsed("book"),
        digest: RequestDigest::of(b"POST", b"/book/1", b"body"),
    }
}

fn heartbeat(phase: EntryPhase) -> PeerMessage {
    PeerMessage::Heartbeat(NodeHeartbeat {
        data_centre: parsed("near"),
        caller_address: parsed("10.1.0.21:8689"),
        phase,
        carrying: true,
        capacity_millicores: 200,
        linked: false,
        routing_version: StoreVersion::new(2, 300).expect("a valid version"),
        targets_version: StoreVersion::new(2, 301).expect("a valid version"),
    })
}

/// The messages that the landing before the last one knows as well.
fn known_messages() -> Vec<(&'static str, PeerMessage)> {
    let target = || parsed("i-7f3a91c2");
    vec![
        ("starting", heartbeat(EntryPhase::Starting)),
        ("serving", heartbeat(EntryPhase::Serving)),
        ("leaving", heartbeat(EntryPhase::Leaving)),
        ("cut off", heartbeat(EntryPhase::CutOff)),
        (
            "counts",
            PeerMessage::Counts {
                running: vec![(TargetCode(7_001), 2)],
                successes: vec![TargetCode(7_002)],
                customers: vec![CustomerCount {
                    customer: parsed("hauliers"),
                    admitted: 9,
                    demand_milli: 1_500,
                }],
            },
        ),
        (
            "signals",
            PeerMessage::Signals(vec![
                (target(), WireSignal::Good),
                (target(), WireSignal::Failed),
                (target(), WireSignal::FailedAtOnce),
                (target(), WireSignal::Late),
            ]),
        ),
        (
            "crash",
            PeerMessage::Crash(CrashMessage::TookDown {
                fingerprint: fingerprint(),
                target: target(),
            }),
        ),
        (
            "cleared",
            PeerMessage::Crash(CrashMessage::Cleared {
                fingerprint: fingerprint(),
            }),
        ),
        (
            "limits",
            PeerMessage::Limits(vec![
                LimitStatement {
                    target: target(),
                    rate_milli: Some(4_500),
                    age_ms: 250,
                },
                LimitStatement {
                    target: target(),
                    rate_milli: None,
                    age_ms: 0,
                },
            ]),
        ),
        (
            "outdated",
            PeerMessage::Outdated(vec![OutdatedAddress {
                target: target(),
                started_at_ms: Some(1_775_000_000_000),
                address: parsed("10.2.64.55:8665"),
            }]),
        ),
    ]
}

/// The messages that the last landing added; nodes of the landing before it drop them.
fn new_messages() -> Vec<PeerMessage> {
    vec![PeerMessage::Leaving(vec![TargetStart {
        target: parsed("i-7f3a91c2"),
        started_at_ms: Some(1_775_000_000_000),
    }])]
}

/// The messages that this build adds for relays between data centres.
fn relay_messages() -> Vec<PeerMessage> {
    let origin_ip = parsed("10.1.0.21");
    let datagram = vec![1, 2, 3];
    vec![
        PeerMessage::Relays,
        PeerMessage::Relay {
            scope: RelayScope::All,
            origin_ip,
            datagram: datagram.clone(),
        },
        PeerMessage::Relay {
            scope: RelayScope::Carrying,
            origin_ip,
            datagram: datagram.clone(),
        },
        PeerMessage::Relayed {
            origin_ip,
            datagram,
        },
    ]
}

/// The messages that are new in this build.
fn unreleased_messages() -> Vec<(&'static str, PeerMessage)> {
    let reading = TableReading {
        version: StoreVersion::new(2, 300).expect("a valid version"),
        age_ms: 250,
    };
    vec![
        (
            "losses",
            PeerMessage::Losses(vec![ServiceLoss {
                service: ServiceCode(7_003),
                requests: 40,
                lost: 5,
            }]),
        ),
        (
            "readings",
            PeerMessage::Readings(TableReadings {
                routing: Some(reading),
                targets: None,
            }),
        ),
    ]
}

/// Returns the number by which a message is known in its encoding.
fn kind_number(message: PeerMessage) -> u8 {
    let encoded = postcard::to_stdvec(&message).expect("it can be encoded");
    encoded[0]
}

fn envelope(message: PeerMessage) -> PeerEnvelope {
    PeerEnvelope {
        from: parsed("edge-khatgal-1"),
        started_at_ms: 1_775_000_000_123,
        sequence: 77,
        message,
    }
}

fn rows_answer() -> RowsAnswer {
    RowsAnswer {
        rows: vec![
            MirrorRow {
                key: "i-7f3a91c2".to_owned(),
                value: Some(Bytes::from_static(b"{}")),
                version: StoreVersion::new(1, 20).expect("a valid version"),
            },
            MirrorRow {
                key: "i-gone".to_owned(),
                value: None,
                version: StoreVersion::new(1, 21).expect("a valid version"),
            },
        ],
        version: StoreVersion::new(1, 22).expect("a valid version"),
        grace_left_ms: 1_200,
    }
}

fn registration() -> NodeRegistration {
    NodeRegistration {
        started_at_ms: 1_775_000_000_123,
        data_centre: parsed("near"),
        caller_address: parsed("10.1.0.21:8689"),
        capacity_millicores: 200,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a text takes all that is written");
        text
    })
}

/// Guards against a build that cannot read a message of the build before, or writes one that the build
/// before cannot read, while the nodes of a fleet are replaced one after the other.
#[test]
fn messages_are_encoded_as_by_the_last_landing() {
    let mut lines = String::new();
    for (name, message) in known_messages() {
        let envelope = envelope(message);
        let bytes = postcard::to_stdvec(&envelope).expect("it can be encoded");
        let decoded: PeerEnvelope = postcard::from_bytes(&bytes).expect("it can be decoded");
        assert_eq!(decoded, envelope, "{name}");
        writeln!(lines, "{name}: {}", hex(&bytes)).expect("a text takes all that is written");
    }
    insta::assert_snapshot!("messages_of_db442b3", lines);
}

/// Guards against a change of the messages that only the last landing knows.
#[test]
fn messages_that_the_last_landing_added_are_encoded_as_by_it() {
    let mut lines = String::new();
    for message in new_messages() {
        let envelope = envelope(message);
        let bytes = postcard::to_stdvec(&envelope).expect("it can be encoded");
        let decoded: PeerEnvelope = postcard::from_bytes(&bytes).expect("it can be decoded");
        assert_eq!(decoded, envelope);
        writeln!(lines, "{}", hex(&bytes)).expect("a text takes all that is written");
    }
    insta::assert_snapshot!("messages_added_by_b74bea7", lines);
}

/// Guards against a change of the messages of relays, which nodes of this build and the next one exchange.
#[test]
fn messages_of_relays_are_encoded_as_stated() {
    let mut lines = String::new();
    let known = new_messages().into_iter().map(kind_number).max();
    for message in relay_messages() {
        assert!(Some(kind_number(message.clone())) > known);
        let envelope = envelope(message);
        let bytes = postcard::to_stdvec(&envelope).expect("it can be encoded");
        let decoded: PeerEnvelope = postcard::from_bytes(&bytes).expect("it can be decoded");
        assert_eq!(decoded, envelope);
        writeln!(lines, "{}", hex(&bytes)).expect("a text takes all that is written");
    }
    insta::assert_snapshot!("messages_of_relays", lines);
}

/// Guards against a change of the encoding of a new message, or of its place among the kinds.
#[test]
fn new_messages_keep_their_bytes() {
    let mut lines = String::new();
    for (name, message) in unreleased_messages() {
        let envelope = envelope(message);
        let bytes = postcard::to_stdvec(&envelope).expect("it can be encoded");
        let decoded: PeerEnvelope = postcard::from_bytes(&bytes).expect("it can be decoded");
        assert_eq!(decoded, envelope, "{name}");
        writeln!(lines, "{name}: {}", hex(&bytes)).expect("a text takes all that is written");
    }
    insta::assert_snapshot!("unreleased_messages", lines);
}

/// Guards against a new message that the build before takes for one that it knows, and reads other facts
/// from it.
#[test]
fn new_messages_are_of_kinds_that_the_last_landing_drops() {
    let known: Vec<u8> = known_messages()
        .into_iter()
        .map(|(_, message)| kind_number(message))
        .collect();
    let unreleased = unreleased_messages()
        .into_iter()
        .map(|(_, message)| message);
    // The kinds that the last landing knows are those of the landing before and its own ones.
    let newest_known = new_messages().into_iter().map(kind_number).max();
    for message in unreleased {
        let name = format!("{message:?}");
        assert!(Some(kind_number(message)) > newest_known, "{name}");
    }
    for message in new_messages().into_iter().chain(relay_messages()) {
        let name = format!("{message:?}");
        let number = kind_number(message);
        assert!(known.iter().all(|known| *known < number), "{name}");
    }
}

/// Guards against a change of what nodes of this build and the next one say of their reading of the store.
#[test]
fn a_reading_of_the_store_is_encoded_as_stated() {
    let reading = StoreReading {
        era: 1,
        answering_ms: 1_200,
    };
    let bytes = postcard::to_stdvec(&Some(reading)).expect("it can be encoded");
    assert_eq!(hex(&bytes), "0101b009");
    let nothing = postcard::to_stdvec(&None::<StoreReading>).expect("it can be encoded");
    assert_eq!(hex(&nothing), "00");
}

/// Guards against rows that nodes of the build before cannot read in a peer's answer or in the store.
#[test]
fn rows_are_encoded_as_by_the_last_landing() {
    let answer = postcard::to_stdvec(&rows_answer()).expect("it can be encoded");
    let decoded: RowsAnswer = postcard::from_bytes(&answer).expect("it can be decoded");
    assert_eq!(decoded, rows_answer());
    let registration_text = serde_json::to_string(&registration()).expect("it can be encoded");
    let decoded: NodeRegistration =
        serde_json::from_str(&registration_text).expect("it can be decoded");
    assert_eq!(decoded, registration());
    insta::assert_snapshot!(
        "rows_of_db442b3",
        format!(
            "answer: {}\nregistration: {registration_text}\n",
            hex(&answer)
        )
    );
}
