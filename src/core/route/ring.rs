//! Consistent hashing of sessions onto servers.

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::route::servers::Vm;

/// Points of each server on a ring.
///
/// With 32 points the shares of the servers vary by about a sixth, and a ring of 10,000
/// servers takes 2.5 MB.
const POINTS: u64 = 32;

/// Servers on a ring of hash points, which gives each session an order of servers.
///
/// The order depends only on the session and the set of servers, so all nodes agree on it.
/// Adding or removing a server moves only the sessions next to its points.
///
/// # Invariants
///
/// `points` is sorted; each point holds a hash in its upper 32 bits and an index of `ids`
/// in the lower ones.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    ids: Vec<Name>,
    points: Vec<u64>,
}

impl Ring {
    /// Creates a ring of servers.
    pub fn new(mut ids: Vec<Name>) -> Self {
        ids.sort_unstable();
        ids.dedup();
        let mut points = Vec::with_capacity(ids.len() * POINTS as usize);
        for (index, id) in ids.iter().enumerate() {
            let hash = |seed| xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), seed);
            points.extend((0..POINTS).map(|seed| (hash(seed) >> 32 << 32) | index as u64));
        }
        points.sort_unstable();
        Self { ids, points }
    }

    /// Returns the servers in the order of a session, each once.
    pub fn order(&self, session: u64) -> impl Iterator<Item = &Name> {
        let from = xxhash_rust::xxh3::xxh3_64(&session.to_le_bytes());
        let start = self.points.partition_point(|point| *point < from);
        let (before, after) = self.points.split_at(start);
        let mut seen: Vec<u32> = Vec::new();
        let indexes = after.iter().chain(before).map(|point| *point as u32);
        let distinct = indexes.filter(move |index| {
            let is_new = !seen.contains(index);
            if is_new {
                seen.push(*index);
            }
            is_new
        });
        distinct.map(|index| &self.ids[index as usize])
    }

    /// Returns the server at an index below [`Ring::len`], in order of names.
    pub fn get(&self, index: usize) -> &Name {
        &self.ids[index]
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether there is no server.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}

/// The rings of all services and versions.
#[derive(Clone, Debug, Default)]
pub struct Rings {
    by_service: NameMap<NameMap<Ring>>,
}

impl Rings {
    /// Creates rings without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the servers by those of a list that are not leaving.
    ///
    /// Rings whose servers stay the same are kept.
    pub fn update(&mut self, list: &[Vm]) {
        let mut groups: NameMap<NameMap<Vec<Name>>> = NameMap::new();
        for vm in list.iter().filter(|vm| !vm.leaving) {
            groups
                .get_or_insert_with(&vm.service, NameMap::new)
                .get_or_insert_with(&vm.version, Vec::new)
                .push(vm.id.clone());
        }
        let mut known = std::mem::take(&mut self.by_service);
        for (service, versions) in groups.iter_mut() {
            let rings = versions.iter_mut().map(|(version, ids)| {
                ids.sort_unstable();
                let known = known.get_mut(service);
                let ring = known.and_then(|versions| versions.remove(version));
                let ring = ring.filter(|ring| ring.ids == *ids);
                let ring = ring.unwrap_or_else(|| Ring::new(std::mem::take(ids)));
                (version.clone(), ring)
            });
            self.by_service.insert(service.clone(), rings.collect());
        }
    }

    /// Returns the rings of a version, or of all versions of a service.
    pub fn of<'a>(
        &'a self,
        service: &str,
        version: Option<&'a str>,
    ) -> impl Iterator<Item = &'a Ring> {
        let versions = self.by_service.get(service);
        let rows = versions.into_iter().flat_map(NameMap::iter);
        rows.filter(move |(name, _)| version.is_none_or(|version| version == &***name))
            .map(|(_, ring)| ring)
    }
}
