//! Compression of the rows that nodes relay to each other.

use std::fmt::Write;

use bytes::Bytes;
use rstest::rstest;
use wagtailmoor_core::RowVersion;
use wagtailmoor_store::{CompressedPage, CompressedRow, FeedPage, FeedRow};

const ROUTES: u32 = 1_400;

/// Versions written between two requests for a page.
const VERSIONS: u64 = 12;

/// Capacity of the slowest link, 10 Mbit/s, in 100 ms.
const PAGE_MAX_BYTES: usize = 125_000;

fn row(key: &str, version: u64, content: impl Into<Bytes>) -> FeedRow {
    FeedRow { key: key.into(), version: RowVersion::new(version), content: Some(content.into()) }
}

fn configuration(version: u64) -> String {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    for route in 0..ROUTES {
        write!(
            text,
            "{{\"host\":\"desk.example\",\"prefix\":\"/{:08x}/\",\"service\":\"pumps\",\
             \"mode\":\"repeatable\",\"time_limit\":2.5,\"tries_max\":2,\"urgency\":1}},",
            route.wrapping_mul(2_654_435_761)
        )
        .unwrap();
    }
    text
}

/// Guards against a burst of large configurations that saturates a slow link, so that its node
/// receives a new route seconds after the others.
#[test]
fn burst_of_large_configurations_fits_a_slow_link() {
    let versions = 1..=VERSIONS;
    let rows = versions.map(|version| row("config", version, configuration(version))).collect();
    let page = CompressedPage::compress(FeedPage {
        rows,
        version: RowVersion::new(VERSIONS),
        store_time: None,
    });

    assert_eq!(page.rows.len(), 1);
    assert_eq!(page.version, RowVersion::new(VERSIONS));
    let sent_bytes: usize = page.rows.iter().map(CompressedRow::compressed_size).sum();
    assert!(sent_bytes < PAGE_MAX_BYTES, "{sent_bytes} bytes");
    let last = page.rows[0].decompress().unwrap();
    assert_eq!(last, row("config", VERSIONS, configuration(VERSIONS)));
}

/// Guards against content that differs after compression and decompression.
#[rstest]
#[case::empty(Vec::new())]
#[case::short(b"{\"state\":\"ready\"}".to_vec())]
#[case::repetitive(vec![b'a'; 300_000])]
#[case::incompressible((0..50_000u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 13) as u8).collect())]
fn decompressed_row_equals_the_original(#[case] content: Vec<u8>) {
    let row = row("a", 7, content);
    assert_eq!(CompressedRow::compress(row.clone()).decompress().unwrap(), row);
}

/// Guards against a removed row that decompresses to a row with content.
#[test]
fn removed_row_stays_removed() {
    let compressed = CompressedRow::compress(row("a", 7, "x")).removed_at(RowVersion::new(9));
    let removed = FeedRow { key: "a".into(), version: RowVersion::new(9), content: None };
    assert!(compressed.is_removed());
    assert_eq!(compressed.decompress().unwrap(), removed);
}

/// Guards against a small message that exhausts the memory of its receiver.
#[test]
fn content_that_decompresses_beyond_the_limit_is_rejected() {
    let compressed = CompressedRow::compress(row("a", 7, vec![0; 17 * 1024 * 1024]));
    assert!(compressed.compressed_size() < 1024 * 1024);
    assert!(compressed.decompress().is_err());
}
