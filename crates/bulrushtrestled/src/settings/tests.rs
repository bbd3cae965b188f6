//! Every kind of invalid settings is refused, and the error names the file, the key and the allowed
//! values.

mod template;

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use assert_matches::assert_matches;
use serde_json::{Value, json};

use crate::settings::{Platform, Settings};

/// A change to valid settings that makes them invalid.
struct Case {
    name: &'static str,
    /// The JSON pointer of the changed value.
    at: &'static str,
    /// The new value; `None` removes the key.
    value: Option<Value>,
    /// Texts that the error must contain.
    says: &'static [&'static str],
}

fn cases() -> Vec<Case> {
    let case = |name, at, value, says| Case {
        name,
        at,
        value,
        says,
    };
    vec![
        case(
            "unknown key",
            "/colour",
            Some(json!(1)),
            &["key colour", "unknown", "data_centre"],
        ),
        case(
            "unknown key inside",
            "/callers/colour",
            Some(json!(1)),
            &["key callers.colour", "listen"],
        ),
        case(
            "missing number",
            "/router",
            None,
            &["key router", "missing", "from 1 to 4294967295"],
        ),
        case(
            "missing section",
            "/peers",
            None,
            &["key peers", "missing", "an object"],
        ),
        case(
            "missing address",
            "/callers/listen",
            None,
            &["key callers.listen", "missing"],
        ),
        case(
            "missing key of the fleet",
            "/peers/fleet_key",
            None,
            &["key peers.fleet_key", "64"],
        ),
        case(
            "missing tokens",
            "/operators/tokens_sha256",
            None,
            &["key operators.tokens_sha256"],
        ),
        case(
            "text for a number",
            "/router",
            Some(json!("1")),
            &["key router", "from 1 to"],
        ),
        case(
            "number for a text",
            "/data_centre",
            Some(json!(1)),
            &["key data_centre", "1 to 64 bytes"],
        ),
        case(
            "list for a section",
            "/callers",
            Some(json!([])),
            &["key callers", "an object"],
        ),
        case(
            "null",
            "/router",
            Some(Value::Null),
            &["key router", "null"],
        ),
        case(
            "fraction",
            "/traffic_threads",
            Some(json!(1.5)),
            &["key traffic_threads", "1.5", "from 1 to 256"],
        ),
        case(
            "negative",
            "/traffic_threads",
            Some(json!(-1)),
            &["key traffic_threads", "-1"],
        ),
        case(
            "too small",
            "/stop_timeout_ms",
            Some(json!(999)),
            &["999", "from 1000 to 3600000"],
        ),
        case(
            "too large",
            "/stop_timeout_ms",
            Some(json!(3_600_001)),
            &["from 1000 to 3600000"],
        ),
        case(
            "too large inside",
            "/targets/gap_timeout_ms",
            Some(json!(600_001)),
            &["key targets.gap_timeout_ms", "from 100 to 600000"],
        ),
        case(
            "stop shorter than addresses hold",
            "/stop_timeout_ms",
            Some(json!(29_999)),
            &[
                "key stop_timeout_ms",
                "30000 or more",
                "callers.addresses_valid_ms",
            ],
        ),
        case(
            "empty text",
            "/data_centre",
            Some(json!("")),
            &["key data_centre", "1 to 64 bytes"],
        ),
        case(
            "name for an address",
            "/platform/log",
            Some(json!("localhost:1")),
            &["key platform.log", "an IP number and a port"],
        ),
        case(
            "address without port",
            "/platform/vms",
            Some(json!("127.0.0.1")),
            &["key platform.vms"],
        ),
        case(
            "port too large",
            "/platform/vms",
            Some(json!("127.0.0.1:65536")),
            &["key platform.vms"],
        ),
        case(
            "number for an address",
            "/platform/weights",
            Some(json!(1)),
            &["key platform.weights"],
        ),
        case(
            "short key of the fleet",
            "/peers/fleet_key",
            Some(json!("0707")),
            &["key peers.fleet_key", "64 or more"],
        ),
        case(
            "no hexadecimal digits",
            "/peers/fleet_key",
            Some(json!("x".repeat(64))),
            &["key peers.fleet_key"],
        ),
        case(
            "odd digits",
            "/peers/fleet_key",
            Some(json!("0".repeat(65))),
            &["key peers.fleet_key"],
        ),
        case(
            "two keys of the fleet",
            "/peers/fleet_key_file",
            Some(json!("/dev/null")),
            &["key peers.fleet_key", "both are set"],
        ),
        case(
            "unreadable secret",
            "/platform/token_file",
            Some(json!("/nonexistent/token")),
            &["key platform.token_file", "/nonexistent/token"],
        ),
        case(
            "empty secret",
            "/platform/token_file",
            Some(json!("/dev/null")),
            &["key platform.token", "1 to 4096 bytes"],
        ),
        case(
            "number for a secret",
            "/platform/token",
            Some(json!(5)),
            &["key platform.token"],
        ),
        case(
            "no tokens",
            "/operators/tokens_sha256",
            Some(json!([])),
            &["a list of 0", "1 to 64 sums"],
        ),
        case(
            "short sum",
            "/operators/tokens_sha256/0",
            Some(json!("00")),
            &["64 hexadecimal digits"],
        ),
        case(
            "number for a sum",
            "/operators/tokens_sha256/0",
            Some(json!(0)),
            &["64 hexadecimal digits"],
        ),
    ]
}

