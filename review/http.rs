//! Reading and writing of HTTP/1.1 messages, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request as received.
#[derive(Debug, Clone)]
pub struct Request {
    #[allow(dead_code)]
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header. Names are in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| percent_decoded(value))
    }
}

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// By its length, or by its last chunk.
    Complete,
    /// By the end of the connection, without a length.
    Closed,
    /// Before its length or its last chunk was reached.
    Broken,
}

/// An answer as received.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(key, _)| key == name);
    found.next().map(|(_, value)| value.as_str())
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

type Head = (String, Vec<(String, String)>);

/// Reads the first line and the headers of a message; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the head broke off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads chunks up to the last one. Returns whether that was reached.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(n) if n > 0) {
            return false;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return false;
        };
        let before = body.len();
        body.resize(before + size, 0);
        let mut filled = before;
        while filled < body.len() {
            match reader.read(&mut body[filled..]) {
                Ok(n) if n > 0 => filled += n,
                _ => {
                    body.truncate(filled);
                    return false;
                }
            }
        }
        let mut end = String::new();
        if !matches!(reader.read_line(&mut end), Ok(n) if n > 0) {
            return false;
        }
        if size == 0 {
            return true;
        }
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let (method, target) = (words.next(), words.next());
    let (Some(method), Some(target)) = (method, target) else {
        return Err(invalid("no request line"));
    };
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        if !read_chunks(reader, &mut body) {
            return Err(invalid("the body broke off"));
        }
    } else if let Some(length) = find(&headers, "content-length") {
        let length: usize = length.parse().map_err(|_| invalid("no length"))?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body,
    }))
}

/// Reads an answer.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let (first, headers) = read_head(reader)?.ok_or_else(|| invalid("closed without an answer"))?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| invalid("no status line"))?;
    let mut body = Vec::new();
    let end = if find(&headers, "transfer-encoding").is_some() {
        match read_chunks(reader, &mut body) {
            true => End::Complete,
            false => End::Broken,
        }
    } else if let Some(length) = find(&headers, "content-length") {
        let length: u64 = length.parse().map_err(|_| invalid("no length"))?;
        let failed = reader.take(length).read_to_end(&mut body).is_err();
        match !failed && body.len() as u64 == length {
            true => End::Complete,
            false => End::Broken,
        }
    } else {
        match reader.read_to_end(&mut body) {
            Ok(_) => End::Closed,
            Err(_) => End::Broken,
        }
    };
    Ok(Answer {
        status,
        headers,
        body,
        end,
    })
}

/// Writes a complete answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}
