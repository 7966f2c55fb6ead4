//! The process's logger.

use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;

/// One line an event: time, level, text.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f%z)(utc)} {l} {m}{n}";

/// Start logging to standard error at `level`.
///
/// # Errors
///
/// Returns the cause as text if a logger runs already.
pub fn start_logger(level: LevelFilter) -> Result<(), String> {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .map_err(|e| e.to_string())?;
    log4rs::init_config(config)
        .map(drop)
        .map_err(|e| e.to_string())
}
