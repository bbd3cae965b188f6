//! Every decision of a bulrushtrestle router, as one deterministic state machine.
//!
//! A router fleet shares the capacity of model engines and plain services fairly between organisations. This
//! crate decides who is served next, by which target, what a refusal says, who is alive and whose word
//! counts. It has no clock, no socket, no thread and no global state. What happened goes in as an
//! [`Input`](input::Input), what is to be done comes out as an [`Output`](output::Output), and time is handed
//! in with each event. The same settings, seed and events therefore give the same effects, on every run and
//! in any process; hundreds of nodes fit into one.
//!
//! # Driving a node
//!
//! An embedding keeps one [`Node`](node::Node) for each router, hands it events, and carries out the effects in
//! their order. The daemon does so over sockets, the tests in virtual time.
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
//! // A router that has not read the log yet takes no request, and says that this one did not run.
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
//!     terms: Terms::default(),
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
//! // Once it has read an empty log, it is current and knows that there is no such organisation.
//! out.clear();
//! let (records, tail, first) = (Vec::new(), Offset(0), Offset(0));
//! node.handle(now, Input::Log(LogEvent::Read { records, tail, first }), &mut out);
//! node.handle(now, Input::Request(req), &mut out);
//! assert_eq!(refused(&out), Some((Verdict::NotRun, Reason::Unauthorised)));
//! ```
//!
//! # The duties
//!
//! Each duty is a module with its state, its messages and its tests, and its doc states its invariant:
//!
//! - [`catalogue`], [`lease`], [`membership`], [`address`]: what is configured, who holds a task, who is alive, and
//!   where callers should go.
//! - [`share`], [`queue`], [`slots`]: whose turn it is, what waits, and who may use which part of a target.
//! - [`target`], [`route`], [`version`]: what a target can bear, which one is chosen, and how traffic moves between
//!   versions.
//! - [`balance`], [`cold_start`]: the same where routers choose for themselves and nobody hands out slots.
//! - [`attempt`], [`once`], [`quarantine`]: what becomes of one request, also if it may run only once or crashes
//!   what runs it.
//!
//! [`node`] leads each event through them. [`message`] is what routers tell each other, [`record`] what they keep on
//! the platform's log. The pages in `docs/` say why: start with `docs/DESIGN.md` and `docs/PROMISES.md`.
//!
//! # Costs
//!
//! A node at the size to design for (22,000 organisations, 5,200 targets, 430 routers) needs about 28 MB, and less
//! than one part in a hundred of a core while nothing happens; `docs/CAPACITY.md` has the slopes.

pub mod address;
pub mod attempt;
pub mod balance;
pub mod catalogue;
pub mod cold_start;
pub mod context;
pub mod cost;
pub mod counter;
pub mod input;
pub mod key;
pub mod lease;
pub mod membership;
pub mod message;
pub mod node;
pub mod once;
pub mod output;
mod pass;
pub mod prelude;
pub mod quarantine;
pub mod queue;
pub mod record;
pub mod request;
pub mod route;
pub mod share;
pub mod slots;
pub mod target;
pub mod time;
pub mod verdict;
pub mod version;
