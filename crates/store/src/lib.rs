//! Access to the platform: table service, object store and host list.
//!
//! Other crates use the traits; [`HttpPlatform`] implements them over the platform's HTTP
//! interface.

mod change_feed;
mod compressed_page;
mod compressed_row;
mod config_store;
mod deflate;
mod host_list;
mod http_platform;
mod json_client;
mod object_store;
mod plain_table;
mod store_clock;
mod store_error;
mod stored_row;
mod table;
mod version_gap;
mod wire;

pub use change_feed::{ChangeFeed, FeedError, FeedPage, FeedRow};
pub use compressed_page::CompressedPage;
pub use compressed_row::CompressedRow;
pub use config_store::{
    AppendOutcome, ConfigStoreError, append_change, read_changes, read_configuration,
    read_snapshot, write_snapshot,
};
pub use host_list::{HostList, HostListSnapshot, ListedNode, ListedState, ListedTarget};
pub use http_platform::HttpPlatform;
pub use json_client::{JsonClient, JsonResponse};
pub use object_store::ObjectStore;
pub use plain_table::PlainTable;
pub use store_clock::StoreClock;
pub use store_error::StoreError;
pub use stored_row::StoredRow;
pub use table::{ConfirmedOutcome, Row, RowWrite, Table, WriteOutcome, write_and_confirm};
pub use version_gap::VersionGap;
pub use wire::percent_encode;
