//! Converts calls received from balancers into requests, by the settings of the deployment.

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

/// Field in which a caller states its timeout, in milliseconds.
const CLIENT_TIMEOUT_FIELD: &str = "allow";
/// Field that marks a call as a retry. Any value except 0 counts as the mark.
const RETRY_FIELD: &str = "dup";

/// Reason for rejecting a call.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// The settings do not define the operation.
    #[error("unknown operation {0:?}")]
    UnknownOperation(String),
    /// The arrival time of the call is too far in the past or the future: older than the longest client
    /// timeout, so that its caller has given up, or ahead of this clock by more than that.
    #[error("since is out of range: {age_ns} ns ago, limit is {limit_ns} ns")]
    SinceOutOfRange {
        /// Time since the call reached the machine, in nanoseconds; negative if the stated time is in the
        /// future.
        age_ns: i64,
        /// The longest client timeout, in nanoseconds.
        limit_ns: Nanos,
    },
    /// The settings define tenant allowances, but not for this tenant.
    #[error("unknown tenant {0:?}")]
    UnknownTenant(Option<String>),
    /// The client timeout is not a whole number of milliseconds.
    #[error("bad {CLIENT_TIMEOUT_FIELD} {0:?}")]
    BadClientTimeout(String),
    /// The operation is idempotent with a key, but the call has no key. Without it a repeated call cannot be
    /// recognized.
    #[error("missing idempotency key")]
    MissingKey,
    /// The idempotency key is longer than the maximum that is stored.
    #[error("idempotency key is too long: {0} bytes, {KEY_MAX} at most")]
    KeyTooLong(usize),
}

/// Decodes the calls of one connection.
pub struct RequestDecoder<'a> {
    /// The configuration: names of operations and tenants, and the fields that hold keys and tenants.
    pub configuration: &'a Configuration,
    /// The clock, used to compute the age of calls.
    pub clock: &'a Clock,
    /// The connection on which the calls are received.
    pub connection: &'a Rc<Connection>,
    /// The peer's address without its port.
    pub peer: IpAddr,
}

impl RequestDecoder<'_> {
    /// Converts a call into a request, or returns the reason for rejecting it.
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
        let index = names.iter().position(|name| name == call.operation);
        index.ok_or_else(|| RequestError::UnknownOperation(call.operation.to_string()))
    }

    fn check_age(&self, call: &rpc::Call) -> Result<(), RequestError> {
        let age_ns = self.clock.age(call.arrival_unix_ms);
        let limit_ns = self.configuration.longest_client_timeout();
        if age_ns.unsigned_abs() > limit_ns {
            return Err(RequestError::SinceOutOfRange { age_ns, limit_ns });
        }
        Ok(())
    }

    /// Returns the index of the call's tenant in the settings. Returns 0 if the settings have no tenant
    /// allowances, or if the options define another way of identifying tenants.
    fn tenant(&self, call: &rpc::Call) -> Result<usize, RequestError> {
        let names = &self.configuration.settings.tenant_names;
        if names.is_empty() || self.configuration.options.borrow().tenants.is_some() {
            return Ok(0);
        }
        let named = call.field(TENANT_FIELD);
        let index = named.and_then(|tenant| names.iter().position(|name| name == tenant));
        index.ok_or_else(|| RequestError::UnknownTenant(named.map(str::to_string)))
    }

    /// Returns the caller's timeout from the arrival of the call, if the settings say that callers state one.
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

    /// Returns the sender of a call, identified by the source configured in the options. The tenant name is
    /// empty if the call does not state one.
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

/// Converts a peer's address to an origin number. Only the first half of an IPv6 address is used, since the
/// owner of one address usually controls all addresses that share this half.
fn peer_origin(peer: IpAddr) -> u64 {
    match peer {
        IpAddr::V4(address) => u64::from(address.to_bits()),
        IpAddr::V6(address) => (address.to_bits() >> 64) as u64,
    }
}
