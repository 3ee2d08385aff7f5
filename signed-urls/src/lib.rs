//! Signs and verifies the URLs that players receive. A URL carries a ticket that binds the viewing, the rung
//! and an expiry time by HMAC-SHA-256 (RFC 2104). Two keys can be valid at once, which allows key rotation.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;

mod error;

pub use error::{Denial, KeysError};

/// What a ticket authorizes. All fields are covered by the signature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim<'a> {
    /// Id of the viewing, or of the watch whose playlist is reloaded.
    pub viewing: &'a str,
    /// The resource that may be fetched: a segment, a map or a playlist.
    pub what: &'a str,
    /// Number of the rung that the resource belongs to.
    pub rung: usize,
    /// Unix time in seconds from which the ticket is no longer valid.
    pub expires: u64,
}

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

#[derive(Clone)]
struct Key {
    name: String,
    secret: Vec<u8>,
}

/// The valid keys. The first one signs; tickets signed with any of them are accepted. The `Debug` text holds
/// only the names of the keys.
#[derive(Clone)]
pub struct Keys(Vec<Key>);

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(|key| &key.name)).finish()
    }
}

impl Keys {
    /// Parses one or two lines of the form `name secret`. The secret is base64url and has at least 16 bytes.
    /// Empty lines and lines that start with `#` are skipped.
    ///
    /// # Errors
    /// Returns the first fault and its line.
    pub fn read(text: &str) -> Result<Keys, KeysError> {
        let mut keys: Vec<Key> = Vec::new();
        let lines = text.lines().map(str::trim).enumerate();
        for (index, content) in lines.filter(|(_, text)| !text.is_empty() && !text.starts_with('#')) {
            let line = index + 1;
            let (name, secret) = content.split_once(' ').ok_or(KeysError::InvalidLine { line })?;
            if name.is_empty() || !name.chars().all(|symbol| symbol.is_ascii_alphanumeric()) {
                return Err(KeysError::InvalidName { line, name: name.into() });
            }
            let key_name = || name.to_string();
            let secret = URL_SAFE_NO_PAD
                .decode(secret.trim().trim_end_matches('='))
                .map_err(|_| KeysError::InvalidSecret { line, key: key_name() })?;
            if secret.len() < MIN_SECRET_BYTES {
                return Err(KeysError::SecretTooShort { line, key: key_name(), bytes: secret.len() });
            }
            if keys.iter().any(|key| key.name == name) {
                return Err(KeysError::DuplicateName { line, key: key_name() });
            }
            keys.push(Key { name: name.to_string(), secret });
        }
        match keys.len() {
            1 | 2 => Ok(Keys(keys)),
            found => Err(KeysError::InvalidCount { found }),
        }
    }

    /// Signs a claim; returns the query string `t=expiry.key.mac` for the URL.
    pub fn ticket(&self, claim: &Claim) -> String {
        let Key { name, secret } = &self.0[0];
        let mac = claim_mac(secret, claim).finalize().into_bytes();
        format!("t={}.{}.{}", claim.expires, name, URL_SAFE_NO_PAD.encode(mac))
    }

    /// Derives one 32-byte key for another purpose from each secret, in the order of the keys: the HMAC-SHA-256
    /// of the purpose under the secret. A signature for one purpose is therefore never valid for another, and
    /// no secret leaves this crate.
    pub fn derived(&self, purpose: &str) -> Vec<[u8; 32]> {
        let derive = |secret: &[u8]| {
            // The input of a ticket's MAC starts with a length below 2^56 and so with a 0 byte. The prefix here
            // starts with another byte, so that the two inputs never coincide.
            let mut mac = hmac_sha256(secret);
            mac.update(b"for ");
            mac.update(purpose.as_bytes());
            mac.finalize().into_bytes().into()
        };
        self.0.iter().map(|key| derive(&key.secret)).collect()
    }

    /// Verifies a ticket (`expiry.key.mac`) for the requested resource. `now_s` is the Unix time in seconds.
    ///
    /// # Errors
    /// Returns the reason to reject the ticket. The comparison takes the same time for every wrong MAC.
    pub fn check(
        &self,
        ticket: &str,
        viewing: &str,
        what: &str,
        rung: usize,
        now_s: u64,
    ) -> Result<(), Denial> {
        let mut parts = ticket.splitn(3, '.');
        let mut part = || parts.next().ok_or(Denial::Malformed);
        let (expires, name, mac) = (part()?, part()?, part()?);
        let expires = expires.parse::<u64>().map_err(|_| Denial::Malformed)?;
        let mac = URL_SAFE_NO_PAD.decode(mac).map_err(|_| Denial::Malformed)?;
        let key = self.0.iter().find(|key| key.name == name).ok_or(Denial::UnknownKey)?;
        let claim = Claim { viewing, what, rung, expires };
        claim_mac(&key.secret, &claim).verify_slice(&mac).map_err(|_| Denial::Forged)?;
        if now_s >= expires {
            return Err(Denial::Expired);
        }
        Ok(())
    }
}

fn hmac_sha256(secret: &[u8]) -> Hmac<Sha256> {
    // HMAC accepts keys of any length, so this can't fail.
    <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("HMAC accepts keys of any length")
}

/// MAC over all fields of a claim. Each text is preceded by its length, so that no two claims give the
/// same input.
fn claim_mac(secret: &[u8], claim: &Claim) -> Hmac<Sha256> {
    let mut mac = hmac_sha256(secret);
    for text in [claim.viewing, claim.what] {
        mac.update(&(text.len() as u64).to_be_bytes());
        mac.update(text.as_bytes());
    }
    mac.update(&(claim.rung as u64).to_be_bytes());
    mac.update(&claim.expires.to_be_bytes());
    mac
}

#[cfg(test)]
mod tests;
