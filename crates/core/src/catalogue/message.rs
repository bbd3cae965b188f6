//! Records and peer messages of the catalogue.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::catalogue::entry::{Entry, Kind};
use crate::key::Offset;

/// An operator's edit.
///
/// It applies only if the entry still stands at `replaces`, so that of two racing edits one wins and
/// the other is a clear conflict, on every router alike. An edit whose id was applied already is
/// skipped, so that it may be appended again when the answer to an append was lost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Identifies the edit across repeated appends.
    pub id: Uuid,
    /// The offset of the edit that this one replaces; `None` to create the entry.
    pub replaces: Option<Offset>,
    /// What changes.
    pub change: Change,
    /// Who made the edit, for people.
    #[serde(default)]
    pub author: String,
}

impl Edit {
    /// Returns an edit that creates or replaces an entry.
    pub fn put(id: Uuid, replaces: Option<Offset>, entry: Entry) -> Self {
        Self {
            id,
            replaces,
            change: Change::Put { entry },
            author: String::new(),
        }
    }
}

/// What an edit changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum Change {
    /// Create or replace the entry of that kind and name.
    Put {
        /// The new content.
        entry: Entry,
    },
    /// Remove an entry.
    Remove {
        /// The kind of the entry.
        kind: Kind,
        /// The name of the entry.
        name: String,
    },
}

impl Change {
    /// Returns the kind and the name of the entry that changes.
    pub fn subject(&self) -> (Kind, &str) {
        match self {
            Self::Put { entry } => (entry.kind(), entry.name()),
            Self::Remove { kind, name } => (*kind, name),
        }
    }
}

/// An entry together with where it stands in the log's order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The offset of the record that created the entry; its identity.
    pub created: Offset,
    /// The offset of the edit that gave it its present content.
    pub revision: Offset,
    /// The id of that edit.
    pub edit: Uuid,
    /// The present content; `None` once it is removed, so that an old copy cannot revive it.
    pub entry: Option<Entry>,
    /// The kind, also of a removed entry.
    pub kind: Kind,
    /// The name, also of a removed entry.
    pub name: String,
}

/// A page of the catalogue as one router holds it, for operators' tools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Every edit below this offset is contained, or older than what the entries show.
    pub applied: Offset,
    /// Entries in the order of creation, removed ones included; none after the last page.
    pub entries: Vec<Stored>,
}

/// Entries appended again before their records age out. Each keeps its original offsets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refresh {
    /// The fencing number of the lease under which they were appended.
    pub fence: u64,
    /// The entries.
    pub entries: Vec<Stored>,
}

/// What routers tell each other about the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CataloguePart {
    /// The sender lacks what the log holds from this offset on.
    Want {
        /// Every edit below this offset is in the sender's catalogue.
        from: Offset,
        /// Only entries that were created after this offset are wanted; `None` for the first part.
        after: Option<Offset>,
    },
    /// Entries edited at or after the offset that was asked for, encoded as JSON [`Stored`] values,
    /// because their tagged form needs a self-describing codec.
    Entries {
        /// The JSON text of a list of [`Stored`] entries.
        json: Vec<u8>,
        /// The `from` that these entries answer.
        from: Offset,
        /// Every edit below this offset is in the answering router's catalogue.
        applied: Offset,
        /// From where on to ask for the next part; `None` if this is the last.
        next: Option<Offset>,
    },
}
