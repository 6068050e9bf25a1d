//! Strict reader of XML elements. Unknown attributes and unknown children are errors, and each error contains
//! the line.

use crate::error::{ConfigurationError, Fault, Place};
use roxmltree::{Document, Node, ParsingOptions};
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

/// Namespace of all elements.
pub const NAMESPACE: &str = "urn:meadowstream:options:1";
/// Maximum size of an XML file, in bytes.
const FILE_BYTES_MAX: u64 = 4 << 20;
/// Maximum number of XML nodes in a file.
const NODES_MAX: u32 = 200_000;
const NANOS_PER_MS: u64 = 1_000_000;

/// Converts a duration in nanoseconds to whole milliseconds.
pub(crate) fn milliseconds(duration_ns: u64) -> usize {
    (duration_ns / NANOS_PER_MS) as usize
}

/// Result of reading settings.
pub(crate) type Result<T> = std::result::Result<T, ConfigurationError>;

/// Reads a text file of at most [`FILE_BYTES_MAX`] bytes.
pub(crate) fn read_file(path: &Path) -> Result<String> {
    let unreadable = |source| ConfigurationError::Unreadable { path: path.to_path_buf(), source };
    let bytes = std::fs::metadata(path).map_err(unreadable)?.len();
    if bytes > FILE_BYTES_MAX {
        let path = path.to_path_buf();
        return Err(ConfigurationError::TooLong { path, bytes, limit: FILE_BYTES_MAX });
    }
    std::fs::read_to_string(path).map_err(unreadable)
}

/// Adds the path of the file to an error that occurred while the content of the file was read.
pub(crate) fn in_file<T>(path: &Path, read: Result<T>) -> Result<T> {
    read.map_err(|source| ConfigurationError::File { path: path.to_path_buf(), source: Box::new(source) })
}

pub(crate) fn parse(text: &str) -> Result<Document<'_>> {
    let limits = ParsingOptions { nodes_limit: NODES_MAX, ..ParsingOptions::default() };
    Document::parse_with_options(text, limits).map_err(|fault| {
        let at = fault.pos();
        ConfigurationError::Malformed { line: at.row, column: at.col, fault }
    })
}

/// An XML element whose attributes have been checked: all of them are known.
pub(crate) struct Element<'a, 'd> {
    node: Node<'a, 'd>,
    document: &'a Document<'d>,
}

impl<'a, 'd> Element<'a, 'd> {
    /// Wraps an XML element. Returns an error if the element has an attribute that is not in `known`.
    pub(crate) fn new(document: &'a Document<'d>, node: Node<'a, 'd>, known: &[&str]) -> Result<Self> {
        let element = Self { node, document };
        match node.attributes().find(|attribute| !known.contains(&attribute.name())) {
            Some(unknown) => Err(element.error(Fault::UnknownAttribute(unknown.name().to_string()))),
            None => Ok(element),
        }
    }

    /// Wraps the root element of a document. Returns an error if the root element has another name or
    /// namespace, or an attribute that is not in `known`.
    pub(crate) fn root(document: &'a Document<'d>, name: &'static str, known: &[&str]) -> Result<Self> {
        let root = Self::new(document, document.root_element(), known)?;
        let tag = root.node.tag_name();
        if tag.name() != name || tag.namespace() != Some(NAMESPACE) {
            return Err(root.error(Fault::Root { element: name, namespace: NAMESPACE }));
        }
        Ok(root)
    }

