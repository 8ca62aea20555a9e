//! Lenient decoding of JSON documents with malformed parts.

use std::ops::Range;

use serde::Deserialize;
use serde_json::Result;
use serde_json::value::RawValue;

/// A JSON document without the objects and lists at a given depth, which may hold anything: bytes
/// that are not UTF-8, control characters, or what is no JSON at all.
///
/// A part ends where as many brackets outside strings have been closed as were opened. Nothing
/// else is required of it, so that the document around it can be decoded.
///
/// ```
/// use limpetsaddle_core::outline::Outline;
/// use serde_json::value::RawValue;
///
/// let outline = Outline::new(b"[{\"a\": 1}, {\"a\": NaN}, 7]", 1);
/// let entries: Vec<&RawValue> = outline.decode().unwrap();
/// let parts: Vec<_> = entries.iter().map(|entry| outline.part(entry)).collect();
/// assert_eq!(parts, [Some(&b"{\"a\": 1}"[..]), Some(&b"{\"a\": NaN}"[..]), None]);
/// ```
#[derive(Debug)]
pub struct Outline<'a> {
    document: &'a [u8],
    text: String,
    parts: Vec<Range<usize>>,
}

/// The placeholder of a part.
#[derive(Deserialize)]
struct Place {
    part: usize,
}

impl<'a> Outline<'a> {
    /// Returns the outline of a document without what is inside `depth` objects and lists.
    #[must_use]
    pub fn new(document: &'a [u8], depth: usize) -> Self {
        let mut text = Vec::new();
        let mut parts = Vec::new();
        let mut part_start = None;
        let mut open = 0_usize;
        let mut in_string = false;
        let mut is_escaped = false;
        for (at, &byte) in document.iter().enumerate() {
            if in_string {
                in_string = is_escaped || byte != b'"';
                is_escaped = !is_escaped && byte == b'\\';
            } else {
                match byte {
                    b'"' => in_string = true,
                    b'{' | b'[' => {
                        if open == depth {
                            part_start = Some(at);
                        }
                        open += 1;
                    }
                    b'}' | b']' => {
                        open = open.saturating_sub(1);
                        if open == depth
                            && let Some(start) = part_start.take()
                        {
                            let place = format!("{{\"part\":{}}}", parts.len());
                            text.extend_from_slice(place.as_bytes());
                            parts.push(start..at + 1);
                            continue;
                        }
                    }
                    _ => {}
                }
            }
            if part_start.is_none() {
                let is_unreadable = in_string && byte.is_ascii_control();
                text.push(if is_unreadable { b'?' } else { byte });
            }
        }
        Self {
            document,
            text: String::from_utf8_lossy(&text).into_owned(),
            parts,
        }
    }

    /// Decodes the outline, in which each part is replaced by a placeholder.
    ///
    /// # Errors
    ///
    /// Returns an error when the document is invalid apart from its parts.
    pub fn decode<'t, T: Deserialize<'t>>(&'t self) -> Result<T> {
        serde_json::from_str(&self.text)
    }

    /// Returns the bytes of the part that a placeholder replaces, or `None` if the value is not a
    /// placeholder.
    #[must_use]
    pub fn part(&self, place: &RawValue) -> Option<&'a [u8]> {
        let place: Place = serde_json::from_str(place.get()).ok()?;
        let range = self.parts.get(place.part)?;
        self.document.get(range.clone())
    }
}
