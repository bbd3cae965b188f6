//! The entries of the catalogue and the rule by which an edit applies.

use core::time::Duration;
use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalogue::entry::{DataCentre, DataCentreState, Entry, Kind};
use crate::catalogue::entry::{Move, Organisation, Pool, Route, Target};
use crate::catalogue::message::{Change, Edit, Stored};
use crate::catalogue::validate::{InvalidError, check, parse_sha256};
use crate::key::{DataCentreId, Offset, OrganisationId, PoolId, TargetId};

/// The kind that the order of [`Kind`] puts first.
const LOWEST_KIND: Kind = Kind::Organisation;

/// The outcome of an edit.
#[derive(Debug)]
pub enum Applied {
    /// The edit was applied. The revision of the entry is now the offset of the edit.
    Accepted,
    /// The edit had been applied before. Nothing changed.
    Repeated,
    /// The entry is not at the revision that the edit replaces. Nothing changed.
    Conflict {
        /// The present revision of the entry, or `None` if the entry never existed.
        current_revision: Option<Offset>,
    },
    /// The content of the edit is invalid. Nothing changed.
    Invalid(InvalidError),
    /// Earlier records of the entry may have aged out, and no copy of it was read yet. The edit is
    /// held back.
    Undecided,
}

/// The entries of the catalogue, with indexes for the lookups of other components.
///
/// Routers and tools build it by applying the records of the log in order. Memory grows with the
/// number of entries, including removed ones: a removed entry is kept so that a repeated append of
/// its creation cannot restore it.
///
/// # Examples
///
/// ```
/// use bulrushtrestle_core::catalogue::entry::{Bounds, Entry, Pool, Service};
/// use bulrushtrestle_core::catalogue::message::{Change, Edit};
/// use bulrushtrestle_core::catalogue::{Applied, Catalogue};
/// use bulrushtrestle_core::key::Offset;
///
/// let bounds = Bounds::default();
/// let entry = Entry::Pool(Pool { name: "drafts".into(), service: Service::Model, bounds, autoscale: None });
/// let edit = Edit {
///     id: uuid::Uuid::from_u128(1),
///     replaces: None,
///     change: Change::Put { entry },
///     author: String::new(),
/// };
/// let mut catalogue = Catalogue::new();
/// assert!(matches!(catalogue.apply(Offset(0), &edit), Applied::Accepted));
/// assert!(matches!(catalogue.apply(Offset(1), &edit), Applied::Repeated));
/// assert!(catalogue.pool_by_name("drafts").is_some());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    entries: BTreeMap<Kind, BTreeMap<String, Stored>>,
    /// The name of each entry, by creation offset and kind. Entries from a store may share a creation
    /// offset with entries of other kinds.
    names: BTreeMap<(Offset, Kind), String>,
    /// The identities of entries from a store whose [`derived_id`] another entry of their kind has
    /// or claims.
    reassigned: BTreeMap<Kind, BTreeMap<String, Offset>>,
    targets_by_pool: BTreeMap<String, BTreeSet<TargetId>>,
    /// The names of the routes of each host, by path prefix.
    routes_by_host: BTreeMap<String, BTreeMap<String, String>>,
    /// The SHA-256 hashes of bearer tokens, each with an organisation that holds the token.
    tokens: BTreeSet<([u8; 32], OrganisationId)>,
    /// Whether the log dropped records that this catalogue has not applied, and the tail was not
    /// reached yet.
    truncated_log: bool,
    /// Edits that are held back, by offset.
    undecided: BTreeMap<Offset, Edit>,
    /// The entries that apply until a record of the store, of whatever revision, says otherwise.
    defaults: BTreeSet<(Kind, String)>,
    /// Counts the changes of entries.
    changes: u64,
}

