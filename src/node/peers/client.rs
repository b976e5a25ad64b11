//! Client for calls to other nodes.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use h2::client::SendRequest;
use http::Request;
use tokio::net::TcpStream;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::frame;
use crate::node::peers::Answer;
use crate::node::peers::Call;

/// Timeout of a call.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Flow-control window of a stream and of a connection, in bytes.
pub const WINDOW_BYTES: u32 = 1_048_576;

/// Why a call to another node failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// No connection could be opened or used, so the call was not sent.
    Connect,
    /// No valid answer arrived; the call may have been carried out.
    NoAnswer,
    /// The other node refused the call, or the call could not be encoded.
    Refused,
}

/// A client that keeps one connection to each node it has called.
#[derive(Default)]
pub struct PeerClient {
    connections: Mutex<NameMap<SendRequest<Bytes>>>,
}

impl PeerClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Calls the node at `address` and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the call failed, was refused or timed out.
    pub async fn call(&self, address: &Name, call: &Call) -> Result<Answer, PeerError> {
        let exchanged = tokio::time::timeout(CALL_TIMEOUT, self.exchange(address, call)).await;
        let result = exchanged.unwrap_or(Err(PeerError::NoAnswer));
        if result.is_err() {
            // The connection may be dead, so the next call opens a new one.
            self.connections.lock().unwrap().remove(address);
        }
        match result {
            Ok(Answer::Refused) => Err(PeerError::Refused),
            other => other,
        }
    }

    async fn exchange(&self, address: &Name, call: &Call) -> Result<Answer, PeerError> {
        let content = frame::encode(call).map_err(|_| PeerError::Refused)?;
        let connection = self.connection(address).await?;
        let mut connection = connection.ready().await.map_err(|_| PeerError::Connect)?;
        let request = Request::post("http://peer/call")
            .body(())
            .map_err(|_| PeerError::Refused)?;
        let (response, mut body) = connection
            .send_request(request, false)
            .map_err(|_| PeerError::Connect)?;
        body.send_data(content, true)
            .map_err(|_| PeerError::NoAnswer)?;
        let response = response.await.map_err(|_| PeerError::NoAnswer)?;
        let content = read_body(response.into_body())
            .await
            .ok_or(PeerError::NoAnswer)?;
        frame::decode(&content).map_err(|_| PeerError::NoAnswer)
    }

    async fn connection(&self, address: &Name) -> Result<SendRequest<Bytes>, PeerError> {
        let open = self.connections.lock().unwrap().get(address).cloned();
        if let Some(connection) = open {
            return Ok(connection);
        }
        let connecting = TcpStream::connect(&**address);
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| PeerError::Connect)?
            .map_err(|_| PeerError::Connect)?;
        // Without the option, calls only have a higher latency.
        let _ = socket.set_nodelay(true);
        let (connection, driver) = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake(socket)
            .await
            .map_err(|_| PeerError::Connect)?;
        tokio::spawn(async move {
            // Calls that use the connection report its failure.
            let _ = driver.await;
        });
        self.connections
            .lock()
            .unwrap()
            .insert(address.clone(), connection.clone());
        Ok(connection)
    }
}

/// Reads a whole body, or returns `None` if it is truncated or too large.
pub async fn read_body(mut body: h2::RecvStream) -> Option<Bytes> {
    let mut content = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part.ok()?;
        if content.len() + part.len() > frame::MAX_BYTES {
            return None;
        }
        content.extend_from_slice(&part);
        body.flow_control().release_capacity(part.len()).ok()?;
    }
    Some(content.freeze())
}
