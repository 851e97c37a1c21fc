//! Seeded schedules of controllers, targets and a table on a simulated clock.

mod chaos;
mod fake_table;
mod fake_target;
mod injected;
mod liveness;
mod network;
mod node;
mod observation;
mod occupancy;
mod schedules;
mod world;
