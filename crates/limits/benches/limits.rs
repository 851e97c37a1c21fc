//! Prints the cost and effectiveness of the limits, compared with simpler algorithms.

#[path = "../tests/harness/mod.rs"]
mod harness;
mod tables;

fn main() {
    tables::admission::print();
    tables::fairness::print();
    tables::cost::print();
    tables::traffic::print();
}
