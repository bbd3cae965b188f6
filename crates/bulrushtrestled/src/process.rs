//! Starts the threads and listeners of the process, and carries out a planned stop.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bulrushtrestle_core::attempt::PaidBy;
use bulrushtrestle_core::cost::Cost;
use bulrushtrestle_core::key::{Incarnation, RouterId};
use bulrushtrestle_core::node::{CatalogueSource, Config, Node};
use bulrushtrestle_core::{duty, quarantine, slots, usage};
use bulrushtrestle_platform::operator;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{Instant, sleep, sleep_until};

use crate::clock::Clock;
use crate::control::{self, AttemptNames, Control, ControlContext};
use crate::logging::EventLog;
use crate::metrics::{Metrics, Stage};
use crate::operators;
use crate::settings::{self, Platform, Settings};
use crate::traffic::{self, Traffic};

/// The time after the deadline of a planned stop at which the process ends unconditionally.
const STOP_MARGIN: Duration = Duration::from_secs(2);

/// The interval at which a draining process checks for open requests and connections.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The largest number of peers for which the routers on a hosting platform form a full mesh. It
/// covers the users' small fleets, including all their spare VMs.
const HOSTED_MESH_MAX: usize = 15;

/// The percentage of the fleet's retry budget that is used. The rest covers requests that were
/// counted by a router that has died.
const RETRY_BUDGET_PERCENT: u32 = 75;

/// The percentage of a new version's permitted traffic that may be used before the version has
/// proved good. The rest is reserved for the later stages.
const UNPROVEN_PERCENT: u32 = 80;

/// The age of the target list at which dispatch stops, as a percentage of the time within which a
/// leaving target must stop receiving requests. The rest covers the transfer of a request to its
/// target.
const TARGETS_STALE_PERCENT: u32 = 66;

/// The age of the target list as known from peers at which a router reads the targets' records itself,
/// as a percentage of the time within which a leaving target must stop receiving requests. The read
/// ends before dispatch would stop.
const FED_TARGETS_PERCENT: u32 = 45;

/// The reasons for which the process cannot start or must end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A listener cannot be opened.
    #[error("cannot listen for {who} at {address}: {source}")]
    Listen {
        /// The clients that the listener is for.
        who: &'static str,
        /// The address to listen at.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread or a signal handler cannot be set up.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// The control thread has ended.
    #[error("the control thread has ended unexpectedly")]
    ControlEnded,
}

/// The listeners of the process.
#[derive(Debug)]
struct Listeners {
    callers: TcpListener,
    peers: std::net::TcpListener,
    operators: TcpListener,
    /// The listeners for readiness checks and for router look-ups, on a hosting platform.
    directory: Vec<TcpListener>,
}

/// Runs a router until a signal asks it to stop.
///
/// # Errors
///
/// Fails if a listener or thread cannot be started, or if the control thread ends.
pub(crate) fn run(settings: Settings) -> Result<(), Error> {
    let traffic = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let outcome = traffic.block_on(run_traffic(settings));
    traffic.shutdown_background();
    outcome
}

