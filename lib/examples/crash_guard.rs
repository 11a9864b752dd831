//! Embeds the crash guard: a request that crashes two targets is refused on every node.

use damaskloom_lib::crash_guard::{
    CheckResult, CrashAction, CrashGuard, RequestDigest, RequestFingerprint,
};
use damaskloom_lib::ids::{Incarnation, NodeId};
use damaskloom_lib::time::MonoTime;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let peer = NodeId {
        vm: "vm-1".parse()?,
        incarnation: Incarnation(1),
    };
    let mut guard = CrashGuard::new();
    guard.set_peers([peer]);
    let mut peer_guard = CrashGuard::new();
    let request = RequestFingerprint {
        customer: "ferries".parse()?,
        route: "bookings".parse()?,
        digest: RequestDigest::of(b"POST", b"/bookings", b"the digest of the body"),
    };
    for (index, millis) in [(0, 1_000), (1, 4_000)] {
        let target = format!("server-{index}").parse()?;
        let lost_at = MonoTime::from_millis(millis);
        // The connection is lost while the target runs the request, so the target is checked.
        let checks = guard.record_lost_connection(lost_at, &request, &target);
        println!("{lost_at} checks due: {}", checks.len());
        // It refuses connections, and another target of the service accepts one.
        let now = MonoTime::from_millis(millis + 100);
        for action in guard.record_check(now, &target, lost_at, CheckResult::Down) {
            match action {
                CrashAction::Check { .. } => {}
                CrashAction::Send { message, .. } => {
                    peer_guard.handle_message(now, message);
                }
                CrashAction::Exempt { target, period } => {
                    println!("{now} {target} is not blamed for {period:?}");
                }
                CrashAction::Blocked(fingerprint) => {
                    println!("{now} refused from now on: {}", fingerprint.digest);
                }
            }
        }
    }
    let now = MonoTime::from_millis(5_000);
    let remaining = peer_guard
        .check(now, &request)
        .ok_or("the peer does not refuse the request")?;
    println!(
        "{now} the peer refuses it for {} s more",
        remaining.as_secs()
    );
    Ok(())
}
