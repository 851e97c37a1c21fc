//! Attribute macros for sets of derives that the workspace uses often.

use proc_macro::TokenStream;

const VALUE_DERIVES: &str =
    "#[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]";

const SCALAR_DERIVES: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, \
     ::serde::Serialize, ::serde::Deserialize)]";

/// Derives `Clone`, `Debug`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prepend(VALUE_DERIVES, item)
}

/// Derives the traits of [`macro@value`] and also `Copy`, `PartialOrd`, `Ord` and `Hash`.
#[proc_macro_attribute]
pub fn scalar(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prepend(SCALAR_DERIVES, item)
}

fn prepend(derives: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = derives.parse().expect("the derive list is valid Rust");
    tokens.extend(item);
    tokens
}
