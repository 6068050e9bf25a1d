//! Converts the calls that are received from balancers into requests for operations.

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

/// Name of the call field in which the caller states its timeout, in milliseconds.
const CLIENT_TIMEOUT_FIELD: &str = "allow";
/// Name of the call field that marks a call as a retry. Any value except 0 marks the call as a retry.
const RETRY_FIELD: &str = "dup";

/// Reason why a call from a balancer is invalid. The server answers an invalid call with a failure.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// The deployment's settings do not contain the operation that the call names.
    #[error("unknown operation {0:?}")]
    UnknownOperation(String),
    /// The stated arrival time of the call differs from the present time by more than the longest client
    /// timeout. The caller of a call that arrived so long ago has already given up.
    #[error("since is out of range: {age_ns} ns ago, limit is {limit_ns} ns")]
    SinceOutOfRange {
        /// Time since the call arrived at the machine, in nanoseconds. Negative if the stated arrival time is
        /// in the future.
        age_ns: i64,
        /// Maximum difference between the stated arrival time of the call and the present time, in
        /// nanoseconds. Equal to the longest client timeout of the operations.
        limit_ns: Nanos,
    },
    /// The settings define allowances of tenants, but the call names no tenant or an unknown tenant.
    #[error("unknown tenant {0:?}")]
    UnknownTenant(Option<String>),
    /// The timeout that the caller states in the call is not a whole number of milliseconds.
    #[error("bad {CLIENT_TIMEOUT_FIELD} {0:?}")]
    BadClientTimeout(String),
    /// The operation needs an idempotency key, but the call contains none. Without a key, the server cannot
    /// recognize repeated calls.
    #[error("missing idempotency key")]
    MissingKey,
    /// The idempotency key of the call is longer than the server accepts.
    #[error("idempotency key is too long: {0} bytes, {KEY_MAX} at most")]
    KeyTooLong(usize),
}

/// Converts the calls that are received on one connection into requests.
pub struct RequestDecoder<'a> {
    /// The server's configuration. It contains the names of the operations and of the tenants. It also
    /// contains the names of the call fields for the idempotency key and for the tenant.
    pub configuration: &'a Configuration,
    /// The server's clock, used to compute how long ago a call arrived.
    pub clock: &'a Clock,
    /// The connection on which the calls are received.
    pub connection: &'a Rc<Connection>,
    /// IP address of the peer at the other end of the connection, without the port.
    pub peer: IpAddr,
}

impl RequestDecoder<'_> {
    /// Converts a call into a request. Returns an error if the call is invalid.
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

    /// Returns the index of the call's tenant in the deployment's settings. Returns 0 if the settings define
    /// no allowances of tenants, or if the options file configures how tenants are identified.
    fn tenant(&self, call: &rpc::Call) -> Result<usize, RequestError> {
        let names = &self.configuration.settings.tenant_names;
        if names.is_empty() || self.configuration.options.borrow().tenants.is_some() {
            return Ok(0);
        }
        let named = call.field(TENANT_FIELD);
        let index = named.and_then(|tenant| names.iter().position(|name| name == tenant));
        index.ok_or_else(|| RequestError::UnknownTenant(named.map(str::to_string)))
    }

    /// Returns how long the caller waits for the answer, counted from the arrival of the call. Returns `None`
    /// if the call states no timeout. Also returns `None` if the deployment's settings say that callers state
    /// no timeouts.
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

    /// Returns the sender of a call: the tenant and the network origin. If the call has a ticket for a
    /// promise of admission, the sender also includes this ticket.
    ///
    /// The options configure where the tenant is read from. The tenant's name is empty if the call contains
    /// none. Returns `None` if the options do not configure tenants.
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

/// Converts a peer's IP address to a number that identifies the peer as the origin of calls. For IPv6 only
/// the first 64 bits are used, since one owner usually controls all addresses with the same first 64 bits.
fn peer_origin(peer: IpAddr) -> u64 {
    match peer {
        IpAddr::V4(address) => u64::from(address.to_bits()),
        IpAddr::V6(address) => (address.to_bits() >> 64) as u64,
    }
}
