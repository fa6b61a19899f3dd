//! Reconciles the store with the journal after the store was opened.
//!
//! Resends in the journal continue. A record in state `sending` whose resend is not in the journal was most likely not
//! sent. But a store whose newest change was torn or corrupt opens in the state before that change, so the outcome of
//! a resend that was sent may be missing. The outcome is therefore recorded as unknown.

use policy::types::Micros;
use runtime::Runtime;
use undeliverable::record::RecordError;
use undeliverable::{Filter, RecordId, RecordState};

use super::batch_runner::BatchRunner;
use super::resend::Resender;
use super::resend_outcome::DeliveryResult;

/// Number of records read per page.
const PAGE_RECORDS: usize = 200;

/// Ends the resends that are not in flight, and sets the number of in-flight resends of each batch.
pub fn reconcile<R: Runtime>(
    resender: &mut Resender<R>,
    batches: &mut BatchRunner<R>,
    now: Micros,
) {
    let in_flight = resender.resends_in_flight();
    let sending = Filter {
        state: Some("sending".into()),
        ..Filter::default()
    };
    let mut after = 0;
    while let Some(page) = resender
        .store
        .access(|store| store.page_after(&sending, after, PAGE_RECORDS))
    {
        for (id, record) in page.records {
            if in_flight.contains(&(id, record.resends)) {
                continue;
            }
            record_unknown_outcome(resender, id, now);
            if let RecordState::Sending { by: sender, .. } = record.state {
                batches.resend_ended(&sender, DeliveryResult::NotDelivered);
            }
        }
        let Some(next) = page.next else { break };
        after = next;
    }
    let senders: Vec<&str> = resender.senders().collect();
    batches.resume_after_restart(&senders, now);
}

fn record_unknown_outcome<R: Runtime>(resender: &mut Resender<R>, id: RecordId, now: Micros) {
    resender.store.access(|store| {
        store.update(id, |record| {
            record.record_unknown_outcome(now);
            Ok::<_, RecordError>(())
        })
    });
}
