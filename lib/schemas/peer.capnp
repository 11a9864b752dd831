# The link between gateways. Written by lib/gen-schemas; see docs/design/peer-link.md.
# Fields and methods are only ever added at the end. A node speaks to nodes of the
# version before and after its own.

@0xd5a1c0de4b1e0001;

struct Greeting @0xd5a1c0de4b1e0002 {
  # Identifies the dialling end and challenges the other end to prove that it knows the secret.

  protocolVersion @0 :UInt16;
  # The protocol version that the sender speaks.

  vm @1 :Text;
  # The sender's VM.

  incarnation @2 :UInt64;
  # The incarnation of the sender's process, which rises with each start on a VM.

  nonce @3 :Data;
  # 32 random bytes.
}

struct Challenge @0xd5a1c0de4b1e0003 {
  # Identifies and authenticates the answering end, and challenges the dialling end.

  protocolVersion @0 :UInt16;
  # The protocol version that the sender speaks.

  vm @1 :Text;
  # The sender's VM.

  incarnation @2 :UInt64;
  # The incarnation of the sender's process, which rises with each start on a VM.

  nonce @3 :Data;
  # 32 random bytes.

  proof @4 :Data;
  # HMAC-SHA256 with the shared secret over the sender's role, both names and both nonces.
}

struct Proof @0xd5a1c0de4b1e0004 {
  # The dialling end's proof.

  proof @0 :Data;
  # HMAC-SHA256 with the shared secret over the sender's role, both names and both nonces.
}

struct Admission @0xd5a1c0de4b1e0005 {
  # Grants a session to an authenticated peer.

  session @0 :PeerSession;
  # Accepts messages for the lifetime of the connection.
}

struct Message @0xd5a1c0de4b1e0006 {
  # One message of one topic.

  topic @0 :UInt16;
  # The topic of the body; a receiver ignores topics that it does not know.

  body @1 :Data;
  # A JSON document.
}

struct Envelope @0xd5a1c0de4b1e0007 {
  # A batch of messages from one node.

  protocolVersion @0 :UInt16;
  # The protocol version that the sender speaks.

  vm @1 :Text;
  # The sender's VM.

  incarnation @2 :UInt64;
  # The incarnation of the sender's process, which rises with each start on a VM.

  epoch @3 :UInt64;
  # The newest epoch that the sender entered.

  sequence @4 :UInt64;
  # Numbers the sender's envelopes; it rises within a session.

  messages @5 :List(Message);
  # The messages, in order.
}

struct Receipt @0xd5a1c0de4b1e0008 {
  # Confirms that an envelope has arrived, not that its messages have been handled.
}

interface PeerGate @0xd5a1c0de4b1e0009 {
  # The interface of a connection before the two ends have authenticated each other.

  greet @0 Greeting -> Challenge;
  # Starts the exchange of proofs; may be called once per connection.

  prove @1 Proof -> Admission;
  # Ends the exchange of proofs.
}

interface PeerSession @0xd5a1c0de4b1e000a {
  # Accepts messages from an authenticated peer.

  deliver @0 Envelope -> Receipt;
  # Delivers messages.

  call @1 Envelope -> Message;
  # Delivers one message and returns its answer.
}
