//! Answers to calls from other nodes.

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

/// Serves calls from other nodes until `stop` becomes true.
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
        tokio::spawn(answer(Arc::clone(&node), request, respond));
    }
}

async fn answer(
    node: Arc<Node>,
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let Some(content) = client::read(request.into_body()).await else {
        return;
    };
    let answer = match frame::decode::<Call>(&content) {
        Ok(call) => carry_out(&node, call).await,
        Err(_) => Answer::Refused,
    };
    let Ok(content) = frame::encode(&answer) else {
        return;
    };
    if let Ok(mut body) = respond.send_response(Response::new(()), false) {
        // The caller sees a failure as a lost answer.
        let _ = body.send_data(content, true);
    }
}

async fn carry_out(node: &Arc<Node>, call: Call) -> Answer {
    match call {
        Call::Heartbeat(heartbeat) => {
            members::take_heartbeat(node, &heartbeat);
            Answer::Digest(node.gossip.lock().unwrap().digest())
        }
        Call::Facts(facts) => {
            members::take_facts(node, &facts);
            Answer::Done
        }
        Call::GetFacts => Answer::Facts(node.gossip.lock().unwrap().all()),
        Call::GetConfig(have) => node.config.news(have),
        Call::GetParts(keys) => Answer::Parts(node.config.parts(&keys)),
        Call::GetVms(after) => Answer::Vms(node.vms.lock().unwrap().news(after)),
        Call::TakeStream(record) => {
            if node.is_draining() {
                return Answer::Refused;
            }
            node.streams.insert(record, node.clock.now());
            Answer::Done
        }
        Call::Once(changes) => match node.once.apply_all(node, changes).await {
            Some(effects) => Answer::Once(effects),
            None => Answer::Refused,
        },
        Call::GetNumber => Answer::Number(node.config.number()),
    }
}
