//! Map from names to values, stored as a sorted vector.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde::ser::SerializeMap;

use crate::core::Name;

/// Maps names to values in a vector sorted by name.
///
/// It serializes as a map.
///
/// # Invariants
///
/// `rows` is sorted by name and contains no name twice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NameMap<T> {
    rows: Vec<(Name, T)>,
}

impl<T> Default for NameMap<T> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<T> NameMap<T> {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self::default()
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (*row.0).cmp(name))
    }

    /// Returns a reference to the value stored under `name`.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.search(name).ok().map(|index| &self.rows[index].1)
    }

    /// Returns a mutable reference to the value stored under `name`.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut T> {
        match self.search(name) {
            Ok(index) => Some(&mut self.rows[index].1),
            Err(_) => None,
        }
    }

    /// Returns the stored name and the value for `name`.
    pub fn get_key_value(&self, name: &str) -> Option<(&Name, &T)> {
        let index = self.search(name).ok()?;
        Some((&self.rows[index].0, &self.rows[index].1))
    }

    /// Stores `value` under `name` and returns the value that it replaces.
    pub fn insert(&mut self, name: Name, value: T) -> Option<T> {
        // INVARIANT: a new row is inserted where the binary search ended.
        match self.search(&name) {
            Ok(index) => Some(std::mem::replace(&mut self.rows[index].1, value)),
            Err(index) => {
                self.rows.insert(index, (name, value));
                None
            }
        }
    }

    /// Returns the value stored under `name`, inserting `make()` if there is none.
    pub fn get_or_insert_with(&mut self, name: &Name, make: impl FnOnce() -> T) -> &mut T {
        let index = match self.search(name) {
            Ok(index) => index,
            Err(index) => {
                self.rows.insert(index, (name.clone(), make()));
                index
            }
        };
        &mut self.rows[index].1
    }

    /// Removes `name` and returns its value.
    pub fn remove(&mut self, name: &str) -> Option<T> {
        let index = self.search(name).ok()?;
        Some(self.rows.remove(index).1)
    }

    /// Keeps only the entries for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&Name, &mut T) -> bool) {
        self.rows.retain_mut(|row| keep(&row.0, &mut row.1));
    }

    /// Iterates over the entries in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &T)> {
        self.rows.iter().map(|row| (&row.0, &row.1))
    }

    /// Iterates over the entries in name order with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&Name, &mut T)> {
        self.rows.iter_mut().map(|row| (&row.0, &mut row.1))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl<T> FromIterator<(Name, T)> for NameMap<T> {
    fn from_iter<I: IntoIterator<Item = (Name, T)>>(iter: I) -> Self {
        let mut entries = NameMap::new();
        for (name, value) in iter {
            entries.insert(name, value);
        }
        entries
    }
}

impl<T: Serialize> Serialize for NameMap<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.rows.len()))?;
        for (name, value) in &self.rows {
            map.serialize_entry(&**name, value)?;
        }
        map.end()
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for NameMap<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(NameMapVisitor(PhantomData))
    }
}

struct NameMapVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for NameMapVisitor<T> {
    type Value = NameMap<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<NameMap<T>, A::Error> {
        let mut entries = NameMap::new();
        while let Some(name) = map.next_key::<String>()? {
            entries.insert(name.into(), map.next_value()?);
        }
        Ok(entries)
    }
}
