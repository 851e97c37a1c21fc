//! Tables of placement quality, downtime, controller cost and message sizes. Run with
//! `cargo bench -p wagtailmoor-ownership`.

mod cost;
mod downtime;
mod placement;
mod routes;
mod table;

// Shares the simulated system with the seeded tests.
#[allow(dead_code)]
#[path = "../../tests/suite/chaos.rs"]
mod chaos;
#[allow(dead_code)]
#[path = "../../tests/suite/fake_table.rs"]
mod fake_table;
#[allow(dead_code)]
#[path = "../../tests/suite/fake_target.rs"]
mod fake_target;
#[allow(dead_code)]
#[path = "../../tests/suite/network.rs"]
mod network;
#[allow(dead_code)]
#[path = "../../tests/suite/node.rs"]
mod node;
#[allow(dead_code)]
#[path = "../../tests/suite/observation.rs"]
mod observation;
#[allow(dead_code)]
#[path = "../../tests/suite/occupancy.rs"]
mod occupancy;
#[allow(dead_code)]
#[path = "../../tests/suite/world.rs"]
mod world;

fn main() {
    // `cargo bench -p wagtailmoor-ownership -- cost` prints only that group of tables.
    let named: Vec<String> = std::env::args().skip(1).filter(|it| !it.starts_with('-')).collect();
    let groups: [(&str, fn()); 4] = [
        ("placement", placement::print),
        ("downtime", downtime::print),
        ("cost", cost::print),
        ("routes", routes::print),
    ];
    for (_, print) in
        groups.iter().filter(|(name, _)| named.is_empty() || named.contains(&(*name).to_owned()))
    {
        print();
    }
}
