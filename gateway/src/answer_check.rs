//! Checks the heads of targets' answers before they are passed on.

use http::StatusCode;

/// Returns whether a status may end a request.
///
/// The HTTP library accepts every status from 100 to 999. No request of the fleet asks for an interim answer or
/// another protocol (1xx), and no status from 600 on is defined (RFC 9110, section 15): a target that sends one is
/// in trouble, and a caller could not tell what the answer says about its request.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
