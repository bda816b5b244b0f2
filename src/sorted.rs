//! Map on a sorted vector with binary search; used in place of tree and hash maps.

/// Map from `K` to `V`, stored as a vector sorted by key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sorted<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for Sorted<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, V> Sorted<K, V> {
    /// Value for `key`.
    ///
    /// ```
    /// let mut map = siskinstep::sorted::Sorted::default();
    /// map.insert("a", 1);
    /// assert_eq!(map.get("a"), Some(&1));
    /// ```
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let index = self.find(key).ok()?;
        Some(&self.rows[index].1)
    }

    /// Mutable reference to the value for `key`.
    ///
    /// ```
    /// let mut map = siskinstep::sorted::Sorted::default();
    /// map.insert(3, 1);
    /// *map.get_mut(&3).unwrap() += 1;
    /// assert_eq!(map.get(&3), Some(&2));
    /// ```
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let index = self.find(key).ok()?;
        Some(&mut self.rows[index].1)
    }

    /// Sets the value for `key` and returns the previous value.
    ///
    /// ```
    /// let mut map = siskinstep::sorted::Sorted::default();
    /// assert_eq!(map.insert(1, 'a'), None);
    /// assert_eq!(map.insert(1, 'b'), Some('a'));
    /// ```
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.rows[index].1, value)),
            Err(index) => {
                self.rows.insert(index, (key, value));
                None
            }
        }
    }

    /// Removes the value for `key` and returns it.
    ///
    /// ```
    /// let mut map = siskinstep::sorted::Sorted::default();
    /// map.insert(1, 'a');
    /// assert_eq!(map.remove(&1), Some('a'));
    /// assert!(map.is_empty());
    /// ```
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let index = self.find(key).ok()?;
        Some(self.rows.remove(index).1)
    }

    /// Removes all rows for which `keep` returns `false`.
    ///
    /// ```
    /// let mut map = siskinstep::sorted::Sorted::default();
    /// map.insert(1, 'a');
    /// map.retain(|key, _| *key > 1);
    /// assert_eq!(map.len(), 0);
    /// ```
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(key, value)| keep(key, value));
    }

    /// All rows in ascending key order.
    ///
    /// ```
    /// let mut map = siskinstep::sorted::Sorted::default();
    /// map.insert(2, 'b');
    /// map.insert(1, 'a');
    /// assert_eq!(map.rows(), [(1, 'a'), (2, 'b')]);
    /// ```
    #[must_use]
    pub fn rows(&self) -> &[(K, V)] {
        &self.rows
    }

    /// Number of rows.
    ///
    /// ```
    /// assert_eq!(siskinstep::sorted::Sorted::<u8, u8>::default().len(), 0);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the map has no rows.
    ///
    /// ```
    /// assert!(siskinstep::sorted::Sorted::<u8, u8>::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn find<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.rows
            .binary_search_by(|(probe, _)| probe.borrow().cmp(key))
    }
}