async fn run_traffic(settings: Settings) -> Result<(), Error> {
    let listeners = Listeners::open(&settings).await?;
    let callers_address = listeners.callers.local_addr()?;
    let settings = Arc::new(settings);
    let metrics = Arc::new(Metrics::new());
    let clock = Clock::start();
    // The incarnation must be greater than that of every earlier run of the same router.
    let incarnation = Incarnation(clock.now().0);
    EventLog::new().line("listening", &listeners.describe()?);

    let (handle, receivers) = control::channels(settings.callers.handover_max);
    let names = AttemptNames::new(settings.router, incarnation);
    let (stopped, mut has_stopped) = watch::channel(false);
    let (ended, control_ended) = oneshot::channel::<()>();
    let control = ControlThread {
        settings: Arc::clone(&settings),
        metrics: Arc::clone(&metrics),
        clock,
        config: node_config(&settings, incarnation, callers_address),
        listener: listeners.peers,
        names: names.clone(),
        stopped,
        receivers,
    };
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            // Dropped when the thread ends, also by a panic, which completes `control_ended`.
            let _ended = ended;
            control.run()
        })?;

    let (drain, draining) = watch::channel(false);
    let traffic = Arc::new(Traffic::new(
        Arc::clone(&settings),
        handle.clone(),
        Arc::clone(&metrics),
        clock,
        names,
    ));
    match settings.platform.clone() {
        Platform::Services(_) => {
            let serve = traffic::serve(listeners.callers, Arc::clone(&traffic), draining);
            tokio::spawn(serve);
        }
        Platform::Hosting(cfg) => {
            let serve = traffic::serve_hosted(listeners.callers, Arc::clone(&traffic), draining);
            tokio::spawn(serve);
            for listener in listeners.directory {
                let serve = traffic::serve_directory(listener, Arc::clone(&traffic), cfg.clone());
                tokio::spawn(serve);
            }
        }
    }
    tokio::spawn(operators::serve(
        listeners.operators,
        operators::App::new(&settings.operators, handle.clone(), Arc::clone(&metrics)),
    ));
    let reloads = tokio::spawn(check_on_hangup(settings.file.clone()));
    let _reloads = AbortOnDrop(reloads);
    tokio::select! {
        _ = control_ended => Err(Error::ControlEnded),
        signalled = wait_for_signal() => {
            signalled?;
            handle.stop();
            stop(&settings, &metrics, &mut has_stopped, &drain).await;
            Ok(())
        }
    }
}

