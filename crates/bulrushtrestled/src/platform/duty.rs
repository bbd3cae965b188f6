//! An HTTP client of a hosting platform's control endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushtrestle_core::duty::DutyResult;
use bulrushtrestle_platform::duty;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The outcome of a call that was to be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The call was started.
    Called(DutyResult),
    /// No connection was made.
    NotConnected,
    /// The call was not allowed any more when the connection stood.
    Withheld,
}

impl Outcome {
    /// Returns the result as the node knows it.
    pub(crate) const fn result(self) -> DutyResult {
        match self {
            Self::Called(result) => result,
            Self::NotConnected | Self::Withheld => DutyResult::Unknown,
        }
    }

    /// Returns the stable name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Called(result) => result.as_str(),
            Self::NotConnected => "not_connected",
            Self::Withheld => "withheld",
        }
    }
}

/// Makes a call on a connection of its own. `is_allowed` is asked once the connection stands, right
/// before the request is written; the answer must then arrive within `answer_max`.
pub(crate) async fn call(
    at: SocketAddr,
    request: Request<Bytes>,
    answer_max: Duration,
    is_allowed: impl Fn() -> bool,
) -> Outcome {
    let connect = async {
        let stream = TcpStream::connect(at).await.ok()?;
        stream.set_nodelay(true).ok()?;
        // What was not delivered when the call times out must not arrive by a retransmission later.
        let millis = u32::try_from(answer_max.as_millis()).unwrap_or(u32::MAX);
        set_tcp_user_timeout(&stream, millis).ok()?;
        http1::handshake(TokioIo::new(stream)).await.ok()
    };
    let Ok(Some((mut sender, connection))) = timeout(answer_max, connect).await else {
        return Outcome::NotConnected;
    };
    if !is_allowed() {
        return Outcome::Withheld;
    }
    // Both are polled by this task, so that the request is written without a wait for another task.
    let exchange = async {
        let answer = sender.send_request(request.map(Full::new));
        tokio::pin!(answer, connection);
        tokio::select! {
            biased;
            answer = &mut answer => answer,
            _ = &mut connection => answer.await,
        }
    };
    let status = match timeout(answer_max, exchange).await {
        Ok(Ok(answer)) => Some(answer.status()),
        Ok(Err(_)) | Err(_) => None,
    };
    Outcome::Called(status.map_or(DutyResult::Unknown, |it: StatusCode| duty::result(it)))
}
