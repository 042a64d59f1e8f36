//! Parsers of single settings.

use std::net::SocketAddr;
use std::num::ParseFloatError;
use std::ops::RangeInclusive;
use std::str::FromStr;

use dandelion_protocol::ids::NameError;
use dandelion_protocol::time::Millis;

use crate::settings::error::SettingsError;
use crate::settings::peer::Peer;

/// Parses the name of a daemon or zone; an absent one is an error.
pub fn read_name<N>(setting: &'static str, text: Option<&str>) -> Result<N, SettingsError>
where
    N: FromStr<Err = NameError>,
{
    let text = text.ok_or(SettingsError::Missing {
        setting,
        remedy: "give it as a flag or an environment variable; see --help",
    })?;
    text.parse().map_err(|_error: NameError| {
        SettingsError::invalid(
            setting,
            text,
            "it is not a valid name",
            "use 1 to 64 characters of a-z, 0-9, `-`, `_`, `.`",
        )
    })
}

/// Parses an address written `ip:port`.
pub fn read_address(setting: &'static str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|error| {
        SettingsError::invalid(
            setting,
            text,
            &format!("{error}"),
            "write an IP number and a port, such as 10.0.0.7:7080",
        )
    })
}

/// Parses a whole number within `range`.
pub fn read_number(
    setting: &'static str,
    text: &str,
    range: RangeInclusive<u64>,
) -> Result<u64, SettingsError> {
    let remedy = format!(
        "use a whole number from {} to {}",
        range.start(),
        range.end()
    );
    match text.parse::<u64>() {
        Ok(number) if range.contains(&number) => Ok(number),
        Ok(_) => Err(SettingsError::invalid(
            setting,
            text,
            "it is out of range",
            &remedy,
        )),
        Err(error) => Err(SettingsError::invalid(
            setting,
            text,
            &error.to_string(),
            &remedy,
        )),
    }
}

/// Parses a duration in milliseconds within `range`.
pub fn read_millis(
    setting: &'static str,
    text: &str,
    range: RangeInclusive<u64>,
) -> Result<Millis, SettingsError> {
    read_number(setting, text, range).map(Millis)
}

/// Parses a duration in seconds, which may have a fraction, within `range`.
pub fn read_seconds(
    setting: &'static str,
    text: &str,
    range: RangeInclusive<u64>,
) -> Result<Millis, SettingsError> {
    let invalid = |reason: &str| {
        let remedy = format!("use a number from {} to {}", range.start(), range.end());
        SettingsError::invalid(setting, text, reason, &remedy)
    };
    let seconds: f64 = text
        .parse()
        .map_err(|error: ParseFloatError| invalid(&error.to_string()))?;
    let allowed = *range.start() as f64..=*range.end() as f64;
    if !allowed.contains(&seconds) {
        return Err(invalid("it is out of range"));
    }
    Ok(Millis((seconds * 1000.0) as u64))
}

/// Parses a list of daemons; a name that appears twice is an error.
pub fn read_peers(setting: &'static str, texts: &[String]) -> Result<Vec<Peer>, SettingsError> {
    let mut peers: Vec<Peer> = Vec::new();
    for text in texts {
        let peer: Peer = text.parse().map_err(|reason: String| {
            SettingsError::invalid(
                setting,
                text,
                &reason,
                "write name@ip:port, such as c1@10.0.0.7:7081",
            )
        })?;
        if peers.iter().any(|known| known.id == peer.id) {
            return Err(SettingsError::invalid(
                setting,
                text,
                "the name stands twice in the list",
                "list each daemon once",
            ));
        }
        peers.push(peer);
    }
    Ok(peers)
}
