//! Parts of the benchmark.

pub(crate) mod cold;
pub(crate) mod costs;
pub(crate) mod queueing;
pub(crate) mod records;
pub(crate) mod stragglers;
