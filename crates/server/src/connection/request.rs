//! Turns a call as read from the wire into a request, by the settings of the deployment.

use crate::configuration::Configuration;
use crate::configuration::TENANT_FIELD;
use crate::connection::table::Connection;
use crate::event::Request;
use crate::lifecycle::clock::Clock;
use crate::resources::idempotency::KEY_MAX;
use crate::wire::decimal;
use crate::wire::rpc;
use meadowstream_configuration::{Origin, TenantSource};
use meadowstream_overload_control::{Effect, Nanos, Sender};
use std::net::IpAddr;
use std::rc::Rc;

/// Where a caller states how long it waits, in milliseconds.
const CLIENT_TIMEOUT_FIELD: &str = "allow";
/// Where a caller marks a retry, by anything but 0.
const RETRY_FIELD: &str = "dup";

/// Why a call cannot be carried out.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// The settings name no such operation.
    #[error("unknown operation {0:?}")]
    UnknownOperation(String),
    /// The caller has given up on a call that old, or its time is still to come.
    #[error("since is out of range: {age_ns} ns ago, {limit_ns} at most")]
    SinceOutOfRange {
        /// Time since the call reached the machine; negative for a time to come.
        age_ns: i64,
        /// The longest time that any client waits.
        limit_ns: Nanos,
    },
    /// The settings have allowances of tenants and name no such tenant.
    #[error("unknown tenant {0:?}")]
    UnknownTenant(Option<String>),
    /// The stated patience is no number of milliseconds.
    #[error("bad {CLIENT_TIMEOUT_FIELD} {0:?}")]
    BadClientTimeout(String),
    /// Without its key a repeat cannot be told from a new call.
    #[error("a call that is idempotent with a key without its key")]
    MissingKey,
    /// The key is longer than what is kept of one.
    #[error("a key of {0} bytes is too long, {KEY_MAX} at most")]
    KeyTooLong(usize),
}

/// Decodes the calls of one connection.
pub struct RequestDecoder<'a> {
    /// Names of operations and tenants, and where keys stand.
    pub configuration: &'a Configuration,
    /// For the age of calls.
    pub clock: &'a Clock,
    /// The connection that they come on.
    pub connection: &'a Rc<Connection>,
    /// The peer's address without its port.
    pub peer: IpAddr,
}

impl RequestDecoder<'_> {
    /// The request that a call makes.
    pub fn decode(&self, call: &rpc::Call) -> Result<Box<Request>, RequestError> {
        let operation = self.operation(call)?;
        self.check_age(call)?;
        Ok(Box::new(Request {
            connection: self.connection.clone(),
            tag: call.tag,
            operation,
            reference: call.reference,
            arrival_unix_ms: call.arrival_unix_ms,
            held_kb: call.held_kb,
            idempotency_key: self.idempotency_key(operation, call)?,
            tenant: self.tenant(call)?,
            client_timeout: self.client_timeout(call)?,
            marked_retry: call.field(RETRY_FIELD).is_some_and(|mark| mark != "0"),
            body: call.body.to_vec(),
            sender: self.sender(call),
        }))
    }

    fn operation(&self, call: &rpc::Call) -> Result<usize, RequestError> {
        let names = &self.configuration.settings.operation_names;
        let place = names.iter().position(|name| name == call.operation);
        place.ok_or_else(|| RequestError::UnknownOperation(call.operation.to_string()))
    }

    fn check_age(&self, call: &rpc::Call) -> Result<(), RequestError> {
        let age_ns = self.clock.age(call.arrival_unix_ms);
        let limit_ns = self.configuration.longest_client_timeout();
        if age_ns.unsigned_abs() > limit_ns {
            return Err(RequestError::SinceOutOfRange { age_ns, limit_ns });
        }
        Ok(())
    }

    /// The tenant's place in the settings, where these have allowances and the options no way of their own.
    fn tenant(&self, call: &rpc::Call) -> Result<usize, RequestError> {
        let names = &self.configuration.settings.tenant_names;
        if names.is_empty() || self.configuration.options.borrow().tenants.is_some() {
            return Ok(0);
        }
        let named = call.field(TENANT_FIELD);
        let place = named.and_then(|tenant| names.iter().position(|name| name == tenant));
        place.ok_or_else(|| RequestError::UnknownTenant(named.map(str::to_string)))
    }

    /// How long its caller waited when it reached the machine, where callers say so.
    fn client_timeout(&self, call: &rpc::Call) -> Result<Option<Nanos>, RequestError> {
        if !self.configuration.settings.passes_deadline {
            return Ok(None);
        }
        let Some(text) = call.field(CLIENT_TIMEOUT_FIELD) else { return Ok(None) };
        let stated_ms = decimal::<u32>(text.as_bytes());
        let stated_ms = stated_ms.ok_or_else(|| RequestError::BadClientTimeout(text.to_string()))?;
        Ok(Some(u64::from(stated_ms) * 1_000_000))
    }

    fn idempotency_key(&self, operation: usize, call: &rpc::Call) -> Result<Option<Vec<u8>>, RequestError> {
        let operations = &self.configuration.settings.deployment.operations;
        if operations[operation].effect != Effect::IdempotentWithKey {
            return Ok(None);
        }
        let options = self.configuration.options.borrow();
        let field = options.idempotency_keys.as_ref().and_then(|keys| call.field(&keys.field));
        let key = field.filter(|key| !key.is_empty()).ok_or(RequestError::MissingKey)?;
        if key.len() > KEY_MAX {
            return Err(RequestError::KeyTooLong(key.len()));
        }
        Ok(Some(key.into()))
    }

    /// Who sends, as the options say that tenants are known; one that does not name itself has no name.
    fn sender(&self, call: &rpc::Call) -> Option<Sender> {
        let options = self.configuration.options.borrow();
        let tenants = options.tenants.as_ref()?;
        let tenant = match &tenants.source {
            TenantSource::Sender => call.sender.map_or(Vec::new(), |sender| sender.to_string().into_bytes()),
            TenantSource::Peer => self.peer.to_string().into_bytes(),
            TenantSource::Field(field) => call.field(field).unwrap_or("").as_bytes().to_vec(),
        };
        let origin = match tenants.origin {
            Origin::Connection => self.connection.id,
            Origin::Sender => call.sender.unwrap_or(0),
            Origin::Peer => peer_origin(self.peer),
        };
        Some(Sender { tenant, origin, ticket: call.ticket })
    }
}

/// A number for an address. Who has one IPv6 address usually has all that share its first half.
fn peer_origin(peer: IpAddr) -> u64 {
    match peer {
        IpAddr::V4(address) => u64::from(address.to_bits()),
        IpAddr::V6(address) => (address.to_bits() >> 64) as u64,
    }
}