/// A target with the entries to which its own entry refers.
#[derive(Debug, Clone, Copy)]
pub struct TargetView<'a> {
    /// The key of the target.
    pub id: TargetId,
    /// The entry of the target.
    pub entry: &'a Target,
    /// The data centre of the target, if it is in the catalogue.
    pub data_centre: Option<DataCentreId>,
    /// Whether operators have taken the data centre of the target out of service.
    pub out: bool,
}

impl Catalogue {
    /// Returns an empty catalogue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns an empty catalogue for a log whose oldest records have aged out. It holds back
    /// undecided edits until [`on_tail_reached`](Self::on_tail_reached) is called.
    pub fn with_truncated_log() -> Self {
        Self {
            truncated_log: true,
            ..Self::default()
        }
    }

    /// Applies the edit at `offset` of the log.
    pub fn apply(&mut self, offset: Offset, edit: &Edit) -> Applied {
        let (kind, name) = edit.change.subject();
        let present = self.stored(kind, name);
        if present.is_some_and(|stored| stored.edit == edit.id || stored.revision >= offset) {
            return Applied::Repeated;
        }
        if present.is_none() && self.truncated_log {
            self.undecided.insert(offset, edit.clone());
            return Applied::Undecided;
        }
        let current_revision = present.map(|stored| stored.revision);
        if current_revision != edit.replaces {
            return Applied::Conflict { current_revision };
        }
        let entry = match &edit.change {
            Change::Put { entry } => Some(entry.clone()),
            Change::Remove { .. } => None,
        };
        if let Some(Err(error)) = entry.as_ref().map(check) {
            return Applied::Invalid(error);
        }
        let created = present.map_or(offset, |stored| stored.created);
        self.put(Stored {
            created,
            revision: offset,
            edit: edit.id,
            entry,
            kind,
            name: name.to_owned(),
        });
        Applied::Accepted
    }

    /// Takes over a copy of an entry if it is newer than the present entry. Returns whether it is
    /// newer.
    pub fn merge(&mut self, copy: &Stored) -> bool {
        let newer = self
            .stored(copy.kind, &copy.name)
            .is_none_or(|stored| stored.revision < copy.revision);
        if newer {
            self.put(copy.clone());
            self.apply_undecided(|edit| edit.change.subject() == (copy.kind, copy.name.as_str()));
        }
        newer
    }

    /// Records that the tail of the log was reached, and decides all edits that were held back. An
    /// entry of which no copy was read up to the tail never existed.
    pub fn on_tail_reached(&mut self) {
        self.truncated_log = false;
        self.apply_undecided(|_| true);
    }

    /// Returns the entries that were edited at or after `from` and created after `after`, in the
    /// order of creation. Removed entries are included.
    pub fn edited_since(
        &self,
        from: Offset,
        after: Option<Offset>,
    ) -> impl Iterator<Item = &Stored> {
        let start = after.map_or(Offset(0), |after| Offset(after.0.saturating_add(1)));
        self.names
            .range((start, LOWEST_KIND)..)
            .filter_map(|((_, kind), name)| self.stored(*kind, name))
            .filter(move |stored| stored.revision >= from)
    }

    /// Returns the entry that was created at `created` of the log, with its revision.
    pub fn stored_by_id(&self, created: Offset) -> Option<&Stored> {
        let mut from = self.names.range((created, LOWEST_KIND)..);
        let ((found, kind), name) = from.next()?;
        self.stored(*kind, name).filter(|_| *found == created)
    }

    /// Returns an entry with its revision, also if it was removed.
    pub fn stored(&self, kind: Kind, name: &str) -> Option<&Stored> {
        self.entries.get(&kind)?.get(name)
    }

    /// Returns every entry, including removed ones, in the order of [`Kind::ALL`]. Entries refer
    /// only to entries of earlier kinds.
    pub fn iter(&self) -> impl Iterator<Item = &Stored> {
        Kind::ALL
            .iter()
            .filter_map(|kind| self.entries.get(kind))
            .flat_map(BTreeMap::values)
    }

