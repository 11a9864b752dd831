//! Writes the schemas of the library and the Rust that is generated from them.
//!
//! Run it from anywhere in the workspace after a change of a description here. Its output is
//! committed, so that a build needs neither this program nor any compiler of a schema language.

mod peer_schema;
mod schema_request;
mod schema_spec;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let library = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    match schema_request::write_schema(&peer_schema::peer_schema(), &library) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("schemas not written: {error}");
            ExitCode::FAILURE
        }
    }
}
