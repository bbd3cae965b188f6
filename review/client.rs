//! Consumers.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_answer, Answer};

/// Sends raw bytes on a new connection and reads the answer.
pub fn exchange(at: SocketAddr, message: &[u8], most: Duration) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1).min(most))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(most))?;
    stream.write_all(message)?;
    read_answer(&mut BufReader::new(stream))
}

pub fn get(at: SocketAddr, path: &str, most: Duration) -> std::io::Result<Answer> {
    let message = format!("GET {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    exchange(at, message.as_bytes(), most)
}
