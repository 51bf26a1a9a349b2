//! HTTP/1.1 over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

impl Request {
    pub fn new(method: &str, target: &str) -> Request {
        Request { method: method.to_owned(), target: target.to_owned(), ..Request::default() }
    }

    pub fn header(mut self, name: &str, value: impl ToString) -> Request {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Request {
        self.body = body.into();
        self
    }

    pub fn get(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| decode(value)).unwrap_or_default()
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = format!("{} {} HTTP/1.1\r\n", self.method, self.target).into_bytes();
        for (name, value) in &self.headers {
            out.extend(format!("{name}: {value}\r\n").bytes());
        }
        if !self.body.is_empty() || self.method == "POST" {
            out.extend(format!("content-length: {}\r\n", self.body.len()).bytes());
        }
        out.extend(b"\r\n");
        out.extend(&self.body);
        out
    }
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response { status, headers: Vec::new(), body: body.into() }
    }

    pub fn header(mut self, name: &str, value: impl ToString) -> Response {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = format!("HTTP/1.1 {} Status\r\n", self.status).into_bytes();
        for (name, value) in &self.headers {
            out.extend(format!("{name}: {value}\r\n").bytes());
        }
        out.extend(format!("content-length: {}\r\n\r\n", self.body.len()).bytes());
        out.extend(&self.body);
        out
    }
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = hex.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], byte) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (other, _) => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn malformed(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Ok(None);
    }
    if !text.ends_with('\n') {
        return Err(malformed("cut off in a line"));
    }
    Ok(Some(text.trim_end().to_owned()))
}

fn headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?.ok_or_else(|| malformed("cut off in the head"))?;
        if text.is_empty() {
            return Ok(headers);
        }
        let (name, value) = text.split_once(':').ok_or_else(|| malformed("no header"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body; one without a length or chunks ends with the connection if `to_end` is set.
fn body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    to_end: bool,
) -> io::Result<Vec<u8>> {
    let mut data = Vec::new();
    if find(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let size = line(reader)?.ok_or_else(|| malformed("cut off in chunks"))?;
            let size = size.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| malformed("chunk size"))?;
            if size == 0 {
                while line(reader)?.is_some_and(|trailer| !trailer.is_empty()) {}
                return Ok(data);
            }
            let start = data.len();
            data.resize(start + size, 0);
            reader.read_exact(&mut data[start..])?;
            line(reader)?;
        }
    }
    match find(headers, "content-length").parse::<usize>() {
        Ok(length) => {
            data.resize(length, 0);
            reader.read_exact(&mut data)?;
        }
        Err(_) if to_end => {
            reader.read_to_end(&mut data)?;
        }
        Err(_) => {}
    }
    Ok(data)
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(first) = line(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let headers = headers(reader)?;
    let body = body(reader, &headers, false)?;
    Ok(Some(Request { method: method.to_owned(), target: target.to_owned(), headers, body }))
}

pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    loop {
        let first = line(reader)?.ok_or_else(|| malformed("closed without an answer"))?;
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status: u16 = status.ok_or_else(|| malformed("no status line"))?;
        let headers = headers(reader)?;
        if (100..200).contains(&status) {
            continue;
        }
        let has_body = status != 204 && status != 304;
        let body = if has_body { body(reader, &headers, true)? } else { Vec::new() };
        return Ok(Response { status, headers, body });
    }
}

/// A connection to a server.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Connection { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(data)
    }

    pub fn receive(&mut self) -> io::Result<Response> {
        read_response(&mut self.reader)
    }
}

/// Sends one request on a new connection.
pub fn call(address: SocketAddr, request: &Request, timeout: Duration) -> io::Result<Response> {
    let end = Instant::now() + timeout;
    let mut connection = Connection::open(address, timeout)?;
    connection.send(&request.encode())?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    connection.reader.get_ref().set_read_timeout(Some(left))?;
    connection.receive()
}

/// Serves requests in a thread for each connection. Without an answer of the handler, the
/// connection is closed.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(&Request, &TcpStream) -> Option<Response> + Clone + Send + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    let Some(response) = handler(&request, &stream) else { break };
                    if (&stream).write_all(&response.encode()).is_err() {
                        break;
                    }
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// Returns whether the other side has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
