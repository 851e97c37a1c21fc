//! Random schedules of faults.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::MS;

/// Fault of a node, its network or an issuer.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Pause { node: usize, for_us: u64 },
    Restart { node: usize },
    Leave { node: usize, graceful: bool },
    Join { node: usize },
    Partition { node: usize, for_us: u64 },
    MoveIssuer { zone: usize, to: usize, gap_us: u64 },
}

/// Nodes, their network and the faults injected into them.
#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub zones: usize,
    pub faults: Vec<(u64, Fault)>,
    /// Time by which all faults have ended.
    pub faults_end_us: u64,
    pub end_us: u64,
    /// Share of messages lost until the faults end.
    pub loss_rate: f64,
    /// Share of messages delayed by up to 600 ms until the faults end.
    pub delay_rate: f64,
    pub latency_us: u64,
    pub drift: bool,
}

impl Plan {
    /// Creates a plan without faults.
    pub fn without_faults(nodes: usize, zones: usize, end_us: u64) -> Self {
        Self {
            nodes,
            zones,
            faults: Vec::new(),
            faults_end_us: 0,
            end_us,
            loss_rate: 0.0,
            delay_rate: 0.0,
            latency_us: 750,
            drift: false,
        }
    }

    /// Creates a plan with random nodes and faults, followed by `fault_free_us` without faults.
    pub fn random(rng: &mut ChaCha8Rng, faults_us: u64, fault_free_us: u64) -> Self {
        let zones = rng.random_range(1..=3);
        let mut plan =
            Self::without_faults(rng.random_range(zones..=6), zones, faults_us + fault_free_us);
        plan.faults_end_us = faults_us;
        plan.loss_rate = [0.0, 0.02, 0.2][rng.random_range(0..3)];
        plan.delay_rate = [0.0, 0.02, 0.2][rng.random_range(0..3)];
        plan.drift = true;
        for _ in 0..rng.random_range(0..12) {
            let at = rng.random_range(0..faults_us);
            let fault = plan.random_fault(rng, faults_us - at);
            plan.faults.push((at, fault));
        }
        plan
    }

    /// Makes one node leave every `every_us`, alternately gracefully and abruptly, and rejoin after
    /// 500 ms.
    pub fn with_churn(mut self, every_us: u64) -> Self {
        let times =
            (1..).map(|round| round * every_us).take_while(|at| *at + 700 * MS < self.end_us);
        for (round, at) in times.enumerate() {
            let node = round * 7 % self.nodes;
            let leave = Fault::Leave { node, graceful: round % 2 == 0 };
            self.faults.push((at, leave));
            self.faults.push((at + 500 * MS, Fault::Join { node }));
        }
        self
    }

    fn random_fault(&self, rng: &mut ChaCha8Rng, max_duration_us: u64) -> Fault {
        let node = rng.random_range(0..self.nodes);
        let for_us = rng.random_range(0..=max_duration_us.min(1_500 * MS));
        match rng.random_range(0..7) {
            0 => Fault::Pause { node, for_us },
            1 => Fault::Restart { node },
            2 => Fault::Leave { node, graceful: rng.random_bool(0.5) },
            3 => Fault::Join { node },
            4 => Fault::Partition { node, for_us },
            _ => Fault::MoveIssuer {
                zone: rng.random_range(0..self.zones),
                to: node,
                gap_us: rng.random_range(0..=max_duration_us.min(600 * MS)),
            },
        }
    }
}
