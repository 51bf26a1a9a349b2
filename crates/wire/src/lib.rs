//! Messages and QUIC transport between nodes.
