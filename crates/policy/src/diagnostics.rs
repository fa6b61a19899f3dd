//! Log text and gauges about destinations and hosts. Nothing here decides what is sent.

use crate::policy::DeliveryPolicy;
use crate::state::{Fuse, HostRecord};
use crate::types::{DestinationId, HostState, Micros};

impl DeliveryPolicy {
    /// How the relay stands towards a destination, as `name=value` for the log.
    pub fn describe_destination(&self, destination: DestinationId) -> String {
        let routes = self.routes_to(destination);
        let text = routes.iter().filter_map(|key| self.routes.get(key)).map(|r| {
            let fuse = ["closed", "half", "open"][usize::from(r.fuse != Fuse::Closed) + usize::from(matches!(r.fuse, Fuse::Open(_)))];
            let rest = r.rest_until.max(r.wait_until).saturating_sub(self.now) / 1000;
            let (pace, gap, out) = (r.pace, r.gap / 1000, r.in_flight);
            let (told, left) = (r.told.unwrap_or(0.0), r.left.unwrap_or(-1.0));
            format!("{fuse} pace={pace:.2} gap={gap} rest={rest} out={out} cap={:.1} told={told:.1} left={left:.2} cold={}", r.cap, u8::from(r.witness))
        });
        text.collect::<Vec<_>>().join(" | ")
    }

    /// Listed hosts that get nothing now: they drain, failed a moment ago, were told a wait, or their fuse is not whole.
    pub fn ejected_hosts(&self, now: Micros) -> usize {
        let route = |id| self.route_of(id).and_then(|key| self.routes.get(&key));
        let shut = |id| route(id).is_some_and(|r| r.fuse != Fuse::Closed || r.wait_until > now);
        let listed = self.hosts.iter().filter(|(_, h)| h.entry.state != HostState::Removed);
        let rests = |h: &HostRecord| h.entry.state == HostState::Draining || h.avoid_until > now;
        listed.filter(|(id, h)| rests(h) || shut(**id)).count()
    }
}
