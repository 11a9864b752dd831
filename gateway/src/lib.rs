//! The gateway process: callers in front, targets behind, peers beside.

pub mod peer_auth;
pub mod peer_codec;
mod peer_connection;
mod peer_dialer;
pub mod peer_faults;
pub mod peer_link;
mod peer_listener;
mod peer_settings;
mod peer_stream;
