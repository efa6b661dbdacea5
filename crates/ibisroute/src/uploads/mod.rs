//! Durable acceptance of uploads that no target can take.
