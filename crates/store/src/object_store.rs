//! Interface of the object store.

use bytes::Bytes;

use crate::StoreError;

/// A store of whole objects.
pub trait ObjectStore {
    /// Reads an object; `None` if there is none of that name.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, StoreError>>;

    /// Stores an object, replacing any of the same name.
    fn put(&self, name: &str, object: Bytes) -> impl Future<Output = Result<(), StoreError>>;
}
