//! The `build` subcommand, which writes an artefact.

use std::fs;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use super::EXIT_FAULTS;
use super::EXIT_IO;
use super::sets;
use mustardtiller_config::Artefact;

/// Build and write the artefact of a set.
///
/// Nothing is written if the set has faults.
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
        return ExitCode::from(EXIT_IO);
    }
    println!(
        "{out}: version {}, {} parts",
        artefact.version(),
        artefact.parts.len()
    );
    ExitCode::SUCCESS
}

/// Write the parts, then move the manifest into data centre.
///
/// The manifest comes last, so that it never refers to a part not yet written.
fn write(out: &Path, artefact: &Artefact) -> io::Result<()> {
    let parts = out.join("parts");
    fs::create_dir_all(&parts)?;
    for (digest, bytes) in &artefact.parts {
        fs::write(parts.join(digest.to_string()), bytes)?;
    }
    let temporary = out.join("manifest.new");
    fs::write(&temporary, &artefact.manifest_bytes)?;
    fs::rename(temporary, out.join("manifest"))
}
