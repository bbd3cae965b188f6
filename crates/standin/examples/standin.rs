//! Runs one stand-in as a process. It prints its address as one line and serves until it is ended.

use std::fmt::Display;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use bulrushtrestle_standin::{Handle, engine, log, plain, vms, weights};
use serde::de::DeserializeOwned;

/// Stand-ins for the platform and the targets.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    which: Which,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Which {
    Log(Log),
    Vms(Vms),
    Weights(Weights),
    Engine(Engine),
    Plain(Plain),
}

/// The log service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "log")]
struct Log {
    /// where it listens (127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// for how many milliseconds it keeps a record (without end)
    #[argh(option)]
    retention_ms: Option<u64>,
    /// how many appends it takes in a second (500)
    #[argh(option, default = "500")]
    appends_per_second: u32,
    /// the bearer token that it asks for (none)
    #[argh(option)]
    token: Option<String>,
    /// its faults as JSON, as for PUT /v1/faults
    #[argh(option)]
    faults: Option<String>,
}

/// The VM list; PUT /v1/vms replaces it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "vms")]
struct Vms {
    /// where it listens (127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// what it shows at first as JSON, as for PUT /v1/vms (nothing)
    #[argh(option)]
    vms: Option<String>,
    /// its faults as JSON, as for PUT /v1/faults
    #[argh(option)]
    faults: Option<String>,
}

/// The weight store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "weights")]
struct Weights {
    /// where it listens (127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// how many reads it allows in a minute (60)
    #[argh(option, default = "60")]
    reads_per_minute: usize,
    /// its faults as JSON, as for PUT /v1/faults
    #[argh(option)]
    faults: Option<String>,
}

/// A model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// where it listens (127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// the model that it holds; may be repeated (m)
    #[argh(option)]
    pool: Vec<String>,
    /// the version that it runs (v1)
    #[argh(option, default = "String::from(\"v1\")")]
    version: String,
    /// how many requests it runs at the same time (8)
    #[argh(option, default = "8")]
    slots: u32,
    /// how long one step takes in milliseconds (5)
    #[argh(option, default = "5")]
    token_ms: u64,
    /// how many prompt tokens it takes in within a millisecond (20)
    #[argh(option, default = "20")]
    prompt_tokens_per_ms: u64,
    /// how many tokens an answer has unless the request says otherwise (32)
    #[argh(option, default = "32")]
    tokens: u64,
    /// how many prefixes its cache holds (64)
    #[argh(option, default = "64")]
    cache_prefixes: usize,
    /// for how many milliseconds after a start it is cold (0)
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// how many requests it can bear at first when it is cold (1)
    #[argh(option, default = "1")]
    cold_slots: u32,
    /// for how many milliseconds it is down after it fell over (500)
    #[argh(option, default = "500")]
    restart_ms: u64,
    /// it takes orders whatever their fencing number
    #[argh(switch)]
    ignores_fence: bool,
    /// its faults as JSON, as for PUT /v1/faults
    #[argh(option)]
    faults: Option<String>,
}

/// A plain service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plain")]
struct Plain {
    /// where it listens (127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// the version that it runs (v1)
    #[argh(option, default = "String::from(\"v1\")")]
    version: String,
    /// how many calls it runs at the same time (4)
    #[argh(option, default = "4")]
    slots: u32,
    /// how long a call takes in milliseconds (20)
    #[argh(option, default = "20")]
    call_ms: u64,
    /// for how many milliseconds it is down after it crashed (500)
    #[argh(option, default = "500")]
    restart_ms: u64,
    /// its faults as JSON, as for PUT /v1/faults
    #[argh(option)]
    faults: Option<String>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let outcome = match argh::from_env::<Args>().which {
        Which::Log(args) => run_log(args).await,
        Which::Vms(args) => run_vms(args).await,
        Which::Weights(args) => run_weights(args).await,
        Which::Engine(args) => run_engine(args).await,
        Which::Plain(args) => run_plain(args).await,
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("standin: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Reads faults as `PUT /v1/faults` does.
fn parse<F: Default + DeserializeOwned>(faults: Option<&str>) -> Result<F, String> {
    parse_option("--faults", faults)
}

/// Reads the JSON text of an option, or takes the default.
fn parse_option<T>(option: &str, text: Option<&str>) -> Result<T, String>
where
    T: Default + DeserializeOwned,
{
    let Some(text) = text else {
        return Ok(T::default());
    };
    serde_json::from_str(text).map_err(|err| format!("{option}: {err}"))
}

async fn serve<F: Clone>(started: Result<Handle<F>, impl Display>) -> Result<(), String> {
    let handle = started.map_err(|err| format!("--listen: {err}"))?;
    println!("{}", handle.address());
    handle.wait().await;
    Ok(())
}

async fn run_log(args: Log) -> Result<(), String> {
    let cfg = log::Config {
        listen: args.listen,
        retention: args.retention_ms.map(Duration::from_millis),
        appends_per_second: args.appends_per_second,
        token: args.token,
        faults: parse(args.faults.as_deref())?,
    };
    serve(log::spawn(cfg).await).await
}

async fn run_vms(args: Vms) -> Result<(), String> {
    let cfg = vms::Config {
        listen: args.listen,
        vms: parse_option::<vms::List>("--vms", args.vms.as_deref())?.vms,
        faults: parse(args.faults.as_deref())?,
    };
    serve(vms::spawn(cfg).await).await
}

async fn run_weights(args: Weights) -> Result<(), String> {
    let cfg = weights::Config {
        listen: args.listen,
        reads_per_minute: args.reads_per_minute,
        faults: parse(args.faults.as_deref())?,
    };
    serve(weights::spawn(cfg).await).await
}

async fn run_engine(args: Engine) -> Result<(), String> {
    let default = engine::Config::default();
    let cfg = engine::Config {
        listen: args.listen,
        models: if args.pool.is_empty() {
            default.models
        } else {
            args.pool
        },
        version: args.version,
        slots: args.slots,
        token_ms: args.token_ms,
        prompt_tokens_per_ms: args.prompt_tokens_per_ms,
        tokens: args.tokens,
        cache_prefixes: args.cache_prefixes,
        cold_ms: args.cold_ms,
        cold_slots: args.cold_slots,
        restart_ms: args.restart_ms,
        checks_fence: !args.ignores_fence,
        faults: parse(args.faults.as_deref())?,
    };
    serve(engine::spawn(cfg).await).await
}

async fn run_plain(args: Plain) -> Result<(), String> {
    let cfg = plain::Config {
        listen: args.listen,
        version: args.version,
        slots: args.slots,
        call_ms: args.call_ms,
        restart_ms: args.restart_ms,
        faults: parse(args.faults.as_deref())?,
    };
    serve(plain::spawn(cfg).await).await
}
