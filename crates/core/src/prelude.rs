//! The types that nearly every component uses.

pub use core::time::Duration;

pub use crate::context::{Context, Urgency};
pub use crate::cost::Cost;
pub use crate::counter::Counter;
pub use crate::key::{
    AppendId, AttemptId, DataCentreId, Fence, Fingerprint, Incarnation, Offset, OrganisationId,
    PoolId, RequestId, RouterId, TargetId,
};
pub use crate::message::Part;
pub use crate::output::NoticeKind;
pub use crate::request::{Class, PromptPart, Repeat, Request, RequestDetails};
pub use crate::time::Time;
pub use crate::verdict::{Reason, Refusal, Verdict};
