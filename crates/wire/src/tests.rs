//! Tests of the handshake over in-memory streams.

use core::cell::RefCell;
use core::pin::Pin;
use core::task::{Context, Poll};
use core::time::Duration;
use std::io;
use std::rc::Rc;

use futures::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::{Error, Event, FleetKey, Limits, Refused, connect, serve};

const BUFFER_BYTES: usize = 64 * 1024;
const CALLER: u32 = 1;
const CALLEE: u32 = 2;
const KEY: [u8; 32] = [7; 32];
const OTHER_KEY: [u8; 32] = [8; 32];

/// An event that the callee received.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Received {
    Proved(u32),
    Frame(u32, Vec<u8>),
}

type EventLog = Rc<RefCell<Vec<Received>>>;

struct Case {
    name: &'static str,
    caller: u32,
    callee: u32,
    caller_key: [u8; 32],
    callee_key: [u8; 32],
    accepted: bool,
    refused: Option<Refused>,
}

const GOOD: Case = Case {
    name: "same key, right ids",
    caller: CALLER,
    callee: CALLEE,
    caller_key: KEY,
    callee_key: KEY,
    accepted: true,
    refused: None,
};

const CASES: [Case; 5] = [
    GOOD,
    Case {
        name: "caller has another key",
        caller_key: OTHER_KEY,
        accepted: false,
        refused: Some(Refused::WrongProof),
        ..GOOD
    },
    Case {
        name: "callee has another key",
        callee_key: OTHER_KEY,
        accepted: false,
        refused: Some(Refused::WrongProof),
        ..GOOD
    },
    Case {
        name: "another router answers",
        callee: 3,
        accepted: false,
        ..GOOD
    },
    Case {
        name: "caller uses the callee's id",
        caller: CALLEE,
        accepted: false,
        refused: Some(Refused::OwnName),
        ..GOOD
    },
];

#[test]
fn only_routers_with_the_key_and_the_right_id_are_accepted() {
    for case in CASES {
        run(async move {
            let (near, far) = tokio::io::duplex(BUFFER_BYTES);
            let (server, events) = start_server(far.compat(), case.callee, &key(case.callee_key));
            let link = connect(near.compat(), case.caller, CALLEE, &key(case.caller_key)).await;
            assert_eq!(link.is_ok(), case.accepted, "{}: {link:?}", case.name);
            if let Ok(link) = &link {
                link.exchange(b"frame").await.expect("the frame arrives");
            }
            drop(link);
            let ended = server.await.expect("the server does not panic");
            assert_eq!(
                ended.err().and_then(|e| e.refused()),
                case.refused,
                "{}",
                case.name
            );
            let expected = match case.accepted {
                true => vec![
                    Received::Proved(CALLER),
                    Received::Frame(CALLER, b"frame".to_vec()),
                ],
                false => vec![],
            };
            assert_eq!(*events.borrow(), expected, "{}", case.name);
        });
    }
}

#[test]
fn a_replayed_handshake_is_refused() {
    run(async {
        let (near, far) = tokio::io::duplex(BUFFER_BYTES);
        let (_first, events) = start_server(far.compat(), CALLEE, &key(KEY));
        let recorded = Rc::new(RefCell::new(Vec::new()));
        let recorder = Recorder {
            inner: near.compat(),
            recorded: Rc::clone(&recorded),
        };
        let link = connect(recorder, CALLER, CALLEE, &key(KEY))
            .await
            .expect("the original is accepted");
        link.exchange(b"frame").await.expect("the frame arrives");
        assert_eq!(events.borrow().len(), 2);

        let (near, far) = tokio::io::duplex(BUFFER_BYTES);
        let (second, events) = start_server(far.compat(), CALLEE, &key(KEY));
        let mut near = near.compat();
        let replay = recorded.borrow().clone();
        near.write_all(&replay)
            .await
            .expect("the replay is written");
        let ended = second.await.expect("the server does not panic");
        assert_eq!(
            ended.err().and_then(|e| e.refused()),
            Some(Refused::WrongProof)
        );
        assert_eq!(*events.borrow(), []);
    });
}

#[test]
fn frames_arrive_in_the_order_of_the_calls() {
    run(async {
        let (near, far) = tokio::io::duplex(BUFFER_BYTES);
        let (_server, events) = start_server(far.compat(), CALLEE, &key(KEY));
        let link = connect(near.compat(), CALLER, CALLEE, &key(KEY))
            .await
            .expect("the caller is accepted");
        let calls: Vec<_> = (0..100_u8).map(|n| link.exchange(&[n])).collect();
        futures::future::try_join_all(calls)
            .await
            .expect("all frames arrive");
        let order: Vec<Received> = (0..100_u8)
            .map(|n| Received::Frame(CALLER, vec![n]))
            .collect();
        assert_eq!(events.borrow()[1..], order);
    });
}

#[test]
fn a_caller_without_a_handshake_is_disconnected() {
    run(async {
        let (near, far) = tokio::io::duplex(BUFFER_BYTES);
        let (server, _) = start_server(far.compat(), CALLEE, &key(KEY));
        let ended = server.await.expect("the server does not panic");
        assert_eq!(
            ended.err().and_then(|e| e.refused()),
            Some(Refused::TooSlow)
        );
        drop(near);
    });
}

#[test]
fn a_proved_caller_that_makes_no_calls_is_disconnected() {
    run(async {
        let (near, far) = tokio::io::duplex(BUFFER_BYTES);
        let (server, _) = start_server(far.compat(), CALLEE, &key(KEY));
        let link = connect(near.compat(), CALLER, CALLEE, &key(KEY))
            .await
            .expect("the caller is accepted");
        let ended = server.await.expect("the server does not panic");
        assert!(ended.is_err_and(|e| e.refused().is_none()));
        assert!(link.ping().await.is_err());
    });
}

#[test]
fn short_keys_are_refused_and_keys_are_not_shown() {
    assert!(FleetKey::new(&[7; 31]).is_err());
    assert!(!format!("{:?}", key(KEY)).contains('7'));
}

fn key(bytes: [u8; 32]) -> FleetKey {
    FleetKey::new(&bytes).expect("the key is long enough")
}

/// Runs a test with paused time, so that timeouts elapse at once.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts");
    runtime.block_on(LocalSet::new().run_until(test));
}

fn start_server<T>(stream: T, me: u32, key: &FleetKey) -> (JoinHandle<Result<(), Error>>, EventLog)
where
    T: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let log = EventLog::default();
    let events = {
        let log = Rc::clone(&log);
        move |event: Event<'_>| log.borrow_mut().push(Received::from(event))
    };
    let limits = Limits {
        handshake: Duration::from_secs(5),
        idle: Duration::from_secs(10),
    };
    let key = key.clone();
    let server = spawn_local(async move { serve(stream, me, &key, limits, events).await });
    (server, log)
}

impl From<Event<'_>> for Received {
    fn from(event: Event<'_>) -> Self {
        match event {
            Event::Proved(from) => Self::Proved(from),
            Event::Frame { from, bytes } => Self::Frame(from, bytes.to_vec()),
        }
    }
}

/// A stream that records all bytes written to it.
struct Recorder<T> {
    inner: T,
    recorded: Rc<RefCell<Vec<u8>>>,
}

impl<T: AsyncRead + Unpin> AsyncRead for Recorder<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Recorder<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = written {
            self.recorded.borrow_mut().extend_from_slice(&buf[..n]);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
