//! Why a file cannot be used: the file, the line and element, and what is wrong there.

use std::fmt;
use std::path::PathBuf;

/// Why settings cannot be read. The text of an error and of its sources is one line each.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// What is wrong with the content of a file; the source says where.
    #[error("{}", .path.display())]
    File {
        /// The file as it was named.
        path: PathBuf,
        /// What is wrong with its content.
        #[source]
        source: Box<ConfigurationError>,
    },
    /// The file cannot be read at all.
    #[error("cannot read {}", .path.display())]
    Unreadable {
        /// The file as it was named.
        path: PathBuf,
        /// What the system says.
        #[source]
        source: std::io::Error,
    },
    /// The file is longer than any that is read.
    #[error("{}: {bytes} bytes are more than {limit}", .path.display())]
    TooLong {
        /// The file as it was named.
        path: PathBuf,
        /// Its size.
        bytes: u64,
        /// The largest size that is read.
        limit: u64,
    },
    /// The text is not well-formed XML.
    #[error("line {line}, column {column}: {fault}")]
    Malformed {
        /// Line of the fault, from 1.
        line: u32,
        /// Column of the fault, from 1.
        column: u32,
        /// What the parser says.
        fault: roxmltree::Error,
    },
    /// An element cannot be used.
    #[error("{place}: {fault}")]
    Element {
        /// Where it stands.
        place: Place,
        /// What is wrong with it.
        fault: Box<Fault>,
    },
    /// An element conflicts with another one or lacks one that it needs.
    #[error("<{element}>: {fault}")]
    Options {
        /// The element's name.
        element: &'static str,
        /// What is wrong.
        fault: Fault,
    },
    /// A key of replicated configuration cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
}

/// A key of replicated configuration that cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key}: {fault}")]
pub struct KeyError {
    /// The key.
    pub key: String,
    /// What is wrong with it or its value.
    pub fault: Fault,
}

/// Where an element stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its line, from 1.
    pub line: u32,
    /// Its name.
    pub element: String,
}

impl fmt::Display for Place {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "line {}, <{}>", self.line, self.element)
    }
}

/// What is wrong with an element, an attribute or a value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[allow(missing_docs, reason = "the texts say what each variant and field is")]
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
    #[error("{attribute}: {value} is not within {least} and {most}")]
    OutOfRange { attribute: String, value: String, least: String, most: String },
    #[error("{value} is not within {least} and {most}")]
    ValueOutOfRange { value: f64, least: f64, most: f64 },
    #[error("{attribute}: unknown choice {choice:?}")]
    UnknownChoice { attribute: &'static str, choice: String },
    #[error("either {first} or {second}")]
    Either { first: &'static str, second: &'static str },
    #[error("stage {number}: {fault}")]
    Stage { number: usize, fault: Box<Fault> },
    #[error("{attribute}: {text:?} is no address and port")]
    NoAddress { attribute: String, text: String },
    #[error("{attribute}: 1 to {most} letters, digits, '-', '_' or '.'")]
    NotPlain { attribute: String, most: usize },
    #[error("{attribute}: 1 to {most} bytes, not {length}")]
    Length { attribute: String, most: usize, length: usize },
    #[error("{attribute}: over {most} bytes")]
    TooLong { attribute: &'static str, most: usize },
    #[error("{attribute}: {value:?} is given twice")]
    ValueTwice { attribute: &'static str, value: String },
    #[error("name, address: {name:?} or {address} is given twice")]
    ServiceTwice { name: String, address: std::net::SocketAddr },
    #[error("more than {most}{what}")]
    TooMany { most: usize, what: &'static str },
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
    #[error("{limit} for {named} named tenants; {most} may be named")]
    TooManyTenants { limit: String, named: usize, most: usize },
    #[error("{0}")]
    Key(Box<KeyError>),
    #[error("{0}")]
    TenantLimit(meadowstream_fair_queueing::SettingsError),
    #[error("{0}")]
    Plan(meadowstream_rollout::plan::PlanError),
}
