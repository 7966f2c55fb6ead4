//! Daemons as processes of their own.

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

use crate::address::Block;

/// Port at which a daemon takes callers.
pub const ENTRY_PORT: u16 = 8_000;

/// Port at which a daemon takes links.
pub const LINK_PORT: u16 = 9_000;

/// Port at which an upstream serves.
pub const UPSTREAM_PORT: u16 = 7_000;

/// Port at which a daemon reaches the store.
pub const STORE_PORT: u16 = 6_000;

/// Data centres that hosts stand in, by turns.
const PLACES: &[&str] = &["here", "there"];

/// Return the data centre of a host.
#[must_use]
pub const fn place_of(host: usize) -> &'static str {
    PLACES[host % PLACES.len()]
}

/// The daemons of one run; dropped, it ends each by its id.
#[derive(Debug)]
pub struct Daemons {
    program: PathBuf,
    folder: PathBuf,
    children: Vec<Option<Child>>,
    expected: Vec<bool>,
    own_ends: Vec<String>,
}

impl Daemons {
    /// Prepare daemons, whose settings and logs lie in `folder`.
    #[must_use]
    pub fn new(program: &Path, folder: &Path, hosts: usize) -> Self {
        Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            children: (0..hosts).map(|_| None).collect(),
            expected: vec![false; hosts],
            own_ends: Vec::new(),
        }
    }

    /// Write the settings of a host's daemon; `spare` differs with each reload.
    ///
    /// # Panics
    ///
    /// Panics if the file can't be written.
    pub fn write_settings(&self, block: &Block, host: usize, spare: u64) {
        let text = format!(
            "[daemon]\nupstream = daemon-{host}\nplace = {place}\nentry = {entry}\nlink = {link}\n\
             link_listen = {listen}\ncaller = shop\nthreads = {threads}\nlog_level = info\n\
             request_lines_per_s = 200\nwithdraw_ms = 400\nstop_ms = 4000\n\
             [platform]\nkind = store\naddress = {store}\n\
             [discovery]\nupstream = {upstream}\nservice = shop\nread_ms = 300\n\
             [probes]\nper_s = 54\n[limits]\nheld_body_bytes = 1000000\n\
             [spread]\nreaders = 1\nstart_ms = 20\npeers_ms = 60\ngossip_ms = 500\n\
             retry_ms = 200\nmax_retry_ms = 1000\n\
             [retries]\npercent = 20\nspare = {spare}\nwindow_ms = 10000\n",
            place = place_of(host),
            threads = 1 + host % 2,
            entry = block.own(host, ENTRY_PORT),
            link = block.public(host, LINK_PORT),
            listen = block.own(host, LINK_PORT),
            store = block.public(host, STORE_PORT),
            upstream = block.public(host, UPSTREAM_PORT),
        );
        fs::write(self.settings_path(host), text).expect("the settings can be written");
    }

    /// Start the daemon of a host, if it does not run.
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
            file.expect("the log can be opened")
        };
        let child = Command::new(&self.program)
            .arg(self.settings_path(host))
            .stdin(Stdio::null())
            .stdout(log("log"))
            .stderr(log("err"))
            .spawn();
        self.children[host] = Some(child.expect("the daemon can be started"));
        self.expected[host] = false;
    }

    /// Send a signal to the daemon of a host, if it runs.
    pub fn signal(&mut self, host: usize, signal: Signal) {
        if signal == Signal::TERM || signal == Signal::KILL {
            self.expected[host] = true;
        }
        let Some(child) = &self.children[host] else {
            return;
        };
        let pid = Pid::from_raw(child.id() as i32);
        // One that has ended meanwhile takes no signal, and is found by `reap`.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Note which daemons have ended, and return them.
    ///
    /// # Panics
    ///
    /// Panics if a child can't be waited for.
    pub fn reap(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        for host in 0..self.children.len() {
            let Some(child) = &mut self.children[host] else {
                continue;
            };
            let status = child.try_wait().expect("a child can be waited for");
            if let Some(status) = status {
                if !self.expected[host] {
                    self.own_ends.push(format!("daemon {host} ended: {status}"));
                }
                self.children[host] = None;
                ended.push(host);
            }
        }
        ended
    }

    /// Return the daemons that ended without being told to.
    #[must_use]
    pub fn own_ends(&self) -> Vec<String> {
        self.own_ends.clone()
    }

    /// Return lines of logs that are no JSON objects, and what was written as errors.
    ///
    /// A line that a kill broke off is none of them.
    #[must_use]
    pub fn strange_lines(&self) -> Vec<String> {
        let mut strange = Vec::new();
        for host in 0..self.children.len() {
            let read = |kind: &str| {
                let path = self.folder.join(format!("{host}.{kind}"));
                fs::read_to_string(path).unwrap_or_default()
            };
            let log = read("log");
            let lines = log.lines().filter(|line| line.ends_with('}'));
            let odd = lines.filter(|line| {
                // After a kill the next start writes behind what was broken off.
                let start = line.rfind("{\"time\"").unwrap_or_default();
                serde_json::from_str::<serde_json::Value>(&line[start..]).is_err()
            });
            strange.extend(odd.chain(read("err").lines()).map(str::to_owned));
        }
        strange
    }

    fn settings_path(&self, host: usize) -> PathBuf {
        self.folder.join(format!("{host}.ini"))
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
