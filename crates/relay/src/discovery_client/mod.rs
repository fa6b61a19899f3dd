//! The client of discovery: watches the host list, and sends notifications to the platform.

mod error;
mod list_decoder;
mod notification_sender;
mod notifications;
mod request_channel;
mod watch;

pub use notification_sender::send_notifications;
pub use notifications::Notifications;
pub use watch::watch_host_list;
