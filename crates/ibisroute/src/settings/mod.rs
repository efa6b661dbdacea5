//! Settings of a node: one JSON file with a section for each module.
