//! The runtime of a simulated process.

use std::fmt;
use std::future::Future;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use runtime::{Address, BootId, BootTime, Runtime};

use super::context::ProcessContext;
use super::dial;
use super::file::SimulatedFile;
use super::listener::SimulatedListener;
use super::lock::SimulatedLock;
use super::page_file::SimulatedRandomAccessFile;
use super::planted_fault::PlantedFault;
use super::process::ProcessId;
use super::signals::SimulatedSignals;
use super::state::SharedState;
use super::stream::SimulatedStream;
use super::task::SimulatedTask;

/// Unix time at which every simulation begins.
const UNIX_TIME_AT_START: Duration = Duration::from_secs(1_790_000_000);
/// Boot id of every node; nodes never reboot.
const BOOT_ID: &str = "simulated";
/// Path of a process's configuration file.
pub const CONFIG_PATH: &str = "/config.json";

/// The machine's runtime for one process.
#[derive(Clone)]
pub struct SimulatedRuntime {
    context: ProcessContext,
}

impl SimulatedRuntime {
    pub(super) fn new(state: SharedState, process: ProcessId) -> Self {
        SimulatedRuntime {
            context: ProcessContext { state, process },
        }
    }
}

impl Runtime for SimulatedRuntime {
    type Task = SimulatedTask;
    type Stream = SimulatedStream;
    type Listener = SimulatedListener;
    type File = SimulatedFile;
    type RandomAccessFile = SimulatedRandomAccessFile;
    type Signals = SimulatedSignals;
    type Lock = SimulatedLock;

    fn now(&self) -> Instant {
        self.context.now()
    }

    fn unix_time(&self) -> Duration {
        let (state, process) = (self.context.state.borrow(), self.context.process);
        UNIX_TIME_AT_START
            + state.local_time(process)
            + state.clock_offset(process)
            + state.planted_clock_offset(process)
    }

    fn boot_time(&self) -> io::Result<BootTime> {
        let (state, process) = (self.context.state.borrow(), self.context.process);
        Ok(BootTime {
            boot: BootId(BOOT_ID.into()),
            elapsed: state.local_time(process) + state.planted_clock_offset(process),
        })
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        self.context.sleep_until(at)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> SimulatedTask {
        let future = Box::pin(task);
        let mut state = self.context.state.borrow_mut();
        let id = state.scheduler.spawn(self.context.process, future);
        SimulatedTask::new(self.context.state.clone(), id)
    }

    async fn connect(&self, to: impl Into<Address>) -> io::Result<SimulatedStream> {
        self.context.effect()?;
        dial::connect(&self.context, to.into()).await
    }

    async fn listen(&self, at: impl Into<Address>) -> io::Result<SimulatedListener> {
        self.context.effect()?;
        SimulatedListener::open(&self.context, at.into())
    }

    fn inherited_listener(&self, _: i32) -> io::Result<SimulatedListener> {
        self.context.effect()?;
        SimulatedListener::inherited(&self.context)
    }

    fn lock(&self, path: &Path) -> io::Result<Option<SimulatedLock>> {
        SimulatedLock::acquire(&self.context, path)
    }

    fn open(&self, path: &Path) -> io::Result<SimulatedFile> {
        self.context.file_effect("open", path)?;
        let mut state = self.context.state.borrow_mut();
        let inode = state.disk_of(self.context.process).open(path);
        Ok(SimulatedFile::new(self.context.clone(), inode, path))
    }

    fn create(&self, path: &Path) -> io::Result<SimulatedFile> {
        self.context.file_effect("create", path)?;
        let mut state = self.context.state.borrow_mut();
        if let Some(process) = state.processes.get_mut(&self.context.process) {
            process.schedule_kill_on_create(&path.to_string_lossy());
        }
        let inode = state.disk_of(self.context.process).create(path);
        Ok(SimulatedFile::new(self.context.clone(), inode, path))
    }

    fn open_random_access(&self, path: &Path) -> io::Result<SimulatedRandomAccessFile> {
        self.context.file_effect("pages", path)?;
        let mut state = self.context.state.borrow_mut();
        let lifetime = state
            .processes
            .get(&self.context.process)
            .map(|process| process.lifetime.clone());
        let file = state.disk_of(self.context.process).open_page_file(path);
        Ok(SimulatedRandomAccessFile::new(file, lifetime))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let mut state = self.context.state.borrow_mut();
        let contents = state.disk_of(self.context.process).contents(path);
        let is_stale = path == Path::new(CONFIG_PATH)
            && state.planted_fault(self.context.process) == Some(PlantedFault::StaleConfiguration);
        if !is_stale {
            return contents.ok_or_else(|| io::ErrorKind::NotFound.into());
        }
        let process = state.processes.get_mut(&self.context.process);
        let process = process.ok_or(io::ErrorKind::NotFound)?;
        let first = process
            .first_configuration
            .get_or_insert(contents.unwrap_or_default());
        Ok(first.clone())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.context.file_effect("rename", to)?;
        let mut state = self.context.state.borrow_mut();
        state.disk_of(self.context.process).rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.context.file_effect("remove", path)?;
        let mut state = self.context.state.borrow_mut();
        state.disk_of(self.context.process).remove(path)
    }

    fn signals(&self) -> io::Result<SimulatedSignals> {
        Ok(SimulatedSignals::new(self.context.clone()))
    }

    fn env_var(&self, name: &str) -> Option<String> {
        let state = self.context.state.borrow();
        let process = state.processes.get(&self.context.process)?;
        process.environment.get(name).cloned()
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        let mut state = self.context.state.borrow_mut();
        let process = self.context.process;
        if !state.is_dead(process) {
            state.note(format_args!("log {process}: {line}"));
        }
    }
}
