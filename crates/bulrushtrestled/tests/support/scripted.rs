//! A target that answers each request byte by byte as a test says, on a connection of its own.

#![allow(dead_code, reason = "each program uses a part of this module")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// A step of an answer. The connection is closed after the last one.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// Bytes are sent.
    Send(Vec<u8>),
    /// Nothing is sent for a time.
    Wait(Duration),
    /// The connection is reset.
    Reset,
}

/// The head of a request, as a target received it.
#[derive(Debug)]
pub(crate) struct Received(String);

impl Received {
    /// Returns the value of a header, whose name is in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let value = self.0.split(&format!("\r\n{name}: ")).nth(1)?;
        value.split("\r\n").next()
    }

    /// Returns the path and the query.
    pub(crate) fn path(&self) -> &str {
        self.0.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the id of the caller's attempt.
    pub(crate) fn attempt(&self) -> &str {
        self.header("attempt-id").unwrap_or_default()
    }

    /// Returns the id of the last event that the caller has, if the request resumes a stream.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        let id = self.header("last-event-id")?;
        Some(id.parse().expect("an id is a number"))
    }

    /// Returns the head of an answer that proves that it belongs to the request. `fields` are further
    /// lines.
    pub(crate) fn head(&self, status: &str, fields: &str) -> String {
        let id = self.attempt();
        format!(
            "HTTP/1.1 {status}\r\nattempt-id: {id}\r\nserver-stamp: proof\r\nconnection: close\r\n{fields}\r\n"
        )
    }
}

/// Returns a chunk of a body that is sent in chunks.
pub(crate) fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Starts a target that answers each request whose body is `body` with the steps that `script`
/// returns.
pub(crate) async fn start_target(
    script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
) -> SocketAddr {
    let script = Arc::new(script);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let script = Arc::clone(&script);
            tokio::spawn(async move {
                if let Some(received) = receive(&mut stream).await {
                    answer(stream, script(&received)).await;
                }
            });
        }
    });
    address
}

async fn receive(stream: &mut TcpStream) -> Option<Received> {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\nbody") {
        let mut bytes = [0; 4_096];
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => received.extend_from_slice(&bytes[..read]),
        }
    }
    Some(Received(String::from_utf8_lossy(&received).into_owned()))
}

async fn answer(mut stream: TcpStream, steps: Vec<Step>) {
    for step in steps {
        match step {
            // The router may close the connection first.
            Step::Send(bytes) => drop(stream.write_all(&bytes).await),
            Step::Wait(time) => sleep(time).await,
            Step::Reset => drop(stream.set_zero_linger()),
        }
    }
}
