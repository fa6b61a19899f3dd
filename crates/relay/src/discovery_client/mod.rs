//! Everything the relay exchanges with discovery: the watch of the host list, and notifications to the platform.

mod error;
mod list_decoder;
mod notification_sender;
mod notifications;
mod request_channel;
mod watch;

pub use notification_sender::notify;
pub use notifications::Notifications;
pub use watch::follow;
