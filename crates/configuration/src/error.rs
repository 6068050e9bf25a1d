//! Errors that occur while settings are read. An error contains the file, the line and the element as far as
//! they are known.

use std::fmt;
use std::path::PathBuf;

/// Error that occurs while settings are read. The message of the error is a single line, and so is the
/// message of each error in its source chain.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The content of a file is invalid. The source of this error contains the position in the file.
    #[error("{}", .path.display())]
    File {
        /// Path of the file with the invalid content, as passed by the caller.
        path: PathBuf,
        /// The error in the content.
        #[source]
        source: Box<ConfigurationError>,
    },
    /// The file cannot be read.
    #[error("cannot read {}", .path.display())]
    Unreadable {
        /// Path of the file that cannot be read, as passed by the caller.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The file is larger than the size limit.
    #[error("{}: {bytes} bytes are more than {limit}", .path.display())]
    TooLong {
        /// Path of the file that is too large, as passed by the caller.
        path: PathBuf,
        /// Size of the file, in bytes.
        bytes: u64,
        /// Maximum size of the file, in bytes.
        limit: u64,
    },
    /// The text is not well-formed XML.
    #[error("line {line}, column {column}: {fault}")]
    Malformed {
        /// Line at which the XML is not well-formed, counted from 1.
        line: u32,
        /// Column at which the XML is not well-formed, counted from 1.
        column: u32,
        /// Error of the XML parser.
        fault: roxmltree::Error,
    },
    /// An element is invalid.
    #[error("{place}: {fault}")]
    Element {
        /// Line and name of the element.
        place: Place,
        /// The fault in the element.
        fault: Box<Fault>,
    },
    /// An element conflicts with another element, or it needs another element that is missing.
    #[error("<{element}>: {fault}")]
    Options {
        /// Name of the element.
        element: &'static str,
        /// Description of the conflict or of the missing element.
        fault: Fault,
    },
    /// A key of the replicated configuration, or the value of a key, is invalid.
    #[error(transparent)]
    Key(#[from] KeyError),
}

/// Error in a key of the replicated configuration or in the value of a key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key}: {fault}")]
pub struct KeyError {
    /// The key.
    pub key: String,
    /// Description of the fault in the key or its value.
    pub fault: Fault,
}

/// Location of an element in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Line of the element, counted from 1.
    pub line: u32,
    /// Name of the element.
    pub element: String,
}

impl fmt::Display for Place {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "line {}, <{}>", self.line, self.element)
    }
}

/// Description of a fault in an element, an attribute or a value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[allow(missing_docs, reason = "the error texts document the variants and fields")]
pub enum Fault {
    #[error("the root is to be <{element} xmlns={namespace:?}>")]
    Root { element: &'static str, namespace: &'static str },
    #[error("unknown attribute {0:?}")]
    UnknownAttribute(String),
    #[error("unknown element")]
    UnknownElement,
    #[error("text where elements are due")]
    Text,
    #[error("given twice")]
    ElementTwice,
    #[error("{name} is missing")]
    Missing { name: String },
    #[error("<set> or <remove> is missing")]
    NoChange,
    #[error("{attribute}: cannot read {text:?}")]
    Unreadable { attribute: String, text: String },
    #[error("cannot read {0:?}")]
    UnreadableValue(String),
    #[error("{attribute}: {value} is not within {min} and {max}")]
    OutOfRange { attribute: String, value: String, min: String, max: String },
    #[error("{value} is not within {min} and {max}")]
    ValueOutOfRange { value: f64, min: f64, max: f64 },
    #[error("{attribute}: unknown choice {choice:?}")]
    UnknownChoice { attribute: &'static str, choice: String },
    #[error("either {first} or {second}")]
    Either { first: &'static str, second: &'static str },
    #[error("stage {number}: {fault}")]
    Stage { number: usize, fault: Box<Fault> },
    #[error("{attribute}: {text:?} is no address and port")]
    NoAddress { attribute: String, text: String },
    #[error("{attribute}: 1 to {max} letters, digits, '-', '_' or '.'")]
    NotPlain { attribute: String, max: usize },
    #[error("{attribute}: 1 to {max} bytes, not {length}")]
    Length { attribute: String, max: usize, length: usize },
    #[error("{attribute}: over {max} bytes")]
    TooLong { attribute: &'static str, max: usize },
    #[error("{attribute}: {value:?} is given twice")]
    ValueTwice { attribute: &'static str, value: String },
    #[error("name, address: {name:?} or {address} is given twice")]
    ServiceTwice { name: String, address: std::net::SocketAddr },
    #[error("more than {max}{what}")]
    TooMany { max: usize, what: &'static str },
    #[error("field: {field:?} cannot name {what}")]
    FieldTaken { field: String, what: &'static str },
    #[error("by=\"field\" needs a field")]
    FieldNeeded,
    #[error("field goes with by=\"field\" alone")]
    FieldWithoutChoice,
    #[error("field: {0:?} names tenants already")]
    FieldOfTenants(String),
    #[error("probe-rtt-ms: under probe-period-ms")]
    ProbeTime,
    #[error("value goes with <set> alone")]
    ValueOfRemove,
    #[error("goes with <membership>, which is absent")]
    NeedsMembership,
    #[error("the options name no <budget>")]
    NoBudget,
    #[error("the options name no <tenants>")]
    NoTenants,
    #[error("{limit} for {named} named tenants; the maximum is {max} named tenants")]
    TooManyTenants { limit: String, named: usize, max: usize },
    #[error("{0}")]
    Key(Box<KeyError>),
    #[error("{0}")]
    TenantLimit(meadowstream_fair_queueing::SettingsError),
    #[error("{0}")]
    Plan(meadowstream_rollout::plan::PlanError),
}
