//! Settings file of the stand-in process.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};
use wagtailmoor_core::TargetId;
use wagtailmoor_derive::value;

use crate::{PlatformSettings, TargetSettings};

/// Settings of a stand-in process.
#[value]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Seed of the random numbers.
    #[serde(default)]
    pub seed: u64,
    /// Address of the control interface.
    #[serde(default = "loopback")]
    pub control: SocketAddr,
    /// Settings of the platform; without them no platform is started.
    #[serde(default)]
    pub platform: Option<PlatformSettings>,
    /// Groups of targets.
    #[serde(default)]
    pub targets: Vec<TargetGroup>,
}

/// Targets that differ only in id, port and zone.
#[value]
#[serde(deny_unknown_fields)]
pub struct TargetGroup {
    /// Number of targets. If it is above one, `-1`, `-2` and so on are appended to their ids.
    #[serde(default = "one")]
    pub count: u32,
    /// Zones that are assigned to the targets in turn, in place of the zone of the settings.
    #[serde(default)]
    pub zones: Vec<wagtailmoor_core::ZoneId>,
    /// Settings of the first target. Each further one has the next port, unless the port is 0.
    pub settings: TargetSettings,
}

/// An error when reading a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The file does not contain valid settings.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// The error, with line and field.
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
    /// Two targets have the same id.
    #[snafu(display("{}: targets: duplicate id {target}", path.display()))]
    DuplicateTarget {
        /// Path of the file.
        path: PathBuf,
        /// The id.
        target: TargetId,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let settings: Self = serde_saphyr::from_str(&text).context(ParseSnafu { path })?;
        let mut ids: Vec<_> = settings.expanded().into_iter().map(|each| each.target).collect();
        ids.sort_unstable();
        match ids.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => DuplicateTargetSnafu { path, target: pair[0].clone() }.fail(),
            None => Ok(settings),
        }
    }

    /// Returns the settings of each target of all groups.
    pub fn expanded(&self) -> Vec<TargetSettings> {
        self.targets
            .iter()
            .flat_map(|group| (0..group.count).map(|n| group.target_settings(n)))
            .collect()
    }
}

impl TargetGroup {
    fn target_settings(&self, number: u32) -> TargetSettings {
        let mut settings = self.settings.clone();
        if self.count > 1 {
            let id = format!("{}-{}", settings.target, number + 1).parse();
            settings.target = id.unwrap_or(settings.target);
        }
        if settings.listen.port() != 0 {
            let port = settings.listen.port().saturating_add(number as u16);
            settings.listen.set_port(port);
        }
        let zones = self.zones.len();
        if zones > 0 {
            settings.zone = self.zones[number as usize % zones].clone();
        }
        settings
    }
}

fn one() -> u32 {
    1
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
