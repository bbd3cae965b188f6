//! The claim that holds each key, decided only by the order of the log.

use std::collections::BTreeMap;

use slab::Slab;

use crate::once::Key;
use crate::once::message::{Step, StepKind};
use crate::prelude::*;

/// The keys held according to the records read so far.
///
/// Routers that read the same records hold the same keys, except for the oldest ones, which a
/// router may forget to limit its memory. Forgetting a key moves the horizon, and keys from before
/// the horizon are refused.
#[derive(Debug)]
pub struct Claims {
    keys_max: usize,
    held: BTreeMap<Key, Claim>,
    /// The runs of routers that hold a key. Claims refer to them by index, which keeps claims
    /// small.
    holders: Slab<Holder>,
    /// The index in `holders` of each run.
    holder_indexes: BTreeMap<(RouterId, Incarnation), u32>,
    /// The time up to which keys are refused, because claims of them may be forgotten.
    horizon: Time,
}

/// A claim that holds a key.
#[derive(Debug, Clone, Copy)]
struct Claim {
    number: u64,
    /// An index into [`Claims::holders`].
    holder: u32,
}

/// A run of a router that holds keys.
#[derive(Debug)]
struct Holder {
    run: (RouterId, Incarnation),
    /// The number of keys that the run holds.
    keys: u32,
}

/// The outcome of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutcome {
    /// The claim holds the key, either newly or since an earlier record.
    Held,
    /// Another claim holds the key.
    Lost,
    /// The key is from before the horizon.
    TooOld,
    /// The release took effect, or there was nothing to release.
    Released,
}

impl Claims {
    /// Returns a state in which no key is held.
    pub const fn new(keys_max: usize) -> Self {
        Self {
            keys_max,
            held: BTreeMap::new(),
            holders: Slab::new(),
            holder_indexes: BTreeMap::new(),
            horizon: Time(0),
        }
    }

    /// Applies a step of the given run of a router.
    pub fn apply(&mut self, run: (RouterId, Incarnation), key: Key, step: &Step) -> StepOutcome {
        if self.is_too_old(&key) {
            return StepOutcome::TooOld;
        }
        let holds = self.holder(&key).map(|(router, incarnation, number)| {
            (router, incarnation) == run && number == step.number
        });
        match (step.kind, holds) {
            (StepKind::Claim, None) => {
                self.hold(run, key, step.number);
                self.forget_beyond_limit();
                StepOutcome::Held
            }
            (StepKind::Claim, Some(true)) => StepOutcome::Held,
            (StepKind::Claim, Some(false)) => StepOutcome::Lost,
            (StepKind::Release, Some(true)) => {
                let claim = self.held.remove(&key);
                claim.into_iter().for_each(|claim| self.unlink(claim));
                StepOutcome::Released
            }
            (StepKind::Release, _) => StepOutcome::Released,
        }
    }

    /// Returns the run that holds a key, and the number of its claim.
    pub fn holder(&self, key: &Key) -> Option<(RouterId, Incarnation, u64)> {
        let claim = self.held.get(key)?;
        let (router, incarnation) = self.holders[claim.holder as usize].run;
        Some((router, incarnation, claim.number))
    }

    /// Returns whether a claim of the key may have been forgotten.
    pub fn is_too_old(&self, key: &Key) -> bool {
        key.time() <= self.horizon
    }

    /// Moves the horizon forward and forgets the keys before it. It never moves back.
    pub fn forget_until(&mut self, horizon: Time) {
        self.horizon = self.horizon.max(horizon);
        while let Some(oldest) = self.held.first_entry()
            && oldest.key().time() <= self.horizon
        {
            let claim = oldest.remove();
            self.unlink(claim);
        }
    }

    /// Returns the number of keys that are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn forget_beyond_limit(&mut self) {
        if self.held.len() > self.keys_max
            && let Some((oldest, _)) = self.held.first_key_value()
        {
            self.forget_until(oldest.time());
        }
    }

    fn hold(&mut self, run: (RouterId, Incarnation), key: Key, number: u64) {
        let holders = &mut self.holders;
        let holder = *self.holder_indexes.entry(run).or_insert_with(|| {
            let index = holders.insert(Holder { run, keys: 0 });
            u32::try_from(index).expect("a u32 counts the runs of routers")
        });
        self.holders[holder as usize].keys += 1;
        self.held.insert(key, Claim { number, holder });
    }

    /// Removes a claim from the count of its holder, and the holder if that was its last claim.
    fn unlink(&mut self, claim: Claim) {
        let holder = &mut self.holders[claim.holder as usize];
        holder.keys -= 1;
        if holder.keys == 0 {
            self.holder_indexes.remove(&holder.run);
            self.holders.remove(claim.holder as usize);
        }
    }
}
