//! Log records and peer messages of the catalogue.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::catalogue::entry::{Entry, Kind};
use crate::key::Offset;

/// An operator's edit.
///
/// An edit applies only if the entry is still at the revision `replaces`. Of two concurrent edits
/// one therefore applies and the other is a conflict, on every router. An edit whose id was applied
/// before is skipped, so it can safely be appended again when the answer to an append was lost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Identifies the edit across repeated appends.
    pub id: Uuid,
    /// The offset of the edit that this one replaces; `None` to create the entry.
    pub replaces: Option<Offset>,
    /// The change of the entry.
    pub change: Change,
    /// The person who made the edit. Informative only.
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

/// The change made by an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum Change {
    /// Create the entry, or replace the entry of the same kind and name.
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
    /// Returns the kind and the name of the changed entry.
    pub fn subject(&self) -> (Kind, &str) {
        match self {
            Self::Put { entry } => (entry.kind(), entry.name()),
            Self::Remove { kind, name } => (*kind, name),
        }
    }
}

/// An entry with its identity and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The offset of the record that created the entry. Serves as the identity of the entry.
    pub created: Offset,
    /// The offset of the edit that set the present content.
    pub revision: Offset,
    /// The id of the edit that set the present content.
    pub edit: Uuid,
    /// The present content, or `None` if the entry was removed. Removed entries are kept so that an
    /// old copy cannot restore them.
    pub entry: Option<Entry>,
    /// The kind of the entry, also if it was removed.
    pub kind: Kind,
    /// The name of the entry, also if it was removed.
    pub name: String,
}

/// A page of one router's catalogue, for operators' tools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Every edit below this offset is included in the entries or superseded by them.
    pub applied: Offset,
    /// The entries of the page in the order of creation, including removed ones. Empty after the
    /// last page.
    pub entries: Vec<Stored>,
}

/// Entries that are appended again before their records age out. Each keeps its original offsets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refresh {
    /// The fencing number of the lease under which the entries were appended.
    pub fence: u64,
    /// The entries.
    pub entries: Vec<Stored>,
}

/// A message between routers about the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CataloguePart {
    /// A request for the entries that the sender lacks.
    Want {
        /// Every edit below this offset is in the sender's catalogue.
        from: Offset,
        /// The request covers only entries created after this offset. `None` requests the first
        /// part.
        after: Option<Offset>,
    },
    /// The entries edited at or after the requested offset. They are encoded as JSON, because the
    /// tagged enums in [`Stored`] need a self-describing codec.
    Entries {
        /// The JSON text of a list of [`Stored`] entries.
        json: Vec<u8>,
        /// The `from` of the request.
        from: Offset,
        /// Every edit below this offset is in the answering router's catalogue.
        applied: Offset,
        /// The `after` of the request for the next part, or `None` if this part is the last.
        next: Option<Offset>,
    },
}
