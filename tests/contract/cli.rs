//! Exit codes and output of `cassialock`, and `cassialockd --check`, as processes.

use std::process::Command;
use std::time::Duration;

use cassialock::load::deploy::Deployment;
use cassialock::load::deploy::DeploymentSpec;

struct Output {
    code: i32,
    stdout: String,
    stderr: String,
}

fn run(node: &str, args: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_cassialock"))
        .args(["--node", node])
        .args(args)
        .output()
        .unwrap();
    Output {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

fn write_file(name: &str, content: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path.to_string_lossy().into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_return_their_exit_codes() {
    let spec = DeploymentSpec::labels().with_engines(1).with_nodes(2);
    let deployment = Deployment::start(spec).await.unwrap();
    let node = deployment.entries().join(",");
    let good = write_file(
        "good.json",
        r#"{"workspaces": {"extra": {"weight": 2, "tokens_per_s": 9}}}"#,
    );
    let bad = write_file(
        "bad.json",
        r#"{"workspaces": {"extra": {"weight": 0, "tokens_per_s": 9}}}"#,
    );
    let not_json = write_file("plain.json", "weight: 2");
    let cases: [(&[&str], i32, &str); 15] = [
        (
            &["config", "patch", "--base", "2", "--wait", &good],
            0,
            "number 3 is in force at 2 nodes",
        ),
        (
            &["config", "patch", "--base", "2", &good],
            0,
            "was accepted before as number 3",
        ),
        (
            &["config", "patch", "--base", "2", "--id", "x", &good],
            5,
            "use --base 3",
        ),
        (
            &["config", "patch", "--base", "3", &bad],
            4,
            "workspaces.extra.weight: must be at least 1",
        ),
        (
            &["config", "patch", "--base", "3", &not_json],
            2,
            "expected value",
        ),
        (&["config", "patch", &good], 2, "--base: must be given"),
        (
            &["config", "patch", "--base", "3", "no-such-file"],
            1,
            "no-such-file",
        ),
        (&["config", "get"], 0, "number 3"),
        (&["config", "history"], 0, "/workspaces/extra/weight"),
        (&["entries", "printers"], 0, "FAILURE DOMAIN"),
        (&["status"], 0, "cassia-pool-0"),
        (&["move", "wait", "none"], 2, "no such move"),
        (
            &[
                "move",
                "start",
                "m",
                "--service",
                "none",
                "--to",
                "v2",
                "--within-s",
                "5",
                "--base",
                "3",
            ],
            2,
            "no service named none",
        ),
        (
            &[
                "move",
                "start",
                "m",
                "--service",
                "cassia-pool",
                "--to",
                "v2",
                "--within-s",
                "2",
                "--base",
                "3",
            ],
            0,
            "number 4",
        ),
        (&["move", "wait", "m"], 3, "too few to judge"),
    ];
    for (args, code, text) in cases {
        let output = run(&node, args);
        let output_text = format!("{}{}", output.stdout, output.stderr);
        assert_eq!(output.code, code, "{args:?}: {output_text}");
        assert!(output_text.contains(text), "{args:?}: {output_text}");
    }
    let json = run(&node, &["--json", "status"]);
    let value: serde_json::Value = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!(value["number"], 4);
    assert_eq!(run("127.0.0.1:1", &["status"]).code, 6);
    tokio::time::sleep(Duration::ZERO).await;
}

#[test]
fn check_flag_validates_daemon_settings() {
    let check = |listen: &str| {
        let output = Command::new(env!("CARGO_BIN_EXE_cassialockd"))
            .args([
                "--check",
                "--id",
                "n",
                "--domain",
                "d",
                "--peer-listen",
                "127.0.0.1:0",
            ])
            .args(["--platform", "127.0.0.1:1", "--listen", listen])
            .output()
            .unwrap();
        (
            output.status.code().unwrap(),
            String::from_utf8(output.stderr).unwrap(),
        )
    };
    assert_eq!(check("127.0.0.1:0"), (0, String::new()));
    let (code, text) = check("here");
    assert_eq!(code, 2);
    assert!(text.contains("--listen: expected an IP number and port"));
}

/// Guards against a limit of hedged requests that is ignored, or whose fault is not named,
/// in one of the modes of the daemon.
#[test]
fn the_limit_of_hedged_requests_is_checked_in_both_modes() {
    let file = write_file(
        "hedging.toml",
        "node = \"n\"\nip = \"127.0.0.1\"\nzone = \"a\"\nport_range = [7600, 7615]\n\
         [platform]\naddress = \"127.0.0.1:1\"\n",
    );
    let check = |has_file: bool, flag: Option<&str>, variable: Option<&str>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cassialockd"));
        command.arg("--check");
        if has_file {
            command.env("CASSIALOCK_CONFIG", &file);
        } else {
            command.args(["--id", "n", "--domain", "d", "--listen", "127.0.0.1:0"]);
            command.args(["--peer-listen", "127.0.0.1:0", "--platform", "127.0.0.1:1"]);
        }
        if let Some(flag) = flag {
            command.args(["--hedge-extra-work", flag]);
        }
        if let Some(variable) = variable {
            command.env("CASSIALOCK_HEDGE_EXTRA_WORK", variable);
        }
        let output = command.output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        (output.status.code().unwrap(), text)
    };
    for has_file in [false, true] {
        for valid in [(None, None), (Some("5"), Some("90")), (None, Some("0.5"))] {
            assert_eq!(check(has_file, valid.0, valid.1), (0, String::new()));
        }
        let (code, text) = check(has_file, Some("21"), Some("5"));
        assert_eq!(code, 2);
        assert!(text.contains("--hedge-extra-work: expected a percentage"));
        let (code, text) = check(has_file, None, Some("-1"));
        assert_eq!(code, 2);
        assert!(text.contains("CASSIALOCK_HEDGE_EXTRA_WORK (environment"));
    }
}
