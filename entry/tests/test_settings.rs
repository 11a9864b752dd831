//! Tests the settings, their errors, and the template that the platform renders.

use damaskloom_entry::settings::EntrySettings;
use damaskloom_lib::repeat_budget::RepeatOrder;

const SETTINGS: &str = r#"{
  // A node of a small fleet.
  "vm": "vm-1", "data_centre": "khatgal", "data_centres": {"khatgal": "khovsgol"},
  "ip": "127.0.0.1", "caller_listen": "127.0.0.1:8001", "ready_listen": "127.0.0.1:8002",
  "directory_listen": "127.0.0.1:8003", "peer_port": 8004, "metrics_port": 8005,
  "store": "127.0.0.1:8006",
  "machine": {"cpu_share": 0.2, "cpu_cores": 1, "link_mbps": 10},
  "bounds": {"stop_grace_s": 6, "max_directory_lifetime_s": 5, "routing_apply_s": 2, "repeat_ratio": 0.2,
             "repeat_slack": 64, "repeat_window_s": 10, "rate_window_s": 5,
             "rate_excess": 0.1, "rate_slack": 20}
}"#;

fn error(from: &str, to: &str) -> String {
    let text = SETTINGS.replace(from, to);
    assert_ne!(text, SETTINGS);
    let parsed = EntrySettings::parse(text, "entry.jsonc");
    parsed.expect_err("the settings are wrong").to_string()
}

#[test]
fn settings_with_comments_are_read() {
    let settings = EntrySettings::parse(SETTINGS, "entry.jsonc").expect("valid settings");
    assert_eq!(settings.machine.cpu_millicores(), 200);
    // The link carries fewer requests than the processor.
    assert!(settings.machine.capacity_millicores() < 100);
}

#[test]
fn settings_errors_name_the_field() {
    let errors = [
        error("\"vm\": \"vm-1\",", ""),
        error("\"127.0.0.1:8006\"", "\"nowhere\""),
        error("\"peer_port\": 8004", "\"peer_port\": 80040"),
        error("{\"khatgal\": \"khovsgol\"}", "{}"),
        error("\"cpu_share\": 0.2", "\"cpu_share\": 0"),
        error("\"link_mbps\": 10", "\"link_mbps\": 0"),
        error("\"stop_grace_s\": 6", "\"stop_grace_s\": 0"),
        error("\"routing_apply_s\": 2", "\"routing_apply_s\": 0"),
        error("\"rate_window_s\": 5", "\"rate_window_s\": 0"),
        error("\"vm\": \"vm-1\"", "\"vm\": \"vm-1\", \"wm\": 1"),
        error(
            "\"rate_slack\": 20",
            "\"rate_slack\": 20, \"min_target_share\": 1.5",
        ),
        error(
            "\"peer_port\": 8004",
            "\"peer_port\": 8004, \"costs\": {\"crossing_per_kb\": -1}",
        ),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn the_template_has_every_setting() {
    let template = include_str!("../../deploy/entry.jsonc.template");
    let mut text = SETTINGS.to_owned();
    json_strip_comments::strip(&mut text).expect("comments are well formed");
    let settings: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    let groups = ["machine", "bounds"];
    let nested = groups.iter().flat_map(|group| {
        let fields = settings[*group].as_object().expect("a group");
        fields.keys()
    });
    let names = settings.as_object().expect("an object").keys();
    for name in names.chain(nested) {
        assert!(template.contains(&format!("\"{name}\":")), "{name}");
    }
}

/// Guards against a deployment that is admitted by rank without asking for it, or that asks in vain.
#[test]
fn admission_by_rank_is_off_unless_set() {
    let parse = |text: &str| EntrySettings::parse(text, "entry.jsonc").expect("valid settings");
    let order = |settings: &EntrySettings| settings.repeat_terms().order;
    let unset = parse(SETTINGS);
    assert!(!unset.admission.by_rank);
    assert_eq!(order(&unset), RepeatOrder::FirstCome);
    let port = "\"peer_port\": 8004";
    assert!(SETTINGS.contains(port));
    let set = format!("{port}, \"admission\": {{\"by_rank\": true}}");
    let set = parse(&SETTINGS.replace(port, &set));
    assert!(set.admission.by_rank);
    assert_eq!(order(&set), RepeatOrder::ByValue);
}
