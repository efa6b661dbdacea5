//! Streams between nodes: h2 connections, control requests and calls.
