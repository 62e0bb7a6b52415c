use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use figment::Figment;
use figment::providers::{Env, Format, Serialized, Toml};
use serde::Serialize;

use super::check::{SettingsError, check};
use super::{LogFormat, LogLevel, Settings};

const ENV_PREFIX: &str = "KINGCUPWINCHD_";
const ENV_SEPARATOR: &str = "__";

/// Values given as flags, which override those of the file and of the environment.
#[derive(Debug, Clone, Default)]
pub struct Overrides {
    /// Name of the instance.
    pub name: Option<Arc<str>>,
    /// Failure domain of the instance.
    pub domain: Option<Arc<str>>,
    /// Address of the callers' port.
    pub callers: Option<SocketAddr>,
    /// Address of the port for forwarded requests.
    pub forward: Option<SocketAddr>,
    /// Address of the sibling link.
    pub link: Option<SocketAddr>,
    /// Address of the operators' port.
    pub operators: Option<SocketAddr>,
    /// Address of the platform's log service.
    pub log: Option<SocketAddr>,
    /// Address of the platform's instance list.
    pub list: Option<SocketAddr>,
    /// Format of log records.
    pub format: Option<LogFormat>,
    /// Minimum level of log records that are written.
    pub level: Option<LogLevel>,
}

/// Loads the settings from a file, the environment and flags, and checks them.
///
/// # Errors
///
/// Returns [`SettingsError`] if the file can't be read, a value has the wrong type, or the values
/// are inconsistent.
pub fn load_from_disk(path: Option<&Path>, flags: &Overrides) -> Result<Settings, SettingsError> {
    let mut figment = Figment::new();
    if let Some(path) = path {
        let text = std::fs::read_to_string(path)
            .map_err(|err| SettingsError::Unreadable(path.to_owned(), err))?;
        figment = figment.merge(Toml::string(&text));
    }
    figment = figment.merge(Env::prefixed(ENV_PREFIX).split(ENV_SEPARATOR));
    figment = apply(figment, flags);
    let settings: Settings = figment
        .extract()
        .map_err(|err| SettingsError::Malformed(Box::new(err)))?;
    check(&settings)?;
    Ok(settings)
}

fn apply(figment: Figment, flags: &Overrides) -> Figment {
    let figment = set(figment, "instance.name", flags.name.as_ref());
    let figment = set(figment, "instance.domain", flags.domain.as_ref());
    let figment = set(figment, "listen.callers", flags.callers.as_ref());
    let figment = set(figment, "listen.forward", flags.forward.as_ref());
    let figment = set(figment, "listen.link", flags.link.as_ref());
    let figment = set(figment, "listen.operators", flags.operators.as_ref());
    let figment = set(figment, "platform.log", flags.log.as_ref());
    let figment = set(figment, "platform.list", flags.list.as_ref());
    let figment = set(figment, "log.format", flags.format.as_ref());
    set(figment, "log.level", flags.level.as_ref())
}

fn set<T: Serialize>(figment: Figment, key: &str, value: Option<&T>) -> Figment {
    match value {
        Some(value) => figment.merge(Serialized::default(key, value)),
        None => figment,
    }
}