    /// Returns an organisation's entry.
    pub fn organisation(&self, id: OrganisationId) -> Option<&Organisation> {
        match self.by_id(Kind::Organisation, id.0)? {
            Entry::Organisation(entry) => Some(entry),
            _ => None,
        }
    }

    /// Returns the organisation of the bearer token with this SHA-256 hash. If several hold it, the
    /// one with the lowest key is returned.
    pub fn organisation_by_token(&self, sha256: &[u8; 32]) -> Option<OrganisationId> {
        let mut holders = self.tokens.range((*sha256, OrganisationId(0))..);
        let (held, organisation) = holders.next()?;
        (held == sha256).then_some(*organisation)
    }

    /// Returns the key and the entry of the organisation with this name.
    pub fn organisation_by_name(&self, name: &str) -> Option<(OrganisationId, &Organisation)> {
        let stored = self.stored(Kind::Organisation, name)?;
        match stored.entry.as_ref()? {
            Entry::Organisation(entry) => Some((OrganisationId(short_id(stored.created)), entry)),
            _ => None,
        }
    }

    /// Returns a pool's entry.
    pub fn pool(&self, id: PoolId) -> Option<&Pool> {
        match self.by_id(Kind::Pool, id.0)? {
            Entry::Pool(entry) => Some(entry),
            _ => None,
        }
    }

    /// Returns the key and the entry of the pool with this name.
    pub fn pool_by_name(&self, name: &str) -> Option<(PoolId, &Pool)> {
        let stored = self.stored(Kind::Pool, name)?;
        match stored.entry.as_ref()? {
            Entry::Pool(entry) => Some((PoolId(short_id(stored.created)), entry)),
            _ => None,
        }
    }

    /// Returns the key of the target with this name, also if it is not in the catalogue. `None` if
    /// only [`assign_identities`](Self::assign_identities) can tell it from another target.
    pub fn target_id(&self, name: &str) -> Option<TargetId> {
        let id = self.identity(Kind::Target, name);
        let owner = self.names.get(&(id, Kind::Target));
        let is_own = owner.is_none_or(|owner| owner == name);
        is_own.then_some(TargetId(short_id(id)))
    }

