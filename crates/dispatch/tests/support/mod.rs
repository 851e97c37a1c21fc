//! Simulation of clients, nodes, targets and a table with a virtual clock.

pub(crate) mod budget;
pub(crate) mod fault;
pub(crate) mod history;
pub(crate) mod node;
pub(crate) mod table;
pub(crate) mod target;
pub(crate) mod world;
