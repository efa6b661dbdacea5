//! Log output on standard error: one JSON object per line, or plain text.

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

/// Libraries whose info messages are of no use to an operator; of these only warnings and errors
/// are logged.
const WARNINGS_ONLY_LIBRARIES: [&str; 4] = ["actix_server", "actix_http", "h2", "mio"];

/// Section `log` of the node settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LogLevel::Info, format: LogFormat::Json }
    }
}

/// Severity of a log message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need the attention of an operator.
    Error,
    /// Failures that the node has handled.
    Warn,
    /// Events of normal operation.
    Info,
    /// Details for developers.
    Debug,
    /// More details for developers.
    Trace,
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}

/// Encoding of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text.
    Text,
}

/// Starts logging to standard error. Fails if a logger is already installed in this process.
pub fn start(cfg: &LogSettings) -> eyre::Result<()> {
    let encoder: Box<dyn Encode> = match cfg.format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Text => Box::new(PatternEncoder::new("{d(%H:%M:%S%.3f)} {l} {m}{n}")),
    };
    let stderr = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let mut config_builder =
        Config::builder().appender(Appender::builder().build("stderr", Box::new(stderr)));
    for library in WARNINGS_ONLY_LIBRARIES {
        config_builder = config_builder.logger(Logger::builder().build(library, LevelFilter::Warn));
    }
    let root_logger = Root::builder().appender("stderr").build(cfg.level.into());
    log4rs::init_config(config_builder.build(root_logger)?)?;
    Ok(())
}
