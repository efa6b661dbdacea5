//! Log output: one JSON object a line on standard error, or plain text.

use log::LevelFilter;
use log4rs::Config;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Logger;
use log4rs::config::Root;
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use serde::Deserialize;
use serde::Serialize;

/// Libraries whose info lines say nothing to an operator.
const QUIET_LIBRARIES: [&str; 4] = ["actix_server", "actix_http", "h2", "mio"];

/// Section `log` of the node settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LevelName,
    /// Form of a line.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LevelName::Info, format: LogFormat::Json }
    }
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LevelName {
    /// Failures that need an operator.
    Error,
    /// Things that went wrong and were handled.
    Warn,
    /// Normal events.
    Info,
    /// Details for developers.
    Debug,
    /// More details for developers.
    Trace,
}

impl From<LevelName> for LevelFilter {
    fn from(level: LevelName) -> Self {
        match level {
            LevelName::Error => Self::Error,
            LevelName::Warn => Self::Warn,
            LevelName::Info => Self::Info,
            LevelName::Debug => Self::Debug,
            LevelName::Trace => Self::Trace,
        }
    }
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Text,
}

/// Starts logging to standard error. Fails when the process logs already.
pub fn start(cfg: &LogSettings) -> eyre::Result<()> {
    let encoder: Box<dyn Encode> = match cfg.format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Text => Box::new(PatternEncoder::new("{d(%H:%M:%S%.3f)} {l} {m}{n}")),
    };
    let stderr = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let mut builder =
        Config::builder().appender(Appender::builder().build("stderr", Box::new(stderr)));
    for library in QUIET_LIBRARIES {
        builder = builder.logger(Logger::builder().build(library, LevelFilter::Warn));
    }
    let root = Root::builder().appender("stderr").build(cfg.level.into());
    log4rs::init_config(builder.build(root)?)?;
    Ok(())
}
