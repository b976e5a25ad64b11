//! Splits JSON into its parts without decoding them.
//!
//! Anyone may write objects, so a page of objects may hold bytes that no JSON parser
//! accepts, such as text that is not UTF-8. Only the structure that separates the objects
//! is read here, so that each part can be parsed on its own.

/// Returns the undecoded elements of an array, or `None` if it has no end.
pub fn elements(array: &[u8]) -> Option<Vec<&[u8]>> {
    let mut scanner = Scanner::new(array);
    scanner.expect(b'[')?;
    let mut elements = Vec::new();
    if scanner.skip_if(b']') {
        return Some(elements);
    }
    loop {
        elements.push(scanner.value()?);
        if !scanner.skip_if(b',') {
            scanner.expect(b']')?;
            return Some(elements);
        }
    }
}

/// Returns the undecoded value of the first member of that name in an object.
pub fn member<'a>(object: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let mut scanner = Scanner::new(object);
    scanner.expect(b'{')?;
    if scanner.skip_if(b'}') {
        return None;
    }
    loop {
        let key = scanner.value()?;
        scanner.expect(b':')?;
        let value = scanner.value()?;
        if unquoted(key) == Some(name.as_bytes()) {
            return Some(value);
        }
        if !scanner.skip_if(b',') {
            return None;
        }
    }
}

/// Returns the bytes between the quotes of a string, with its escapes.
pub fn unquoted(string: &[u8]) -> Option<&[u8]> {
    string.strip_prefix(b"\"")?.strip_suffix(b"\"")
}

/// Reads values from the start of `rest`.
struct Scanner<'a> {
    rest: &'a [u8],
}

impl<'a> Scanner<'a> {
    const fn new(rest: &'a [u8]) -> Self {
        Self { rest }
    }

    fn skip_if(&mut self, byte: u8) -> bool {
        self.rest = self.rest.trim_ascii_start();
        let Some(rest) = self.rest.strip_prefix(&[byte]) else {
            return false;
        };
        self.rest = rest;
        true
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        self.skip_if(byte).then_some(())
    }

    /// Returns the next value and skips it.
    fn value(&mut self) -> Option<&'a [u8]> {
        self.rest = self.rest.trim_ascii_start();
        let length = match self.rest.first()? {
            b'"' => string_length(self.rest)?,
            b'{' | b'[' => nested_length(self.rest)?,
            _ => {
                let is_end = |byte: &u8| matches!(byte, b',' | b']' | b'}' | b':');
                self.rest.iter().position(is_end)?
            }
        };
        let (value, rest) = self.rest.split_at(length);
        self.rest = rest;
        let value = value.trim_ascii_end();
        (!value.is_empty()).then_some(value)
    }
}

/// Returns the length of the string that `text` starts with, with both quotes.
fn string_length(text: &[u8]) -> Option<usize> {
    let mut at = 1;
    loop {
        match text.get(at)? {
            b'"' => return Some(at + 1),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
}

/// Returns the length of the array or object that `text` starts with.
fn nested_length(text: &[u8]) -> Option<usize> {
    let (mut at, mut depth) = (0, 0_usize);
    loop {
        match text.get(at)? {
            b'"' => {
                at += string_length(&text[at..])?;
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            _ => {}
        }
        at += 1;
        if depth == 0 {
            return Some(at);
        }
    }
}
