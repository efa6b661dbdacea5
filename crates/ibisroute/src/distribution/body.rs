//! Catalogue bodies: the injected catalogue functions, and the assembly of a body from a peer.

use std::rc::Rc;

use crate::snapshot::CompiledCatalogue;
use crate::types::Head;
use crate::wire::CatalogueBody;

/// Parses, validates and compiles the catalogue bytes of a head. The error lists all validation
/// errors.
pub type CompileCatalogue = Rc<dyn Fn(Head, &[u8]) -> Result<CompiledCatalogue, String>>;

/// Applies a delta to the given catalogue and returns the bytes of the new one.
pub type ApplyDelta = Rc<dyn Fn(&CompiledCatalogue, &[u8]) -> Result<Vec<u8>, String>>;

/// Returns the delta from the first catalogue to the second, or `None` when there is none or the
/// complete body is shorter.
pub type MakeDelta = Rc<dyn Fn(&CompiledCatalogue, &CompiledCatalogue) -> Option<Vec<u8>>>;

/// Catalogue functions that distribution depends on.
#[derive(Clone)]
pub struct CatalogueFunctions {
    pub compile: CompileCatalogue,
    pub apply_delta: ApplyDelta,
    pub make_delta: MakeDelta,
}

/// Returns the complete bytes of a received body, after its delta, if it is one, has been applied
/// to `base`. The digest is not verified here.
pub fn assemble(
    base: Option<&CompiledCatalogue>,
    body: CatalogueBody,
    apply_delta: &ApplyDelta,
) -> Result<Vec<u8>, String> {
    match (body, base) {
        (CatalogueBody::Whole(bytes), _) => Ok(bytes),
        (CatalogueBody::Delta(delta), Some(base)) => apply_delta(base, &delta),
        (CatalogueBody::Delta(_), None) => Err("delta without a catalogue to apply it to".into()),
    }
}
