//! Measures the quality of load balancing and the CPU and memory costs of this crate.
//!
//! Quality is measured by discrete-event simulation, so its results are the same in each run. CPU
//! times depend on the machine and are printed next to a baseline measured in the same run.

mod parts;

fn main() {
    parts::costs::print_memory();
    parts::stragglers::print();
    parts::cold::print();
    parts::records::print();
    parts::costs::print();
}
