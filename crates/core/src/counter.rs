//! The event counters. The set is closed, so the metrics cannot miss a counter.

use crate::verdict::Reason;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// An event that is counted and not logged.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Counter {
            /// A request was refused.
            Refused(Reason),
            $($(#[$doc])* $name,)*
        }

        impl Counter {
            /// Every counter except the refusals, in the order of declaration.
            pub const EVENTS: &[Self] = &[$(Self::$name,)*];

            /// Returns the stable name of the counter, or of the reason for refusals.
            pub const fn as_str(self) -> &'static str {
                match self {
                    Self::Refused(reason) => reason.as_str(),
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

counters! {
    /// A request was accepted.
    Accepted = "accepted";
    /// An attempt was dispatched to a target.
    Dispatched = "dispatched";
    /// A complete answer was delivered.
    Completed = "completed";
    /// A request was sent again because the target reported that it did not start the request.
    RetryRefusedByTarget = "retry_refused_by_target";
    /// A request was sent again because the connection failed before the first byte.
    RetryNotSent = "retry_not_sent";
    /// A request was dispatched anew because its target was found to be leaving before anything was
    /// sent.
    RetryWithheld = "retry_withheld";
    /// A repeatable request was sent again after its target failed.
    RetryTargetFailed = "retry_target_failed";
    /// A stream was resumed from its offset.
    RetryResumed = "retry_resumed";
    /// An event was dropped because its attempt is no longer the current one of its request.
    StaleAttempt = "stale_attempt";
    /// A peer's message could not be decoded and was dropped.
    PeerMessageInvalid = "peer_message_invalid";
    /// A peer's message of an earlier incarnation or sequence was dropped.
    PeerMessageStale = "peer_message_stale";
    /// A record of the log could not be decoded and was skipped.
    RecordInvalid = "record_invalid";
    /// An edit lost against another edit of the same entry.
    EditConflict = "edit_conflict";
    /// A record was read that had been applied before.
    RecordRepeated = "record_repeated";
    /// An append failed or its outcome is unknown.
    AppendUnanswered = "append_unanswered";
    /// A grant of slots was received.
    GrantReceived = "grant_received";
    /// A grant lapsed before it was used up.
    GrantLapsed = "grant_lapsed";
    /// A held lease was lost or lapsed.
    LeaseLost = "lease_lost";
    /// An order to a target was dropped because the lease behind it had lapsed.
    OrderFenced = "order_fenced";
    /// A target stated in an answer that it is leaving.
    TargetStatedLeaving = "target_stated_leaving";
    /// A target stated in an answer that it wants no requests for a while.
    TargetPaused = "target_paused";
    /// A target stated a limit on the requests per second, or changed it.
    TargetLimited = "target_limited";
    /// A target no longer stated a limit.
    TargetUnlimited = "target_unlimited";
    /// A target stated a limit that cannot be read.
    TargetLimitUnreadable = "target_limit_unreadable";
    /// This router asked others for their shares of the allowance of a cold target.
    ColdShareAsked = "cold_share_asked";
    /// This router lent its share of the allowance of a cold target, or extended the loan.
    ColdShareLent = "cold_share_lent";
    /// A target that has started or recovered is paced.
    TargetPaced = "target_paced";
    /// The pace of a target was halved because it answered slowly, refused or broke off.
    TargetPaceHalved = "target_pace_halved";
    /// The pace of a target is no bound any more.
    TargetPaceEnded = "target_pace_ended";
    /// A target stated a speed that differs by a tenth from what was known.
    TargetSpeedChanged = "target_speed_changed";
    /// A target was classified as cold.
    TargetCold = "target_cold";
    /// A version move was found to be finished.
    MoveFinished = "move_finished";
    /// A version move was found to be rolled back.
    MoveRolledBack = "move_taken_back";
    /// A request was held as a suspect after a crash.
    Suspected = "suspected";
    /// A target broke off a request before it answered, so that the parts of the prompt are
    /// suspected.
    PartsSuspected = "parts_suspected";
    /// A part of prompts was barred because it crashed targets.
    PartBarred = "part_barred";
    /// A part of prompts is not barred any more.
    PartCleared = "part_cleared";
    /// A window of usage was closed: its counts are final.
    UsageClosed = "usage_closed";
    /// A window of usage was not reported.
    UsageLeftOut = "usage_left_out";
    /// The number of a pool's targets was ordered in a data centre.
    ScaleOrdered = "scale_ordered";
    /// A permit was received to try a part of prompts whose bar has run out.
    PartTried = "part_tried";
    /// The lease on the duties was acquired.
    DutyClaimed = "duty_claimed";
    /// The lease on the duties was renewed.
    DutyRenewed = "duty_renewed";
    /// The lease on the duties was lost or lapsed.
    DutyLost = "duty_lost";
    /// The control endpoint accepted a call.
    DutyAccepted = "duty_accepted";
    /// The control endpoint refused a call because it has seen a higher fencing number.
    DutyFenced = "duty_fenced";
    /// The control endpoint asked for fewer calls.
    DutyThrottled = "duty_throttled";
    /// The control endpoint refused the content of a call.
    DutyRefused = "duty_refused";
    /// A call of the control endpoint got no usable answer.
    DutyUnknown = "duty_unknown";
}
