//! Binary encoding of messages between daemons and of stored records: CBOR with `ciborium`.

use std::io;
use std::io::Write;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A value could not be encoded or decoded.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum CodecError {
    /// The value has no CBOR form.
    #[error("value could not be encoded as CBOR ({0}); report this as a defect")]
    Encode(String),
    /// The bytes are not the CBOR form of the expected type.
    #[error("bytes are not a valid message ({0}); check that both daemons run the same version")]
    Decode(String),
}

/// Encodes `value` as CBOR.
pub fn encode<T>(value: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|e| CodecError::Encode(e.to_string()))?;
    Ok(bytes)
}

/// Returns the length of the CBOR form of `value` in bytes, without holding it in memory.
pub fn encoded_len<T>(value: &T) -> Result<usize, CodecError>
where
    T: Serialize,
{
    let mut length = LengthWriter(0);
    ciborium::into_writer(value, &mut length).map_err(|e| CodecError::Encode(e.to_string()))?;
    Ok(length.0)
}

/// Counts the bytes written to it.
struct LengthWriter(usize);

impl Write for LengthWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Decodes one CBOR value that fills `bytes` completely.
pub fn decode<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(|e| CodecError::Decode(e.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(CodecError::Decode(format!("{} surplus bytes", rest.len())))
    }
}
