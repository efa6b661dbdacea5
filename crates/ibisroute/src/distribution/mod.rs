//! Distribution of the configuration: head detection, push, anti-entropy and version floor.
