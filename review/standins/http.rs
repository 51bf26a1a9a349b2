//! Blocking HTTP/1.1 for the stand-ins: one thread a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or a response, as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The words of the first line.
    pub start: Vec<String>,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the path of a request, without its query.
    pub fn path(&self) -> &str {
        self.start.get(1).map_or("", |target| target.split('?').next().unwrap_or(""))
    }

    /// Returns a value of the query of a request, decoded.
    pub fn query(&self, name: &str) -> String {
        let target = self.start.get(1).map_or("", String::as_str);
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value)).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn decode(text: &str) -> String {
    let (mut bytes, mut data) = (text.bytes(), Vec::new());
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                data.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => data.push(b' '),
            other => data.push(other),
        }
    }
    String::from_utf8_lossy(&data).into_owned()
}

/// Reads one message; `None` at the end of the connection or on an error.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if message.start.is_empty() {
            message.start = text.split(' ').map(str::to_owned).collect();
        } else if text.is_empty() {
            break;
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding") == "chunked" {
        loop {
            line.clear();
            reader.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            message.body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Writes a response with the given further header lines, each with its line end.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> Option<()> {
    let length = body.len();
    let mut data =
        format!("HTTP/1.1 {status} -\r\ncontent-length: {length}\r\n{headers}\r\n").into_bytes();
    data.extend_from_slice(body);
    stream.write_all(&data).ok()
}

/// Serves each connection in a thread until the process ends; `handle` gets the number of the
/// connection and returns `None` to close it.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(u64, &Message, &mut TcpStream) -> Option<()> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(mut stream) = stream else { continue };
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Some(message) = read(&mut reader) {
                    if handle(number as u64, &message, &mut stream).is_none() {
                        break;
                    }
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// Sends a request on a new connection and reads the answer; `None` without a complete one.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let length = body.len();
    let mut data = format!(
        "{method} {target} HTTP/1.1\r\ncontent-length: {length}\r\nconnection: close\r\n{headers}\r\n"
    )
    .into_bytes();
    data.extend_from_slice(body);
    stream.write_all(&data).ok()?;
    read(&mut BufReader::new(stream))
}
