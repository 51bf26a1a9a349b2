//! Leases with guards, takeover and settlement of slice moves.
