//! Catalogue bodies: the injected compiler, and assembly of a body that a peer sent.

use std::rc::Rc;

use crate::snapshot::CompiledCatalogue;
use crate::types::Head;
use crate::wire::CatalogueBody;

/// Parses, validates and compiles the bytes of a head; the error names every fault.
pub type CompileCatalogue = Rc<dyn Fn(Head, &[u8]) -> Result<CompiledCatalogue, String>>;

/// Bytes of the catalogue that a delta leads to from the one held.
pub type ApplyDelta = Rc<dyn Fn(&CompiledCatalogue, &[u8]) -> Result<Vec<u8>, String>>;

/// Delta from the first catalogue to the second; `None` when the whole is shorter or none exists.
pub type MakeDelta = Rc<dyn Fn(&CompiledCatalogue, &CompiledCatalogue) -> Option<Vec<u8>>>;

/// The catalogue functions that distribution depends on.
#[derive(Clone)]
pub struct CatalogueFunctions {
    /// Compiles a body.
    pub compile: CompileCatalogue,
    /// Applies a delta.
    pub apply_delta: ApplyDelta,
    /// Makes a delta.
    pub make_delta: MakeDelta,
}

/// The whole bytes of a body. The digest is not checked here.
pub fn assemble(
    held: Option<&CompiledCatalogue>,
    body: CatalogueBody,
    apply_delta: &ApplyDelta,
) -> Result<Vec<u8>, String> {
    match (body, held) {
        (CatalogueBody::Whole(bytes), _) => Ok(bytes),
        (CatalogueBody::Delta(delta), Some(held)) => apply_delta(held, &delta),
        (CatalogueBody::Delta(_), None) => Err("delta without a catalogue to apply it to".into()),
    }
}
