//! Reads `<tokens>`, the settings of idempotency keys: which call field carries the key, and how large the
//! cache of keys and results may be.

use crate::error::Fault;
use crate::xml::{Element, Result};
use roxmltree::{Document, Node};

/// Maximum length of the name of a call field, in bytes.
const FIELD_BYTES_MAX: usize = 64;
/// Call fields with a fixed meaning. These fields cannot be configured to carry idempotency keys or tenants.
const RESERVED_FIELDS: &[&str] = &["ref", "since", "room", "class_rank", "lookup", "ticket"];

/// Settings of idempotency keys: the call field that carries a key, and the limits of the cache of keys and
/// results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKeys {
    /// Name of the call field that carries the idempotency key.
    pub field: String,
    /// Maximum number of cached idempotency keys, 16 to 2^20; default 4096.
    pub entries: usize,
    /// Maximum total size of the cached results in bytes, 4 KiB to 1 GiB; default 1 MiB.
    pub result_bytes: usize,
}

pub(crate) fn read<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<IdempotencyKeys> {
    let element = Element::new(document, node, &["field", "entries", "results-kb"])?;
    Ok(IdempotencyKeys {
        field: free_field(&element, "a token")?.to_string(),
        entries: element.whole("entries", 4096, 16, 1 << 20)?,
        result_bytes: element.whole("results-kb", 1024, 4, 1 << 20)? << 10,
    })
}

/// Reads the `field` attribute of an element, which contains the name of a call field. A name in
/// [`RESERVED_FIELDS`] is an error. `what` describes the content of the call field for the error message.
pub(crate) fn free_field<'a>(element: &Element<'a, '_>, what: &'static str) -> Result<&'a str> {
    let field = element.required("field")?;
    let is_plain = field.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_' || b == b'-');
    let is_short = (1..=FIELD_BYTES_MAX).contains(&field.len());
    if is_plain && is_short && !RESERVED_FIELDS.contains(&field) {
        return Ok(field);
    }
    Err(element.error(Fault::FieldTaken { field: field.to_string(), what }))
}