/// Waits until the node has finished, then drains the callers' connections until the last answer
/// has been sent. Returns at the latest when the deadline and [`STOP_MARGIN`] have passed.
async fn stop(
    settings: &Settings,
    metrics: &Metrics,
    has_stopped: &mut watch::Receiver<bool>,
    drain: &watch::Sender<bool>,
) {
    let end = Instant::now() + settings.stop_timeout + STOP_MARGIN;
    let finished = async {
        // An error means that the control thread has ended, which `run_traffic` handles.
        drop(has_stopped.wait_for(|stopped| *stopped).await);
        drain.send_replace(true);
        while metrics.requests.get() > 0 || metrics.connections.get() > 0 {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        () = finished => {}
        () = sleep_until(end) => {}
    }
}

/// Aborts a task when dropped.
struct AbortOnDrop(JoinHandle<io::Result<()>>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Validates the settings file at each SIGHUP, and logs whether the settings can be used. New
/// settings take effect at the next start, because addresses and limits are read only once.
async fn check_on_hangup(file: PathBuf) -> io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    while hangups.recv().await.is_some() {
        match Settings::load(&file) {
            Ok(_) => EventLog::new().line("reload", "settings=valid applies=next_start"),
            Err(error) => {
                log::warn!(target: "reload", "settings=refused applies=never error={error}");
            }
        }
    }
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Returns the configuration of the node. `callers` is the address of the callers' listener.
fn node_config(settings: &Settings, incarnation: Incarnation, callers: SocketAddr) -> Config {
    let mut config = Config::new(RouterId(settings.router), incarnation);
    config.data_centre.clone_from(&settings.data_centre);
    config.caller_address = settings.callers.advertise.unwrap_or(callers).to_string();
    config.requests_max = settings.callers.requests_max;
    config.address.valid = settings.callers.addresses_valid;
    config.balance = settings.balance.clone();
    match &settings.platform {
        Platform::Services(services) => config.log.retention = services.log_retention,
        Platform::Hosting(hosting) => configure_hosting(&mut config, hosting),
    }
    config
}

/// Adjusts the configuration of a node on a hosting platform, which keeps the catalogue in its
/// store.
fn configure_hosting(config: &mut Config, hosting: &settings::Hosting) {
    config.log.source = CatalogueSource::Store;
    config.feed.is_versioned = operator::is_versioned;
    config.log.targets_stale_after = hosting.leave_within * TARGETS_STALE_PERCENT / 100;
    config.feed.targets = hosting.leave_within * FED_TARGETS_PERCENT / 100;
    config.slots.policy = slots::Policy::Local;
    config.quarantine.evidence = quarantine::Evidence::Answers;
    config.membership.mesh_max = HOSTED_MESH_MAX;
    config.membership.capacity = hosting.capacity;
    config.attempt.paid_by = PaidBy::Pool;
    config.attempt.retry_millis_per_request = percent(hosting.retry_millis, RETRY_BUDGET_PERCENT);
    config.attempt.retry_millis_per_second = 0;
    config.attempt.fleet_burst = Some(percent(hosting.retry_burst, RETRY_BUDGET_PERCENT));
    // The platform charges one unit for a prompt token and two for a generated token.
    config.share.prompt_token = Cost(Cost::TOKEN.0 / 2);
    config.share.full_replication_max = HOSTED_MESH_MAX + 1;
    config.version.margin = hosting.move_margin;
    let exposure = hosting.move_exposure;
    // Without any share there would never be evidence; the permitted slack covers the smallest.
    let least_share = u32::from(exposure.slack > 0);
    let unproven = percent(exposure.share, UNPROVEN_PERCENT).max(least_share);
    config.version.share_max = hosting.move_share_max.min(unproven);
    config.version.exposure = exposure;
    if let Some(duty) = &hosting.duty {
        configure_duty(config, duty);
    }
}

/// Adds the duties that this router knows. Without any there is nothing to hold a lease for.
fn configure_duty(config: &mut Config, settings: &settings::Duty) {
    for name in &settings.unknown {
        log::warn!(target: "duty", "unknown duty left alone name={name:?}");
    }
    if !settings.usage_report && !settings.autoscale {
        log::warn!(target: "duty", "no known duty; this router calls no endpoint");
        return;
    }
    config.duty = Some(duty::Config {
        node: settings.node.clone(),
        term: settings.lease * 2,
        call_timeout: settings.call_timeout(),
        calls_per_s: settings.calls_per_s,
        ..duty::Config::default()
    });
    config.usage = Some(usage::Config {
        window: settings.usage_window,
        late: settings.usage_late,
        reports: settings.usage_report,
        scaling: settings.autoscale,
        ..usage::Config::default()
    });
}

/// Returns a percentage of a number, rounded down.
const fn percent(number: u32, percent: u32) -> u32 {
    // Divided first where the product could overflow.
    match number.checked_mul(percent) {
        Some(product) => product / 100,
        None => number / 100 * percent,
    }
}

impl Listeners {
    /// Opens all listeners.
    async fn open(settings: &Settings) -> Result<Self, Error> {
        let mut directory = Vec::new();
        if let Platform::Hosting(cfg) = &settings.platform {
            directory.push(listen("readiness", cfg.ready).await?);
            if let Some(address) = cfg.directory {
                directory.push(listen("directory", address).await?);
            }
        }
        let peers = listen("peers", settings.peers.listen).await?;
        Ok(Self {
            callers: listen("callers", settings.callers.listen).await?,
            // The control thread registers the peers' listener with its own runtime.
            peers: peers.into_std()?,
            operators: listen("operators", settings.operators.listen).await?,
            directory,
        })
    }

    /// Returns the addresses of the listeners as fields of a log line.
    fn describe(&self) -> io::Result<String> {
        Ok(format!(
            "callers={} peers={} operators={}",
            self.callers.local_addr()?,
            self.peers.local_addr()?,
            self.operators.local_addr()?,
        ))
    }
}

async fn listen(who: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen {
            who,
            address,
            source,
        })
}

/// The state with which the control thread starts.
struct ControlThread {
    settings: Arc<Settings>,
    metrics: Arc<Metrics>,
    clock: Clock,
    config: Config,
    listener: std::net::TcpListener,
    names: AttemptNames,
    stopped: watch::Sender<bool>,
    receivers: control::Receivers,
}

impl ControlThread {
    /// Runs the control thread until the traffic threads have ended. If the thread fails to start,
    /// it ends, which `run_traffic` detects.
    fn run(self) -> io::Result<()> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let seed = rand::rng().next_u64();
        let busy = self.metrics.busy.clone();
        let tasks = LocalSet::new();
        let run = tasks.run_until(async move {
            let listener = TcpListener::from_std(self.listener)?;
            let node = Node::new(self.config, self.clock.now(), seed);
            let context = ControlContext {
                listener,
                names: self.names,
                stopped: self.stopped,
                limits: self.receivers.limits(),
                backlog: self.receivers.backlog(),
                withdrawn: self.receivers.withdrawn(),
            };
            let control = Control::start(node, &self.settings, self.clock, &self.metrics, context);
            control.run(self.receivers).await;
            Ok(())
        });
        runtime.block_on(busy.run(Stage::ControlTasks, run))
    }
}
