//! The envelopes and messages between gateways, and their encoding.
//!
//! Bodies are JSON documents of the state machines. The link carries them as bytes and does not
//! parse them. See [docs/design/peer-link.md](../../docs/design/peer-link.md).

use bytes::Bytes;
use capnp::Error;
use damaskloom_lib::generated::peer_capnp::{envelope, message};
use damaskloom_lib::ids::{Epoch, Incarnation, NodeId, VmId};

/// The protocol version that this build speaks.
pub const PROTOCOL_VERSION: u16 = 1;
/// The largest number of messages in an envelope.
pub const MAX_ENVELOPE_MESSAGES: u32 = 4_096;

/// The topic of a message.
///
/// The numbers are part of the protocol: they are never reused for another topic.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[repr(u16)]
pub enum PeerTopic {
    /// Probes of members and their results.
    Membership = 1,
    /// Proofs of the newest configuration.
    Freshness = 2,
    /// Configuration changes.
    Distribution = 3,
    /// Assignments and acknowledgements.
    Epoch = 4,
    /// Transfers of budget shares.
    Shares = 5,
    /// Observations of targets.
    Evidence = 6,
    /// Ejections and reinstatements of targets.
    Ejection = 7,
    /// Requests that crash targets.
    Crash = 8,
    /// Claims of requests that run at most once.
    Claims = 9,
}

impl PeerTopic {
    /// Returns the topic's number on the wire.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns whether messages wait briefly for others, to be sent in one envelope.
    pub const fn is_batched(self) -> bool {
        match self {
            Self::Freshness | Self::Evidence | Self::Ejection => true,
            Self::Membership
            | Self::Distribution
            | Self::Epoch
            | Self::Shares
            | Self::Crash
            | Self::Claims => false,
        }
    }
}

/// The error for a number that is not a topic of this version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownTopic(pub u16);

impl TryFrom<u16> for PeerTopic {
    type Error = UnknownTopic;

    fn try_from(number: u16) -> Result<Self, UnknownTopic> {
        let topics = [
            Self::Membership,
            Self::Freshness,
            Self::Distribution,
            Self::Epoch,
            Self::Shares,
            Self::Evidence,
            Self::Ejection,
            Self::Crash,
            Self::Claims,
        ];
        let known = topics.into_iter().find(|topic| topic.number() == number);
        known.ok_or(UnknownTopic(number))
    }
}

/// One message of one topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerMessage {
    /// The topic of the message.
    pub topic: PeerTopic,
    /// A JSON document.
    pub body: Bytes,
}

/// The header of an envelope, which describes its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EnvelopeHeader {
    /// The protocol version that the sender speaks.
    pub version: u16,
    /// The sender.
    pub sender: NodeId,
    /// The newest epoch that the sender has entered.
    pub epoch: Epoch,
    /// The number of the envelope in its session.
    pub sequence: u64,
}

/// A decoded envelope, without the messages of unknown topics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadEnvelope {
    /// The header of the envelope.
    pub header: EnvelopeHeader,
    /// The messages of known topics.
    pub messages: Vec<PeerMessage>,
    /// The number of messages that were skipped.
    pub skipped: u64,
}

/// Returns whether nodes of two protocol versions can communicate: versions may differ by one.
pub const fn versions_compatible(mine: u16, theirs: u16) -> bool {
    mine.abs_diff(theirs) <= 1
}

/// Reads a sender's name.
///
/// # Errors
///
/// Fails if the name is not a valid identifier.
pub fn read_node(vm: capnp::text::Reader<'_>, incarnation: u64) -> Result<NodeId, Error> {
    let vm: VmId = vm
        .to_str()?
        .parse()
        .map_err(|error| Error::failed(format!("bad VM name: {error}")))?;
    Ok(NodeId {
        vm,
        incarnation: Incarnation(incarnation),
    })
}

/// Writes an envelope.
pub fn write_envelope(
    mut builder: envelope::Builder<'_>,
    header: &EnvelopeHeader,
    messages: &[PeerMessage],
) {
    builder.set_protocol_version(header.version);
    builder.set_vm(header.sender.vm.as_str());
    builder.set_incarnation(header.sender.incarnation.0);
    builder.set_epoch(header.epoch.0);
    builder.set_sequence(header.sequence);
    let count = u32::try_from(messages.len()).expect("envelopes are bounded");
    let mut list = builder.init_messages(count);
    for (index, item) in (0..).zip(messages) {
        write_message(list.reborrow().get(index), item);
    }
}

/// Writes a message.
pub fn write_message(mut builder: message::Builder<'_>, item: &PeerMessage) {
    builder.set_topic(item.topic.number());
    builder.set_body(&item.body);
}

/// Reads an envelope.
///
/// # Errors
///
/// Fails if the envelope is malformed or has too many messages.
pub fn read_envelope(reader: envelope::Reader<'_>) -> Result<ReadEnvelope, Error> {
    let header = EnvelopeHeader {
        version: reader.get_protocol_version(),
        sender: read_node(reader.get_vm()?, reader.get_incarnation())?,
        epoch: Epoch(reader.get_epoch()),
        sequence: reader.get_sequence(),
    };
    let list = reader.get_messages()?;
    if list.len() > MAX_ENVELOPE_MESSAGES {
        return Err(Error::failed("too many messages in an envelope".to_owned()));
    }
    let mut messages = Vec::with_capacity(list.len() as usize);
    let mut skipped = 0;
    for item in list {
        match PeerTopic::try_from(item.get_topic()) {
            Ok(topic) => messages.push(PeerMessage {
                topic,
                body: Bytes::copy_from_slice(item.get_body()?),
            }),
            Err(UnknownTopic(_)) => skipped += 1,
        }
    }
    Ok(ReadEnvelope {
        header,
        messages,
        skipped,
    })
}
