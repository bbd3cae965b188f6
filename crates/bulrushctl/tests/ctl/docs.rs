//! Tests that the examples of `docs/OPERATIONS.md` work exactly as the page shows them.

use std::path::Path;

use bulrushtrestle_standin::log;
use serde_json::{Value, json};

use crate::command::bulrushctl_in;
use crate::fake::{self, Config};

/// The directory of the documentation.
const DOCS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs");

/// Writes the files that the examples name into a directory. `seed` replaces the seeds of the
/// experiment.
fn prepare(dir: &Path, seed: &str) {
    let write = |name: &str, content: &str| {
        std::fs::write(dir.join(name), content).expect("the directory can be written");
    };
    write("operators.token", "secret");
    write("lyceum.token", "secret");
    let read = |name: &str| {
        let file = format!("{DOCS}/examples/{name}");
        std::fs::read_to_string(file).expect("the example exists")
    };
    write("entries.json", &read("entries.json"));
    let mut experiment: Value =
        serde_json::from_str(&read("experiment.json")).expect("the example is JSON");
    experiment["seeds"] = json!([seed]);
    write("experiment.json", &experiment.to_string());
}

#[tokio::test]
async fn every_command_of_the_page_succeeds_in_order() {
    let log = log::spawn(log::Config::default())
        .await
        .expect("loopback has free ports");
    let fact = json!({ "finished": true, "taken_back": null });
    let step = json!({ "pool": "drafts", "from": "v1", "to": "v2", "share": 1_000, "fact": fact });
    let status = vec![json!({ "router": 1, "moves": [step] })];
    let router = fake::spawn(Config {
        status,
        ..Config::default()
    })
    .await;
    let dir = std::env::temp_dir().join(format!("bulrushctl-docs-{}", uuid::Uuid::now_v7()));
    std::fs::create_dir(&dir).expect("the temporary directory can be written");
    prepare(&dir, &router.address.to_string());
    let page = std::fs::read_to_string(format!("{DOCS}/OPERATIONS.md")).expect("the page exists");
    let commands = page
        .lines()
        .filter_map(|line| line.strip_prefix("    bulrushctl "));
    // Lines of output on the page begin with `bulrushctl: `, so they do not match the prefix.
    let commands: Vec<&str> = commands.collect();
    assert!(commands.len() >= 20, "{commands:?}");
    for command in commands {
        let args: Vec<&str> = command.split(' ').collect();
        let variables = [
            ("BULRUSHCTL_LOG", log.url()),
            ("BULRUSHCTL_ROUTER", router.address.to_string()),
        ];
        let ran = bulrushctl_in(&dir, &variables, &args).await;
        assert_eq!(ran.code, 0, "{command}: {ran:?}");
        assert_ne!(ran.stdout, "unchanged\n", "{command}");
    }
    std::fs::remove_dir_all(&dir).expect("the directory exists");
}