    pub(crate) fn name(&self) -> &'a str {
        self.node.tag_name().name()
    }

    fn place(&self) -> Place {
        let line = self.document.text_pos_at(self.node.range().start).row;
        Place { line, element: self.name().to_string() }
    }

    /// Creates an error that contains this element's name and line.
    pub(crate) fn error(&self, fault: Fault) -> ConfigurationError {
        ConfigurationError::Element { place: self.place(), fault: Box::new(fault) }
    }

    /// Returns the child elements. Returns an error if the name of a child is not in `known`, or if a name
    /// occurs more than once and is not in `repeated`.
    pub(crate) fn children(&self, known: &[&str], repeated: &[&str]) -> Result<Vec<Node<'a, 'd>>> {
        let mut found: Vec<Node> = Vec::new();
        for child in self.node.children() {
            if child.is_text() && !child.text().unwrap_or("").trim().is_empty() {
                return Err(self.error(Fault::Text));
            }
            if child.is_element() {
                self.check_child(child, known, repeated, &found)?;
                found.push(child);
            }
        }
        Ok(found)
    }

    fn check_child(
        &self,
        child: Node<'a, 'd>,
        known: &[&str],
        repeated: &[&str],
        previous: &[Node<'a, 'd>],
    ) -> Result<()> {
        let name = child.tag_name().name();
        // This closure creates the error only if the child is invalid. Creating an error is slow, because an
        // error contains the line of the child, and finding the line scans the file from its start.
        let error = |fault| Self { node: child, document: self.document }.error(fault);
        if child.tag_name().namespace() != Some(NAMESPACE) || !known.contains(&name) {
            return Err(error(Fault::UnknownElement));
        }
        if !repeated.contains(&name) && previous.iter().any(|other| other.tag_name().name() == name) {
            return Err(error(Fault::ElementTwice));
        }
        Ok(())
    }

    /// Returns the value of an attribute, or `None` if the attribute is missing.
    pub(crate) fn text(&self, attribute: &str) -> Option<&'a str> {
        self.node.attribute(attribute)
    }

    /// Returns the value of an attribute. Returns an error if the attribute is missing.
    pub(crate) fn required(&self, attribute: &str) -> Result<&'a str> {
        let missing = || self.error(Fault::Missing { name: attribute.to_string() });
        self.text(attribute).ok_or_else(missing)
    }

    pub(crate) fn parsed<T: FromStr>(&self, attribute: &str, default: T) -> Result<T> {
        let Some(text) = self.text(attribute) else { return Ok(default) };
        let unreadable = Fault::Unreadable { attribute: attribute.to_string(), text: text.to_string() };
        text.parse().map_err(|_| self.error(unreadable))
    }

    /// Reads the value of an attribute as a finite number from `min` to `max`. Returns `default` if the
    /// attribute is missing.
    pub(crate) fn number(&self, attribute: &str, default: f64, min: f64, max: f64) -> Result<f64> {
        let number: f64 = self.parsed(attribute, default)?;
        if number.is_finite() && (min..=max).contains(&number) {
            return Ok(number);
        }
        Err(self.out_of_range(attribute, number, min, max))
    }

    /// Reads the value of an attribute as an integer from `min` to `max`. Returns `default` if the attribute
    /// is missing.
    pub(crate) fn whole(&self, attribute: &str, default: usize, min: usize, max: usize) -> Result<usize> {
        let number: usize = self.parsed(attribute, default)?;
        if (min..=max).contains(&number) {
            return Ok(number);
        }
        Err(self.out_of_range(attribute, number, min, max))
    }

    fn out_of_range<T: ToString>(&self, attribute: &str, value: T, min: T, max: T) -> ConfigurationError {
        self.error(Fault::OutOfRange {
            attribute: attribute.to_string(),
            value: value.to_string(),
            min: min.to_string(),
            max: max.to_string(),
        })
    }

    /// Reads the value of an attribute as an integer from `min` to `max`. Returns an error if the attribute
    /// is missing.
    pub(crate) fn required_whole(&self, attribute: &str, min: usize, max: usize) -> Result<usize> {
        self.required(attribute)?;
        self.whole(attribute, min, min, max)
    }

    /// Reads the value of an attribute as a duration and returns it in nanoseconds. The attribute's value,
    /// the default and the bounds are in milliseconds.
    pub(crate) fn duration_ns(
        &self,
        attribute: &str,
        default_ms: usize,
        min_ms: usize,
        max_ms: usize,
    ) -> Result<u64> {
        let ms = self.whole(attribute, default_ms, min_ms, max_ms)?;
        Ok(ms as u64 * NANOS_PER_MS)
    }

    /// Reads the value of an attribute as an IP address with a port. Returns an error if the attribute is
    /// missing.
    pub(crate) fn address(&self, attribute: &str) -> Result<SocketAddr> {
        let text = self.required(attribute)?;
        let fault = Fault::NoAddress { attribute: attribute.to_string(), text: text.to_string() };
        text.parse().map_err(|_| self.error(fault))
    }

    /// Returns the `name` attributes of all child elements. Returns an error if the name of a child element
    /// is not `kind`.
    pub(crate) fn names_of_children(&self, kind: &str) -> Result<Vec<String>> {
        let mut names = Vec::new();
        for child in self.children(&[kind], &[kind])? {
            let element = Element::new(self.document, child, &["name"])?;
            names.push(element.required("name")?.to_string());
        }
        Ok(names)
    }
}
