//! Elements whose attributes and children are all known, and errors that name their line.

use crate::error::{ConfigurationError, Fault, Place};
use roxmltree::{Document, Node, ParsingOptions};
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

/// The namespace of every element.
pub const NAMESPACE: &str = "urn:meadowstream:options:1";
/// A longer file is not read.
const FILE_BYTES_MAX: u64 = 4 << 20;
/// Elements and texts of one file, at most.
const NODES_MAX: u32 = 200_000;
const NANOS_PER_MS: u64 = 1_000_000;

/// Whole milliseconds of a default that is in nanoseconds.
pub(crate) fn milliseconds(duration_ns: u64) -> usize {
    (duration_ns / NANOS_PER_MS) as usize
}

/// What reading settings results in.
pub(crate) type Result<T> = std::result::Result<T, ConfigurationError>;

/// Reads a file that is not too long.
pub(crate) fn read_file(path: &Path) -> Result<String> {
    let unreadable = |source| ConfigurationError::Unreadable { path: path.to_path_buf(), source };
    let bytes = std::fs::metadata(path).map_err(unreadable)?.len();
    if bytes > FILE_BYTES_MAX {
        let path = path.to_path_buf();
        return Err(ConfigurationError::TooLong { path, bytes, limit: FILE_BYTES_MAX });
    }
    std::fs::read_to_string(path).map_err(unreadable)
}

/// Names the file in an error about its content.
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

/// An element with all its attributes known.
pub(crate) struct Element<'a, 'd> {
    node: Node<'a, 'd>,
    document: &'a Document<'d>,
}

impl<'a, 'd> Element<'a, 'd> {
    /// Refuses an attribute that is not among the known ones.
    pub(crate) fn new(document: &'a Document<'d>, node: Node<'a, 'd>, known: &[&str]) -> Result<Self> {
        let element = Self { node, document };
        match node.attributes().find(|given| !known.contains(&given.name())) {
            Some(unknown) => Err(element.error(Fault::UnknownAttribute(unknown.name().to_string()))),
            None => Ok(element),
        }
    }

    /// The root of a document, which has to have this name.
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

    /// An error that names this element and its line.
    pub(crate) fn error(&self, fault: Fault) -> ConfigurationError {
        ConfigurationError::Element { place: self.place(), fault: Box::new(fault) }
    }

    /// The elements in it, each of one of these names; each name once but for `repeated`.
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
        before: &[Node<'a, 'd>],
    ) -> Result<()> {
        let name = child.tag_name().name();
        // The line is counted from the start of the file, so only where an error needs it.
        let error = |fault| Self { node: child, document: self.document }.error(fault);
        if child.tag_name().namespace() != Some(NAMESPACE) || !known.contains(&name) {
            return Err(error(Fault::UnknownElement));
        }
        if !repeated.contains(&name) && before.iter().any(|other| other.tag_name().name() == name) {
            return Err(error(Fault::ElementTwice));
        }
        Ok(())
    }

    /// The value of an attribute, where it is given.
    pub(crate) fn text(&self, attribute: &str) -> Option<&'a str> {
        self.node.attribute(attribute)
    }

    /// The value of an attribute that has to be given.
    pub(crate) fn required(&self, attribute: &str) -> Result<&'a str> {
        let missing = || self.error(Fault::Missing { name: attribute.to_string() });
        self.text(attribute).ok_or_else(missing)
    }

    pub(crate) fn parsed<T: FromStr>(&self, attribute: &str, default: T) -> Result<T> {
        let Some(text) = self.text(attribute) else { return Ok(default) };
        let unreadable = Fault::Unreadable { attribute: attribute.to_string(), text: text.to_string() };
        text.parse().map_err(|_| self.error(unreadable))
    }

    /// A finite number within bounds.
    pub(crate) fn number(&self, attribute: &str, default: f64, least: f64, most: f64) -> Result<f64> {
        let number: f64 = self.parsed(attribute, default)?;
        if number.is_finite() && (least..=most).contains(&number) {
            return Ok(number);
        }
        Err(self.out_of_range(attribute, number, least, most))
    }

    /// A whole number within bounds.
    pub(crate) fn whole(&self, attribute: &str, default: usize, least: usize, most: usize) -> Result<usize> {
        let number: usize = self.parsed(attribute, default)?;
        if (least..=most).contains(&number) {
            return Ok(number);
        }
        Err(self.out_of_range(attribute, number, least, most))
    }

    fn out_of_range<T: ToString>(&self, attribute: &str, value: T, least: T, most: T) -> ConfigurationError {
        self.error(Fault::OutOfRange {
            attribute: attribute.to_string(),
            value: value.to_string(),
            least: least.to_string(),
            most: most.to_string(),
        })
    }

    /// A whole number within bounds that has to be given.
    pub(crate) fn required_whole(&self, attribute: &str, least: usize, most: usize) -> Result<usize> {
        self.required(attribute)?;
        self.whole(attribute, least, least, most)
    }

    /// A duration in nanoseconds. The file, the default and the bounds have milliseconds.
    pub(crate) fn duration_ns(
        &self,
        attribute: &str,
        default_ms: usize,
        least_ms: usize,
        most_ms: usize,
    ) -> Result<u64> {
        let ms = self.whole(attribute, default_ms, least_ms, most_ms)?;
        Ok(ms as u64 * NANOS_PER_MS)
    }

    /// An address with a port, which has to be given.
    pub(crate) fn address(&self, attribute: &str) -> Result<SocketAddr> {
        let text = self.required(attribute)?;
        let fault = Fault::NoAddress { attribute: attribute.to_string(), text: text.to_string() };
        text.parse().map_err(|_| self.error(fault))
    }

    /// The `name` attributes of all children, which are of one kind.
    pub(crate) fn names_of_children(&self, kind: &str) -> Result<Vec<String>> {
        let mut names = Vec::new();
        for child in self.children(&[kind], &[kind])? {
            let element = Element::new(self.document, child, &["name"])?;
            names.push(element.required("name")?.to_string());
        }
        Ok(names)
    }
}
