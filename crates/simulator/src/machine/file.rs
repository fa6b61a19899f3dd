//! Files that a process has open.

use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

use runtime::File;

use super::context::ProcessContext;
use super::disk::Inode;

/// Substring of the paths of the tenant registry's files.
const TENANT_REGISTRY: &str = "/tenants.";

/// An open file.
pub struct SimulatedFile {
    context: ProcessContext,
    inode: Inode,
    /// Offset of the next read or write.
    position: u64,
    /// Whether the file belongs to the tenant registry, for [`super::PlantedFault::DropTenantChanges`].
    is_tenant_registry: bool,
}

impl SimulatedFile {
    pub(super) fn new(context: ProcessContext, inode: Inode, path: &Path) -> Self {
        SimulatedFile {
            context,
            inode,
            position: 0,
            is_tenant_registry: path.to_string_lossy().contains(TENANT_REGISTRY),
        }
    }
}

impl Read for SimulatedFile {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let file = self.inode.borrow();
        let rest = file.get(self.position as usize..).unwrap_or_default();
        let count = rest.len().min(into.len());
        into[..count].copy_from_slice(&rest[..count]);
        self.position += count as u64;
        Ok(count)
    }
}

impl Write for SimulatedFile {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        let process = self.context.process;
        let mut state = self.context.state.borrow_mut();
        let is_lost = state
            .planted_fault(process)
            .is_some_and(|fault| fault.drops_written(text, self.is_tenant_registry));
        if is_lost {
            return Ok(text.len());
        }
        let short_percent = state.disk_of(process).short_write_percent;
        let max_bytes = state
            .count_write(process, text.len(), short_percent)
            .ok_or(io::ErrorKind::Other)?;
        let written = state
            .disk_of(process)
            .write(&self.inode, self.position, text, max_bytes)?;
        state.record_effect(process, "write", &text[..written]);
        self.position += written as u64;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Seek for SimulatedFile {
    fn seek(&mut self, to: SeekFrom) -> io::Result<u64> {
        let length = self.inode.borrow().len() as u64;
        let position = match to {
            SeekFrom::Start(position) => Some(position),
            SeekFrom::End(offset) => length.checked_add_signed(offset),
            SeekFrom::Current(offset) => self.position.checked_add_signed(offset),
        };
        self.position = position.ok_or(io::ErrorKind::InvalidInput)?;
        Ok(self.position)
    }
}

impl File for SimulatedFile {
    fn set_len(&self, length: u64) -> io::Result<()> {
        self.context.effect()?;
        self.context
            .state
            .borrow_mut()
            .disk_of(self.context.process)
            .resize(&self.inode, length as usize);
        Ok(())
    }
}
