//! Tests the `--version` option of the crate's programs.

use std::process::Command;

#[test]
fn programs_print_their_version() {
    let programs = [
        ("damaskloom-ctl", env!("CARGO_BIN_EXE_damaskloom-ctl")),
        ("damaskloom-demo", env!("CARGO_BIN_EXE_damaskloom-demo")),
        ("damaskloom-report", env!("CARGO_BIN_EXE_damaskloom-report")),
    ];
    for (name, path) in programs {
        let output = Command::new(path).arg("--version").output();
        let output = output.expect("the program runs");
        assert!(output.status.success(), "{name}");
        let printed = String::from_utf8_lossy(&output.stdout);
        assert_eq!(
            printed.trim(),
            format!("{name} {}", env!("CARGO_PKG_VERSION"))
        );
    }
}
