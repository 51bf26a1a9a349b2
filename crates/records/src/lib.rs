//! At-most-once execution records and their replication.
