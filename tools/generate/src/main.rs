//! Regenerates `crates/wire/src/generated.rs`; run `cargo run` in this folder.

use std::error;
use std::fs;
use std::path;

fn main() -> Result<(), Box<dyn error::Error>> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let proto = root.join("crates/wire/proto");
    let files = protox::compile(["node.proto"], [&proto])?;
    let output = root.join("target/generated");
    fs::create_dir_all(&output)?;
    prost_build::Config::new()
        .bytes([".cornelridge.node.BodyChunk", ".cornelridge.node.Header", ".cornelridge.node.RequestHead"])
        .out_dir(&output)
        .compile_fds(files)?;
    fs::copy(output.join("cornelridge.node.rs"), root.join("crates/wire/src/generated.rs"))?;
    Ok(())
}
