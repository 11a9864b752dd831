//! Writes the library's schema files and the Rust code that is generated from them.
//!
//! Run it from anywhere in the workspace after changing a description here. Its output is
//! committed, so that a build needs neither this program nor a schema compiler.

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
            eprintln!("cannot write the schemas: {error}");
            ExitCode::FAILURE
        }
    }
}
