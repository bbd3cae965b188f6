//! Every decision of a bulrushtrestle router, as one deterministic state machine.
//!
//! A fleet of routers shares the capacity of model engines and plain services fairly between
//! organisations. This crate decides which request is served next and by which target, what a
//! refusal says, which routers are live, and which router is responsible for a task. It has no
//! clock, no socket, no thread and no global state. Events go in as [`Input`](input::Input),
//! effects come out as [`Output`](output::Output), and the time is passed in with each event. The
//! same settings, seed and events therefore give the same effects on every run and in any process.
//! Hundreds of nodes fit into one process.
//!
//! # Driving a node
//!
//! An embedding keeps one [`Node`](node::Node) for each router, passes events to it, and carries
//! out the effects in their order. The daemon does so over sockets, the tests in simulated time.
//!
//! ```
//! use bulrushtrestle_core::input::{Input, LogEvent};
//! use bulrushtrestle_core::node::{Config, Node};
//! use bulrushtrestle_core::output::Output;
//! use bulrushtrestle_core::prelude::*;
//!
//! let now = Time::from_millis(1_800_000_000_000);
//! let mut node = Node::new(Config::new(RouterId(1), Incarnation(1)), now, 42);
//! let mut out = Vec::new();
//!
//! // Before it has read the log, a router refuses requests and states that they did not run.
//! let req = Request {
//!     id: RequestId(1),
//!     organisation: OrganisationId(7),
//!     pool: PoolId(3),
//!     class: None,
//!     repeat: Repeat::Allowed,
//!     deadline: None,
//!     prompt_tokens: 12,
//!     hint_tokens: None,
//!     fingerprint: Fingerprint(99),
//!     prefix: None,
//!     details: RequestDetails::default(),
//! };
//! node.handle(now, Input::Request(req.clone()), &mut out);
//! let refused = |out: &[Output]| {
//!     out.iter().find_map(|output| match output {
//!         Output::Refuse(_, refusal) => Some((refusal.verdict, refusal.reason)),
//!         _ => None,
//!     })
//! };
//! assert_eq!(refused(&out), Some((Verdict::NotRun, Reason::NotCurrent)));
//!
//! // After reading an empty log, the router is current and the organisation is unknown.
//! out.clear();
//! let (records, tail, first) = (Vec::new(), Offset(0), Offset(0));
//! node.handle(now, Input::Log(LogEvent::Read { records, tail, first }), &mut out);
//! node.handle(now, Input::Request(req), &mut out);
//! assert_eq!(refused(&out), Some((Verdict::NotRun, Reason::Unauthorised)));
//! ```
//!
//! # Components
//!
//! Each component is a module with its state, its messages and its tests. Its documentation states
//! its invariant:
//!
//! - [`catalogue`], [`lease`], [`membership`], [`address`]: the configuration, which router holds a
//!   task, which routers are live, and which router addresses callers should use.
//! - [`share`], [`queue`], [`slots`]: the fair order of organisations, the waiting requests, and
//!   which router may use which slots of a target.
//! - [`duty`]: calls of the platform that one router at a time makes for the fleet.
//! - [`target`], [`route`], [`version`]: the capacity of each target, the choice of a target, and
//!   the moves of traffic between versions.
//! - [`balance`], [`speed`], [`cold_start`], [`pace`], [`limit`], [`relay`], [`feed`]: fair order and
//!   choice of targets where routers decide on their own and no owner grants slots, how their figures travel in a large
//!   fleet, and how the records of a store do.
//! - [`usage`], [`autoscale`]: how many requests of each organisation began, and how many targets a
//!   pool needs, for the one router that reports it to the platform.
//! - [`attempt`], [`once`], [`quarantine`]: the retries of one request, requests that run at most
//!   once, and requests that crash targets.
//!
//! [`node`] passes each event through the components. [`message`] holds the messages between
//! routers, [`record`] the records on the platform's log. The pages in `docs/` give the reasons:
//! start with `docs/DESIGN.md` and `docs/PROMISES.md`.
//!
//! # Costs
//!
//! At the design size (22,000 organisations, 5,200 targets, 430 routers) a node needs about 28 MB
//! of memory and, when idle, less than one hundredth of a core. `docs/CAPACITY.md` shows how both
//! grow with the size.

pub mod address;
mod ascending;
pub mod attempt;
pub mod autoscale;
pub mod balance;
pub mod catalogue;
pub mod cold_start;
pub mod context;
pub mod cost;
pub mod counter;
pub mod duty;
pub mod feed;
pub mod input;
pub mod key;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod message;
pub mod node;
pub mod once;
pub mod output;
pub mod pace;
pub mod poison;
pub mod prelude;
pub mod quarantine;
pub mod queue;
pub mod record;
pub mod relay;
pub mod request;
pub mod route;
pub mod share;
pub mod slots;
pub mod speed;
pub mod target;
pub mod time;
pub mod usage;
pub mod verdict;
pub mod version;
