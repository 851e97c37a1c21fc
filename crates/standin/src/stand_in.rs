//! Start of all stand-ins that a settings file describes.

use std::io;

use crate::{Context, Control, Platform, Settings, Target};

/// The running stand-ins that a settings file describes.
pub struct StandIn {
    /// State that the stand-ins share.
    pub context: Context,
    /// Control interface of the platform and the targets.
    pub control: Control,
    /// The platform; `None` if the settings do not describe one.
    pub platform: Option<Platform>,
    /// Targets in the order of the settings.
    pub targets: Vec<Target>,
}

impl StandIn {
    /// Starts all stand-ins on the current `LocalSet`.
    pub async fn start(settings: &Settings) -> io::Result<Self> {
        let context = Context::new(settings.seed);
        let platform = match &settings.platform {
            Some(platform) => Some(Platform::bind(platform.clone(), &context).await?),
            None => None,
        };
        let mut targets = Vec::new();
        for target in settings.expanded() {
            targets.push(Target::bind(target, &context, platform.as_ref()).await?);
        }
        let control =
            Control::bind(settings.control, &context, platform.clone(), targets.clone()).await?;
        Ok(Self { context, control, platform, targets })
    }

    /// Returns one line of `key=value` pairs for each listener.
    pub fn listeners(&self) -> Vec<String> {
        let control = format!("listener=control address={}", self.control.address());
        let platform = self.platform.as_ref();
        let platform =
            platform.map(|platform| format!("listener=platform address={}", platform.address()));
        let targets = self.targets.iter().map(|target| {
            let settings = target.settings();
            format!(
                "listener=target target={} back_end={} zone={} address={}",
                settings.target,
                settings.back_end,
                settings.zone,
                target.address()
            )
        });
        std::iter::once(control).chain(platform).chain(targets).collect()
    }
}