#[test]
fn bad_settings_are_refused_by_name_and_range() {
    for case in cases() {
        let file = TempFile::new(&changed(case.at, case.value).to_string());
        let error = Settings::load(&file.0).expect_err(case.name).to_string();
        let path = file.0.display().to_string();
        for part in case.says.iter().copied().chain([path.as_str()]) {
            assert!(
                error.contains(part),
                "{}: {error:?} lacks {part:?}",
                case.name
            );
        }
        assert!(!error.contains("secret-value"), "{}: {error}", case.name);
    }
}

#[test]
fn files_that_are_no_settings_are_refused_by_name() {
    let cases = [
        ("empty", String::new(), "not JSON"),
        ("cut off", "{\"router\":".to_owned(), "not JSON"),
        ("a list", "[]".to_owned(), "one JSON object"),
        ("huge", " ".repeat(1024 * 1024 + 1), "larger than"),
        (
            "twice",
            "{\"router\":1,\"router\":2}".to_owned(),
            "data_centre",
        ),
    ];
    for (name, text, says) in cases {
        let file = TempFile::new(&text);
        let error = Settings::load(&file.0).expect_err(name).to_string();
        assert!(error.contains(says), "{name}: {error}");
        assert!(
            error.contains(&file.0.display().to_string()),
            "{name}: {error}"
        );
    }
    let error = Settings::load(Path::new("/nonexistent")).expect_err("nothing to read");
    assert!(
        error
            .to_string()
            .starts_with("/nonexistent: cannot be read")
    );
}

#[test]
fn good_settings_keep_what_they_say_and_default_the_rest() {
    let file = TempFile::new(&good().to_string());
    let settings = Settings::load(&file.0).expect("the settings are good");
    assert_eq!(settings.router, 7);
    assert_eq!(settings.data_centre, "a");
    assert_eq!(settings.traffic_threads, 2);
    assert_eq!(settings.stop_timeout, Duration::from_secs(60));
    assert_eq!(settings.targets.gap_timeout, Duration::from_secs(5));
    assert_matches!(
        &settings.platform,
        Platform::Services(services) if services.token.as_deref() == Some("secret-value")
    );
}

fn good() -> Value {
    json!({
        "router": 7,
        "data_centre": "a",
        "callers": { "listen": "127.0.0.1:8001" },
        "peers": { "listen": "127.0.0.1:8002", "fleet_key": "07".repeat(32) },
        "operators": { "listen": "127.0.0.1:8003", "tokens_sha256": ["00".repeat(32)] },
        "platform": { "log": "127.0.0.1:9001", "vms": "127.0.0.1:9002", "token": "secret-value" },
    })
}

