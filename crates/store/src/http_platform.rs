//! HTTP client of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use wagtailmoor_core::{NodeId, WriteId};

use crate::wire::{ConflictBody, RowBody, ScanBody, TransactionBody, VersionsBody, percent_encode};
use crate::{
    HostList, HostListSnapshot, JsonClient, JsonResponse, ListedNode, ObjectStore, Row, RowWrite,
    StoreError, Table, WriteOutcome,
};

/// Longer than a slow store takes to respond, shorter than an operator waits for a command.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// HTTP client of the platform's table service, object store and host list.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: JsonClient,
    address: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client; it connects on the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: JsonClient::new(REQUEST_TIMEOUT), address }
    }

    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<JsonResponse, StoreError> {
        self.client
            .send(method, self.address, path, body)
            .await
            .map_err(|cause| StoreError::Unavailable { cause })
    }

    async fn get_path(&self, path: &str) -> Result<JsonResponse, StoreError> {
        self.request(Method::GET, path, Bytes::new()).await
    }
}

fn status_error(response: &JsonResponse) -> StoreError {
    let cause = format!("status {}", response.status);
    match response.status {
        StatusCode::SERVICE_UNAVAILABLE => StoreError::Unavailable { cause },
        _ => StoreError::Protocol { cause },
    }
}

fn decode<T: serde::de::DeserializeOwned>(response: &JsonResponse) -> Result<T, StoreError> {
    match response.status {
        StatusCode::OK => {
            response.decode().map_err(|error| StoreError::Protocol { cause: error.to_string() })
        }
        _ => Err(status_error(response)),
    }
}

fn expect_success(response: &JsonResponse) -> Result<(), StoreError> {
    match response.status.is_success() {
        true => Ok(()),
        false => Err(status_error(response)),
    }
}

impl Table for HttpPlatform {
    async fn read(&self, row: &str) -> Result<Option<Row>, StoreError> {
        let response = self.get_path(&format!("/table/{}", percent_encode(row))).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => decode::<RowBody>(&response)?.into_row(Some(row)).map(Some),
        }
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let (prefix, after) = (percent_encode(prefix), percent_encode(after));
        let path = format!("/table?prefix={prefix}&after={after}&limit={limit}");
        let body: ScanBody = decode(&self.get_path(&path).await?)?;
        body.rows.into_iter().map(|row| row.into_row(None)).collect()
    }

    async fn write(&self, write_id: WriteId, writes: &[RowWrite]) -> WriteOutcome {
        let body = TransactionBody::new(write_id, writes);
        let result = self.client.send_json(Method::POST, self.address, "/table", &body).await;
        let Ok(response) = result else { return WriteOutcome::Unknown };
        match response.status {
            StatusCode::OK => response
                .decode::<VersionsBody>()
                .map_or(WriteOutcome::Unknown, |body| WriteOutcome::Done(body.versions)),
            StatusCode::CONFLICT => {
                response.decode::<ConflictBody>().map_or(WriteOutcome::Unknown, |body| {
                    WriteOutcome::Conflict { row: body.row, version: body.version }
                })
            }
            _ => WriteOutcome::Unknown,
        }
    }
}

impl ObjectStore for HttpPlatform {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        let response = self.get_path(&format!("/objects/{}", percent_encode(name))).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(response.body)),
            _ => Err(status_error(&response)),
        }
    }

    async fn put(&self, name: &str, object: Bytes) -> Result<(), StoreError> {
        let path = format!("/objects/{}", percent_encode(name));
        expect_success(&self.request(Method::PUT, &path, object).await?)
    }
}

impl HostList for HttpPlatform {
    async fn list(&self) -> Result<HostListSnapshot, StoreError> {
        decode(&self.get_path("/hosts").await?)
    }

    async fn announce(&self, node: &ListedNode) -> Result<(), StoreError> {
        let path = format!("/hosts/nodes/{}", node.node);
        let result = self.client.send_json(Method::PUT, self.address, &path, node).await;
        expect_success(&result.map_err(|cause| StoreError::Unavailable { cause })?)
    }

    async fn withdraw(&self, node: &NodeId) -> Result<(), StoreError> {
        let path = format!("/hosts/nodes/{node}");
        expect_success(&self.request(Method::DELETE, &path, Bytes::new()).await?)
    }
}
