//! Tests a planned stop: a process that gets SIGTERM still answers requests on connections that it
//! accepted before.

use std::process::{Child, Command, Stdio};

use damaskloom_testutils::platform_server::PlatformServer;
use http::StatusCode;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use crate::fixture::{
    PEER_PORT, TargetBehaviour, TestTarget, configuration, exchange, node_settings, wait_until,
};

/// Kills the process if the test fails before the process has exited.
struct OwnedProcess(Child);

impl Drop for OwnedProcess {
    fn drop(&mut self) {
        // An error means that the process has exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::test]
async fn a_connection_accepted_before_the_stop_is_served() {
    LocalSet::new()
        .run_until(async {
            let store = PlatformServer::start_local().await;
            let store = store.expect("loopback has a free port");
            store.put("op", "config", configuration(1, &["key-1"]));
            let target = TestTarget::start("i-0", TargetBehaviour::Succeeds).await;
            store.put("servers", "i-0", target.row("ready"));
            let mut settings = node_settings(store.address(), PEER_PORT);
            settings["bounds"]["stop_grace_s"] = 60.into();
            settings["bounds"]["max_directory_lifetime_s"] = 0.2.into();
            let folder = std::env::temp_dir().join(format!("planned-stop-{}", std::process::id()));
            std::fs::create_dir_all(&folder).expect("the folder can be created");
            let path = folder.join("entry.jsonc");
            std::fs::write(&path, settings.to_string()).expect("the file can be written");
            let child = Command::new(env!("CARGO_BIN_EXE_damaskloom-entry"))
                .arg("--settings")
                .arg(&path)
                .stdout(Stdio::null())
                .spawn()
                .expect("the program starts");
            let mut process = OwnedProcess(child);
            let address = settings["caller_listen"].as_str().expect("an address");
            wait_until("the node serves", async || {
                let Ok(stream) = TcpStream::connect(address).await else {
                    return false;
                };
                let answer = exchange(stream, "GET", "/read/1", Some("key-1")).await;
                answer.status == StatusCode::OK
            })
            .await;

            let earlier = TcpStream::connect(address).await.expect("the node listens");
            // Connections are accepted in order, so an answer on a later connection shows that the
            // first one was accepted.
            let later = TcpStream::connect(address).await.expect("the node listens");
            exchange(later, "GET", "/read/1", Some("key-1")).await;
            let id = i32::try_from(process.0.id()).expect("process ids fit");
            kill(Pid::from_raw(id), Signal::SIGTERM).expect("the process can be signalled");
            wait_until("the node accepts no new connections", async || {
                TcpStream::connect(address).await.is_err()
            })
            .await;
            let answer = exchange(earlier, "POST", "/book/1", Some("key-1")).await;
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(answer.headers["connection"], "close");
            wait_until("the process has exited", async || {
                let end = process.0.try_wait().expect("the status can be read");
                end.is_some_and(|end| end.success())
            })
            .await;
            std::fs::remove_dir_all(&folder).expect("the folder can be removed");
        })
        .await;
}
