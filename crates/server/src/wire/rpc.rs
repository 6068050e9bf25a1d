//! The calls that balancers make and the answers to them, as words of RESP arrays.

use crate::wire::decimal;
use crate::wire::resp;
use meadowstream_overload_control::Nanos;

/// Longest body of a call.
const BODY_MAX: usize = 2048;
/// What may be booked for one call, in KB, is less than this.
const ROOM_MAX: f64 = 2000.0;

#[derive(Debug, PartialEq)]
pub enum Command<'a> {
    Call(Call<'a>),
    Health {
        tag: u64,
    },
    /// The caller has given up on the call of this tag.
    Cancel {
        tag: u64,
    },
    /// Not to be carried out; it is answered where its tag is known.
    Bad {
        tag: Option<u64>,
        why: &'static str,
    },
}

#[derive(Debug, PartialEq)]
pub struct Call<'a> {
    pub tag: u64,
    pub operation: &'a str,
    pub reference: u64,
    /// When it reached the machine, in Unix milliseconds.
    pub since: u64,
    pub held_kb: f64,
    pub body: &'a [u8],
    /// The number of the balancer.
    pub sender: Option<u64>,
    /// What stands for a promise that the caller comes back on.
    pub ticket: Option<u64>,
    pub fields: &'a str,
}

impl<'a> Call<'a> {
    pub fn field(&self, name: &str) -> Option<&'a str> {
        field(self.fields, name)
    }
}

fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    let pairs = fields.split(',').filter_map(|field| field.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Sixteen hexadecimal digits.
fn hex(text: &str) -> Option<u64> {
    let whole = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| whole)
}

pub fn command<'a>(words: &[&'a [u8]]) -> Command<'a> {
    let tag = words.get(1).and_then(|word| decimal::<u64>(word)).filter(|tag| *tag > 0);
    let bad = |why| Command::Bad { tag, why };
    match (words[0], tag) {
        (_, None) => bad("no tag"),
        (b"RPC.HEALTH", Some(tag)) => Command::Health { tag },
        (b"RPC.CANCEL", Some(tag)) => Command::Cancel { tag },
        (b"RPC.CALL", Some(tag)) => call(tag, &words[2..]).map_or_else(bad, Command::Call),
        _ => bad("unknown command"),
    }
}

fn call<'a>(tag: u64, words: &[&'a [u8]]) -> Result<Call<'a>, &'static str> {
    let [operation, fields, body] = words else { return Err("a call has five words") };
    let operation = std::str::from_utf8(operation).map_err(|_| "operation is no text")?;
    let fields = std::str::from_utf8(fields).map_err(|_| "fields are no text")?;
    let whole = fields;
    let field = |name: &str| field(whole, name);
    if body.len() > BODY_MAX {
        return Err("body is too long");
    }
    let held_kb = field("room").and_then(|text| text.parse().ok());
    let rank = field("class_rank").map_or(Ok(0.0), str::parse::<f64>);
    if !rank.is_ok_and(|rank| (0.0..1.0).contains(&rank)) {
        return Err("bad rank");
    }
    let sender =
        field("sender").map(|text| decimal::<u64>(text.as_bytes()).ok_or("bad sender")).transpose()?;
    // Whatever else another installation may mean by the word is no ticket, and does no harm.
    let ticket = field("ticket").and_then(hex);
    Ok(Call {
        tag,
        operation,
        reference: field("ref").and_then(hex).ok_or("bad ref")?,
        since: field("since").and_then(|text| decimal(text.as_bytes())).ok_or("bad since")?,
        held_kb: held_kb.filter(|kb| *kb > 0.0 && *kb < ROOM_MAX).ok_or("bad room")?,
        body,
        sender,
        ticket,
        fields: whole,
    })
}

/// A final answer to a call, or what a health check hears.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Succeeded(Vec<u8>),
    /// With a ticket the time to stay away is a promise.
    Throttled {
        no_retry: bool,
        stay_away: Nanos,
        ticket: Option<u64>,
    },
    Errored,
    Health(bool),
}

/// An answer with the advertised value that is in force.
pub fn put_answer(out: &mut Vec<u8>, tag: u64, answer: &Answer, advertised: Option<f64>) {
    let word: &[u8] = match answer {
        Answer::Succeeded(_) => b"good",
        Answer::Throttled { .. } => b"refused",
        Answer::Errored => b"broken",
        Answer::Health(true) => b"fit",
        Answer::Health(false) => b"unfit",
    };
    let mut fields: Vec<String> = advertised.map(|value| format!("pressure={value}")).into_iter().collect();
    if let Answer::Throttled { no_retry, stay_away, ticket } = answer {
        if *stay_away > 0 {
            fields.push(format!("cooldown={}", stay_away.div_ceil(1_000_000)));
        }
        if *no_retry {
            fields.push("nowhere=1".to_string());
        }
        fields.extend(ticket.map(|ticket| format!("ticket={ticket:016x}")));
    }
    let body: &[u8] = if let Answer::Succeeded(result) = answer { result } else { b"" };
    resp::put_array(out, &[tag.to_string().as_bytes(), word, fields.join(",").as_bytes(), body]);
}

/// Asks that no new call come on this connection.
pub fn put_enough(out: &mut Vec<u8>) {
    resp::put_array(out, &[b"0", b"enough"]);
}
