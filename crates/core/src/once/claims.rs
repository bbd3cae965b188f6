//! Which claim holds each key, decided by the order of the log alone.

use std::collections::BTreeMap;

use slab::Slab;

use crate::once::Key;
use crate::once::message::{Step, StepKind};
use crate::prelude::*;

/// The keys that are held, as far as the log was read.
///
/// A router that reads the same records holds the same keys, but for the oldest, which each router may
/// forget as it must: what is forgotten moves the horizon, and keys from before the horizon are refused.
#[derive(Debug)]
pub struct Claims {
    keys_max: usize,
    held: BTreeMap<Key, Claim>,
    /// The runs of routers that hold a key; claims name them by their place, so that a claim is small.
    holders: Slab<Holder>,
    places: BTreeMap<(RouterId, Incarnation), u32>,
    horizon: Time,
}

/// A claim that holds a key.
#[derive(Debug, Clone, Copy)]
struct Claim {
    number: u64,
    holder: u32,
}

/// A run of a router that holds keys.
#[derive(Debug)]
struct Holder {
    run: (RouterId, Incarnation),
    keys: u32,
}

/// What a step came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fold {
    /// The claim holds the key, newly or as before.
    Held,
    /// Another claim holds the key.
    Lost,
    /// The key is from before the horizon.
    TooOld,
    /// The release took effect, or there was nothing to release.
    Released,
}

impl Claims {
    /// Returns a state in which nothing is held.
    pub const fn new(keys_max: usize) -> Self {
        Self {
            keys_max,
            held: BTreeMap::new(),
            holders: Slab::new(),
            places: BTreeMap::new(),
            horizon: Time(0),
        }
    }

    /// Applies a step of a run of a router.
    pub fn apply(&mut self, run: (RouterId, Incarnation), key: Key, step: &Step) -> Fold {
        if self.is_too_old(&key) {
            return Fold::TooOld;
        }
        let holds = self.holder(&key).map(|(router, incarnation, number)| {
            (router, incarnation) == run && number == step.number
        });
        match (step.kind, holds) {
            (StepKind::Claim, None) => {
                self.hold(run, key, step.number);
                self.forget_beyond_limit();
                Fold::Held
            }
            (StepKind::Claim, Some(true)) => Fold::Held,
            (StepKind::Claim, Some(false)) => Fold::Lost,
            (StepKind::Release, Some(true)) => {
                let claim = self.held.remove(&key);
                claim.into_iter().for_each(|claim| self.let_go(claim));
                Fold::Released
            }
            (StepKind::Release, _) => Fold::Released,
        }
    }

    /// Returns who holds a key, with the number of the claim.
    pub fn holder(&self, key: &Key) -> Option<(RouterId, Incarnation, u64)> {
        let claim = self.held.get(key)?;
        let (router, incarnation) = self.holders[claim.holder as usize].run;
        Some((router, incarnation, claim.number))
    }

    /// Says whether a claim of the key may have been forgotten.
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
            self.let_go(claim);
        }
    }

    /// Returns the number of keys that are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Says whether no key is held.
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
        let holder = *self.places.entry(run).or_insert_with(|| {
            let place = holders.insert(Holder { run, keys: 0 });
            u32::try_from(place).expect("a u32 counts the runs of routers")
        });
        self.holders[holder as usize].keys += 1;
        self.held.insert(key, Claim { number, holder });
    }

    fn let_go(&mut self, claim: Claim) {
        let holder = &mut self.holders[claim.holder as usize];
        holder.keys -= 1;
        if holder.keys == 0 {
            self.places.remove(&holder.run);
            self.holders.remove(claim.holder as usize);
        }
    }
}
