//! Calls to other nodes.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use h2::client::SendRequest;
use http::Request;
use tokio::net::TcpStream;

use crate::core::Name;
use crate::core::table::Table;
use crate::frame;
use crate::node::peers::Answer;
use crate::node::peers::Call;

/// Time in which a call must be answered.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time in which a connection must be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes of a stream that may be on their way.
pub const WINDOW_BYTES: u32 = 1_048_576;

/// Why a call to another node failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// No connection could be opened, so nothing was sent.
    Connect,
    /// The call may have been carried out.
    NoAnswer,
    /// The other node refused the call.
    Refused,
}

/// One connection to each node that is talked to.
#[derive(Default)]
pub struct PeerClient {
    connections: Mutex<Table<SendRequest<Bytes>>>,
}

impl PeerClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Calls the node at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no answer came in time.
    pub async fn call(&self, address: &Name, call: &Call) -> Result<Answer, PeerError> {
        let exchanged = tokio::time::timeout(CALL_TIMEOUT, self.exchange(address, call)).await;
        let result = exchanged.unwrap_or(Err(PeerError::NoAnswer));
        if result.is_err() {
            // The connection may have gone silent: the next call opens a new one.
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
        // A failure to set the option costs latency only.
        let _ = socket.set_nodelay(true);
        let (connection, driver) = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake(socket)
            .await
            .map_err(|_| PeerError::Connect)?;
        tokio::spawn(async move {
            // Calls on the connection see its failure themselves.
            let _ = driver.await;
        });
        self.connections
            .lock()
            .unwrap()
            .insert(address.clone(), connection.clone());
        Ok(connection)
    }
}

/// Reads a whole body, or nothing if it is cut or too large.
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
