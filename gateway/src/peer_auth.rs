//! Proofs that both ends of a peer connection know the fleet's shared secret.
//!
//! A proof covers the role of its sender, both names and both nonces, so that it is invalid on
//! another connection, in the other direction and for another node. See
//! [docs/design/peer-link.md](../../docs/design/peer-link.md).

use std::fmt;

use damaskloom_lib::ids::NodeId;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The length of a nonce, in bytes.
pub const NONCE_BYTES: usize = 32;
/// The length of a proof, in bytes.
pub const PROOF_BYTES: usize = 32;

const BLOCK_BYTES: usize = 64;
const INNER_PAD: u8 = 0x36;
const OUTER_PAD: u8 = 0x5c;

/// A random number that is used on one connection only.
pub type Nonce = [u8; NONCE_BYTES];

/// The secret that all gateways of a fleet share; its `Debug` output omits the bytes.
#[derive(Clone)]
pub struct SharedSecret(Vec<u8>);

impl SharedSecret {
    /// Wraps the bytes of a secret.
    pub fn new(raw: impl Into<Vec<u8>>) -> Self {
        Self(raw.into())
    }

    /// Returns the bytes of the secret, for storing it.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the HMAC-SHA256 of a message under the secret.
    pub fn authenticate(&self, message: impl AsRef<[u8]>) -> [u8; PROOF_BYTES] {
        let mut key = [0_u8; BLOCK_BYTES];
        if self.0.len() > BLOCK_BYTES {
            key[..PROOF_BYTES].copy_from_slice(&Sha256::digest(&self.0));
        } else {
            key[..self.0.len()].copy_from_slice(&self.0);
        }
        let inner = Sha256::new()
            .chain_update(key.map(|byte| byte ^ INNER_PAD))
            .chain_update(message)
            .finalize();
        let outer = Sha256::new()
            .chain_update(key.map(|byte| byte ^ OUTER_PAD))
            .chain_update(inner);
        outer.finalize().into()
    }
}

impl fmt::Debug for SharedSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedSecret(..)")
    }
}

/// The end of a connection that proves itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProofRole {
    /// The end that dialled.
    Dialler,
    /// The end that accepted.
    Acceptor,
}

/// The values that both ends of a connection know after their greetings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProofContext {
    /// The node that dialled.
    pub dialler: NodeId,
    /// The nonce of the node that dialled.
    pub dialler_nonce: Nonce,
    /// The node that accepted.
    pub acceptor: NodeId,
    /// The nonce of the node that accepted.
    pub acceptor_nonce: Nonce,
}

impl ProofContext {
    /// Returns the proof of one end.
    pub fn prove(&self, role: ProofRole, secret: &SharedSecret) -> [u8; PROOF_BYTES] {
        secret.authenticate(self.transcript(role))
    }

    /// Returns whether the proof of one end is correct, in a time that does not depend on the
    /// proof.
    pub fn verify(&self, role: ProofRole, secret: &SharedSecret, proof: &[u8]) -> bool {
        self.prove(role, secret).ct_eq(proof).into()
    }

    /// Joins the parts, each after its length, so that no two contexts have the same transcript.
    fn transcript(&self, role: ProofRole) -> Vec<u8> {
        let label: &[u8] = match role {
            ProofRole::Dialler => b"damaskloom peer dialler",
            ProofRole::Acceptor => b"damaskloom peer acceptor",
        };
        let dialler_incarnation = self.dialler.incarnation.0.to_be_bytes();
        let acceptor_incarnation = self.acceptor.incarnation.0.to_be_bytes();
        let parts: [&[u8]; 7] = [
            label,
            self.dialler.vm.as_bytes(),
            &dialler_incarnation,
            &self.dialler_nonce,
            self.acceptor.vm.as_bytes(),
            &acceptor_incarnation,
            &self.acceptor_nonce,
        ];
        let mut transcript = Vec::new();
        for part in parts {
            transcript.extend((part.len() as u64).to_be_bytes());
            transcript.extend(part);
        }
        transcript
    }
}
