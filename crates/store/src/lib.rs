//! Client of the key-value service of the platform.
