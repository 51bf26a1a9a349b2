//! Measures the transport on loopback: CPU and latency of echo streams, memory of idle connections.
//!
//! `probe echo CONCURRENCY REQUESTS`, `probe idle CONNECTIONS` or `probe download MEGABYTES`. Both endpoints run in this
//! process, so the figures cover both sides of a request or connection.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time;

use cornelridge_wire::transport::{EndpointSettings, NodeEndpoint, PeerEvent};
use cornelridge_wire::{codec, generated, identity};
use generated::stream_head::Kind;

/// Bytes of body in each request and answer.
const BODY_BYTES: usize = 300;
/// Time for what handshakes leave behind to be freed.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(2);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |at: usize| arguments[at].parse::<u64>().unwrap();
    match arguments.first().map(String::as_str) {
        Some("echo") => smol::block_on(smol::spawn(echo(argument(1), argument(2)))),
        Some("idle") => smol::block_on(smol::spawn(idle(argument(1)))),
        Some("download") => smol::block_on(smol::spawn(download(argument(1)))),
        _ => {
            panic!("usage: probe echo CONCURRENCY REQUESTS | idle CONNECTIONS | download MEGABYTES")
        }
    }
}

fn bind(authority: &identity::TrialAuthority, name: &str) -> NodeEndpoint {
    let listen = ([127, 0, 0, 1], 0).into();
    NodeEndpoint::bind(EndpointSettings::new(listen, authority.issue(name).unwrap())).unwrap()
}

fn head(id: u64) -> generated::StreamHead {
    let request = generated::RequestHead {
        request_id: id,
        class: "quote-desk".to_owned(),
        method: "GET".to_owned(),
        path: "/item".to_owned(),
        key: id.to_le_bytes().to_vec().into(),
        has_body: true,
        ..Default::default()
    };
    generated::StreamHead { kind: Some(Kind::Request(request)) }
}

/// Answers each request with a head and its body.
async fn serve(endpoint: NodeEndpoint) {
    let events = endpoint.events();
    while let Ok(event) = events.recv().await {
        let PeerEvent::Stream { mut writer, mut reader, .. } = event else { continue };
        smol::spawn(async move {
            let body: generated::BodyChunk = reader.receive().await.unwrap().unwrap();
            let start = generated::ResponseStart { status: 200, ..Default::default() };
            let kind = Some(generated::response_head::Kind::Start(start));
            writer.queue(&generated::ResponseHead { kind }).unwrap();
            writer.queue(&body).unwrap();
            writer.finish().await.unwrap();
        })
        .detach();
    }
}

async fn request(client: &NodeEndpoint, server: &NodeEndpoint, id: u64) {
    let to = server.local_address();
    let (mut writer, mut reader) = client.open_stream_queued(to, &head(id)).await.unwrap();
    writer
        .queue(&generated::BodyChunk { data: vec![id as u8; BODY_BYTES].into(), last: true })
        .unwrap();
    writer.finish().await.unwrap();
    reader.receive::<generated::ResponseHead>().await.unwrap().unwrap();
    let body: generated::BodyChunk = reader.receive().await.unwrap().unwrap();
    assert_eq!(body.data, vec![id as u8; BODY_BYTES]);
    assert!(reader.receive::<generated::BodyChunk>().await.unwrap().is_none());
}

async fn echo(concurrency: u64, requests: u64) {
    let authority = identity::TrialAuthority::new().unwrap();
    let (client, server) = (bind(&authority, "a"), bind(&authority, "b"));
    smol::spawn(serve(server.clone())).detach();
    for id in 0..1_000 {
        request(&client, &server, id).await;
    }
    let next = Arc::new(AtomicU64::new(0));
    let (cpu, started) = (cpu_time(), time::Instant::now());
    let tasks: Vec<_> = (0..concurrency)
        .map(|_| {
            let (client, server, next) = (client.clone(), server.clone(), Arc::clone(&next));
            smol::spawn(async move {
                let mut latencies = Vec::new();
                loop {
                    let id = next.fetch_add(1, Ordering::Relaxed);
                    if id >= requests {
                        return latencies;
                    }
                    let sent = time::Instant::now();
                    request(&client, &server, id).await;
                    latencies.push(sent.elapsed());
                }
            })
        })
        .collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await);
    }
    let (elapsed, cpu) = (started.elapsed(), cpu_time() - cpu);
    latencies.sort();
    let percentile =
        |share: f64| latencies[((latencies.len() - 1) as f64 * share) as usize].as_micros();
    println!(
        "{requests} echoes, {concurrency} at a time: {:.0}/s, CPU {:.1} us each, \
         p50 {} us, p99 {} us, max {} us",
        requests as f64 / elapsed.as_secs_f64(),
        cpu.as_secs_f64() * 1e6 / requests as f64,
        percentile(0.5),
        percentile(0.99),
        percentile(1.0),
    );
}

