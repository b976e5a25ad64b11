//! Server for calls from other nodes.

use std::sync::Arc;

use bytes::Bytes;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::frame;
use crate::node::Node;
use crate::node::members;
use crate::node::peers::Answer;
use crate::node::peers::Call;
use crate::node::peers::client;
use crate::web;

/// Accepts connections from other nodes and serves their calls until `stop` becomes
/// true.
pub async fn serve(node: Arc<Node>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = web::wait_stopped(&mut stop) => return,
        };
        let Ok((socket, _)) = accepted else { continue };
        let _ = socket.set_nodelay(true);
        let stop = stop.clone();
        tokio::spawn(serve_connection(Arc::clone(&node), socket, stop));
    }
}

async fn serve_connection(node: Arc<Node>, socket: TcpStream, mut stop: watch::Receiver<bool>) {
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(client::WINDOW_BYTES)
        .initial_connection_window_size(client::WINDOW_BYTES);
    let Ok(mut connection) = builder.handshake(socket).await else {
        return;
    };
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = web::wait_stopped(&mut stop) => return,
        };
        let Some(Ok((request, respond))) = accepted else {
            return;
        };
        tokio::spawn(serve_call(Arc::clone(&node), request, respond));
    }
}

async fn serve_call(
    node: Arc<Node>,
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let Some(content) = client::read_body(request.into_body()).await else {
        return;
    };
    let answer = match frame::decode::<Call>(&content) {
        Ok(call) => execute(&node, call).await,
        Err(_) => Answer::Refused,
    };
    let Ok(content) = frame::encode(&answer) else {
        return;
    };
    if let Ok(mut body) = respond.send_response(Response::new(()), false) {
        // If sending fails, the caller sees that no answer arrives.
        let _ = body.send_data(content, true);
    }
}

async fn execute(node: &Arc<Node>, call: Call) -> Answer {
    match call {
        Call::Heartbeat(heartbeat) => {
            members::receive_heartbeat(node, &heartbeat);
            Answer::Digest(node.gossip.lock().unwrap().digest())
        }
        Call::Facts(facts) => {
            members::receive_facts(node, &facts);
            Answer::Done
        }
        Call::GetFacts => Answer::Facts(node.gossip.lock().unwrap().facts()),
        Call::GetConfig(have) => node.config.changes_since(have),
        Call::GetParts(keys) => Answer::Parts(node.config.parts(&keys)),
        Call::GetVms(after) => Answer::Vms(node.vms.lock().unwrap().changes_since(after)),
        Call::TransferStream(record) => {
            if node.is_draining() {
                return Answer::Refused;
            }
            node.streams.detach(record, node.clock.now());
            Answer::Done
        }
        Call::ChangeClaims(changes) => match node.claims.apply_all(node, changes).await {
            Some(effects) => Answer::ClaimEffects(effects),
            None => Answer::Refused,
        },
        Call::GetConfigNumber => Answer::ConfigNumber(node.config.number()),
    }
}
