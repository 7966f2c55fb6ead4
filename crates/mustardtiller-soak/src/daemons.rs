//! The daemons of a run, as child processes.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use crate::address::AddressBlock;

/// Port of a daemon's entry.
pub const ENTRY_PORT: u16 = 8_000;

/// Port on which a daemon accepts links.
pub const LINK_PORT: u16 = 9_000;

/// Port that an upstream listens on.
pub const UPSTREAM_PORT: u16 = 7_000;

/// Port at which a daemon connects to the store.
pub const STORE_PORT: u16 = 6_000;

/// Memory that a daemon may take, in KB: the target's 128 MB.
const MAX_MEMORY_KB: u64 = 128 * 1024;

/// Data centres, assigned to hosts in rotation.
const PLACES: &[&str] = &["here", "there"];

/// Return the data centre of a host.
#[must_use]
pub const fn data_centre_of(host: usize) -> &'static str {
    PLACES[host % PLACES.len()]
}

/// The daemons of a run, killed on drop.
#[derive(Debug)]
pub struct Daemons {
    program: PathBuf,
    folder: PathBuf,
    children: Vec<Option<Child>>,
    exit_expected: Vec<bool>,
    unexpected_exits: Vec<String>,
    over_memory: Vec<String>,
}

impl Daemons {
    /// Prepare the daemons; their settings and logs go to `folder`.
    #[must_use]
    pub fn new(program: &Path, folder: &Path, hosts: usize) -> Self {
        Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            children: (0..hosts).map(|_| None).collect(),
            exit_expected: vec![false; hosts],
            unexpected_exits: Vec::new(),
            over_memory: Vec::new(),
        }
    }

    /// Write the settings of a host's daemon.
    ///
    /// `spare` is the number of retries allowed beyond the percentage; it differs at
    /// each reload, so that the settings change.
    ///
    /// # Panics
    ///
    /// Panics if the file can't be written.
    pub fn write_settings(&self, block: &AddressBlock, host: usize, spare: u64) {
        let text = format!(
            "[daemon]\nupstream = daemon-{host}\nplace = {data_centre}\nentry = {entry}\nlink = {link}\n\
             link_listen = {listen}\ncaller = shop\nthreads = {threads}\nlog_level = info\n\
             request_lines_per_s = 200\nwithdraw_ms = 400\nstop_ms = 4000\n\
             [platform]\nkind = store\naddress = {store}\n\
             [discovery]\nupstream = {upstream}\nservice = shop\nread_ms = 300\nlisten_ms = 500\nidle_listen_ms = 500\n\
             [probes]\nper_s = 54\n[limits]\nheld_body_bytes = 1000000\n\
             [spread]\nreaders = 1\nstart_ms = 300\nwatch_step_ms = 1000\npeers_ms = 60\ngossip_ms = 500\n\
             retry_ms = 200\nmax_retry_ms = 1000\n\
             [retries]\npercent = 20\nspare = {spare}\nwindow_ms = 10000\n",
            data_centre = data_centre_of(host),
            threads = 1 + host % 2,
            entry = block.private(host, ENTRY_PORT),
            link = block.public(host, LINK_PORT),
            listen = block.private(host, LINK_PORT),
            store = block.public(host, STORE_PORT),
            upstream = block.public(host, UPSTREAM_PORT),
        );
        fs::write(self.settings_path(host), text).expect("failed to write the settings file");
    }

    /// Start a host's daemon unless it is running.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started.
    pub fn start(&mut self, host: usize) {
        if self.children[host].is_some() {
            return;
        }
        let log = |kind: &str| {
            let path = self.folder.join(format!("{host}.{kind}"));
            let file = File::options().create(true).append(true).open(path);
            file.expect("failed to open the log file")
        };
        let child = Command::new(&self.program)
            .arg(self.settings_path(host))
            .stdin(Stdio::null())
            .stdout(log("log"))
            .stderr(log("err"))
            .spawn();
        self.children[host] = Some(child.expect("failed to start the daemon"));
        self.exit_expected[host] = false;
    }

    /// Send a signal to a host's daemon if it is running.
    pub fn signal(&mut self, host: usize, signal: Signal) {
        if signal == Signal::TERM || signal == Signal::KILL {
            self.exit_expected[host] = true;
            self.check_memory(host);
        }
        let Some(child) = &self.children[host] else {
            return;
        };
        let pid = Pid::from_raw(child.id() as i32);
        // Fails if the daemon has just exited; `reap` finds it then.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Collect the daemons that have exited, and return their hosts.
    ///
    /// # Panics
    ///
    /// Panics if the exit status of a daemon can't be queried.
    pub fn reap(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        for host in 0..self.children.len() {
            let Some(child) = &mut self.children[host] else {
                continue;
            };
            let status = child
                .try_wait()
                .expect("failed to query a daemon's exit status");
            if let Some(status) = status {
                if !self.exit_expected[host] {
                    self.unexpected_exits
                        .push(format!("daemon {host} ended: {status}"));
                }
                self.children[host] = None;
                ended.push(host);
            }
        }
        ended
    }

    /// Return a line for each daemon that exited without SIGTERM or SIGKILL.
    #[must_use]
    pub fn unexpected_exits(&self) -> Vec<String> {
        self.unexpected_exits.clone()
    }

    /// Record a daemon that runs if its memory has passed the target.
    fn check_memory(&mut self, host: usize) {
        let Some(child) = &self.children[host] else {
            return;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|line| line.split_whitespace().next()?.parse().ok());
        let peak_kb: u64 = peak.unwrap_or_default();
        if peak_kb > MAX_MEMORY_KB {
            self.over_memory
                .push(format!("daemon {host} took {peak_kb} KB"));
        }
    }

    /// Return a line for each daemon whose memory passed the target.
    pub fn over_memory(&mut self) -> Vec<String> {
        for host in 0..self.children.len() {
            self.check_memory(host);
        }
        std::mem::take(&mut self.over_memory)
    }

    /// Return the log lines that are not JSON, and all lines on standard error.
    ///
    /// Lines truncated by a kill are skipped.
    #[must_use]
    pub fn invalid_log_lines(&self) -> Vec<String> {
        let mut invalid = Vec::new();
        for host in 0..self.children.len() {
            let read = |kind: &str| {
                let path = self.folder.join(format!("{host}.{kind}"));
                fs::read_to_string(path).unwrap_or_default()
            };
            let log = read("log");
            let lines = log.lines().filter(|line| line.ends_with('}'));
            let malformed = lines.filter(|line| {
                // A restarted daemon appends to the line that a kill truncated.
                let start = line.rfind("{\"time\"").unwrap_or_default();
                serde_json::from_str::<serde_json::Value>(&line[start..]).is_err()
            });
            invalid.extend(malformed.chain(read("err").lines()).map(str::to_owned));
        }
        invalid
    }

    fn settings_path(&self, host: usize) -> PathBuf {
        self.folder.join(format!("{host}.ini"))
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            // The daemon may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
