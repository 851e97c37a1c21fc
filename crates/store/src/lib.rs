//! Access to the platform: table service, object store and host list.
//!
//! Other crates use the traits; [`HttpPlatform`] implements them over the platform's HTTP
//! interface.

mod change_feed;
mod config_store;
mod deflate;
mod host_list;
mod http_platform;
mod json_client;
mod object_store;
mod packed_page;
mod packed_row;
mod store_error;
mod stored_row;
mod table;
mod wire;

pub use change_feed::{ChangeFeed, FeedError, FeedPage, FeedRow};
pub use config_store::{
    AppendOutcome, ConfigStoreError, append_change, read_changes, read_configuration,
    read_snapshot, write_snapshot,
};
pub use host_list::{HostList, ListedNode, ListedTarget, Listing, ListingState};
pub use http_platform::HttpPlatform;
pub use json_client::{JsonClient, JsonResponse};
pub use object_store::ObjectStore;
pub use packed_page::PackedPage;
pub use packed_row::PackedRow;
pub use store_error::StoreError;
pub use stored_row::StoredRow;
pub use table::{Row, RowWrite, Table, WriteOutcome, write_and_confirm};
pub use wire::percent_encode;
