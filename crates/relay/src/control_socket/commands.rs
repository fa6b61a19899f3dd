//! Executes the commands of operators.

use control::{protocol, Command, LifecycleEvent, LifecycleState};
use runtime::Runtime;

use super::shared_state::Control;

impl<R: Runtime> Control<R> {
    /// Executes a command and returns the reply.
    pub(super) fn execute(&self, command: Command) -> String {
        match command {
            Command::Ready => self.report_readiness(),
            Command::ShowStat => protocol::ok_reply("figures") + &self.render_metrics() + "eof\n",
            Command::Drain => self.change_state(
                LifecycleEvent::Drain,
                LifecycleState::Draining,
                "is being emptied",
            ),
            Command::Resume => self.change_state(
                LifecycleEvent::Resume,
                LifecycleState::Serving,
                "is back to work",
            ),
        }
    }

    fn report_readiness(&self) -> String {
        if self.is_ready() {
            return protocol::ok_reply("takes clients");
        }
        protocol::fail_reply(&format!("takes no clients: {}", self.state().as_str()))
    }

    /// Handles an event that leads to the state `target`. Also succeeds if the process is already in that state.
    fn change_state(&self, event: LifecycleEvent, target: LifecycleState, success: &str) -> String {
        let has_changed = self.handle_event(event);
        let state = self.state();
        if state != target {
            return protocol::fail_reply(&format!("not while {}", state.as_str()));
        }
        if has_changed {
            protocol::ok_reply(success)
        } else {
            protocol::ok_reply(&format!("{success} already"))
        }
    }
}