/// Measures the second connection of each client, because the first one touches the receive
/// buffer of its endpoint.
async fn idle(connections: u64) {
    let authority = identity::TrialAuthority::new().unwrap();
    let servers = [bind(&authority, "first"), bind(&authority, "second")];
    let clients: Vec<_> = (0..connections).map(|_| bind(&authority, "client")).collect();
    connect(&clients, &servers[0]).await;
    smol::Timer::after(SETTLE_TIME).await;
    let before = resident_kilobytes();
    connect(&clients, &servers[1]).await;
    smol::Timer::after(SETTLE_TIME).await;
    let growth = resident_kilobytes() - before;
    println!(
        "{connections} connections, both ends: {growth} KiB more, {:.1} KiB for each end",
        growth as f64 / connections as f64 / 2.0
    );
}

async fn connect(clients: &[NodeEndpoint], server: &NodeEndpoint) {
    let probe = generated::Probe { nonce: 1, versions: None };
    let body = Some(generated::control_message::Body::Probe(probe));
    let message = generated::ControlMessage { sender: 1, body };
    while server.connection_count() < clients.len() {
        for client in clients {
            client.send_datagram(server.local_address(), &message);
        }
        smol::Timer::after(time::Duration::from_millis(100)).await;
    }
}

/// Measures one large answer and the memory that it takes on both sides together.
async fn download(megabytes: u64) {
    let authority = identity::TrialAuthority::new().unwrap();
    let (client, server) = (bind(&authority, "a"), bind(&authority, "b"));
    let (_writer, mut reader) = client.open_stream(server.local_address(), &head(1)).await.unwrap();
    let PeerEvent::Stream { mut writer, reader: _request, .. } =
        server.events().recv().await.unwrap()
    else {
        panic!("not a stream");
    };
    let chunks = megabytes * 1_000_000 / codec::MAX_CHUNK_BYTES as u64;
    let sending = smol::spawn(async move {
        for _ in 0..chunks {
            let data = vec![7; codec::MAX_CHUNK_BYTES];
            writer.send(&generated::BodyChunk { data: data.into(), last: false }).await.unwrap();
        }
        writer.finish().await.unwrap();
    });
    let (cpu, started, before) = (cpu_time(), time::Instant::now(), resident_kilobytes());
    let (mut received, mut max_kilobytes, mut chunk_count) = (0_u64, before, 0_u64);
    while let Some(chunk) = reader.receive::<generated::BodyChunk>().await.unwrap() {
        received += chunk.data.len() as u64;
        chunk_count += 1;
        if chunk_count.is_multiple_of(64) {
            max_kilobytes = max_kilobytes.max(resident_kilobytes());
        }
    }
    sending.await;
    let (elapsed, cpu) = (started.elapsed().as_secs_f64(), (cpu_time() - cpu).as_secs_f64());
    println!(
        "{received} bytes: {:.0} MB/s, CPU {:.1} ms for each MB, at most {} KiB more memory",
        received as f64 / 1e6 / elapsed,
        cpu * 1e9 / received as f64,
        max_kilobytes - before,
    );
}

/// CPU time of all threads of this process.
fn cpu_time() -> time::Duration {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let nanoseconds = tasks
        .filter_map(|task| std::fs::read_to_string(task.unwrap().path().join("schedstat")).ok())
        .filter_map(|text| text.split(' ').next()?.parse::<u64>().ok())
        .sum();
    time::Duration::from_nanos(nanoseconds)
}

fn resident_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
