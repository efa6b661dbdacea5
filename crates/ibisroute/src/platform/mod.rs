//! Client of the platform's table service and object store.

pub mod model;
