//! Peer messages that pass on records of the store.

use serde::{Deserialize, Serialize};

use crate::feed::Topic;
use crate::key::Offset;

/// A question for records, or the answer to one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FeedPart {
    /// Asks for the records that the sender lacks.
    Ask(Ask),
    /// Answers a question.
    Answer(Answer),
}

/// A question for the records of all topics.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Numbers the questions of one run of a router.
    pub number: u64,
    /// The offset below which the sender has all records, for each topic.
    pub known: [Offset; Topic::ALL.len()],
    /// The keys of targets whose newest record is requested even if only its serial number changed.
    pub named: Vec<String>,
}

/// The answer to a question.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The number of the question.
    pub number: u64,
    /// The answer for each topic.
    pub topics: [TopicPart; Topic::ALL.len()],
}

/// The answer for one topic.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TopicPart {
    /// The records that the receiver lacks, in the order of their last changes.
    pub records: Vec<Record>,
    /// Every change below this offset has reached the receiver with these records.
    pub known: Offset,
    /// The time in milliseconds since the topic certainly held nothing at or above `known`. `None` if
    /// the sender never knew that, or if there are more records than fit into the answer.
    pub age_ms: Option<u32>,
    /// Whether the sender reads the store without success.
    pub failed: bool,
}

/// A record of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The record's key.
    pub key: String,
    /// The record's offset in its topic.
    pub offset: Offset,
    /// The value; `None` if the record removes its key.
    pub value: Option<Vec<u8>>,
    /// A hash of what the record says. Records with the same hash differ by a serial number at most.
    pub digest: u64,
}
