//! An error in the settings names the file, the field, the expected value and, where known, the
//! line.

use damaskloom_gateway::settings::GatewaySettings;

fn error_of(text: &str) -> String {
    GatewaySettings::parse(text, "gateway.json")
        .expect_err("the settings are invalid")
        .to_string()
}

const HEAD: &str = r#"{
  // One VM of the fleet.
  "vm": "vm-1", "data_centre": "khatgal",
  "caller_listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:2", "peer_listen": "127.0.0.1:3""#;

#[test]
fn test_errors_name_the_place_and_the_expected_value() {
    let cases = [
        format!("{HEAD}, \"thread\": 2}}"),
        format!("{HEAD}, \"threads\": 0, \"config\": {{\"revision\": 1}}}}"),
        format!("{HEAD}, \"threads\": \"two\"}}"),
        format!("{HEAD}}}"),
        format!("{HEAD}, \"platform\": \"127.0.0.1:9\", \"peer_secret\": \"short\"}}"),
        HEAD.replace("vm-1", "vm 1"),
        format!(
            "{HEAD}, \"config\": {{\"revision\": 1, \"customers\": [{{\"id\": \"a\", \"rate\": \"5\", \"burst\": 1}}]}}}}"
        ),
    ];
    let errors: Vec<String> = cases.iter().map(|case| error_of(case)).collect();
    insta::assert_snapshot!(errors.join("\n"), @r#"
    gateway.json:4: field `thread`: unknown field `thread`, expected one of `vm`, `data_centre`, `caller_listen`, `admin_listen`, `peer_listen`, `platform`, `peer_secret`, `key_headers`, `key_query_parameters`, `key_cookies`, `directory_lifetime_ms`, `head_timeout_ms`, `max_head_bytes`, `max_connections`, `threads`, `config`
    gateway.json: field `threads`: expected 1 to 64
    gateway.json:4: field `threads`: invalid type: string "two", expected usize
    gateway.json: field `config`: expected a configuration, or `platform`
    gateway.json: field `peer_secret`: expected at least 16 bytes when `platform` is set
    gateway.json:3: field `vm`: byte 2 of the identifier is not one of a-z A-Z 0-9 . _ : -
    gateway.json:4: field `config.customers[0].rate`: "5" must end with "/s"
    "#);
}
