//! Addresses that a player is given carry the viewing, its rung and an expiry, authenticated by
//! HMAC-SHA-256 (RFC 2104). Two keys are in force at once, so that one can follow another.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;

mod trouble;

pub use trouble::{Denial, KeysError};

/// What a ticket is for. All of it is signed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim<'a> {
    /// The viewing, or the watch that a playlist is reloaded for.
    pub viewing: &'a str,
    /// What may be fetched with it: a segment, a map, a playlist.
    pub what: &'a str,
    pub rung: usize,
    /// Unix time in seconds from which the ticket counts no more.
    pub expires: u64,
}

/// A secret has at least so many bytes.
const LEAST_BYTES: usize = 16;

/// The keys in force: the first signs, both are believed.
#[derive(Clone)]
pub struct Keys(Vec<(String, Vec<u8>)>);

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(|it| &it.0)).finish()
    }
}

impl Keys {
    /// Reads lines `name secret`, the secret in base64url and at least 16 bytes; one or two of them.
    ///
    /// # Errors
    /// Says in which line what is wrong.
    pub fn read(text: &str) -> Result<Keys, KeysError> {
        let mut keys = Vec::new();
        let lines = text.lines().map(str::trim).enumerate();
        for (no, line) in lines.filter(|it| !it.1.is_empty() && !it.1.starts_with('#')) {
            let no = no + 1;
            let (name, secret) = line.split_once(' ').ok_or(KeysError::Form { line: no })?;
            if name.is_empty() || !name.chars().all(|it| it.is_ascii_alphanumeric()) {
                return Err(KeysError::Name { line: no, name: name.into() });
            }
            let key = || name.to_string();
            let secret = URL_SAFE_NO_PAD
                .decode(secret.trim().trim_end_matches('='))
                .map_err(|_| KeysError::Secret { line: no, key: key() })?;
            if secret.len() < LEAST_BYTES {
                return Err(KeysError::Short { line: no, key: key(), bytes: secret.len() });
            }
            if keys.iter().any(|it: &(String, Vec<u8>)| it.0 == name) {
                return Err(KeysError::Twice { line: no, key: key() });
            }
            keys.push((name.to_string(), secret));
        }
        match keys.len() {
            1 | 2 => Ok(Keys(keys)),
            found => Err(KeysError::Count { found }),
        }
    }

    /// The query string that goes with the claim: `t=expiry.key.mac`.
    pub fn ticket(&self, claim: &Claim) -> String {
        let (name, secret) = &self.0[0];
        let mac = signed(secret, claim).finalize().into_bytes();
        format!("t={}.{}.{}", claim.expires, name, URL_SAFE_NO_PAD.encode(mac))
    }

    /// Keys of 32 bytes for another purpose, one from each secret and in their order: HMAC-SHA-256 of the
    /// purpose under the secret. So what is signed for one purpose is never good for another, and no
    /// secret leaves this package.
    pub fn derived(&self, purpose: &str) -> Vec<[u8; 32]> {
        let derive = |secret: &[u8]| {
            // A ticket's MAC starts with a length below 2^56, so with a 0 byte; this one never does.
            let mut mac = keyed(secret);
            mac.update(b"for ");
            mac.update(purpose.as_bytes());
            mac.finalize().into_bytes().into()
        };
        self.0.iter().map(|it| derive(&it.1)).collect()
    }

    /// Checks a ticket for what is asked; `claim.expires` is taken from the ticket.
    ///
    /// # Errors
    /// Says why it does not count. The comparison takes equal time for every wrong mac.
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
        let (_, secret) = self.0.iter().find(|it| it.0 == name).ok_or(Denial::UnknownKey)?;
        let claim = Claim { viewing, what, rung, expires };
        signed(secret, &claim).verify_slice(&mac).map_err(|_| Denial::Forged)?;
        if now_s >= expires {
            return Err(Denial::Expired);
        }
        Ok(())
    }
}

fn keyed(secret: &[u8]) -> Hmac<Sha256> {
    // A key of any length is taken by HMAC, so this can't fail.
    <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("HMAC takes keys of any length")
}

/// Each part goes in with its length, so that no two claims give the same bytes.
fn signed(secret: &[u8], claim: &Claim) -> Hmac<Sha256> {
    let mut mac = keyed(secret);
    for part in [claim.viewing, claim.what] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part.as_bytes());
    }
    mac.update(&(claim.rung as u64).to_be_bytes());
    mac.update(&claim.expires.to_be_bytes());
    mac
}

#[cfg(test)]
mod tests;
