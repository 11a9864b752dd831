//! Stand-ins for the platform and the targets, and the load tool.

pub mod platform_faults;
pub mod platform_server;
pub mod platform_table;
