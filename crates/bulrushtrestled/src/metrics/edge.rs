//! Events at the edges of the process: on its connections, and in its exchanges with the platform
//! and the targets. The core does not count these events.

macro_rules! edges {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// An event at an edge of the process.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub(crate) enum Edge {
            $($(#[$doc])* $name,)*
        }

        impl Edge {
            /// Every event, in the order of declaration.
            pub(crate) const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the stable name of the event.
            pub(crate) const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

edges! {
    /// A caller's connection was accepted.
    CallerConnected = "caller_connected";
    /// A request was refused before it was parsed, because the router is overloaded.
    RefusedEarly = "refused_at_door";
    /// A request was refused after it was read, because the control thread's queue is full.
    RefusedQueueFull = "refused_at_handover";
    /// A request was refused because it waited too long for the control thread.
    RefusedLate = "refused_late";
    /// The callers' listener was closed, because the router is overloaded.
    ListenerClosed = "listener_closed";
    /// A caller's connection was refused because too many are open.
    CallerConnectionRefused = "caller_connection_refused";
    /// A caller's connection was closed because no complete request head arrived in time.
    CallerHeadTimeout = "caller_head_timeout";
    /// A caller's connection was closed because its request head was too large.
    CallerHeadTooLarge = "caller_head_too_large";
    /// A caller's connection was closed because its request head was not HTTP.
    CallerHeadMalformed = "caller_head_malformed";
    /// A caller left its answer unread for too long; the request was abandoned.
    CallerUnread = "caller_unread";
    /// An operator's connection was refused because too many are open.
    OperatorConnectionRefused = "operator_connection_refused";
    /// An operator's token was wrong or missing.
    OperatorRefused = "operator_refused";
    /// A connection to a target could not be made.
    TargetConnectFailed = "target_connect_failed";
    /// A connection to a target broke.
    TargetBroken = "target_broken";
    /// A target's answer ended without its end mark or length.
    TargetTruncated = "target_truncated";
    /// A target sent no data within the timeout; its idle connections were dropped.
    TargetSilent = "target_silent";
    /// A target answered with an error.
    TargetError = "target_error";
    /// An answer belonged to another attempt and was dropped.
    TargetCrossed = "target_crossed";
    /// An answer failed after a part of it had been sent, and could not be resumed.
    TargetUnresumable = "target_unresumable";
    /// The answer to a resumed request did not continue the stream, and was not forwarded.
    TargetNotResumed = "target_not_resumed";
    /// An event of a stream did not follow the one before it.
    EventOutOfOrder = "event_out_of_order";
    /// A target's report could not be read.
    ReportFailed = "report_failed";
    /// A peer passed on records of the store that this router did not have.
    RecordsFromPeer = "records_from_peer";
    /// A connection to a peer was made, and both sides proved that they hold the fleet's key.
    PeerConnected = "peer_connected";
    /// A connection to a peer could not be made.
    PeerConnectFailed = "peer_connect_failed";
    /// A peer did not prove that it holds the fleet's key, or another router answered in its place.
    PeerUnproved = "peer_unproved";
    /// A call to a peer failed or took too long; the connection was dropped.
    PeerCallFailed = "peer_call_failed";
    /// A frame to a peer was dropped in favour of newer ones.
    PeerFrameDropped = "peer_frame_dropped";
    /// A peer's connection was refused because too many connections have not completed the
    /// handshake.
    PeerConnectionRefused = "peer_connection_refused";
    /// A connection from a peer ended.
    PeerConnectionEnded = "peer_connection_ended";
    /// An append failed, and certainly had no effect.
    AppendFailed = "append_failed";
    /// An append failed, and may have taken effect.
    AppendUnknown = "append_unknown";
    /// A read of the log failed.
    ReadFailed = "read_failed";
    /// A record of a hosting platform's store could not be decoded and was skipped.
    RecordUnusable = "record_unusable";
    /// A read of the VM list failed.
    VmsFailed = "vms_failed";
    /// An order to a target failed or was not answered.
    OrderFailed = "order_failed";
}
