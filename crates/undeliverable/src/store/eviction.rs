//! Eviction of records beyond the limits of a store, oldest first.

use redb::{ReadableTable, WriteTransaction};

use super::database::Store;
use super::encoding::decode_record;
use super::error::StoreError;
use super::group::GroupBy;
use super::tables::{
    current_total, remove_record, value_or_zero, BYTE_TOTAL, COUNTS, EVICTIONS, INDEX, RECORDS,
    RECORD_TOTAL, TENANT_BYTES_KEY,
};
use crate::record::{Record, RecordId, RecordState};
use crate::Micros;

/// Limits of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Maximum bytes of all records, as counted in [`StoreTotals::bytes`](super::StoreTotals::bytes).
    pub bytes: u64,
    /// Maximum bytes of one tenant's records.
    pub tenant_bytes: u64,
    /// Maximum records.
    pub records: u64,
    /// How long a record is kept after its message was given up, in microseconds.
    pub age: Micros,
}

/// The limit that a record was evicted for.
#[derive(Clone, Copy)]
enum EvictionCause {
    Age,
    TenantBytes,
    Bytes,
    Records,
}

impl EvictionCause {
    /// The identifier in the table of evicted records.
    fn as_str(self) -> &'static str {
        match self {
            EvictionCause::Age => "age",
            EvictionCause::TenantBytes => "tenant-bytes",
            EvictionCause::Bytes => "bytes",
            EvictionCause::Records => "records",
        }
    }
}

/// One of the oldest records.
struct OldestRecord {
    id: RecordId,
    /// When the message was given up, in Unix time; none if the record can't be read.
    given_up_at: Option<Micros>,
}

/// An eviction in progress within a transaction.
struct Eviction<'a> {
    transaction: &'a WriteTransaction,
    limits: &'a StoreLimits,
    /// Records that may still be evicted.
    budget: usize,
    evicted: u64,
}

impl Store {
    /// Evicts at most `max_evictions` records beyond the limits, and returns how many were evicted; further ones may
    /// remain. Records past the maximum age are evicted first, then records of tenants beyond their bytes, then records
    /// beyond the store's total bytes and number. A record with a resend in flight is skipped.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails; nothing is changed then.
    pub fn evict_beyond_limits(
        &self,
        limits: &StoreLimits,
        now: Micros,
        max_evictions: usize,
    ) -> Result<u64, StoreError> {
        let transaction = self.database.begin_write()?;
        let oldest = oldest_records(&transaction, max_evictions)?;
        let mut eviction = Eviction {
            transaction: &transaction,
            limits,
            budget: max_evictions,
            evicted: 0,
        };
        eviction.evict_beyond_age(&oldest, now)?;
        for tenant in tenants_beyond_bytes(&transaction, limits)? {
            eviction.evict_tenant(&tenant)?;
        }
        eviction.evict_beyond_totals(&oldest)?;
        let evicted = eviction.evicted;
        if evicted > 0 {
            transaction.commit()?;
        }
        Ok(evicted)
    }
}

