//! The subcommand that writes an artefact.

use std::fs;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use super::EXIT_FAULTS;
use super::EXIT_FILES;
use super::sets;
use mustardtiller_config::Artefact;

/// Write the artefact of a set. Nothing is written if the set has faults.
pub fn build(dir: &str, out: &str) -> ExitCode {
    let set = match sets::read(dir) {
        Ok(set) => set,
        Err(code) => return code,
    };
    let artefact = match mustardtiller_config::build(&set) {
        Ok(artefact) => artefact,
        Err(e) => {
            eprintln!("mustardtiller: {e}");
            return ExitCode::from(EXIT_FAULTS);
        }
    };
    if let Err(e) = write(Path::new(out), &artefact) {
        eprintln!("mustardtiller: {out}: {e}");
        return ExitCode::from(EXIT_FILES);
    }
    println!(
        "{out}: version {}, {} parts",
        artefact.version(),
        artefact.parts.len()
    );
    ExitCode::SUCCESS
}

/// Write the parts first and the manifest last, which is moved into place.
fn write(out: &Path, artefact: &Artefact) -> io::Result<()> {
    let parts = out.join("parts");
    fs::create_dir_all(&parts)?;
    for (digest, bytes) in &artefact.parts {
        fs::write(parts.join(digest.to_string()), bytes)?;
    }
    let fresh = out.join("manifest.new");
    fs::write(&fresh, &artefact.manifest_bytes)?;
    fs::rename(fresh, out.join("manifest"))
}
