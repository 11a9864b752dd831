//! The schema of the link between gateways.

use crate::schema_spec::{FieldSpec, FieldType, InterfaceSpec, MethodSpec, SchemaSpec, StructSpec};

const fn field(name: &'static str, kind: FieldType, doc: &'static str) -> FieldSpec {
    FieldSpec { name, kind, doc }
}

const VERSION: FieldSpec = field(
    "protocolVersion",
    FieldType::UInt16,
    "The protocol version that the sender speaks.",
);
const VM: FieldSpec = field("vm", FieldType::Text, "The sender's VM.");
const INCARNATION: FieldSpec = field(
    "incarnation",
    FieldType::UInt64,
    "The incarnation of the sender's process, which rises with each start on a VM.",
);
const NONCE: FieldSpec = field("nonce", FieldType::Data, "32 random bytes.");
const PROOF: FieldSpec = field(
    "proof",
    FieldType::Data,
    "HMAC-SHA256 with the shared secret over the sender's role, both names and both nonces.",
);
const TOPIC: FieldSpec = field(
    "topic",
    FieldType::UInt16,
    "The topic of the body; a receiver ignores topics that it does not know.",
);
const BODY: FieldSpec = field("body", FieldType::Data, "A JSON document.");

/// Returns the schema of the peer link.
pub const fn peer_schema() -> SchemaSpec {
    SchemaSpec {
        name: "peer",
        id: 0xd5a1_c0de_4b1e_0001,
        doc: "The link between gateways. Written by lib/gen-schemas; see docs/design/peer-link.md.\n\
              Fields and methods are only ever added at the end. A node speaks to nodes of the\n\
              version before and after its own.",
        structs: STRUCTS,
        interfaces: INTERFACES,
    }
}

const STRUCTS: &[StructSpec] = &[
    StructSpec {
        name: "Greeting",
        id: 0xd5a1_c0de_4b1e_0002,
        doc: "Identifies the dialling end and challenges the other end to prove that it knows the secret.",
        fields: &[VERSION, VM, INCARNATION, NONCE],
    },
    StructSpec {
        name: "Challenge",
        id: 0xd5a1_c0de_4b1e_0003,
        doc: "Identifies and authenticates the answering end, and challenges the dialling end.",
        fields: &[VERSION, VM, INCARNATION, NONCE, PROOF],
    },
    StructSpec {
        name: "Proof",
        id: 0xd5a1_c0de_4b1e_0004,
        doc: "The dialling end's proof.",
        fields: &[PROOF],
    },
    StructSpec {
        name: "Admission",
        id: 0xd5a1_c0de_4b1e_0005,
        doc: "Grants a session to an authenticated peer.",
        fields: &[field(
            "session",
            FieldType::Capability("PeerSession"),
            "Accepts messages for the lifetime of the connection.",
        )],
    },
    StructSpec {
        name: "Message",
        id: 0xd5a1_c0de_4b1e_0006,
        doc: "One message of one topic.",
        fields: &[TOPIC, BODY],
    },
    StructSpec {
        name: "Envelope",
        id: 0xd5a1_c0de_4b1e_0007,
        doc: "A batch of messages from one node.",
        fields: &[
            VERSION,
            VM,
            INCARNATION,
            field(
                "epoch",
                FieldType::UInt64,
                "The newest epoch that the sender entered.",
            ),
            field(
                "sequence",
                FieldType::UInt64,
                "Numbers the sender's envelopes; it rises within a session.",
            ),
            field(
                "messages",
                FieldType::ListOf("Message"),
                "The messages, in order.",
            ),
        ],
    },
    StructSpec {
        name: "Receipt",
        id: 0xd5a1_c0de_4b1e_0008,
        doc: "Confirms that an envelope has arrived, not that its messages have been handled.",
        fields: &[],
    },
];

const INTERFACES: &[InterfaceSpec] = &[
    InterfaceSpec {
        name: "PeerGate",
        id: 0xd5a1_c0de_4b1e_0009,
        doc: "The interface of a connection before the two ends have authenticated each other.",
        methods: &[
            MethodSpec {
                name: "greet",
                params: "Greeting",
                results: "Challenge",
                doc: "Starts the exchange of proofs; may be called once per connection.",
            },
            MethodSpec {
                name: "prove",
                params: "Proof",
                results: "Admission",
                doc: "Ends the exchange of proofs.",
            },
        ],
    },
    InterfaceSpec {
        name: "PeerSession",
        id: 0xd5a1_c0de_4b1e_000a,
        doc: "Accepts messages from an authenticated peer.",
        methods: &[
            MethodSpec {
                name: "deliver",
                params: "Envelope",
                results: "Receipt",
                doc: "Delivers messages.",
            },
            MethodSpec {
                name: "call",
                params: "Envelope",
                results: "Message",
                doc: "Delivers one message and returns its answer.",
            },
        ],
    },
];
