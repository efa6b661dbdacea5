//! Fleets of nodes on the users' platform, whose settings are removed after the test.

use std::path::Path;
use std::path::PathBuf;

use standins::mesh::fleet::FleetOptions;
use standins::mesh::fleet::MeshFleet;

/// A folder for settings; removed when dropped.
pub(crate) struct TempFolder(PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a fleet and waits until all its nodes serve. `name` is part of the path of the settings folder.
pub(crate) fn start_fleet(name: &str, options: FleetOptions) -> (MeshFleet, TempFolder) {
    let folder = std::env::temp_dir().join(format!("ibisroute-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder for settings is created");
    let program = Path::new(env!("CARGO_BIN_EXE_ibisrouted"));
    let fleet = MeshFleet::start_with(program, &folder, options).expect("the fleet starts");
    (fleet, TempFolder(folder))
}
