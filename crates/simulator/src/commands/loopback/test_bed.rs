//! The environment of a measured relay: partners that respond at once, and a discovery that lists them.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bytes::BytesMut;
use runtime::{Listener, OsRuntime, Runtime};
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;

use super::configuration::{configuration, peer_context};
use super::error::LoopbackError;
use super::{free_address, MEASURED_PARTNERS};
use crate::peers::discovery::{Discovery, HostEntry};
use crate::peers::{read_request, PeerContext};

/// The capacity that discovery lists for each partner, in calls a second: more than any measurement makes.
const LISTED_CAPACITY: u32 = 10_000;
/// A partner's response to each call.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Partners that respond at once, a discovery that lists them, and the files of a relay that calls them.
pub(in crate::commands) struct TestBed {
    /// The context of the peers.
    pub context: PeerContext<OsRuntime>,
    /// The relay's configuration file.
    pub configuration: PathBuf,
    pub state_directory: PathBuf,
    /// Discovery stops when this is dropped.
    _discovery_stop: watch::Sender<bool>,
}

impl TestBed {
    /// Writes a relay's files to a directory and starts its peers. The relay will listen at `listen`.
    pub fn start(folder: &Path, listen: SocketAddr) -> Result<Self, LoopbackError> {
        let state_directory = folder.join("state");
        let configuration_file = folder.join("config.json");
        std::fs::create_dir(&state_directory).map_err(LoopbackError::StateDirectory)?;
        let discovery_address = free_address()?;
        let partners = (1..=MEASURED_PARTNERS)
            .map(listed_partner)
            .collect::<Result<Vec<HostEntry>, _>>()?;
        let addresses: Vec<SocketAddr> = partners.iter().map(|partner| partner.address).collect();
        let discovery = Discovery::new(partners);
        let relay = configuration(
            listen,
            discovery_address,
            &state_directory,
            &discovery.full_snapshot(),
        );
        std::fs::write(&configuration_file, relay.file.to_string())
            .map_err(LoopbackError::WriteFile)?;
        let context = peer_context(relay.limits);
        for address in addresses {
            let serving = serve_partner(context.clone(), address);
            context.runtime.spawn(async move { drop(serving.await) });
        }
        let (discovery_stop, stopping) = watch::channel(false);
        let serving = discovery.serve(context.clone(), discovery_address, stopping);
        context.runtime.spawn(async move { drop(serving.await) });
        Ok(TestBed {
            context,
            configuration: configuration_file,
            state_directory,
            _discovery_stop: discovery_stop,
        })
    }
}

/// The entry of a destination's partner in discovery, at a free address.
fn listed_partner(destination: u16) -> Result<HostEntry, LoopbackError> {
    Ok(HostEntry {
        host: format!("partner-{destination}"),
        address: free_address()?,
        zone: "a".into(),
        destination,
        health: "up",
        calls_per_second: LISTED_CAPACITY,
    })
}

/// Accepts connections indefinitely, and responds to every call with 200.
async fn serve_partner(context: PeerContext<OsRuntime>, address: SocketAddr) -> io::Result<()> {
    let listener = context.runtime.listen(address).await?;
    loop {
        let mut stream = listener.accept().await?;
        let own = context.clone();
        context.runtime.spawn(async move {
            let mut text = BytesMut::new();
            while let Ok(Some(_)) = read_request(&own, &mut stream, &mut text).await {
                if stream.write_all(RESPONSE).await.is_err() {
                    return;
                }
            }
        });
    }
}