impl Eviction<'_> {
    /// Record numbers increase with time, so the oldest records are listed first. After the clock was set back, some of
    /// them are kept longer than the maximum age. A record that can't be read counts as past the maximum age.
    fn evict_beyond_age(&mut self, oldest: &[OldestRecord], now: Micros) -> Result<(), StoreError> {
        for record in oldest {
            let is_expired = record
                .given_up_at
                .is_none_or(|given_up_at| given_up_at.saturating_add(self.limits.age) <= now);
            if is_expired {
                self.evict(record.id, EvictionCause::Age)?;
            }
        }
        Ok(())
    }

    fn evict_tenant(&mut self, tenant: &str) -> Result<(), StoreError> {
        for id in oldest_of_tenant(self.transaction, tenant, self.budget)? {
            let counts = self.transaction.open_table(COUNTS)?;
            let tenant_bytes = value_or_zero(&counts, (TENANT_BYTES_KEY, tenant))?;
            drop(counts);
            if tenant_bytes <= self.limits.tenant_bytes || self.budget == 0 {
                break;
            }
            self.evict(id, EvictionCause::TenantBytes)?;
        }
        Ok(())
    }

    fn evict_beyond_totals(&mut self, oldest: &[OldestRecord]) -> Result<(), StoreError> {
        for record in oldest {
            let Some(cause) = self.exceeded_total()? else {
                break;
            };
            if self.budget == 0 {
                break;
            }
            self.evict(record.id, cause)?;
        }
        Ok(())
    }

    fn exceeded_total(&self) -> Result<Option<EvictionCause>, StoreError> {
        let bytes = current_total(self.transaction, BYTE_TOTAL)?;
        let records = current_total(self.transaction, RECORD_TOTAL)?;
        Ok(if bytes > self.limits.bytes {
            Some(EvictionCause::Bytes)
        } else if records > self.limits.records {
            Some(EvictionCause::Records)
        } else {
            None
        })
    }

    /// Evicts a record and counts it, unless it was already removed or a resend of it is in flight.
    fn evict(&mut self, id: RecordId, cause: EvictionCause) -> Result<(), StoreError> {
        let encoded = self
            .transaction
            .open_table(RECORDS)?
            .get(id)?
            .map(|encoded| encoded.value().to_vec());
        let Some(encoded) = encoded else {
            return Ok(());
        };
        let record = decode_record(&encoded);
        if record.as_ref().is_some_and(is_being_sent) {
            return Ok(());
        }
        remove_record(self.transaction, id, record.as_ref())?;
        // The tenant of a record that can't be read is unknown.
        let tenant = record
            .as_ref()
            .map_or("", |record| record.origin.tenant_name());
        count_evicted(self.transaction, tenant, cause)?;
        self.evicted += 1;
        self.budget -= 1;
        Ok(())
    }
}

fn is_being_sent(record: &Record) -> bool {
    matches!(record.state, RecordState::Sending { .. })
}

fn count_evicted(
    transaction: &WriteTransaction,
    tenant: &str,
    cause: EvictionCause,
) -> Result<(), StoreError> {
    let mut table = transaction.open_table(EVICTIONS)?;
    let key = (tenant, cause.as_str());
    let count = value_or_zero(&table, key)?;
    table.insert(key, count + 1)?;
    Ok(())
}

fn oldest_records(
    transaction: &WriteTransaction,
    max_records: usize,
) -> Result<Vec<OldestRecord>, StoreError> {
    let table = transaction.open_table(RECORDS)?;
    let mut oldest = Vec::new();
    for entry in table.iter()?.take(max_records) {
        let (id, encoded) = entry?;
        let record = decode_record(encoded.value());
        oldest.push(OldestRecord {
            id: id.value(),
            given_up_at: record.map(|record| record.given_up_at),
        });
    }
    Ok(oldest)
}

fn tenants_beyond_bytes(
    transaction: &WriteTransaction,
    limits: &StoreLimits,
) -> Result<Vec<String>, StoreError> {
    let table = transaction.open_table(COUNTS)?;
    let mut tenants = Vec::new();
    for entry in table.range((TENANT_BYTES_KEY, "")..(TENANT_BYTES_KEY + 1, ""))? {
        let (key, bytes) = entry?;
        if bytes.value() > limits.tenant_bytes {
            tenants.push(key.value().1.to_string());
        }
    }
    Ok(tenants)
}

fn oldest_of_tenant(
    transaction: &WriteTransaction,
    tenant: &str,
    max_records: usize,
) -> Result<Vec<RecordId>, StoreError> {
    let index = transaction.open_table(INDEX)?;
    let key = |id| (GroupBy::Tenant.key(), tenant, id);
    let mut ids = Vec::new();
    for entry in index.range(key(0)..key(RecordId::MAX))?.take(max_records) {
        let (_, _, id) = entry?.0.value();
        ids.push(id);
    }
    Ok(ids)
}
