//! The queue of notifications that the platform has not accepted yet.

use std::cell::RefCell;
use std::collections::BTreeMap;

use bytes::Bytes;
use policy::types::MessageId;
use relay_events::DeliveryFailure;
use serde::Serialize;
use tokio::sync::Notify;

/// Maximum number of notifications in one request.
const MAX_BATCH_LEN: usize = 200;

/// Notifications that the platform has not accepted yet.
///
/// Each belongs to a message in the journal, so the size of the journal limits their number.
#[derive(Default)]
pub struct Notifications {
    pending: RefCell<BTreeMap<MessageId, PendingNotification>>,
    added: Notify,
}

struct PendingNotification {
    message_name: String,
    failure: DeliveryFailure,
}

/// The notifications to send in one request.
pub(super) struct NotificationBatch {
    pub(super) ids: Vec<MessageId>,
    /// The encoded notifications, one JSON object per line.
    pub(super) body: Bytes,
}

/// A notification in the platform's JSON format.
#[derive(Serialize)]
struct EncodedNotification<'a> {
    #[serde(rename = "id")]
    message_name: &'a str,
    status: &'static str,
    #[serde(rename = "again_ms", skip_serializing_if = "Option::is_none")]
    retry_after_millis: Option<u64>,
}

impl Notifications {
    /// Queues the notification that a message was not delivered.
    pub fn add(&self, id: MessageId, message_name: String, failure: DeliveryFailure) {
        let notification = PendingNotification {
            message_name,
            failure,
        };
        self.pending.borrow_mut().insert(id, notification);
        self.added.notify_one();
    }

    /// The number of notifications that the platform has not accepted yet.
    pub fn len(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Completes once a notification has been added; at once if that happened before the call.
    pub(super) async fn wait_until_added(&self) {
        self.added.notified().await;
    }

    /// The next notifications to send; empty if there are none.
    pub(super) fn next_batch(&self) -> NotificationBatch {
        let mut ids = Vec::new();
        let mut lines = String::new();
        for (id, notification) in self.pending.borrow().iter().take(MAX_BATCH_LEN) {
            ids.push(*id);
            lines += &notification.encode();
            lines.push('\n');
        }
        NotificationBatch {
            ids,
            body: lines.into(),
        }
    }

    /// Removes notifications that the platform has accepted.
    pub(super) fn remove(&self, ids: &[MessageId]) {
        self.pending.borrow_mut().retain(|id, _| !ids.contains(id));
    }
}

impl PendingNotification {
    fn encode(&self) -> String {
        let (status, retry_after_millis) = match self.failure {
            DeliveryFailure::Undeliverable => ("undeliverable", None),
            DeliveryFailure::Deferred(0) => ("deferred", None),
            DeliveryFailure::Deferred(millis) => ("deferred", Some(millis)),
        };
        let encoded = EncodedNotification {
            message_name: &self.message_name,
            status,
            retry_after_millis,
        };
        serde_json::to_string(&encoded).unwrap_or_default()
    }
}
