# The link between gateways. Written by lib/gen-schemas; see docs/design/peer-link.md.
# Fields and methods are only ever added at the end. A node speaks to nodes of the
# version before and after its own.

@0xd5a1c0de4b1e0001;

struct Greeting @0xd5a1c0de4b1e0002 {
  # Says who dials, and asks the other end to prove that it knows the secret.

  protocolVersion @0 :UInt16;
  # The protocol version that the sender speaks.

  vm @1 :Text;
  # The sender's VM.

  incarnation @2 :UInt64;
  # The start of the sender's process.

  nonce @3 :Data;
  # 32 random bytes.
}

struct Challenge @0xd5a1c0de4b1e0003 {
  # Says who answers, proves it, and asks the dialling end for its proof.

  protocolVersion @0 :UInt16;
  # The protocol version that the sender speaks.

  vm @1 :Text;
  # The sender's VM.

  incarnation @2 :UInt64;
  # The start of the sender's process.

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
  # What a proven peer gets.

  session @0 :PeerSession;
  # Takes messages while the connection lasts.
}

struct Message @0xd5a1c0de4b1e0006 {
  # One message of one topic.

  topic @0 :UInt16;
  # What the body is about; a receiver skips topics that it does not know.

  body @1 :Data;
  # A JSON document.
}

struct Envelope @0xd5a1c0de4b1e0007 {
  # Messages that travel together.

  protocolVersion @0 :UInt16;
  # The protocol version that the sender speaks.

  vm @1 :Text;
  # The sender's VM.

  incarnation @2 :UInt64;
  # The start of the sender's process.

  epoch @3 :UInt64;
  # The newest epoch that the sender entered.

  sequence @4 :UInt64;
  # Numbers the sender's envelopes; it rises within a session.

  messages @5 :List(Message);
  # The messages, in order.
}

struct Receipt @0xd5a1c0de4b1e0008 {
  # Says that an envelope arrived, not that its messages were acted on.
}

interface PeerGate @0xd5a1c0de4b1e0009 {
  # What a connection offers before the two ends know each other.

  greet @0 Greeting -> Challenge;
  # Starts the exchange of proofs; works once a connection.

  prove @1 Proof -> Admission;
  # Ends the exchange of proofs.
}

interface PeerSession @0xd5a1c0de4b1e000a {
  # Takes messages from a proven peer.

  deliver @0 Envelope -> Receipt;
  # Hands over messages.

  call @1 Envelope -> Message;
  # Hands over one message and waits for its answer.
}