    /// Returns a target and the entries to which it refers.
    pub fn target(&self, id: TargetId) -> Option<TargetView<'_>> {
        let Entry::Target(entry) = self.by_id(Kind::Target, id.0)? else {
            return None;
        };
        let data_centre = self.data_centre_by_name(&entry.data_centre);
        Some(TargetView {
            id,
            entry,
            data_centre: data_centre.map(|(id, _)| id),
            out: data_centre.is_some_and(|(_, entry)| entry.state == DataCentreState::Out),
        })
    }

    /// Returns the targets of a pool in the order of their keys.
    pub fn targets_of(&self, pool: PoolId) -> impl Iterator<Item = TargetView<'_>> {
        self.pool(pool)
            .and_then(|pool| self.targets_by_pool.get(&pool.name))
            .into_iter()
            .flatten()
            .filter_map(|&id| self.target(id))
    }

    /// Returns every target.
    pub fn targets(&self) -> impl Iterator<Item = TargetView<'_>> {
        self.ids(Kind::Target)
            .filter_map(|id| self.target(TargetId(id)))
    }

    /// Returns the key and entry of every organisation.
    pub fn organisations(&self) -> impl Iterator<Item = (OrganisationId, &Organisation)> {
        self.ids(Kind::Organisation)
            .map(OrganisationId)
            .filter_map(|id| self.organisation(id).map(|entry| (id, entry)))
    }

    /// Returns the key and entry of every pool.
    pub fn pools(&self) -> impl Iterator<Item = (PoolId, &Pool)> {
        self.ids(Kind::Pool)
            .map(PoolId)
            .filter_map(|id| self.pool(id).map(|entry| (id, entry)))
    }

    /// Returns the key and entry of the data centre with this name.
    pub fn data_centre_by_name(&self, name: &str) -> Option<(DataCentreId, &DataCentre)> {
        let stored = self.stored(Kind::DataCentre, name)?;
        match stored.entry.as_ref()? {
            Entry::DataCentre(entry) => Some((DataCentreId(short_id(stored.created)), entry)),
            _ => None,
        }
    }

    /// Returns the revision and the entry of the move of the pool with this name.
    pub fn move_of(&self, pool: &str) -> Option<(Offset, &Move)> {
        let stored = self.stored(Kind::Move, pool)?;
        match stored.entry.as_ref()? {
            Entry::Move(entry) => Some((stored.revision, entry)),
            _ => None,
        }
    }

    /// Returns whether there is any route.
    pub fn has_routes(&self) -> bool {
        self.routes_by_host
            .values()
            .any(|routes| !routes.is_empty())
    }

    /// Returns the least pause objective of the routes to a pool, if any states one.
    pub fn gap_aim(&self, pool: &str) -> Option<Duration> {
        let names = self.routes_by_host.values().flat_map(BTreeMap::values);
        let aims = names.filter_map(|name| match &self.stored(Kind::Route, name)?.entry {
            Some(Entry::Route(route)) => {
                let leads_here = route.pools.iter().any(|share| share.pool == pool);
                (leads_here && route.gap_aim_ms > 0).then_some(route.gap_aim_ms)
            }
            _ => None,
        });
        let least = aims.min()?;
        Some(Duration::from_millis(u64::from(least)))
    }

    /// Returns the route of a host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes_by_host.get(host)?;
        let slashes = path.match_indices('/').map(|(at, _)| at);
        let name = slashes.rev().find_map(|at| routes.get(&path[..=at]))?;
        match self.stored(Kind::Route, name)?.entry.as_ref()? {
            Entry::Route(route) => Some(route),
            _ => None,
        }
    }

    /// Takes over the present content of one record of a store. Returns whether any entry changed.
    ///
    /// `revision` is the store's revision of the record. Entries that the record no longer holds
    /// are removed. An entry that already has this or a newer revision stays as it is, so that
    /// copies from peers and reads of the store can arrive in any order.
    pub fn replace(&mut self, revision: Offset, scope: &Scope, entries: Vec<Entry>) -> bool {
        let before = self.changes;
        self.assign_identities(entries.iter().map(|entry| (entry.kind(), entry.name())));
        let names: BTreeSet<(Kind, &str)> = entries.iter().map(|e| (e.kind(), e.name())).collect();
        let removed: Vec<(Kind, String)> = self
            .in_scope(scope)
            .filter(|stored| stored.entry.is_some())
            .map(|stored| (stored.kind, stored.name.clone()))
            .filter(|(kind, name)| !names.contains(&(*kind, name.as_str())))
            .collect();
        for (kind, name) in removed {
            self.put_if_newer(kind, name, revision, None);
        }
        for entry in entries {
            let (kind, name) = (entry.kind(), entry.name().to_owned());
            self.put_if_newer(kind, name, revision, Some(entry));
        }
        self.changes != before
    }

    /// Adds an entry that applies until a record of the store says otherwise, unless one has. Revisions
    /// of records begin with 0, so that no revision of the entry could stand for that.
    pub fn set_default(&mut self, entry: Entry) {
        let (kind, name) = (entry.kind(), entry.name().to_owned());
        if self.stored(kind, &name).is_some() {
            return;
        }
        self.assign_identities([(kind, name.as_str())]);
        self.put_if_newer(kind, name.clone(), Offset(0), Some(entry));
        self.defaults.insert((kind, name));
    }

    fn in_scope<'a>(&'a self, scope: &'a Scope) -> Box<dyn Iterator<Item = &'a Stored> + 'a> {
        match scope {
            Scope::One(kind, name) => Box::new(self.stored(*kind, name).into_iter()),
            Scope::All(kinds) => Box::new(
                kinds
                    .iter()
                    .filter_map(|kind| self.entries.get(kind))
                    .flat_map(BTreeMap::values),
            ),
        }
    }

    /// Sets the content of an entry if `revision` is newer. If only the revision differs, the
    /// change is not counted, so that followers have nothing to do.
    fn put_if_newer(&mut self, kind: Kind, name: String, revision: Offset, entry: Option<Entry>) {
        let is_default = !self.defaults.is_empty() && self.defaults.remove(&(kind, name.clone()));
        if let Some(present) = self.entries.get_mut(&kind).and_then(|e| e.get_mut(&name)) {
            if present.revision >= revision && !is_default {
                return;
            }
            if present.entry == entry {
                present.revision = revision;
                return;
            }
        }
        let created = self.identity(kind, &name);
        self.put(Stored {
            created,
            revision,
            edit: uuid::Uuid::nil(),
            entry,
            kind,
            name,
        });
    }

    /// Assigns an identity to each entry of a store that has none yet, so that no two entries of a
    /// kind share one. Entries that are read together are to be assigned together.
    ///
    /// An identity that several entries claim is left to the entry that has it, or else to none of
    /// them. So routers that read different parts of the history never use one identity for
    /// different entries, even if one of them has another identity for an entry.
    pub fn assign_identities<'a>(&mut self, entries: impl IntoIterator<Item = (Kind, &'a str)>) {
        let is_new = |&(kind, name): &(Kind, &str)| {
            self.stored(kind, name).is_none() && self.reassigned(kind, name).is_none()
        };
        let new: BTreeSet<(Kind, &str)> = entries.into_iter().filter(is_new).collect();
        let mut claims: BTreeMap<(Offset, Kind), u32> = BTreeMap::new();
        for &(kind, name) in &new {
            *claims.entry((derived_id(kind, name), kind)).or_default() += 1;
        }
        for (kind, name) in new {
            let derived = derived_id(kind, name);
            if claims.get(&(derived, kind)) == Some(&1) && !self.is_assigned(kind, derived) {
                continue;
            }
            let is_free =
                |id: &Offset| !claims.contains_key(&(*id, kind)) && !self.is_assigned(kind, *id);
            let mut others = (1..).map(|rank| ranked_id(kind, name, rank));
            let free = others.find(is_free);
            if let Some(id) = free {
                let names = self.reassigned.entry(kind).or_default();
                names.insert(name.to_owned(), id);
            }
        }
    }

    /// Returns the identity of an entry from a store, also if the entry is not in the catalogue.
    fn identity(&self, kind: Kind, name: &str) -> Offset {
        let stored = self.stored(kind, name).map(|stored| stored.created);
        stored
            .or_else(|| self.reassigned(kind, name))
            .unwrap_or_else(|| derived_id(kind, name))
    }

    fn reassigned(&self, kind: Kind, name: &str) -> Option<Offset> {
        self.reassigned.get(&kind)?.get(name).copied()
    }

    fn is_assigned(&self, kind: Kind, id: Offset) -> bool {
        let mut reassigned = self
            .reassigned
            .get(&kind)
            .into_iter()
            .flat_map(BTreeMap::values);
        self.names.contains_key(&(id, kind)) || reassigned.any(|it| *it == id)
    }

    /// Applies the undecided edits selected by `is_due`, in log order.
    fn apply_undecided(&mut self, is_due: impl Fn(&Edit) -> bool) {
        let all = core::mem::take(&mut self.undecided);
        let (due, rest): (BTreeMap<_, _>, BTreeMap<_, _>) =
            all.into_iter().partition(|(_, edit)| is_due(edit));
        self.undecided = rest;
        for (offset, edit) in due {
            self.apply(offset, &edit);
        }
    }

    /// Returns a number that increases with each change, so that followers can detect changes.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    fn ids(&self, kind: Kind) -> impl Iterator<Item = u32> {
        self.entries
            .get(&kind)
            .into_iter()
            .flat_map(BTreeMap::values)
            .filter(|stored| stored.entry.is_some())
            .map(|stored| short_id(stored.created))
    }

    fn by_id(&self, kind: Kind, id: u32) -> Option<&Entry> {
        let name = self.names.get(&(Offset(u64::from(id)), kind))?;
        self.stored(kind, name)?.entry.as_ref()
    }

    fn put(&mut self, stored: Stored) {
        self.changes += 1;
        self.unindex(stored.kind, &stored.name);
        self.index(&stored);
        self.names
            .insert((stored.created, stored.kind), stored.name.clone());
        self.entries
            .entry(stored.kind)
            .or_default()
            .insert(stored.name.clone(), stored);
    }

    fn index(&mut self, stored: &Stored) {
        let id = short_id(stored.created);
        match &stored.entry {
            Some(Entry::Target(target)) => {
                let targets = self.targets_by_pool.entry(target.pool.clone()).or_default();
                targets.insert(TargetId(id));
            }
            Some(Entry::Route(route)) => {
                let routes = self.routes_by_host.entry(route.host.clone()).or_default();
                routes.insert(route.path_prefix.clone(), route.name.clone());
            }
            Some(Entry::Organisation(organisation)) => {
                let hashes = organisation.tokens_sha256.iter();
                let hashes = hashes.filter_map(|hash| parse_sha256(hash));
                self.tokens
                    .extend(hashes.map(|hash| (hash, OrganisationId(id))));
            }
            _ => {}
        }
    }

    fn unindex(&mut self, kind: Kind, name: &str) {
        let Some(old) = self
            .entries
            .get(&kind)
            .and_then(|entries| entries.get(name))
        else {
            return;
        };
        let id = short_id(old.created);
        match &old.entry {
            Some(Entry::Target(target)) => {
                if let Some(targets) = self.targets_by_pool.get_mut(&target.pool) {
                    targets.remove(&TargetId(id));
                }
            }
            Some(Entry::Route(route)) => {
                let routes = self.routes_by_host.get_mut(&route.host);
                // The index may refer to another route with the same prefix by now.
                if let Some(routes) = routes
                    && routes.get(&route.path_prefix) == Some(&route.name)
                {
                    routes.remove(&route.path_prefix);
                }
            }
            Some(Entry::Organisation(organisation)) => {
                let hashes = organisation.tokens_sha256.iter();
                for hash in hashes.filter_map(|hash| parse_sha256(hash)) {
                    self.tokens.remove(&(hash, OrganisationId(id)));
                }
            }
            _ => {}
        }
    }
}

/// The set of entries that one record of a store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// One entry.
    One(Kind, String),
    /// All entries of the given kinds.
    All(Vec<Kind>),
}

/// Returns the identity of an entry that comes from a store and not from the log, unless another
/// entry claims the same one ([`Catalogue::assign_identities`]): a hash of its kind and name, which
/// is equal on every router. The identity has 31 bits, because [`lane`](crate::slots::lane) uses the
/// highest bit of a 32-bit key to mark lanes. Among 22,000 names, two have the same hash in one
/// fleet out of ten.
pub fn derived_id(kind: Kind, name: &str) -> Offset {
    ranked_id(kind, name, 0)
}

/// Returns one of the identities that an entry may have, of which the one of rank 0 comes first.
fn ranked_id(kind: Kind, name: &str, rank: u64) -> Offset {
    let hash = xxh3_64_with_seed(name.as_bytes(), rank << u8::BITS | kind as u64);
    Offset(hash >> 33)
}

/// Converts the offset that serves as an identity to a 32-bit key. The validator of appends keeps
/// offsets in range.
fn short_id(created: Offset) -> u32 {
    u32::try_from(created.0).unwrap_or(u32::MAX)
}
