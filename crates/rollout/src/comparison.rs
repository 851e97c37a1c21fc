//! Score test of the bad answers of two versions, stratified by time.

/// Compares the ratio of bad answers of the new version with that of the old version in the same
/// periods.
///
/// The periods are strata of a Mantel-Haenszel test: a period in which both versions fail is no
/// evidence, whatever share of its requests the new version got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Comparison {
    answers: f64,
    bad: f64,
    /// Bad answers of the new version if both versions had the same ratio in each period.
    expected: f64,
    /// Bad answers of the new version if it had the old version's ratio in each period.
    expected_of_old: f64,
    variance: f64,
    /// Periods in which the new version had bad answers.
    bad_periods: u32,
}

impl Comparison {
    /// Adds a period with the numbers of answers and bad answers of both versions. A period without
    /// answers of one of them is no evidence.
    pub fn add(&mut self, old: (u32, u32), new: (u32, u32)) {
        if old.0 == 0 || new.0 == 0 {
            return;
        }
        let [old_answers, old_bad, new_answers, new_bad] =
            [old.0, old.1, new.0, new.1].map(f64::from);
        let ratio = (old_bad + new_bad) / (old_answers + new_answers);
        self.answers += new_answers;
        self.bad += new_bad;
        self.expected += new_answers * ratio;
        self.expected_of_old += new_answers * old_bad / old_answers;
        self.variance +=
            ratio * (1.0 - ratio) * new_answers * old_answers / (old_answers + new_answers);
        self.bad_periods += u32::from(new.1 > 0);
    }

    /// Returns the number of answers of the new version.
    pub fn answers(&self) -> f64 {
        self.answers
    }

    /// Returns the number of bad answers of the new version.
    pub fn bad(&self) -> f64 {
        self.bad
    }

    /// Returns the number of periods in which the new version had bad answers.
    pub fn bad_periods(&self) -> u32 {
        self.bad_periods
    }

    /// Returns by how many standard deviations the new version is worse.
    pub fn z(&self) -> f64 {
        match self.variance > 0.0 {
            true => (self.bad - self.expected) / self.variance.sqrt(),
            // All answers of both versions are equal, so nothing tells them apart.
            false => 0.0,
        }
    }

    /// Returns by how much the ratio of bad answers is higher than the old version's.
    pub fn excess(&self) -> f64 {
        match self.answers > 0.0 {
            true => (self.bad - self.expected_of_old) / self.answers,
            false => 0.0,
        }
    }
}
