//! Segment tree with range addition and maximum.

/// Value of an inactive point; so low that additions cannot raise it above an active point.
const INACTIVE: i64 = i64::MIN / 4;

/// Segment tree over points that supports additions to ranges and the maximum of all points.
pub(crate) struct MaxSegmentTree {
    leaves: usize,
    /// Maximum of the points below each node, including the node's own `subtree_add` but not that
    /// of its ancestors.
    max: Vec<i64>,
    /// Addition that applies to all points below the node.
    subtree_add: Vec<i64>,
}

impl MaxSegmentTree {
    /// Creates a tree with `points` inactive points.
    pub(crate) fn new(points: usize) -> Self {
        let leaves = points.max(1).next_power_of_two();
        Self { leaves, max: vec![INACTIVE; 2 * leaves], subtree_add: vec![0; 2 * leaves] }
    }

    /// Activates a point with an initial value, to which all additions made before still apply.
    pub(crate) fn activate(&mut self, point: usize, value: i64) {
        self.add(point, point + 1, value - INACTIVE);
    }

    /// Adds `amount` to the points from `from` up to but not including `until`.
    pub(crate) fn add(&mut self, from: usize, until: usize, amount: i64) {
        self.add_to_node(1, (0, self.leaves), (from, until), amount);
    }

    /// Returns the maximum of the active points.
    pub(crate) fn max(&self) -> i64 {
        self.max[1]
    }

    fn add_to_node(
        &mut self,
        node: usize,
        span: (usize, usize),
        range: (usize, usize),
        amount: i64,
    ) {
        if range.1 <= span.0 || span.1 <= range.0 {
            return;
        }
        if range.0 <= span.0 && span.1 <= range.1 {
            self.max[node] += amount;
            self.subtree_add[node] += amount;
            return;
        }
        let middle = usize::midpoint(span.0, span.1);
        self.add_to_node(2 * node, (span.0, middle), range, amount);
        self.add_to_node(2 * node + 1, (middle, span.1), range, amount);
        let children_max = self.max[2 * node].max(self.max[2 * node + 1]);
        self.max[node] = children_max + self.subtree_add[node];
    }
}