fn changed(at: &str, value: Option<Value>) -> Value {
    change(good(), at, value)
}

fn change(mut settings: Value, at: &str, value: Option<Value>) -> Value {
    let (parent, key) = at.rsplit_once('/').expect("a pointer begins with a slash");
    // Adds a section that is omitted by default, and removes the other of two exclusive secrets.
    if parent == "/targets" {
        settings["targets"] = json!({});
    }
    if key == "token_file" {
        settings["platform"]
            .as_object_mut()
            .expect("a section")
            .remove("token");
    }
    match (settings.pointer_mut(parent), value) {
        (Some(Value::Object(section)), Some(value)) => drop(section.insert(key.to_owned(), value)),
        (Some(Value::Object(section)), None) => drop(section.remove(key)),
        (Some(Value::Array(list)), Some(value)) => list[0] = value,
        _ => panic!("no value at {at}"),
    }
    settings
}

struct TempFile(PathBuf);

impl TempFile {
    fn new(text: &str) -> Self {
        let name = format!("bulrushtrestled-settings-{}.json", uuid::Uuid::now_v7());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).expect("the file is written");
        Self(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        // A file that could not be removed does not fail the test.
        let _ = fs::remove_file(&self.0);
    }
}

fn hosted() -> Value {
    json!({
        "router_ip": "10.1.0.33",
        "data_centre": "dc-a",
        "callers": {"listen": "10.1.0.33:8783"},
        "peers": {"listen": "10.1.0.33:7400"},
        "operators": {"listen": "10.1.0.33:7401", "metrics_open": true, "tokens_sha256": []},
        "hosting": {
            "store": "10.200.1.7:8781", "ready": "10.1.0.33:8780",
            "directory": "10.1.0.33:8789", "regions": {"dc-a": "north"},
            "retry_ratio": 0.2, "retry_burst": 54
        }
    })
}

#[test]
fn settings_on_a_hosting_platform_are_read_and_refused_by_name() {
    let file = TempFile::new(&hosted().to_string());
    let good = Settings::load(&file.0).expect("they are good");
    assert_eq!(good.router, 0x0a01_0021);
    assert_matches!(&good.platform, Platform::Hosting(hosting)
        if hosting.retry_millis == 200 && hosting.retry_burst == 54);
    let cases = [
        case_of(
            "no store",
            "/hosting/store",
            None,
            &["hosting.store", "missing"],
        ),
        case_of(
            "a store without a port",
            "/hosting/store",
            Some(json!("10.200.1.7")),
            &["hosting.store", "an IP number and a port"],
        ),
        case_of(
            "a ratio out of range",
            "/hosting/retry_ratio",
            Some(json!(1_000.5)),
            &["hosting.retry_ratio", "from 0 to 1000"],
        ),
        case_of(
            "an exposure out of range",
            "/hosting/move_exposure_share",
            Some(json!(1.5)),
            &["hosting.move_exposure_share", "from 0 to 1"],
        ),
        case_of(
            "regions of another type",
            "/hosting/regions",
            Some(json!(["dc-a"])),
            &["hosting.regions", "whose values are texts"],
        ),
        case_of(
            "a number that is no IP number",
            "/router_ip",
            Some(json!("router-1")),
            &["router_ip", "IP number of version 4"],
        ),
        case_of(
            "no tokens where metrics are closed",
            "/operators/metrics_open",
            Some(json!(false)),
            &["operators.tokens_sha256", "1 to 64"],
        ),
        case_of(
            "an unknown key",
            "/hosting/colour",
            Some(json!(1)),
            &["hosting.colour", "unknown"],
        ),
    ];
    for case in cases {
        let file = TempFile::new(&change(hosted(), case.at, case.value).to_string());
        let error = Settings::load(&file.0).expect_err(case.name).to_string();
        for says in case.says {
            assert!(error.contains(says), "{}: {error}", case.name);
        }
    }
}

const fn case_of(
    name: &'static str,
    at: &'static str,
    value: Option<Value>,
    says: &'static [&'static str],
) -> Case {
    Case {
        name,
        at,
        value,
        says,
    }
}
