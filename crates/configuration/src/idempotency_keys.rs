//! `<tokens>`: the field of a call that carries its idempotency key, and how many keys are cached.

use crate::error::Fault;
use crate::xml::{Element, Result};
use roxmltree::{Document, Node};

/// Longest name of a field, in bytes.
const FIELD_BYTES_MAX: usize = 64;
/// Fields of a call that already mean something else.
const RESERVED_FIELDS: &[&str] = &["ref", "since", "room", "class_rank", "lookup", "ticket"];

/// Where a call carries its idempotency key, and how much is remembered of such calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKeys {
    /// The field of the call.
    pub field: String,
    /// Keys cached at once, 16 to 2^20; 4096 where absent.
    pub entries: usize,
    /// Bytes of results cached, 4 KiB to 1 GiB; 1 MiB where absent.
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

/// The field that an element names: one that means nothing else in a call.
pub(crate) fn free_field<'a>(element: &Element<'a, '_>, what: &'static str) -> Result<&'a str> {
    let field = element.required("field")?;
    let is_plain = field.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_' || b == b'-');
    let is_short = (1..=FIELD_BYTES_MAX).contains(&field.len());
    if is_plain && is_short && !RESERVED_FIELDS.contains(&field) {
        return Ok(field);
    }
    Err(element.error(Fault::FieldTaken { field: field.to_string(), what }))
}
