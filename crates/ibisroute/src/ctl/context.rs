//! Global options and the clients that the commands create from them.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::hash::Hasher;
use std::io::Read;
use std::net::SocketAddr;
use std::rc::Rc;

use clap::ArgMatches;
use eyre::WrapErr;

use super::admin_client::AdminClient;
use super::exit::CommandError;
use super::exit::Exit;
use super::output::OutputFormat;
use crate::catalogue;
use crate::catalogue::model::Catalogue;
use crate::catalogue::store::CatalogueStore;
use crate::catalogue::store_settings::StoreSettings;
use crate::platform::client::HttpPlatform;
use crate::platform::platform_settings::PlatformSettings;

/// Options that all commands share.
pub struct Context {
    platform_addr: Option<SocketAddr>,
    node_addr: Option<SocketAddr>,
    retry_for_ms: u64,
    pub output: OutputFormat,
}

impl Context {
    /// Reads the global options.
    pub fn new(matches: &ArgMatches) -> Self {
        let is_json = matches.get_one::<String>("output").is_some_and(|s| s == "json");
        Self {
            platform_addr: matches.get_one("platform").copied(),
            node_addr: matches.get_one("node").copied(),
            retry_for_ms: matches.get_one::<u64>("retry-s").map_or(10_000, |s| s * 1000),
            output: if is_json { OutputFormat::Json } else { OutputFormat::Table },
        }
    }

    /// Whether `--platform` was given.
    pub fn has_platform(&self) -> bool {
        self.platform_addr.is_some()
    }

    /// Returns a client for the accepted catalogue versions in the platform. Fails with a usage
    /// error without `--platform`.
    pub fn store(&self) -> Result<CatalogueStore, CommandError> {
        let Some(address) = self.platform_addr else {
            return Err(CommandError::usage("this command needs --platform IP:PORT".to_string()));
        };
        let cfg = PlatformSettings { address, ..PlatformSettings::default() };
        let platform = Rc::new(HttpPlatform::new(cfg));
        let cfg = StoreSettings { retry_for_ms: self.retry_for_ms, ..StoreSettings::default() };
        Ok(CatalogueStore::new(platform, cfg, random_seed()))
    }

    /// Returns a client for admin interfaces, and the address given with `--node`. Fails with a
    /// usage error without `--node`.
    pub fn node(&self) -> Result<(AdminClient, SocketAddr), CommandError> {
        let Some(address) = self.node_addr else {
            return Err(CommandError::usage("this command needs --node IP:PORT".to_string()));
        };
        Ok((AdminClient::new(), address))
    }
}

/// Returns a random number. It comes from a hasher of the standard library, whose keys are random
/// in each process.
fn random_seed() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}

/// Reads a file, or standard input for `-`.
pub fn read_file(path: &str) -> Result<Vec<u8>, CommandError> {
    if path != "-" {
        return Ok(std::fs::read(path).wrap_err_with(|| format!("cannot read {path}"))?);
    }
    let mut bytes = Vec::new();
    std::io::stdin().read_to_end(&mut bytes).wrap_err("cannot read standard input")?;
    Ok(bytes)
}

/// Reads and parses a catalogue file, and prints validation errors on standard error.
pub fn read_catalogue(path: &str) -> Result<Catalogue, CommandError> {
    catalogue::parse(&read_file(path)?).map_err(|errors| {
        eprintln!("{path} is not a valid catalogue:\n{errors}");
        CommandError::silent(Exit::Invalid)
    })
}
