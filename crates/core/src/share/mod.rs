//! Share: how much service each organisation has received, and whose turn it is.

pub mod message;
mod state;

pub use self::state::Ledger;
