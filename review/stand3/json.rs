//! A small JSON value, parser and writer.

#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    pub fn num(n: impl ToString) -> J {
        J::Num(n.to_string())
    }

    pub fn str(s: &str) -> J {
        J::Str(s.to_string())
    }

    pub fn obj(rows: Vec<(&str, J)>) -> J {
        J::Obj(rows.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
    }

    pub fn get(&self, key: &str) -> &J {
        match self {
            J::Obj(rows) => rows.iter().find(|r| r.0 == key).map_or(&J::Null, |r| &r.1),
            _ => &J::Null,
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            J::Num(n) => n.parse().ok(),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            J::Str(s) => s,
            _ => "",
        }
    }

    pub fn write(&self, out: &mut String) {
        match self {
            J::Null => out.push_str("null"),
            J::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            J::Num(n) => out.push_str(n),
            J::Str(s) => write_str(s, out),
            J::Arr(list) => {
                out.push('[');
                for (i, v) in list.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    v.write(out);
                }
                out.push(']');
            }
            J::Obj(rows) => {
                out.push('{');
                for (i, (k, v)) in rows.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    write_str(k, out);
                    out.push(':');
                    v.write(out);
                }
                out.push('}');
            }
        }
    }

    pub fn string(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
}

fn write_str(s: &str, out: &mut String) {
    out.push('"');
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

/// Parses a JSON text; returns `None` if it is not valid.
pub fn parse(text: &str) -> Option<J> {
    let b = text.as_bytes();
    let mut at = 0;
    let v = value(b, &mut at)?;
    Some(v)
}

fn skip(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<J> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(b, at);
                if *b.get(*at)? == b'}' {
                    *at += 1;
                    return Some(J::Obj(rows));
                }
                let key = string(b, at)?;
                skip(b, at);
                if *b.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                rows.push((key, value(b, at)?));
                skip(b, at);
                if *b.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(b, at);
                if *b.get(*at)? == b']' {
                    *at += 1;
                    return Some(J::Arr(list));
                }
                list.push(value(b, at)?);
                skip(b, at);
                if *b.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'"' => Some(J::Str(string(b, at)?)),
        b't' => word(b, at, "true", J::Bool(true)),
        b'f' => word(b, at, "false", J::Bool(false)),
        b'n' => word(b, at, "null", J::Null),
        _ => {
            let from = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') {
                *at += 1;
            }
            if from == *at {
                return None;
            }
            Some(J::Num(String::from_utf8_lossy(&b[from..*at]).into_owned()))
        }
    }
}

fn word(b: &[u8], at: &mut usize, w: &str, v: J) -> Option<J> {
    if b[*at..].starts_with(w.as_bytes()) {
        *at += w.len();
        return Some(v);
    }
    None
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let c = *b.get(*at)?;
        *at += 1;
        match c {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let e = *b.get(*at)?;
                *at += 1;
                match e {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?');
                        out.extend(c.to_string().as_bytes());
                    }
                    e => out.push(e),
                }
            }
            c => out.push(c),
        }
    }
}
