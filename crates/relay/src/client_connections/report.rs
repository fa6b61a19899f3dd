//! Reports requests that were cut off or delayed for lack of memory, in one line for a period.

use std::rc::Rc;
use std::time::Duration;

use runtime::{log, Runtime};

use super::registry::ClientConnections;

/// Minimum time between two lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the counts of cut and delayed requests whenever they have changed, and the peak use of their memory.
pub async fn report_request_memory<R: Runtime>(clients: Rc<ClientConnections<R>>) {
    let runtime = &clients.runtime;
    let memory = &clients.request_memory;
    let mut reported = (0, 0, 0);
    loop {
        runtime.sleep(REPORT_INTERVAL).await;
        let usage = memory.usage();
        let counts = (usage.too_slow, usage.incomplete, usage.waited);
        if counts == reported {
            continue;
        }
        reported = counts;
        let limits = memory.limits();
        log!(
            *runtime,
            "clients: requests_cut too_slow={} incomplete={} delayed={} peak_short={}/{} peak_long={}/{} peak_arriving={}/{}",
            usage.too_slow,
            usage.incomplete,
            usage.waited,
            usage.peak_short,
            limits.short,
            usage.peak_long,
            limits.long,
            usage.peak_arriving,
            limits.arriving
        );
    }
}
