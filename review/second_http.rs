//! A small HTTP/1.1 server and client side, as far as the cases need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A message: its first line, its headers and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut parts = self.line.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }

    /// The status of an answer, or 0.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads the head of a message. `None` if the connection ended before it.
pub fn read_head(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        if from.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        if message.line.is_empty() {
            if !text.is_empty() {
                message.line = text;
            }
            continue;
        }
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    Complete,
    BrokenOff,
}

/// Reads a body by its framing and passes each piece to `take`, which returns whether to go on.
pub fn read_body(
    from: &mut BufReader<TcpStream>,
    message: &Message,
    is_answer: bool,
    mut take: impl FnMut(&[u8]) -> bool,
) -> BodyEnd {
    let mut buf = vec![0; 64 * 1024];
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|it| it.contains("chunked"));
    let length = message
        .header("content-length")
        .and_then(|it| it.parse::<usize>().ok());
    let mut read_exactly = |from: &mut BufReader<TcpStream>, left: usize| -> bool {
        let mut left = left;
        while left > 0 {
            let most = left.min(buf.len());
            match from.read(&mut buf[..most]) {
                Ok(0) | Err(_) => return false,
                Ok(n) => {
                    left -= n;
                    if !take(&buf[..n]) {
                        return false;
                    }
                }
            }
        }
        true
    };
    if chunked {
        loop {
            let mut line = String::new();
            if !matches!(from.read_line(&mut line), Ok(1..)) {
                return BodyEnd::BrokenOff;
            }
            let Ok(size) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
            else {
                return BodyEnd::BrokenOff;
            };
            if !read_exactly(from, size) {
                return BodyEnd::BrokenOff;
            }
            let mut end = String::new();
            if !matches!(from.read_line(&mut end), Ok(1..)) {
                return BodyEnd::BrokenOff;
            }
            if size == 0 {
                return BodyEnd::Complete;
            }
        }
    }
    match length {
        Some(length) if read_exactly(from, length) => BodyEnd::Complete,
        Some(_) => BodyEnd::BrokenOff,
        None if !is_answer => BodyEnd::Complete,
        None => {
            let mut rest = vec![0; 64 * 1024];
            loop {
                match from.read(&mut rest) {
                    Ok(0) => return BodyEnd::Complete,
                    Err(_) => return BodyEnd::BrokenOff,
                    Ok(n) if !take(&rest[..n]) => return BodyEnd::BrokenOff,
                    Ok(_) => {}
                }
            }
        }
    }
}

/// Reads a request with its body. `None` if the connection ended before it.
pub fn read_request(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut request) = read_head(from)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    let end = read_body(from, &request, false, |piece| {
        body.extend_from_slice(piece);
        true
    });
    request.body = body;
    Ok((end == BodyEnd::Complete).then_some(request))
}

/// Writes an answer with a length.
pub fn write_answer(
    to: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    out.extend(format!("content-length: {}\r\n\r\n", body.len()).into_bytes());
    out.extend_from_slice(body);
    to.write_all(&out)
}
