//! Reading of settings from flags and environment variables.

use cassialock::node::settings::SETTINGS;
use cassialock::node::settings::Settings;

const VALID_FLAGS: [(&str, &str); 5] = [
    ("id", "entry-0"),
    ("domain", "seoul-a"),
    ("listen", "127.0.0.1:0"),
    ("peer-listen", "127.0.0.1:0"),
    ("platform", "127.0.0.1:1"),
];

fn find(pairs: &[(&str, &str)], name: &str) -> Option<String> {
    let pair = pairs.iter().rev().find(|pair| pair.0 == name)?;
    Some(pair.1.to_string())
}

/// Reads settings from the valid flags, overridden by `flags`, and `variables`.
fn read(flags: &[(&str, &str)], variables: &[(&str, &str)]) -> Result<Settings, Vec<String>> {
    let flags: Vec<(&str, &str)> = VALID_FLAGS.iter().chain(flags).copied().collect();
    Settings::read(&|name| find(&flags, name), &|name| find(variables, name))
        .map_err(|errors| errors.iter().map(ToString::to_string).collect())
}

#[test]
fn flags_override_variables_and_variables_override_defaults() {
    let both = read(&[("drain-s", "7")], &[("CASSIALOCK_DRAIN_S", "9")]).unwrap();
    assert_eq!(both.drain.as_secs(), 7);
    let variable = read(&[], &[("CASSIALOCK_DRAIN_S", "9")]).unwrap();
    assert_eq!(variable.drain.as_secs(), 9);
    assert_eq!(read(&[], &[]).unwrap().drain.as_secs(), 25);
}

#[test]
fn every_fault_is_reported_with_its_source() {
    let errors = read(
        &[("listen", "localhost"), ("policy", "best")],
        &[
            ("CASSIALOCK_DRAIN_S", "0"),
            ("CASSIALOCK_SEEDS", "127.0.0.1"),
        ],
    );
    insta::assert_snapshot!(errors.unwrap_err().join("\n"), @r#"
    --listen: expected an IP number and port, got "localhost"
    CASSIALOCK_SEEDS (environment, for --seeds): expected an IP number and port, got "127.0.0.1"
    --policy: expected scored, round-robin, least-loaded or two-choices
    CASSIALOCK_DRAIN_S (environment, for --drain-s): expected seconds from 1 to 3600, got "0"
    "#);
}

#[test]
fn settings_without_a_default_are_required() {
    let errors = Settings::read(&|_| None, &|_| None).unwrap_err();
    let flags: Vec<&str> = errors.iter().map(|error| error.flag).collect();
    assert_eq!(flags, ["id", "domain", "listen", "peer-listen", "platform"]);
}

#[test]
fn every_setting_has_a_variable_and_a_help_line() {
    for setting in SETTINGS {
        let expected = setting.flag.to_uppercase().replace('-', "_");
        assert_eq!(setting.variable, format!("CASSIALOCK_{expected}"));
        assert!(!setting.help.is_empty());
    }
}
