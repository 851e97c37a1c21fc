//! Rows that nodes relay to each other.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{Instant, RowVersion, SortedVec, StoreEra};
use wagtailmoor_router::RowCache;
use wagtailmoor_store::{CompressedPage, FeedPage, FeedRow};

const TABLE: &str = "servers";

const NOW: Instant = Instant::from_us(1_000_000);

const NODES: usize = 4;

const KEYS: usize = 6;

/// A store that keeps the newest version of each row, removed or not.
#[derive(Default)]
struct Store {
    rows: SortedVec<String, FeedRow>,
    version: u64,
    discarded: u64,
}

impl Store {
    fn write(&mut self, key: &str, content: Option<&'static str>) {
        self.version += 1;
        let row = FeedRow {
            key: key.into(),
            version: RowVersion::new(self.version),
            content: content.map(|text| text.as_bytes().into()),
        };
        self.rows.insert(key.to_owned(), row);
    }

    fn page(&self, is_sent: impl Fn(&FeedRow) -> bool) -> FeedPage {
        let rows = self.rows.values().filter(|row| is_sent(row)).cloned().collect();
        FeedPage { rows, version: RowVersion::new(self.version), store_time: None }
    }

    /// Lets a node read the changes, or the whole table if it has none or its changes are discarded.
    fn read(&self, cache: &mut RowCache) {
        let after = cache.version(TABLE);
        let page = match after.get() {
            0 => CompressedPage::compress_listing(self.page(|row| row.content.is_some())),
            number if number < self.discarded => {
                CompressedPage::compress_listing(self.page(|row| row.content.is_some()))
            }
            _ => CompressedPage::compress(self.page(|row| row.version > after)),
        };
        cache.merge(NOW, TABLE, page);
    }

    fn keys(&self) -> Vec<String> {
        let present = self.rows.iter().filter(|(_, row)| row.content.is_some());
        present.map(|(key, _)| key.clone()).collect()
    }
}

fn relay(from: &RowCache, to: &mut RowCache) {
    let page = from.page(TABLE, to.version(TABLE));
    to.merge(NOW, TABLE, page);
}

/// Returns the keys of the rows that a node with no rows gets from a cache.
fn keys(cache: &RowCache) -> Vec<String> {
    let rows = cache.page(TABLE, RowVersion::default()).rows;
    rows.iter().filter(|row| !row.is_removed()).map(|row| row.key.to_string()).collect()
}

// Guards against a target that has left and stays in use: its removal happened before the relay of
// its node read the table in full, so no page named it.
#[test]
fn a_relay_that_starts_later_passes_on_removals() {
    let (mut store, mut node, mut relay_node) =
        (Store::default(), RowCache::default(), RowCache::default());
    store.write("i-1", Some("ready"));
    store.write("i-2", Some("ready"));
    store.read(&mut node);
    store.write("i-1", None);
    store.write("i-2", Some("draining"));
    store.read(&mut relay_node);
    relay(&relay_node, &mut node);
    assert_eq!(keys(&node), ["i-2"]);
}

// Guards against rows that differ between nodes with the same version, whatever they read from the
// store or from each other, with discarded history and restarts in between.
#[test]
fn nodes_at_the_version_of_the_store_have_its_rows() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut store, mut caches) = (Store::default(), Vec::new());
        caches.resize_with(NODES, RowCache::default);
        for _ in 0..60 {
            let node = random.random_range(0..NODES);
            match random.random_range(0..10) {
                0..=3 => {
                    let key = format!("i-{}", random.random_range(0..KEYS));
                    store.write(&key, random.random_bool(0.5).then_some("ready"));
                }
                4 => store.discarded = store.version,
                5 if random.random_bool(0.3) => caches[node] = RowCache::default(),
                5 | 6 => store.read(&mut caches[node]),
                _ => {
                    let other = (node + random.random_range(1..NODES)) % NODES;
                    let mut cache = std::mem::take(&mut caches[node]);
                    relay(&caches[other], &mut cache);
                    caches[node] = cache;
                }
            }
            for cache in &caches {
                if cache.version(TABLE).get() == store.version && store.version > 0 {
                    assert_eq!(keys(cache), store.keys(), "seed {seed}");
                }
            }
        }
    }
}

// Guards against a configuration that operators write right after a restore of the store, and that
// nodes hold back for seconds because the restored store issues lower numbers.
#[test]
fn a_row_that_states_its_order_is_not_held_back() {
    let row = |era: u64, number: u64, key: &str| FeedRow {
        key: key.into(),
        version: RowVersion::in_era(StoreEra::new(era), number),
        content: Some("content".into()),
    };
    let page = |era: u64, number: u64, rows: Vec<FeedRow>| {
        let version = RowVersion::in_era(StoreEra::new(era), number);
        CompressedPage::compress(FeedPage { rows, version, store_time: None })
    };
    let mut cache = RowCache::default();
    cache.set_ordered_row(TABLE, "config");
    let known = ["config", "other"].map(|key| row(0, 90, key));
    assert_eq!(cache.merge(NOW, TABLE, page(0, 90, known.to_vec())).len(), 2);
    let written_again = ["config", "other"].map(|key| row(1, 85, key));
    let newer = cache.merge(NOW, TABLE, page(1, 86, written_again.to_vec()));
    let keys: Vec<&str> = newer.iter().map(|row| &*row.key).collect();
    assert_eq!(keys, ["config"]);
}
